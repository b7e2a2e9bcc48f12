//! Framed connections between two processes.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Async;
use async_io::Timer;
use futures_lite::FutureExt;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use snipeyoke_wire::FRAME_MAX;
use snipeyoke_wire::FrameCodec;
use snipeyoke_wire::FrameError;
use snipeyoke_wire::frame::Body;
use tokio_util::codec::Framed;
use tokio_util::compat::Compat;
use tokio_util::compat::FuturesAsyncReadCompatExt;

type Stream = Framed<Compat<Async<TcpStream>>, FrameCodec>;

/// The maximum number of frames queued for a connection.
///
/// If a peer stops reading, its queue fills up and new calls to it are refused as
/// not run, instead of using up memory.
const QUEUE_MAX_FRAMES: usize = 1_024;

/// The encoding overhead of a frame around its body.
const FRAME_OVERHEAD_BYTES: usize = 16;

/// The longest time that bytes sent between hosts may stay unacknowledged.
///
/// Without this limit, a connection to a host that lost power would seem alive for
/// many minutes.
pub const UNACKED_MAX: Duration = Duration::from_secs(3);

/// A queued frame.
#[derive(Debug)]
pub struct Outbound {
    // Boxed to keep queue slots small, as the queue allocates many at a time.
    body: Box<Body>,
    written: Option<Written>,
}

/// Tracks whether writing of a frame has begun.
///
/// Until then the peer can't have read the frame, so its call has not run.
#[derive(Debug, Clone, Default)]
pub struct Written(Arc<AtomicBool>);

impl Written {
    /// Returns whether writing of the frame has begun.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// The reason why a frame was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum SendError {
    /// The queue is full.
    #[display("the peer does not read fast enough: send it less or use another")]
    Full,
    /// The connection is closed.
    #[display("the connection is closed: use another")]
    Closed,
    /// The frame exceeds the maximum size.
    #[display("the frame has more than {FRAME_MAX} bytes: send a smaller body")]
    TooLarge,
}

/// The sending half; clones share the connection.
#[derive(Debug, Clone)]
pub struct LinkSender {
    queue: Sender<Outbound>,
}

impl LinkSender {
    /// Queues a frame.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`]; the frame was not and won't be written.
    pub fn send(&self, body: Body) -> Result<(), SendError> {
        self.push(Outbound {
            body: Box::new(body),
            written: None,
        })
    }

    /// Queues a frame and returns a handle that tracks whether writing has begun.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`]; the frame was not and won't be written.
    pub fn send_tracked(&self, body: Body) -> Result<Written, SendError> {
        let written = Written::default();
        self.push(Outbound {
            body: Box::new(body),
            written: Some(written.clone()),
        })?;
        Ok(written)
    }

    /// Ends the writer once the queued frames are written.
    ///
    /// The connection closes once its reader is dropped as well.
    pub fn close(&self) {
        self.queue.close();
    }

    fn push(&self, outbound: Outbound) -> Result<(), SendError> {
        // The codec would close the connection on an oversized frame, and all other
        // calls on it would end as unknown. Refused here, only this call ends.
        if outbound.body.encoded_len() + FRAME_OVERHEAD_BYTES > FRAME_MAX {
            return Err(SendError::TooLarge);
        }
        // Concurrent senders may each exceed the limit by one frame.
        if self.queue.len() >= QUEUE_MAX_FRAMES {
            return Err(SendError::Full);
        }
        self.queue
            .try_send(outbound)
            .map_err(|_closed| SendError::Closed)
    }
}

/// Writes queued frames to the connection.
#[derive(Debug)]
pub struct LinkWriter {
    queue: Receiver<Outbound>,
    sink: SplitSink<Stream, Body>,
}

impl LinkWriter {
    /// Runs until the queue is closed and empty, or the connection fails.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError`] if the connection fails.
    pub async fn run(mut self) -> Result<(), FrameError> {
        let result = self.write_all().await;
        // Queued frames will never be written; closing the queue makes later sends
        // fail at once.
        self.queue.close();
        result
    }

    async fn write_all(&mut self) -> Result<(), FrameError> {
        while let Ok(first) = self.queue.recv().await {
            self.feed(first).await?;
            while let Ok(more) = self.queue.try_recv() {
                self.feed(more).await?;
            }
            self.sink.flush().await?;
        }
        self.sink.close().await
    }

    async fn feed(&mut self, outbound: Outbound) -> Result<(), FrameError> {
        if let Some(written) = outbound.written {
            // Set before the first byte is written: if the connection fails in
            // between, the call counts as possibly run, which is safe.
            written.0.store(true, Ordering::SeqCst);
        }
        self.sink.feed(*outbound.body).await
    }
}

/// Reads frames from the connection.
#[derive(Debug)]
pub struct LinkReader {
    stream: SplitStream<Stream>,
}

impl LinkReader {
    /// Returns the next frame, or `None` once the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError`] if the connection fails or the bytes are not a valid frame.
    pub async fn next(&mut self) -> Result<Option<Body>, FrameError> {
        self.stream.next().await.transpose()
    }
}

/// Connects to a peer.
///
/// # Errors
///
/// Returns the system's error, or a timeout after `limit`.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Async<TcpStream>> {
    let connect = connect_to_other(address);
    let timeout = async {
        Timer::after(limit).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    connect.or(timeout).await
}

/// Connects, but not to the socket itself.
///
/// The system connects a socket to itself if it gives it the port that it dials and nobody
/// listens there. The node that belongs there could not start again.
async fn connect_to_other(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let stream = Async::<TcpStream>::connect(address).await?;
    if stream.get_ref().local_addr()? == address {
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    Ok(stream)
}

/// Splits a connection into sender, writer and reader.
///
/// # Errors
///
/// Returns the system's error if the socket options can't be set.
pub fn open(stream: Async<TcpStream>) -> io::Result<(LinkSender, LinkWriter, LinkReader)> {
    set_socket_options(&stream, UNACKED_MAX)?;
    let (sink, stream) = Framed::new(stream.compat(), FrameCodec::default()).split();
    // Unbounded, because a bounded channel would allocate all slots of every link.
    let (send, queue) = async_channel::unbounded();
    Ok((
        LinkSender { queue: send },
        LinkWriter { queue, sink },
        LinkReader { stream },
    ))
}

/// Sets the socket options common to all connections.
///
/// `unacked` is the longest time that sent bytes may stay unacknowledged.
///
/// # Errors
///
/// Returns the system's error if an option can't be set.
pub fn set_socket_options(stream: &Async<TcpStream>, unacked: Duration) -> io::Result<()> {
    stream.get_ref().set_nodelay(true)?;
    let millis = u32::try_from(unacked.as_millis()).unwrap_or(u32::MAX);
    rustix::net::sockopt::set_tcp_user_timeout(stream.get_ref(), millis)?;
    Ok(())
}

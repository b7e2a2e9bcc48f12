//! The socket of a caller's connection.

use std::io;
use std::net::Shutdown;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

use super::connections::CallerConnection;

/// The longest time for which what a caller sends after its response is discarded.
///
/// Callers that read while they send close the connection after one round trip.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// The most of what a caller sends after its response that is discarded, in bytes.
///
/// Twice the bodies that are usually allowed.
const DISCARD_MAX_BYTES: usize = 8 << 20;

/// The size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 8 << 10;

/// The socket of a connection, which records when a head begins to arrive and closes in
/// order.
pub(super) struct ObservedStream {
    stream: Async<TcpStream>,
    connection: Arc<CallerConnection>,
    /// While the rest of what the caller sends is discarded.
    discarding: Option<Discarding>,
}

struct Discarding {
    timeout: Timer,
    bytes: usize,
}

impl ObservedStream {
    pub(super) const fn new(stream: Async<TcpStream>, connection: Arc<CallerConnection>) -> Self {
        Self {
            stream,
            connection,
            discarding: None,
        }
    }

    /// Discards what the caller sends until it closes the connection.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        let discarding = self.discarding.get_or_insert_with(|| Discarding {
            timeout: Timer::after(DISCARD_TIME),
            bytes: 0,
        });
        while discarding.bytes < DISCARD_MAX_BYTES {
            if Pin::new(&mut discarding.timeout).poll(cx).is_ready() {
                break;
            }
            let count = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer))?;
            if count == 0 {
                break;
            }
            discarding.bytes += count;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if count > 0 {
            self.connection.begin_head();
        }
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A close with unread bytes resets the connection, which may destroy the response
        // before the caller reads it.
        if !self.connection.is_unread() {
            return Pin::new(&mut self.stream).poll_close(cx);
        }
        if self.discarding.is_none() {
            self.connection.begin_close();
            self.stream.get_ref().shutdown(Shutdown::Write)?;
        }
        self.poll_discard(cx)
    }
}

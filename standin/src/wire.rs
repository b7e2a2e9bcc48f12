//! A stretch of network between two processes: a delay, and a partition on command.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_executor::Executor;
use async_executor::Task;
use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::future;

use crate::sync::lock;

/// The most bytes that travel as one piece.
const PIECE: usize = 16 << 10;

/// The most pieces on the way in one direction: beyond them the sender waits.
const WINDOW: usize = 64;

/// How often a held piece looks whether the partition is over.
const HELD_POLL: Duration = Duration::from_millis(5);

/// The pause after a failed accept, so that a full descriptor table does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A TCP relay that stands for the distance between two hosts.
#[derive(Debug)]
pub struct Wire {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
    task: Task<()>,
}

impl Wire {
    /// Starts a wire to `target` that delays each direction.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when no port can be bound.
    pub fn start(exec: &Executor<'_>, target: SocketAddr, delay: Duration) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let cut = Arc::new(AtomicBool::new(false));
        let line = Line {
            target,
            delay,
            cut: Arc::clone(&cut),
        };
        let task = exec.spawn(async move {
            // A private executor owns every connection: dropping it ends all.
            let conns = Executor::new();
            conns.run(accept(&listener, &conns, &line)).await;
        });
        Ok(Self { address, cut, task })
    }

    /// Returns the address of the near end.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begins or ends a partition.
    ///
    /// Nothing arrives while it lasts, and no connection is reset: both sides
    /// see silence, and what was sent arrives when it ends.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Stops the wire and waits for the end of its connections.
    pub async fn stop(self) {
        self.task.cancel().await;
    }
}

#[derive(Debug, Clone)]
struct Line {
    target: SocketAddr,
    delay: Duration,
    cut: Arc<AtomicBool>,
}

async fn accept(listener: &Async<TcpListener>, conns: &Executor<'static>, line: &Line) {
    loop {
        let Ok((near, _peer)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        conns.spawn(relay(near, line.clone())).detach();
    }
}

async fn relay(near: Async<TcpStream>, line: Line) {
    line.held().await;
    let Ok(far) = Async::<TcpStream>::connect(line.target).await else {
        return;
    };
    for stream in [&near, &far] {
        // Small frames would wait for the other side's acknowledgement.
        let _best_effort = stream.get_ref().set_nodelay(true);
    }
    // When one direction ends, both do: the protocols here never half-close.
    future::or(pump(&near, &far, &line), pump(&far, &near, &line)).await;
}

#[derive(Debug, Default)]
struct Pieces(Mutex<VecDeque<(Instant, Vec<u8>)>>);

async fn pump(mut from: &Async<TcpStream>, mut to: &Async<TcpStream>, line: &Line) {
    let pieces = Pieces::default();
    // Each token in the channel stands for one piece in the queue.
    let (sent, arriving) = async_channel::bounded(WINDOW);
    let read = async {
        let mut buffer = vec![0; PIECE];
        while let Ok(count @ 1..) = from.read(&mut buffer).await {
            let due = Instant::now() + line.delay;
            lock(&pieces.0).push_back((due, buffer[..count].to_vec()));
            if sent.send(()).await.is_err() {
                return;
            }
        }
        sent.close();
        future::pending::<()>().await;
    };
    let write = async {
        while arriving.recv().await.is_ok() {
            let piece = lock(&pieces.0).pop_front();
            let Some((due, bytes)) = piece else {
                return;
            };
            Timer::at(due).await;
            line.held().await;
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    future::or(read, write).await;
}

impl Line {
    async fn held(&self) {
        while self.cut.load(Ordering::Relaxed) {
            Timer::after(HELD_POLL).await;
        }
    }
}

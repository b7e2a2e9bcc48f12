//! A single HTTP call to an endpoint.
//!
//! A connection is closed with its call unless [`crate::kept_connections`] keeps it:
//! a late second response could be taken for the response to the next request, and a
//! request sent while the endpoint closes the connection may have run.

use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use async_executor::Task;
use async_io::Async;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response;
use rustix::net::sockopt;
use smol_hyper::rt::FuturesIo;
use snipeyoke_lib::serving::kept_connections::CallKind;
use snipeyoke_lib::serving::kept_connections::GivenHandles;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::link;
use snipeyoke_runtime::threads::Exec;

/// The time limit for opening a connection.
///
/// Hosts respond within milliseconds. A lost SYN is sent again after a second,
/// which is too late for most callers; another endpoint is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The maximum time that sent bytes may stay unacknowledged.
///
/// An endpoint without power never responds. With the first keepalive probe
/// after a second of silence, it is detected within about two.
const UNACKED_MAX: Duration = Duration::from_millis(1_200);

/// The idle time after which the kernel sends keepalive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// The largest head of a response, and the most bytes that are buffered, in bytes.
///
/// Heads have some hundred bytes. Endpoints in trouble may send one without end.
const HEAD_BYTES_MAX: usize = 32 << 10;

/// The most bytes that are read until the head of a response is complete, in bytes.
///
/// The parser reads ahead of the head by what it buffers.
const UNANSWERED_BYTES_MAX: usize = 4 * HEAD_BYTES_MAX;

/// The most interim responses before a response.
///
/// Each is parsed by itself, so that thousands would take the time of other requests.
const INTERIM_MAX: usize = 16;

/// The statuses of responses that are not interim (RFC 9110, section 15).
///
/// No request asks for an upgrade, so that 101 is no answer either.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Why a call has no response.
#[derive(Debug)]
#[derive(Display, Error)]
pub(crate) enum CallError {
    /// No connection; the request was not sent.
    #[display("no connection: {_0}; the request was not sent")]
    NotSent(io::Error),
    /// The connection accepted no request; the request was not sent.
    #[display("the connection closed before the request was sent: {_0}")]
    NotAccepted(hyper::Error),
    /// The call may no longer be sent.
    #[display(
        "the endpoint may get no request any more: it rests, leaves or is cold; the request was not sent"
    )]
    Withheld,
    /// The connection failed after the endpoint may have read the request.
    #[display("the connection failed: {_0}; the request may have run")]
    Broken(hyper::Error),
    /// The response has a status that no response may end with.
    #[display("the response has the status {_0}; the request may have run; check the endpoint")]
    #[error(ignore)]
    NotFinal(StatusCode),
    /// A reused connection ended before any byte of a response.
    #[display("the reused connection ended without a response: {_0}; the request may have run")]
    Stale(hyper::Error),
    /// A reused connection ended before any byte of a response, and no new one was opened.
    #[display(
        "the reused connection ended without a response, and a new one failed: {_0}; the request may have run"
    )]
    Lost(io::Error),
}

impl CallError {
    /// Returns whether the endpoint's host refused the connection.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::NotSent(e) if e.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether the call was withheld once the connection was up.
    pub(crate) const fn is_withheld(&self) -> bool {
        matches!(self, Self::Withheld)
    }

    /// Returns whether the request certainly was not sent.
    pub(crate) const fn is_not_sent(&self) -> bool {
        !matches!(
            self,
            Self::Broken(_) | Self::NotFinal(_) | Self::Stale(_) | Self::Lost(_)
        )
    }

    /// Returns whether a reused connection ended, which says nothing of the health of
    /// its endpoint.
    pub(crate) const fn is_stale(&self) -> bool {
        matches!(self, Self::Stale(_))
    }
}

/// The reason why a body can't be read to its end.
#[derive(Debug)]
#[derive(Display, Error)]
pub(crate) enum BodyError {
    /// The connection failed.
    #[display("the connection failed: {_0}; the body is incomplete")]
    Broken(hyper::Error),
    /// The connection ended right after a head without a length.
    #[display(
        "the connection ended before a body without a length began; check that the endpoint sends its responses to the end"
    )]
    Missing,
    /// The connection ended a body without a length while the request was being sent.
    #[display(
        "the connection ended a body without a length before the request was sent; check that the endpoint reads requests to their end"
    )]
    Early,
}

/// How the end of a body is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// By its length or chunks, or there is no body.
    Stated,
    /// It ends with its connection.
    Connection {
        /// Whether a byte of it has arrived.
        has_begun: bool,
    },
}

/// A response whose body is still to be read.
///
/// Dropping it closes the connection, which cancels the work at the endpoint.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: response::Parts,
    body: Incoming,
    conn: Connection,
    is_reused: bool,
    is_whole: bool,
    framing: Framing,
    /// What the connection may be kept for once the response was read.
    pub(crate) kept_for: Option<CallKind>,
}

impl Call {
    /// Returns the next bytes of the body, or `None` at its proper end.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] if the connection fails. A body without a length is also
    /// broken if its connection ends before the first byte, since an endpoint that stops
    /// after the head looks the same as one whose body is empty, or before the request
    /// was sent, since an endpoint that fails may close its side first.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        while let Some(frame) = self.body.frame().await {
            if let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() {
                if let Framing::Connection { has_begun } = &mut self.framing {
                    *has_begun = true;
                }
                return Ok(Some(data));
            }
        }
        match self.framing {
            Framing::Connection { has_begun: false } => return Err(BodyError::Missing),
            Framing::Connection { .. } if !self.conn.progress.is_sent() => {
                return Err(BodyError::Early);
            }
            Framing::Connection { .. } | Framing::Stated => {}
        }
        self.is_whole = true;
        Ok(None)
    }

    /// Returns whether the connection carried a response to another call before.
    pub(crate) const fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns the handles that were given on the connection.
    pub(crate) const fn given_handles(&mut self) -> &mut GivenHandles {
        &mut self.conn.given
    }

    /// Returns the connection if it may carry another call: the whole response was read
    /// by its length or chunks, and it reports success.
    pub(crate) fn into_reusable(self) -> Option<Connection> {
        let headers = &self.head.headers;
        let has_length = headers.contains_key(CONTENT_LENGTH);
        let is_framed = has_length != headers.contains_key(TRANSFER_ENCODING);
        let is_current = self.head.version == Version::HTTP_11;
        let is_success = self.head.status.is_success();
        (self.is_whole && is_framed && is_current && is_success).then_some(self.conn)
    }
}

/// A connection to an endpoint; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    /// `None` once the last request was sent.
    sender: Option<SendRequest<Full<Bytes>>>,
    progress: Arc<Progress>,
    given: GivenHandles,
    _driver: Task<()>,
}

impl Connection {
    /// Opens a connection.
    async fn open(exec: &Exec, address: SocketAddr) -> Result<Self, CallError> {
        let stream = link::connect(address, CONNECT_TIMEOUT);
        let stream = stream.await.map_err(CallError::NotSent)?;
        enable_keepalive(&stream).map_err(CallError::NotSent)?;
        let progress = Arc::new(Progress::default());
        let stream = BoundedHead {
            stream,
            progress: Arc::clone(&progress),
        };
        let mut builder = http1::Builder::new();
        // A body is written from where it lies, without a copy.
        builder.max_buf_size(HEAD_BYTES_MAX).writev(true);
        let (sender, conn) = builder
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(CallError::NotAccepted)?;
        let driver = exec.spawn(async move {
            // Errors of the connection surface in the response or its body.
            let _ended = conn.await;
        });
        Ok(Self {
            sender: Some(sender),
            progress,
            given: GivenHandles::default(),
            _driver: driver,
        })
    }

    /// Returns whether an idle connection can carry a request: it is not closed, and no
    /// bytes have arrived since its last response.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.as_ref().is_some_and(SendRequest::is_ready)
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// `kept_for` is `None` if this is the last request of the connection.
    pub(crate) async fn send(
        mut self,
        mut request: Request<Full<Bytes>>,
        kept_for: Option<CallKind>,
        is_reused: bool,
    ) -> Result<Call, CallError> {
        let Some(mut sender) = self.sender.take() else {
            unreachable!("only connections with a sender are kept");
        };
        self.progress.begin();
        let progress = Arc::clone(&self.progress);
        hyper::ext::on_informational(&mut request, move |_interim| {
            progress.interim.fetch_add(1, Ordering::SeqCst);
        });
        let sent = sender.try_send_request(request).await;
        let response = match sent {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = error.into_error();
                return Err(if unsent {
                    CallError::NotAccepted(error)
                } else if is_reused && self.progress.is_silent() {
                    CallError::Stale(error)
                } else {
                    CallError::Broken(error)
                });
            }
        };
        if !FINAL_STATUSES.contains(&response.status().as_u16()) {
            return Err(CallError::NotFinal(response.status()));
        }
        self.progress.answered.store(true, Ordering::SeqCst);
        self.sender = kept_for.map(|_| sender);
        let (head, body) = response.into_parts();
        let has_end = head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING);
        // Some statuses have no body.
        let framing = if has_end || body.is_end_stream() {
            Framing::Stated
        } else {
            Framing::Connection { has_begun: false }
        };
        Ok(Call {
            framing,
            head,
            body,
            conn: self,
            is_reused,
            is_whole: false,
            kept_for,
        })
    }
}

/// Sends a request on a new connection and waits for the head of the response.
///
/// Sets `handed_off` before the first byte may be sent. `may_send` returns
/// whether the request may still be sent once the connection is up.
pub(crate) async fn send_request(
    exec: &Exec,
    address: SocketAddr,
    (request, kept_for): (Request<Full<Bytes>>, Option<CallKind>),
    checks: (&Flag, &(dyn Fn() -> bool + Sync)),
) -> Result<Call, CallError> {
    send_new(exec, address, (|| request, kept_for), checks).await
}

/// Sends a request that `complete` returns right before the first byte, and closes the
/// connection after it.
///
/// Otherwise like [`send_request`].
pub(crate) async fn send_completed(
    exec: &Exec,
    address: SocketAddr,
    complete: impl FnOnce() -> Request<Full<Bytes>> + Send,
    checks: (&Flag, &(dyn Fn() -> bool + Sync)),
) -> Result<Call, CallError> {
    send_new(exec, address, (complete, None), checks).await
}

async fn send_new(
    exec: &Exec,
    address: SocketAddr,
    (complete, kept_for): (
        impl FnOnce() -> Request<Full<Bytes>> + Send,
        Option<CallKind>,
    ),
    (handed_off, may_send): (&Flag, &(dyn Fn() -> bool + Sync)),
) -> Result<Call, CallError> {
    let conn = Connection::open(exec, address).await?;
    if !may_send() {
        metrics::counter!("snipeyoke_withheld_calls_total").increment(1);
        return Err(CallError::Withheld);
    }
    handed_off.set();
    metrics::counter!("snipeyoke_endpoint_connections_total", "how" => "opened").increment(1);
    conn.send(complete(), kept_for, false).await
}

/// How far the response to the current request of a connection has come.
#[derive(Debug, Default)]
struct Progress {
    /// The bytes that arrived since the request was sent.
    read: AtomicUsize,
    /// The interim responses among them.
    interim: AtomicUsize,
    /// Whether the head is complete.
    answered: AtomicBool,
    /// Whether bytes of the request are still to be written, or can't be.
    unsent: AtomicBool,
}

impl Progress {
    /// Starts to count for the next response.
    fn begin(&self) {
        self.read.store(0, Ordering::SeqCst);
        self.interim.store(0, Ordering::SeqCst);
        self.answered.store(false, Ordering::SeqCst);
        self.unsent.store(true, Ordering::SeqCst);
    }

    /// Returns whether too much has arrived before the head of a response.
    fn is_endless(&self) -> bool {
        let is_answered = self.answered.load(Ordering::SeqCst);
        let is_long = self.read.load(Ordering::SeqCst) > UNANSWERED_BYTES_MAX;
        !is_answered && (is_long || self.interim.load(Ordering::SeqCst) > INTERIM_MAX)
    }

    /// Returns whether the whole request was written.
    fn is_sent(&self) -> bool {
        !self.unsent.load(Ordering::SeqCst)
    }

    /// Returns whether no byte of the response has arrived.
    fn is_silent(&self) -> bool {
        self.read.load(Ordering::SeqCst) == 0
    }
}

/// A connection that fails if too many bytes arrive before the head of a response.
struct BoundedHead {
    stream: Async<std::net::TcpStream>,
    progress: Arc<Progress>,
}

impl AsyncRead for BoundedHead {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.progress.is_endless() {
            let text = "the response has no end of its head: check the endpoint";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.progress.read.fetch_add(count, Ordering::SeqCst);
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for BoundedHead {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.progress.unsent.store(true, Ordering::SeqCst);
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.progress.unsent.store(true, Ordering::SeqCst);
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.stream).poll_flush(cx));
        // The HTTP library flushes once it has written all that it has buffered, and it
        // buffers the head of a request with its body.
        if flushed.is_ok() {
            self.progress.unsent.store(false, Ordering::SeqCst);
        }
        Poll::Ready(flushed)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

fn enable_keepalive(stream: &Async<std::net::TcpStream>) -> io::Result<()> {
    link::set_socket_options(stream, UNACKED_MAX)?;
    let socket = stream.get_ref();
    sockopt::set_socket_keepalive(socket, true)?;
    sockopt::set_tcp_keepidle(socket, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(socket, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepcnt(socket, 2)?;
    Ok(())
}

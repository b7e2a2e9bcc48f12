//! An HTTP server with limits on connections, request heads and idle time.

use std::convert::Infallible;
use std::net::TcpListener;
use std::net::TcpStream;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::future;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::system::sysinfo;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;
use snipeyoke_lib::serving::caller_connections::ConnectionLimits;
use snipeyoke_lib::units::Bytes;

use super::body::ReplyBody;
use super::body::with_guard;
use super::connections::CallerConnection;
use super::connections::Connections;
use super::connections::RequestGuard;
use super::socket::ObservedStream;
use crate::flag::Flag;
use crate::link::set_socket_options;
use crate::scope::Scope;

/// A request received by the server.
pub type Request = hyper::Request<Incoming>;

/// A response to be sent by the server.
pub type Reply = hyper::Response<ReplyBody>;

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    ///
    /// The future is dropped when the client's connection closes.
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>>;

    /// Returns the maximum size of the header of a request, in bytes.
    fn header_max(&self) -> usize {
        HEADER_MAX_BYTES
    }

    /// Returns the least time for which a connection may be idle.
    fn idle_min(&self) -> Duration {
        Duration::ZERO
    }
}

/// The default maximum size of the header of a request, in bytes.
pub const HEADER_MAX_BYTES: usize = 16 << 10;

/// The maximum size of a request line and of empty lines before it, in bytes.
///
/// Limits on headers do not include them.
const REQUEST_LINE_MAX_BYTES: usize = 4 << 10;

/// The size of the shortest header line, in bytes: a letter, a colon and the line's end.
const HEADER_LINE_MIN_BYTES: usize = 4;

/// What is read beyond a head, in bytes.
///
/// The HTTP library allocates and reads in steps of this size.
const READ_AHEAD_BYTES: usize = 8 << 10;

/// The limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// The timeout for the head of a request, and for an idle connection.
    pub head_timeout: Duration,
    /// The maximum number of open connections.
    pub conns: usize,
    /// The memory of the process; all that the system has if `None`.
    pub memory: Option<Bytes>,
}

fn system_memory() -> Bytes {
    let system = sysinfo();
    Bytes(system.totalram * u64::from(system.mem_unit))
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(30),
            conns: 3_500,
            memory: None,
        }
    }
}

/// The delay after a failed accept.
///
/// Accept fails when file descriptors run out; an immediate retry would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The server has room for one part in this many of its connections while they close.
const CLOSING_PART: usize = 8;

/// The timeout for the head of a first request during and after a drain.
///
/// A client that connects and sends nothing would otherwise delay the exit.
const DRAIN_HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves connections until `drain` is set and each has finished its request.
pub async fn serve(
    listener: Async<TcpListener>,
    handler: Arc<dyn Handler>,
    bounds: Bounds,
    scope: Scope,
    drain: Flag,
) {
    let end = drain.clone();
    serve_until(listener, handler, bounds, scope, drain, end).await;
}

/// Serves connections until `end` is set and each has finished its request.
///
/// Once `drain` is set, idle connections are closed; one without any request yet
/// has another second to send it. New connections are accepted until the last one
/// has ended, and the handler responds to them; those accepted after `end` serve one
/// request. A connection left in the accept queue would get no response until the
/// process ends, and its client could not know whether the request ran.
pub async fn serve_until(
    listener: Async<TcpListener>,
    handler: Arc<dyn Handler>,
    bounds: Bounds,
    scope: Scope,
    drain: Flag,
    end: Flag,
) {
    let memory = bounds.memory.unwrap_or_else(system_memory);
    let server = Server {
        connections: Arc::new(Connections::new(limits(memory, bounds, &*handler))),
        listener,
        handler,
        bounds,
        memory,
        scope,
    };
    let lifetime = || {
        let close = if drain.is_set() { &end } else { &drain };
        ConnLifetime::KeepAlive(close.clone())
    };
    server.accept_until(end.wait(), lifetime).await;
    // Accepting is polled before the join, so the accept queue is empty at the end.
    server
        .accept_until(server.scope.join(), || ConnLifetime::OneRequest)
        .await;
}

/// How long a connection lasts.
enum ConnLifetime {
    /// Until it is idle after the flag is set.
    KeepAlive(Flag),
    /// Until its first response is sent.
    OneRequest,
}

struct Server {
    listener: Async<TcpListener>,
    handler: Arc<dyn Handler>,
    bounds: Bounds,
    memory: Bytes,
    scope: Scope,
    connections: Arc<Connections>,
}

fn limits(memory: Bytes, bounds: Bounds, handler: &dyn Handler) -> ConnectionLimits {
    ConnectionLimits::new(memory, bounds.conns, Bytes(handler.header_max() as u64))
}

impl Server {
    async fn accept_until(
        &self,
        until: impl Future<Output = ()>,
        lifetime: impl Fn() -> ConnLifetime,
    ) {
        let mut until = pin!(until);
        loop {
            let accepted = async { Some(self.listener.accept().await) };
            let ended = async {
                until.as_mut().await;
                None
            };
            match accepted.or(ended).await {
                None => return,
                Some(Ok((stream, _peer))) => {
                    if let Some(connection) = self.open().await {
                        let handler = Arc::clone(&self.handler);
                        let conn = serve_stream(
                            (stream, Arc::new(connection)),
                            handler,
                            self.bounds,
                            lifetime(),
                        );
                        self.scope.spawn(conn);
                    } else {
                        // The connection is closed unread, so nothing ran.
                        metrics::counter!("snipeyoke_conns_refused_total").increment(1);
                    }
                }
                Some(Err(error)) => {
                    log::warn!(event = "accept-failed", error = error.to_string().as_str(), remedy = "raise the descriptor limit"; "");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

impl Server {
    /// Returns the place of a connection that was accepted, if there is one.
    async fn open(&self) -> Option<CallerConnection> {
        let limits = limits(self.memory, self.bounds, &*self.handler);
        self.connections.set_limits(limits);
        // Connections that lost their places may still be closing, most of them as soon
        // as their tasks run.
        let most = limits.count + limits.count / CLOSING_PART + 1;
        if self.scope.len() >= most {
            future::yield_now().await;
        }
        if self.scope.len() >= most {
            return None;
        }
        self.connections.open().ok()
    }
}

async fn serve_stream(
    (stream, connection): (Async<TcpStream>, Arc<CallerConnection>),
    handler: Arc<dyn Handler>,
    bounds: Bounds,
    lifetime: ConnLifetime,
) {
    // A mobile client may be unreachable for longer than a host, so the idle timeout
    // also limits how long sent bytes may stay unacknowledged.
    if set_socket_options(&stream, bounds.head_timeout).is_err() {
        return;
    }
    let has_request = Flag::default();
    let header_max = handler.header_max();
    let head_max = header_max.saturating_add(REQUEST_LINE_MAX_BYTES);
    let service = service_fn(|mut request: Request| {
        has_request.set();
        connection.begin_request(!request.body().is_end_stream());
        let guard = RequestGuard(Arc::clone(&connection));
        request.extensions_mut().insert(Arc::clone(&connection));
        let handler = Arc::clone(&handler);
        async move {
            let reply = handler.handle(request).await;
            let mut reply = reply.map(|body| with_guard(body, guard));
            if handler.header_max() > header_max {
                // Later requests may have larger headers than this connection reads.
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(reply)
        }
    });
    let head_timeout = match lifetime {
        ConnLifetime::KeepAlive(_) => bounds.head_timeout.max(handler.idle_min()),
        ConnLifetime::OneRequest => bounds.head_timeout.min(DRAIN_HEAD_TIMEOUT),
    };
    let observed = ObservedStream::new(stream, Arc::clone(&connection));
    let conn = http1::Builder::new()
        .timer(SmolTimer::new())
        .keep_alive(matches!(lifetime, ConnLifetime::KeepAlive(_)))
        .header_read_timeout(head_timeout)
        .writev(true)
        .max_headers(header_max / HEADER_LINE_MIN_BYTES)
        .max_header_size(head_max)
        .max_buf_size(head_max.saturating_add(READ_AHEAD_BYTES))
        .serve_connection(FuturesIo::new(observed), service);
    let mut conn = pin!(conn);
    let served = async { Some(conn.as_mut().await) };
    let drained = async {
        let ConnLifetime::KeepAlive(drain) = &lifetime else {
            return future::pending().await;
        };
        drain.wait().await;
        // The first request of a new connection may still arrive.
        let first_request_timeout = async {
            Timer::after(DRAIN_HEAD_TIMEOUT).await;
        };
        has_request.wait().or(first_request_timeout).await;
        None
    };
    let evicted = async {
        connection.evicted().await;
        None
    };
    let mut ended = served.or(drained).or(evicted).await;
    if ended.is_none() {
        conn.as_mut().graceful_shutdown();
        let served = async { Some(conn.as_mut().await) };
        // A request that can still get its response gets it first.
        let cut = async {
            connection.evicted().await;
            if connection.can_respond() {
                future::pending::<()>().await;
            }
            None
        };
        ended = cut.or(served).await;
    }
    let Some(result) = ended else {
        return;
    };
    if let Err(error) = result {
        log::debug!(event = "conn-ended", error = error.to_string().as_str(); "");
    }
}

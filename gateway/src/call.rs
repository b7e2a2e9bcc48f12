//! One HTTP call to an endpoint, on a connection of its own.
//!
//! A connection carries one request and is closed. On a kept connection a late
//! second answer would be taken for the answer to the next request, and a
//! request that crosses the endpoint's close could not be told from one that
//! ran; both are impossible here, for one handshake a request.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_executor::Task;
use async_io::Async;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::http::response;
use rustix::net::sockopt;
use smol_hyper::rt::FuturesIo;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::link;
use snipeyoke_runtime::threads::Exec;

/// The longest time to connect.
///
/// Hosts answer within milliseconds. A lost opening packet is sent again after
/// a second, which is too late for most callers: another endpoint is faster.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// The longest time that bytes may go unacknowledged.
///
/// An endpoint without power never answers. With the first probe after a
/// second of silence it is found within about two.
const UNHEARD_MAX: Duration = Duration::from_millis(1_200);

/// The silence after which the system probes a connection.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Why a call has no answer.
#[derive(Debug)]
#[derive(Display, Error)]
pub(crate) enum CallError {
    /// No connection: the request was not sent.
    #[display("no connection: {_0}; the request was not sent")]
    NotSent(io::Error),
    /// The connection took no request: it was not sent.
    #[display("the connection closed before the request was sent: {_0}")]
    NotAccepted(hyper::Error),
    /// The connection failed after the request may have been read.
    #[display("the connection failed: {_0}; the request may have run")]
    Broken(hyper::Error),
}

impl CallError {
    /// Tells whether the endpoint's host refused the connection.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::NotSent(e) if e.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Tells whether the request surely never left this process.
    pub(crate) const fn is_not_sent(&self) -> bool {
        !matches!(self, Self::Broken(_))
    }
}

/// An answer whose body is still to be read.
///
/// The connection closes when this is dropped, which cancels the work at the
/// endpoint.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: response::Parts,
    body: Incoming,
    _conn: Task<()>,
}

impl Call {
    /// Returns the next bytes of the body, or `None` at its proper end.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, hyper::Error> {
        while let Some(frame) = self.body.frame().await {
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}

/// Sends a request and waits for the head of the answer.
///
/// `handed` is set before the first byte of it may leave.
pub(crate) async fn send_request(
    exec: &Exec,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    handed: &Flag,
) -> Result<Call, CallError> {
    let stream = link::connect(address, CONNECT_LIMIT);
    let stream = stream.await.map_err(CallError::NotSent)?;
    watch(&stream).map_err(CallError::NotSent)?;
    let (mut sender, conn) = http1::handshake(FuturesIo::new(stream))
        .await
        .map_err(CallError::NotAccepted)?;
    let conn = exec.spawn(async move {
        // How the connection ends is told by the answer or its body.
        let _ended = conn.await;
    });
    handed.set();
    match sender.try_send_request(request).await {
        Ok(response) => {
            let (head, body) = response.into_parts();
            Ok(Call {
                head,
                body,
                _conn: conn,
            })
        }
        Err(mut error) => match error.take_message() {
            Some(_unsent) => Err(CallError::NotAccepted(error.into_error())),
            None => Err(CallError::Broken(error.into_error())),
        },
    }
}

fn watch(stream: &Async<std::net::TcpStream>) -> io::Result<()> {
    link::prepare(stream, UNHEARD_MAX)?;
    let socket = stream.get_ref();
    sockopt::set_socket_keepalive(socket, true)?;
    sockopt::set_tcp_keepidle(socket, PROBE_AFTER)?;
    sockopt::set_tcp_keepintvl(socket, PROBE_AFTER)?;
    sockopt::set_tcp_keepcnt(socket, 2)?;
    Ok(())
}

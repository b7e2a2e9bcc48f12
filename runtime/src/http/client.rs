//! An HTTP client with a connection pool per address.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use smol_hyper::rt::FuturesIo;

use crate::link::UNACKED_MAX;
use crate::link::connect;
use crate::link::set_socket_options;
use crate::scope::Scope;

/// A response whose body has not been read yet.
pub type Response = hyper::Response<Incoming>;

type Sender = SendRequest<Full<Bytes>>;

/// The maximum number of idle connections per address.
const IDLE_CONNS_MAX: usize = 32;

/// The reason why a request got no response.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum ClientError {
    /// No connection could be made: the request was not sent.
    #[display("no connection: {_0}; the request was not sent")]
    Connect(io::Error),
    /// The connection closed before the request was sent.
    #[display("the connection closed before the request was sent: {_0}")]
    NotSent(hyper::Error),
    /// The connection failed after the request may have been sent.
    #[display("the connection failed: {_0}; the request may have run")]
    Sent(hyper::Error),
}

impl ClientError {
    /// Returns whether the request was certainly not sent.
    #[must_use]
    pub const fn is_not_sent(&self) -> bool {
        !matches!(self, Self::Sent(_))
    }
}

/// Sends requests; clones share the connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    scope: Scope,
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<Sender>>>>,
    connect_timeout: Duration,
}

impl Client {
    /// Builds a client whose connections run in `scope`.
    ///
    /// `connect_timeout` limits the time to connect.
    #[must_use]
    pub fn new(scope: Scope, connect_timeout: Duration) -> Self {
        Self {
            scope,
            idle: Arc::default(),
            connect_timeout,
        }
    }

    /// Sends a request and returns the head of its response.
    ///
    /// To reuse the connection, read the body to its end and pass the connection to
    /// [`Client::recycle`]. Dropping the future closes the connection, which cancels
    /// the request at the server.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`], which distinguishes whether the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: hyper::Request<Full<Bytes>>,
    ) -> Result<(Response, PooledConn), ClientError> {
        set_host_header(&mut request, address);
        loop {
            let Some(mut sender) = self.take_idle(address) else {
                break;
            };
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, PooledConn { sender, address })),
                Err(mut error) => match error.take_message() {
                    // The idle connection was closed before the request was sent,
                    // so another connection can be used.
                    Some(unsent) => request = unsent,
                    None => return Err(ClientError::Sent(error.into_error())),
                },
            }
        }
        let mut sender = self.open_conn(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok((response, PooledConn { sender, address })),
            Err(mut error) => match error.take_message() {
                Some(_unsent) => Err(ClientError::NotSent(error.into_error())),
                None => Err(ClientError::Sent(error.into_error())),
            },
        }
    }

    /// Returns a connection to the pool after its response has been read.
    pub fn recycle(&self, conn: PooledConn) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let conns = idle.entry(conn.address).or_default();
        if conns.len() < IDLE_CONNS_MAX && !conn.sender.is_closed() {
            conns.push(conn.sender);
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let conns = idle.get_mut(&address)?;
        while let Some(sender) = conns.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    async fn open_conn(&self, address: SocketAddr) -> Result<Sender, ClientError> {
        let stream = connect(address, self.connect_timeout)
            .await
            .map_err(ClientError::Connect)?;
        set_socket_options(&stream, UNACKED_MAX).map_err(ClientError::Connect)?;
        let (sender, conn) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(ClientError::NotSent)?;
        self.scope.spawn(async move {
            if let Err(error) = conn.await {
                log::debug!(event = "conn-ended", error = error.to_string().as_str(); "");
            }
        });
        Ok(sender)
    }
}

/// A connection in use, to be recycled after its response has been read.
#[derive(Debug)]
pub struct PooledConn {
    sender: Sender,
    address: SocketAddr,
}

fn set_host_header(request: &mut hyper::Request<Full<Bytes>>, address: SocketAddr) {
    let host = hyper::header::HeaderValue::try_from(address.to_string());
    if let Ok(host) = host {
        request.headers_mut().insert(hyper::header::HOST, host);
    }
}

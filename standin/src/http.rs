//! A small HTTP server loop, and the calls and answers of a stand-in.

use std::convert::Infallible;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::header::USER_AGENT;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use smol_hyper::rt::FuturesIo;

use crate::fault::Fate;
use crate::fault::Fault;
use crate::fault::Faults;

/// The largest body that a stand-in reads, in bytes.
const BODY_MAX: usize = 8 << 20;

/// The pause after a failed accept, so that a full descriptor table does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The header by which an endpoint vouches that it did not run a call.
pub const NOT_RUN: &str = "x-not-run";

/// The body of an answer; an error in it cuts the connection.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// An answer, or the connection cut without one.
pub type Answer = Result<Response<Body>, Cut>;

/// The connection ends here without the rest of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("a fault set on this stand-in cut the answer: clear it with an empty POST /fault")]
pub struct Cut;

/// One call to a stand-in, read whole.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path without its query.
    pub path: String,
    /// The query, without the question mark.
    pub query: String,
    /// The head.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// Returns a header as text, or an empty text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Returns how the client names itself.
    #[must_use]
    pub fn caller(&self) -> &str {
        self.header(USER_AGENT.as_str())
    }

    /// Returns a number from the query, or a default.
    #[must_use]
    pub fn number(&self, name: &str, default: u64) -> u64 {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        let mut found = pairs.filter(|(n, _)| *n == name);
        found
            .next()
            .and_then(|(_, v)| v.parse().ok())
            .unwrap_or(default)
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the answer 400 for a malformed body.
    pub fn json<'a, T: Deserialize<'a>>(&'a self) -> Result<T, Box<Response<Body>>> {
        serde_json::from_slice(&self.body).map_err(|error| {
            let message = format!("the body is malformed ({error}): correct it");
            Box::new(refusal(StatusCode::BAD_REQUEST, &message))
        })
    }
}

/// What a stand-in does with calls.
pub trait Service: Send + Sync + 'static {
    /// Answers one call.
    fn handle(self: Arc<Self>, call: Call, fate: Fate) -> Boxed<Answer>;

    /// Returns the faults set on this stand-in.
    fn faults(&self) -> &Faults;

    /// Tells what really ran.
    fn effects(&self) -> serde_json::Value;

    /// Forgets what a process forgets when it dies.
    fn forget(&self);

    /// Returns the work that goes on beside the calls.
    fn tasks(self: Arc<Self>) -> Vec<Boxed<()>>;
}

/// Serves a stand-in until the returned future is dropped.
pub async fn serve(listener: Async<TcpListener>, service: Arc<dyn Service>) {
    // A private executor owns every connection and task: dropping it ends all.
    let executor = Executor::new();
    for task in Arc::clone(&service).tasks() {
        executor.spawn(task).detach();
    }
    executor.run(accept(&listener, &executor, service)).await;
}

async fn accept(
    listener: &Async<TcpListener>,
    executor: &Executor<'static>,
    service: Arc<dyn Service>,
) {
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        executor
            .spawn(connection(stream, Arc::clone(&service)))
            .detach();
    }
}

async fn connection(stream: Async<TcpStream>, service: Arc<dyn Service>) {
    // Small frames of a stream would wait for the client's acknowledgement.
    let _best_effort = stream.get_ref().set_nodelay(true);
    let handler = service_fn(|request| answer(Arc::clone(&service), request));
    let served = http1::Builder::new().serve_connection(FuturesIo::new(stream), handler);
    if let Err(error) = served.await {
        log::debug!(error:%; "connection-ended");
    }
}

async fn answer(service: Arc<dyn Service>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, BODY_MAX).collect().await else {
        let message = format!("the body is too large or broken: send at most {BODY_MAX} bytes");
        return Ok(refusal(StatusCode::PAYLOAD_TOO_LARGE, &message));
    };
    let call = Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body: body.to_bytes(),
    };
    match (call.method.as_str(), call.path.as_str()) {
        ("POST", "/fault") => Ok(set_fault(service.as_ref(), &call)),
        ("GET", "/fault") => Ok(json_answer(&service.faults().get())),
        ("GET", "/effects") => Ok(json_answer(&service.effects())),
        _ => faulty(service, call).await,
    }
}

fn set_fault(service: &dyn Service, call: &Call) -> Response<Body> {
    if call.body.is_empty() {
        service.faults().set(Fault::default());
        return json_answer(&json!({}));
    }
    match call.json::<Fault>() {
        Ok(fault) => {
            log::info!(fault:? = fault; "fault-set");
            if service.faults().set(fault) {
                service.forget();
            }
            json_answer(&json!({}))
        }
        Err(malformed) => *malformed,
    }
}

async fn faulty(service: Arc<dyn Service>, call: Call) -> Answer {
    let fate = service.faults().meet(call.caller()).await;
    match fate {
        Fate::Drop => Err(Cut),
        Fate::Refuse => Ok(not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "refused by a fault",
        )),
        Fate::Fail => Ok(refusal(
            StatusCode::INTERNAL_SERVER_ERROR,
            "failed by a fault",
        )),
        Fate::Serve | Fate::Die | Fate::Lose => {
            let keeper = Arc::clone(&service);
            let died = async {
                keeper.faults().died().await;
                Err(Cut)
            };
            service.handle(call, fate).or(died).await
        }
    }
}

/// Builds an answer of bytes.
#[must_use]
pub fn bytes_answer(status: StatusCode, kind: &'static str, bytes: Bytes) -> Response<Body> {
    let full = Full::new(bytes).map_err(|never: Infallible| match never {});
    let mut response = Response::new(full.boxed_unsync());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// Builds the answer 200 of a JSON value.
#[must_use]
pub fn json_answer(value: &impl Serialize) -> Response<Body> {
    json_status(StatusCode::OK, value)
}

/// Builds an answer of a JSON value with any status.
///
/// # Panics
///
/// Panics if the value has a form that JSON does not know, which is a bug.
#[must_use]
pub fn json_status(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("answers of stand-ins have a JSON form");
    bytes_answer(status, "application/json", bytes.into())
}

/// Builds a refusal with the dialect's error object.
#[must_use]
pub fn refusal(status: StatusCode, message: &str) -> Response<Body> {
    let kind = if status.is_server_error() {
        "server_error"
    } else {
        "invalid_request_error"
    };
    json_status(
        status,
        &json!({"error": {"message": message, "type": kind}}),
    )
}

/// Builds a refusal that vouches that the call did not run.
#[must_use]
pub fn not_run(status: StatusCode, message: &str) -> Response<Body> {
    let mut response = refusal(status, message);
    let headers = response.headers_mut();
    headers.insert(NOT_RUN, HeaderValue::from_static("1"));
    if status == StatusCode::TOO_MANY_REQUESTS {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    response
}

/// Builds the answer to a path that a stand-in does not have.
#[must_use]
pub fn no_path(call: &Call) -> Response<Body> {
    let message = format!(
        "no {} {} here: see docs/architecture.md",
        call.method, call.path
    );
    refusal(StatusCode::NOT_FOUND, &message)
}

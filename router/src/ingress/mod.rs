//! The HTTP ingress for callers, compatible with the chat completions API.

mod auth;
mod chat;
mod error;
mod intake;
mod plain;
mod reply;
mod status;

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::http::Handler;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::Request;
use snipeyoke_runtime::http::full;
use snipeyoke_runtime::http::with_guard;
use snipeyoke_runtime::measures;
use uuid::Uuid;

pub(crate) use self::auth::bearer;
pub(crate) use self::auth::digest;
use self::error::IngressError;
use self::reply::Head;
use crate::control::drains;
use crate::node::Node;

/// The longest wait of a new router for a usable endpoint of each pool.
const ENDPOINTS_WAIT_MAX: Duration = Duration::from_secs(5);

/// The path prefix of plain requests and of status queries.
const REQUESTS_PREFIX: &str = "/v1/requests/";

/// Handles requests of callers.
#[derive(Debug)]
pub(crate) struct Ingress {
    node: Arc<Node>,
}

impl Ingress {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    async fn answer(&self, request: Request) -> Reply {
        let mut reply = self.route(request).await;
        // Closing the connection with the response avoids a race with the next
        // request, which the caller could not tell from a failure.
        if self.node.board.pre_drain.is_set() {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(CONNECTION, close);
        }
        reply
    }

    async fn route(&self, request: Request) -> Reply {
        let id = RequestId(Uuid::now_v7());
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let result = match (&method, path.as_str()) {
            (&Method::GET, "/healthz") => Ok(health(id, StatusCode::OK)),
            (&Method::GET, "/readyz") => Ok(health(id, self.readiness())),
            (&Method::GET, "/metrics") => Ok(Reply::new(full(measures::render()))),
            (&Method::POST, "/v1/chat/completions") => chat::handle(&self.node, id, request).await,
            (method, path) => match (method, path.strip_prefix(REQUESTS_PREFIX)) {
                (&Method::POST, Some(kind)) => plain::handle(&self.node, id, kind, request).await,
                (&Method::GET, Some(requested)) => {
                    status::handle(&self.node, id, requested, &request)
                }
                _ => Err(IngressError::NoPath {
                    path: path.to_owned(),
                }),
            },
        };
        result.unwrap_or_else(|error| {
            log::info!(target: "request", event = "request-refused", request = id.to_string().as_str(), error = error.to_string().as_str(); "");
            error.reply(id)
        })
    }

    /// Returns whether each pool has a usable endpoint.
    ///
    /// Before that a balancer would send requests to a router that rejects all
    /// of them. The wait is bounded, as a pool may have no endpoint at all.
    fn has_endpoints(&self) -> bool {
        let now = self.node.clock.now();
        if now.since(Time::ZERO) > ENDPOINTS_WAIT_MAX {
            return true;
        }
        let config = self.node.board.config.get();
        let shared = self.node.shared();
        let mut pools = config.config.pools.keys();
        pools.all(|name| shared.fleet.pool(name).is_some_and(|p| p.is_usable(now)))
    }

    fn readiness(&self) -> StatusCode {
        let board = &self.node.board;
        let fact = board.config.get();
        // The balancer stops sending requests here and may resume when the
        // drain ends; requests that still arrive are served.
        let drained = drains::covers_self(&fact.config, &self.node.settings);
        if board.pre_drain.is_set() || drained || !fact.is_known() {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        if !board.endpoints_ready.is_set() && !self.has_endpoints() {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        board.endpoints_ready.set();
        StatusCode::OK
    }
}

impl Handler for Ingress {
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        // An exchange is in flight until its response is sent. A slow caller
        // still reads after the request has ended, and a router that exited then
        // would truncate the response.
        let token = Arc::clone(&self.node.exchanges);
        Box::pin(async move {
            let reply = self.answer(request).await;
            reply.map(|body| with_guard(body, token))
        })
    }
}

fn health(id: RequestId, status: StatusCode) -> Reply {
    let head = Head {
        id,
        status,
        outcome: None,
        retry_after: None,
    };
    let body =
        serde_json::json!({"status": if status.is_success() { "good" } else { "not-ready" }});
    reply::json(&head, &body)
}

//! The callers' door: HTTP in the usual dialect.

mod auth;
mod chat;
mod error;
mod intake;
mod plain;
mod reply;
mod standing;

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
use self::error::DoorError;
use self::reply::Head;
use crate::control::drains;
use crate::node::Node;

/// How long a new router waits to meet an endpoint of each pool.
const MEET_MAX: Duration = Duration::from_secs(5);

/// The path prefix of plain requests and of questions about requests.
const REQUESTS: &str = "/v1/requests/";

/// Answers callers.
#[derive(Debug)]
pub(crate) struct Door {
    node: Arc<Node>,
}

impl Door {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    async fn answer(&self, request: Request) -> Reply {
        let mut reply = self.route(request).await;
        // Closed after its answer, a connection can't meet the close with the
        // next request half way, which its caller could not tell from a failure.
        if self.node.board.aside.is_set() {
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
            (&Method::POST, "/v1/chat/completions") => chat::answer(&self.node, id, request).await,
            (method, path) => match (method, path.strip_prefix(REQUESTS)) {
                (&Method::POST, Some(kind)) => plain::answer(&self.node, id, kind, request).await,
                (&Method::GET, Some(asked)) => standing::answer(&self.node, id, asked, &request),
                _ => Err(DoorError::NoPath {
                    path: path.to_owned(),
                }),
            },
        };
        result.unwrap_or_else(|error| {
            log::info!(target: "request", event = "request-refused", request = id.to_string().as_str(), error = error.to_string().as_str(); "");
            error.reply(id)
        })
    }

    /// Tells whether each pool has an endpoint that takes work.
    ///
    /// A balancer that came before would find a router that refuses all. A pool
    /// without any endpoint must not keep the router out for good, though.
    fn has_met(&self) -> bool {
        let now = self.node.clock.now();
        if now.since(Time::ZERO) > MEET_MAX {
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
        // The balancer stops sending callers here, and may start again when the
        // drain ends; what comes meanwhile is served.
        let drained = drains::covers_self(&fact.config, &self.node.settings);
        if board.aside.is_set() || drained || !fact.is_known() {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        if !board.met.is_set() && !self.has_met() {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        board.met.set();
        StatusCode::OK
    }
}

impl Handler for Door {
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        // An exchange is in flight until its answer was sent. A caller on a slow
        // line still reads after the request has ended, and a router that left
        // then would cut the answer off.
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
        retry: None,
    };
    let body =
        serde_json::json!({"status": if status.is_success() { "good" } else { "not-ready" }});
    reply::json(&head, &body)
}

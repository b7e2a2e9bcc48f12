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

use hyper::Method;
use hyper::StatusCode;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_runtime::http::Handler;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::Request;
use snipeyoke_runtime::http::full;
use snipeyoke_runtime::measures;
use uuid::Uuid;

pub(crate) use self::auth::bearer;
pub(crate) use self::auth::digest;
use self::error::DoorError;
use self::reply::Head;
use crate::control::drains;
use crate::node::Node;

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

    fn readiness(&self) -> StatusCode {
        let board = &self.node.board;
        let fact = board.config.get();
        // The balancer stops sending callers here, and may start again when the
        // drain ends; what comes meanwhile is served.
        let drained = drains::covers_self(&fact.config, &self.node.settings);
        if board.drain.is_set() || drained || !fact.is_known() {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        StatusCode::OK
    }
}

impl Handler for Door {
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(self.route(request))
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

//! Serves readiness to a load balancer.

use std::pin::Pin;
use std::sync::Arc;

use hyper::StatusCode;
use snipeyoke_runtime::http::Handler;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::Request;
use snipeyoke_runtime::http::empty;

use crate::shared::Shared;

/// Serves the load balancer's readiness probes.
pub(crate) struct Readiness(pub(crate) Arc<Shared>);

impl Handler for Readiness {
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        let known = request.uri().path() == self.0.dialect.ready_path();
        let status = match (known, self.0.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            (true, true) => StatusCode::OK,
        };
        let mut reply = Reply::new(empty());
        *reply.status_mut() = status;
        Box::pin(async { reply })
    }
}

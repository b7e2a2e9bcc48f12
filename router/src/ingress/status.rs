//! `GET /v1/requests/{id}`: the status of a request.

use hyper::StatusCode;
use serde_json::json;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::Request;

use super::error::IngressError;
use super::intake;
use super::reply;
use super::reply::Head;
use crate::node::Node;
use crate::outcomes::RequestStatus;

/// Handles a status query.
///
/// # Errors
///
/// Returns [`IngressError`] if the caller or the request is unknown.
pub(crate) fn handle(
    node: &Node,
    id: RequestId,
    requested: &str,
    request: &Request,
) -> Result<Reply, IngressError> {
    let _caller = intake::authenticate(node, id, request.headers())?;
    let not_found = || IngressError::NoRequest {
        id: requested.to_owned(),
    };
    let Ok(requested_id) = requested.parse::<RequestId>() else {
        return Err(not_found());
    };
    let status = node.outcomes.get(&requested_id).ok_or_else(not_found)?;
    let (state, outcome, reason) = match status {
        RequestStatus::Running => ("running", None, None),
        RequestStatus::Ended(outcome, reason) => ("ended", Some(outcome), reason),
    };
    let head = Head {
        id: requested_id,
        status: StatusCode::OK,
        outcome,
        retry_after: None,
    };
    let body = json!({
        "id": requested_id.to_string(),
        "state": state,
        "outcome": outcome.map(|o| o.to_string()),
        "reason": reason.map(|r| r.to_string()),
    });
    Ok(reply::json(&head, &body))
}

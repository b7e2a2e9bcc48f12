//! `GET /v1/requests/{id}`: how a request stands.

use hyper::StatusCode;
use serde_json::json;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::Request;

use super::error::DoorError;
use super::intake;
use super::reply;
use super::reply::Head;
use crate::node::Node;
use crate::outcomes::Standing;

/// Answers a question about a request.
///
/// # Errors
///
/// Returns [`DoorError`] if the caller or the request is not known here.
pub(crate) fn answer(
    node: &Node,
    id: RequestId,
    asked: &str,
    request: &Request,
) -> Result<Reply, DoorError> {
    let _caller = intake::admit(node, id, request.headers())?;
    let missing = || DoorError::NoRequest {
        id: asked.to_owned(),
    };
    let Ok(asked_id) = asked.parse::<RequestId>() else {
        return Err(missing());
    };
    let standing = node.outcomes.get(&asked_id).ok_or_else(missing)?;
    let (state, outcome, reason) = match standing {
        Standing::Running => ("running", None, None),
        Standing::Ended(outcome, reason) => ("ended", Some(outcome), reason),
    };
    let head = Head {
        id: asked_id,
        status: StatusCode::OK,
        outcome,
        retry: None,
    };
    let body = json!({
        "id": asked_id.to_string(),
        "state": state,
        "outcome": outcome.map(|o| o.to_string()),
        "reason": reason.map(|r| r.to_string()),
    });
    Ok(reply::json(&head, &body))
}

//! `POST /v1/requests/{kind}`: any JSON, for pipelines that end in a service.

use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use serde::de::IgnoredAny;
use serde_json::json;
use snipeyoke_lib::chain::Prompt;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::Request;
use snipeyoke_runtime::http::full;

use super::chat;
use super::error::DoorError;
use super::intake;
use super::reply;
use super::reply::Head;
use crate::drive::Finish;
use crate::drive::Up;
use crate::drive::Work;
use crate::node::Node;

/// The tokens that a generating stage of such a pipeline may use.
const MAX_TOKENS: u32 = 256;

/// Answers one plain request.
///
/// # Errors
///
/// Returns [`DoorError`] for a request that is refused before it is driven.
pub(crate) async fn answer(
    node: &Arc<Node>,
    id: RequestId,
    kind: &str,
    request: Request,
) -> Result<Reply, DoorError> {
    let intake = intake::admit(node, id, request.headers())?;
    let bound = intake.bind(kind)?;
    let headers = request.headers().clone();
    let bytes = intake::body(node, request).await?;
    let checked = serde_json::from_slice::<IgnoredAny>(&bytes);
    checked.map_err(|error| DoorError::BadBody {
        what: error.to_string(),
    })?;
    let once = intake.once(&bound.pipeline, &headers, &bytes)?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let messages = vec![json!({"role": "user", "content": text})];
    let work = Work::new(messages, text, bytes, MAX_TOKENS);
    let ticket = intake.start(node, bound, Prompt::default(), work, once, false);
    while let Ok(up) = ticket.up.recv().await {
        if let Up::Done(finish) = up {
            return Ok(finished(id, *finish));
        }
    }
    Ok(chat::lost(id))
}

fn finished(id: RequestId, finish: Finish) -> Reply {
    if finish.outcome != Outcome::Completed {
        let reason = finish.reason.unwrap_or(Reason::EndpointFailure);
        return chat::refusal(id, finish.outcome, reason, finish.retry);
    }
    let head = Head {
        id,
        status: StatusCode::OK,
        outcome: Some(Outcome::Completed),
        retry: None,
    };
    let text = json!({"text": finish.text}).to_string();
    let output = finish.output.unwrap_or_else(|| Bytes::from(text));
    reply::with_body(&head, "application/json", full(output))
}

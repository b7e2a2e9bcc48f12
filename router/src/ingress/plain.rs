//! `POST /v1/requests/{kind}`: any JSON, for pipelines that end in a plain service.

use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use serde::de::IgnoredAny;
use serde_json::json;
use snipeyoke_lib::chain::Prompt;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_runtime::http::HeldBody;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::Request;
use snipeyoke_runtime::http::full;

use super::chat;
use super::error::IngressError;
use super::intake;
use super::reply;
use super::reply::Head;
use crate::drive::DriverMessage;
use crate::drive::PipelineData;
use crate::drive::RequestResult;
use crate::node::Node;

/// The token limit of a generating stage in such a pipeline.
const MAX_TOKENS: u32 = 256;

/// Handles one plain request.
///
/// # Errors
///
/// Returns [`IngressError`] for a request that is refused before it is driven.
pub(crate) async fn handle(
    node: &Arc<Node>,
    id: RequestId,
    kind: &str,
    request: Request,
) -> Result<Reply, IngressError> {
    let authenticated = intake::authenticate(node, id, request.headers())?;
    let binding = authenticated.bind(kind)?;
    let headers = request.headers().clone();
    let HeldBody { bytes, memory } = intake::read_body(node, request).await?;
    let checked = serde_json::from_slice::<IgnoredAny>(&bytes);
    checked.map_err(|error| IngressError::BadBody {
        what: error.to_string(),
    })?;
    let key = authenticated.idempotency_key(&binding.pipeline, &headers, &bytes)?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let messages = vec![json!({"role": "user", "content": text})];
    let data = PipelineData::new(messages, text, bytes, MAX_TOKENS);
    let context = authenticated.start(node, binding, Prompt::default(), (data, memory), key, false);
    while let Ok(message) = context.messages.recv().await {
        if let DriverMessage::Done(result) = message {
            return Ok(final_reply(id, *result));
        }
    }
    Ok(chat::stopped_reply(id))
}

fn final_reply(id: RequestId, result: RequestResult) -> Reply {
    if result.outcome != Outcome::Completed {
        let reason = result.reason.unwrap_or(Reason::EndpointFailure);
        return chat::failure_reply(id, result.outcome, reason, result.retry_after);
    }
    let head = Head {
        id,
        status: StatusCode::OK,
        outcome: Some(Outcome::Completed),
        retry_after: None,
    };
    let text = json!({"text": result.text}).to_string();
    let output = result.output.unwrap_or_else(|| Bytes::from(text));
    reply::with_body(&head, "application/json", full(output))
}

//! `POST /v1/chat/completions`: JSON and streamed responses.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use snipeyoke_lib::chain::Prompt;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_lib::prefix;
use snipeyoke_lib::units::Tokens;
use snipeyoke_runtime::http::HeldBody;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::Request;
use snipeyoke_runtime::http::streamed;

use super::error;
use super::error::IngressError;
use super::intake;
use super::intake::PipelineBinding;
use super::intake::RequestContext;
use super::reply;
use super::reply::Head;
use crate::drive::DriverMessage;
use crate::drive::PipelineData;
use crate::drive::RequestResult;
use crate::node::Node;

/// The token limit of a request that sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The largest token limit that a request may set.
const MAX_TOKENS: u32 = 32_768;

/// The last event of a streamed response.
const DONE: &str = "data: [DONE]\n\n";

#[derive(Debug)]
#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<Value>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

/// Handles one chat request.
///
/// # Errors
///
/// Returns [`IngressError`] for a request that is refused before it is driven.
pub(crate) async fn handle(
    node: &Arc<Node>,
    id: RequestId,
    request: Request,
) -> Result<Reply, IngressError> {
    let authenticated = intake::authenticate(node, id, request.headers())?;
    let headers = request.headers().clone();
    let HeldBody { bytes, memory } = intake::read_body(node, request).await?;
    let chat: ChatBody = serde_json::from_slice(&bytes).map_err(|e| bad_body(&e))?;
    let binding = authenticated.bind(&chat.model)?;
    let key = authenticated.idempotency_key(&binding.pipeline, &headers, &bytes)?;
    let (prompt, data) = prepare(&chat, bytes, &binding)?;
    let model = chat.model;
    let context = authenticated.start(node, binding, prompt, (data, memory), key, chat.stream);
    if chat.stream {
        return Ok(stream_reply(id, model, context).await);
    }
    Ok(full_reply(id, &model, &context).await)
}

fn bad_body(error: &serde_json::Error) -> IngressError {
    IngressError::BadBody {
        what: error.to_string(),
    }
}

fn prepare(
    chat: &ChatBody,
    body: Bytes,
    binding: &PipelineBinding,
) -> Result<(Prompt, PipelineData), IngressError> {
    let texts = chat
        .messages
        .iter()
        .map(message_text)
        .collect::<Option<Vec<_>>>();
    let Some(texts) = texts.filter(|t| !t.is_empty()) else {
        let what = "`messages` needs at least one message, each with a role and text".to_owned();
        return Err(IngressError::BadBody { what });
    };
    let max = chat
        .max_completion_tokens
        .or(chat.max_tokens)
        .unwrap_or(DEFAULT_MAX_TOKENS);
    if max == 0 || max > MAX_TOKENS {
        let what = format!("`max_tokens` is {max}: give 1 to {MAX_TOKENS}");
        return Err(IngressError::BadBody { what });
    }
    let stages = &binding.pipeline.stages;
    let model = stages.iter().rev().find_map(|s| s.model.as_ref());
    let text = prefix::prompt_text(texts.iter().map(|(role, text)| (*role, text.as_str())));
    let prompt = Prompt {
        prefix: model.map_or_else(Vec::new, |m| prefix::block_hashes(m.as_str(), &text)),
        tokens: Tokens(prefix::token_count(&text)),
        max_output: Tokens(max),
    };
    let query = texts
        .last()
        .map(|(_role, text)| text.clone())
        .unwrap_or_default();
    let data = PipelineData::new(chat.messages.clone(), query, body, max);
    Ok((prompt, data))
}

/// Returns the role and text of a message; the text may be split into parts.
fn message_text(message: &Value) -> Option<(&str, String)> {
    let role = message.get("role")?.as_str()?;
    match message.get("content")? {
        Value::String(text) => Some((role, text.clone())),
        Value::Array(parts) => {
            let texts = parts.iter().map(|p| p.get("text")?.as_str());
            Some((role, texts.collect::<Option<Vec<_>>>()?.concat()))
        }
        _ => None,
    }
}

async fn full_reply(id: RequestId, model: &str, context: &RequestContext) -> Reply {
    while let Ok(message) = context.messages.recv().await {
        if let DriverMessage::Done(result) = message {
            return final_reply(id, model, &result);
        }
    }
    stopped_reply(id)
}

/// Builds the response for a driver that ended without a result, as on a stop.
pub(crate) fn stopped_reply(id: RequestId) -> Reply {
    failure_reply(id, Outcome::Unknown, Reason::Stopped, None)
}

fn final_reply(id: RequestId, model: &str, result: &RequestResult) -> Reply {
    if result.outcome != Outcome::Completed {
        let reason = result.reason.unwrap_or(Reason::EndpointFailure);
        return failure_reply(id, result.outcome, reason, result.retry_after);
    }
    let head = Head {
        id,
        status: StatusCode::OK,
        outcome: Some(Outcome::Completed),
        retry_after: None,
    };
    let body = json!({
        "id": id.to_string(),
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content(result)},
            "finish_reason": "stop",
        }],
        "usage": {
            "prompt_tokens": result.prompt_tokens,
            "completion_tokens": result.output_tokens,
            "total_tokens": result.prompt_tokens + result.output_tokens,
        },
    });
    reply::json(&head, &body)
}

/// Returns the text of the response: the service's output or the generated text.
fn content(result: &RequestResult) -> String {
    match &result.output {
        Some(output) => String::from_utf8_lossy(output).into_owned(),
        None => result.text.clone(),
    }
}

/// Builds the response of a request that did not complete.
pub(crate) fn failure_reply(
    id: RequestId,
    outcome: Outcome,
    reason: Reason,
    retry_after: Option<std::time::Duration>,
) -> Reply {
    let (status, message) = error::failure_message(outcome, reason);
    let head = Head {
        id,
        status,
        outcome: Some(outcome),
        retry_after,
    };
    let code = reason.to_string();
    reply::json(
        &head,
        &error::error_object("server_error", &message, Some(&code)),
    )
}

/// Streams the response, sending the head once the first message is there.
///
/// A request that fails before that still gets its own status code.
async fn stream_reply(id: RequestId, model: String, context: RequestContext) -> Reply {
    let first = context.messages.recv().await;
    match first {
        Ok(DriverMessage::Done(result)) if result.outcome != Outcome::Completed => {
            final_reply(id, &model, &result)
        }
        Ok(first) => {
            let RequestContext { messages, guard } = context;
            let all = stream::once(async { first }).chain(messages);
            let events = all.map(move |message| {
                // The stream owns the guard, so the driver is notified when the
                // connection drops the body of a disconnected caller.
                let _alive = &guard;
                stream_event(id, &model, message)
            });
            let head = Head {
                id,
                status: StatusCode::OK,
                outcome: None,
                retry_after: None,
            };
            reply::with_body(&head, "text/event-stream", streamed(events))
        }
        Err(_ended) => stopped_reply(id),
    }
}

fn stream_event(id: RequestId, model: &str, message: DriverMessage) -> Bytes {
    let text = match message {
        DriverMessage::Text(data) => {
            let text = String::from_utf8_lossy(&data);
            format!(
                "data: {}\n\n",
                chunk(id, model, &json!({"content": text}), None)
            )
        }
        DriverMessage::Done(result) => final_events(id, model, &result),
    };
    Bytes::from(text)
}

fn final_events(id: RequestId, model: &str, result: &RequestResult) -> String {
    let outcome = result.outcome;
    // Client libraries ignore comment lines.
    let note = format!(": x-snipeyoke-outcome: {outcome}\n\n");
    if outcome != Outcome::Completed {
        let reason = result.reason.unwrap_or(Reason::EndpointFailure);
        let (_status, message) = error::failure_message(outcome, reason);
        let code = reason.to_string();
        let body = error::error_object("server_error", &message, Some(&code));
        // `[DONE]` is left out so that clients detect the incomplete response.
        return format!("{note}data: {body}\n\n");
    }
    let rest = match &result.output {
        Some(output) => {
            let text = String::from_utf8_lossy(output);
            let delta = json!({"content": text});
            format!("data: {}\n\n", chunk(id, model, &delta, None))
        }
        None => String::new(),
    };
    let stop = chunk(id, model, &json!({}), Some("stop"));
    format!("{rest}data: {stop}\n\n{note}{DONE}")
}

fn chunk(id: RequestId, model: &str, delta: &Value, finish: Option<&str>) -> Value {
    json!({
        "id": id.to_string(),
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    })
}

//! Responses to callers.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_lib::outcome::Outcome;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::ReplyBody;
use snipeyoke_runtime::http::full;

/// The header with the request's id.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-snipeyoke-request-id");

/// The header with the request's outcome.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("x-snipeyoke-outcome");

/// The fields of the head of a response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Head {
    pub(crate) id: RequestId,
    pub(crate) status: StatusCode,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) retry_after: Option<Duration>,
}

/// Builds a response with a JSON body.
pub(crate) fn json(head: &Head, body: &serde_json::Value) -> Reply {
    with_body(head, "application/json", full(body.to_string()))
}

/// Builds a response with any body.
pub(crate) fn with_body(head: &Head, kind: &'static str, body: ReplyBody) -> Reply {
    let mut reply = Reply::new(body);
    *reply.status_mut() = head.status;
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    insert(headers, REQUEST_ID, &head.id.to_string());
    if let Some(outcome) = head.outcome {
        insert(headers, OUTCOME, &outcome.to_string());
    }
    if let Some(retry_after) = head.retry_after {
        // Rounded up to whole seconds: `Retry-After` allows no fractions.
        let seconds = retry_after.as_secs() + u64::from(retry_after.subsec_nanos() > 0);
        insert(headers, RETRY_AFTER, &seconds.to_string());
    }
    reply
}

fn insert(headers: &mut hyper::HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

//! HTTP client for the endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde::Deserialize;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::http::ClientError;
use snipeyoke_runtime::http::Response;
use snipeyoke_runtime::http::collect;
use snipeyoke_wire::Call;
use uuid::Uuid;

use crate::sse::EventDecoder;

/// The maximum size of a response, so that it fits in a frame.
const RESPONSE_MAX_BYTES: usize = 1 << 20;

/// The header by which an endpoint guarantees that it did not run a request.
const NOT_RUN_HEADER: &str = "x-not-run";

/// The data of the last event of a streamed response.
const DONE_EVENT: &[u8] = b"[DONE]";

/// The outcome of a call to the endpoint.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// The response is complete; `body` is empty if it was streamed.
    Completed {
        status: u16,
        body: Bytes,
        usage: TokenUsage,
    },
    /// The call did not run, as the endpoint guarantees or as it was never sent.
    NotRun {
        reason: Reason,
        retry_after: Option<Duration>,
    },
    /// The call may have run.
    Unknown { reason: Reason, status: u16 },
}

/// The token usage reported by an engine.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct TokenUsage {
    pub(crate) cached_tokens: u32,
    pub(crate) completion_tokens: u32,
    /// The time spent in the engine's queue, in microseconds.
    pub(crate) queue_us: u64,
}

/// A chunk of a streamed response.
#[derive(Debug)]
pub(crate) struct StreamChunk {
    pub(crate) index: u32,
    pub(crate) tokens: u32,
    pub(crate) text: String,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct EventBody {
    choices: Vec<EventChoice>,
    usage: Option<TokenUsage>,
    /// The index of the event's first token, if the engine reports it.
    token_index: Option<u32>,
    /// The number of tokens in the event, if the engine reports it.
    token_count: Option<u32>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct EventChoice {
    delta: Delta,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct Delta {
    content: Option<String>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct UsageBody {
    usage: TokenUsage,
}

/// A client for the endpoint of this agent.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    client: Client,
    address: SocketAddr,
}

impl Endpoint {
    pub(crate) fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Runs a call and passes the chunks of a streamed response to `deliver`.
    pub(crate) async fn run(&self, call: &Call, deliver: impl FnMut(StreamChunk)) -> CallOutcome {
        let result = self.client.send(self.address, request(call)).await;
        let (response, conn) = match result {
            Ok(sent) => sent,
            Err(error) => return send_failure(&error),
        };
        let status = response.status();
        if !status.is_success() {
            return error_response(&response);
        }
        if call.stream {
            return stream(response, call.resume_from, deliver).await;
        }
        match collect(response.into_body(), RESPONSE_MAX_BYTES).await {
            Ok(body) => {
                self.client.recycle(conn);
                let usage = serde_json::from_slice::<UsageBody>(&body)
                    .unwrap_or_default()
                    .usage;
                CallOutcome::Completed {
                    status: status.as_u16(),
                    body,
                    usage,
                }
            }
            Err(_broken) => CallOutcome::Unknown {
                reason: Reason::Connection,
                status: status.as_u16(),
            },
        }
    }

    /// Posts a small JSON document and returns the status, or `None` on failure.
    pub(crate) async fn post(&self, path: &str, body: &serde_json::Value) -> Option<StatusCode> {
        let request = hyper::Request::post(path)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(body.to_string()))
            .ok()?;
        let (response, conn) = self.client.send(self.address, request).await.ok()?;
        let status = response.status();
        if collect(response.into_body(), RESPONSE_MAX_BYTES)
            .await
            .is_ok()
        {
            self.client.recycle(conn);
        }
        Some(status)
    }

    /// Fetches a small JSON document, or `None` on failure.
    pub(crate) async fn get(&self, path: &str) -> Option<Bytes> {
        let request = hyper::Request::get(path).body(Full::default()).ok()?;
        let (response, conn) = self.client.send(self.address, request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = collect(response.into_body(), RESPONSE_MAX_BYTES)
            .await
            .ok()?;
        self.client.recycle(conn);
        Some(body)
    }
}

fn request(call: &Call) -> hyper::Request<Full<Bytes>> {
    let mut request = hyper::Request::new(Full::new(call.body.clone()));
    *request.method_mut() = hyper::Method::POST;
    // The path comes from the validated configuration; an invalid one would only
    // request "/" of the endpoint, which responds with 404.
    *request.uri_mut() = call.path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(id) = Uuid::from_slice(&call.request) {
        insert(headers, "x-request-id", &id.to_string());
    }
    insert(headers, "x-client-account", &call.account);
    insert(
        headers,
        "x-deadline-ms",
        &(call.left_us / 1_000).to_string(),
    );
    if let Some(once) = &call.once
        && let Ok(key) = Uuid::from_slice(&once.key)
    {
        insert(headers, "idempotency-key", &key.to_string());
    }
    request
}

fn insert(headers: &mut hyper::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn send_failure(error: &ClientError) -> CallOutcome {
    if error.is_not_sent() {
        return CallOutcome::NotRun {
            reason: Reason::Connection,
            retry_after: None,
        };
    }
    CallOutcome::Unknown {
        reason: Reason::Connection,
        status: 0,
    }
}

fn error_response(response: &Response) -> CallOutcome {
    let status = response.status();
    let proves_not_run = response.headers().contains_key(NOT_RUN_HEADER);
    if !proves_not_run {
        return CallOutcome::Unknown {
            reason: Reason::EndpointFailure,
            status: status.as_u16(),
        };
    }
    let busy = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    let reason = if busy.contains(&status) {
        Reason::Overload
    } else {
        Reason::EndpointFailure
    };
    let seconds = response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|v| v.to_str().ok());
    let retry_after = seconds
        .and_then(|s| s.parse::<f64>().ok())
        .and_then(|s| Duration::try_from_secs_f64(s).ok());
    CallOutcome::NotRun {
        reason,
        retry_after,
    }
}

async fn stream(
    response: Response,
    from: u32,
    mut deliver: impl FnMut(StreamChunk),
) -> CallOutcome {
    let mut body = response.into_body();
    let mut decoder = EventDecoder::default();
    let mut next_index = from;
    let mut usage = TokenUsage::default();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            break;
        };
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        decoder.push(bytes);
        while let Some(data) = decoder.next() {
            if data == DONE_EVENT {
                return CallOutcome::Completed {
                    status: 200,
                    body: Bytes::new(),
                    usage,
                };
            }
            let Ok(event) = serde_json::from_slice::<EventBody>(&data) else {
                return CallOutcome::Unknown {
                    reason: Reason::EndpointFailure,
                    status: 200,
                };
            };
            usage = event.usage.unwrap_or(usage);
            if let Some(chunk) = chunk_from(event, next_index) {
                next_index = chunk.index + chunk.tokens;
                deliver(chunk);
            }
        }
    }
    // Without its last event, the response is incomplete.
    CallOutcome::Unknown {
        reason: Reason::Connection,
        status: 200,
    }
}

fn chunk_from(event: EventBody, next_index: u32) -> Option<StreamChunk> {
    let index = event.token_index.unwrap_or(next_index);
    let tokens = event.token_count.unwrap_or(1);
    let text = event.choices.into_iter().next()?.delta.content?;
    if text.is_empty() {
        return None;
    }
    Some(StreamChunk {
        index,
        tokens,
        text,
    })
}

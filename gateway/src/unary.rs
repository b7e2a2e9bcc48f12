//! Requests with a single response.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::stream;
use hyper::StatusCode;
use snipeyoke_runtime::http::BodyAborted;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::ReplyBody;
use snipeyoke_runtime::http::abortable;
use snipeyoke_runtime::http::full;
use snipeyoke_runtime::http::next_slice;
use snipeyoke_runtime::http::sliced;

use crate::attempt::OpenResponse;
use crate::attempt::claims_not_run;
use crate::attempt::record_failure;
use crate::attempt::record_latency;
use crate::attempt::report_break;
use crate::attempt::report_broken_body;
use crate::refusal::Refusal;
use crate::request_context::RequestContext;
use crate::retry::Step;
use crate::retry::attempt_step;
use crate::retry::try_repeat;
use crate::stages::StageWork;
use snipeyoke_lib::serving::retry_after::other_node_retry_after;
use snipeyoke_lib::serving::retry_after::retry_after;

/// The maximum size of a response that is buffered before it is relayed, in
/// bytes.
///
/// A response that breaks off before this can be retried at another endpoint. A
/// longer one is relayed as it arrives, unless it is a failure: these may have no end.
const BUFFER_MAX: usize = 256 << 10;

/// The maximum size of a response that does not count in the memory for requests, in
/// bytes.
const UNCOUNTED_MAX: usize = 16 << 10;

/// What a response that is relayed as it arrives holds at most, in bytes: the read
/// buffer of the endpoint's connection and what waits to be written.
const RELAY_BYTES: usize = 96 << 10;

/// Serves a request with a single response.
pub(crate) async fn serve_unary(mut ctx: RequestContext, mut stages: Option<StageWork>) -> Reply {
    loop {
        let response = match attempt_step(&mut ctx, &mut stages, None).await {
            Step::Response(response) => response,
            Step::Retry => continue,
            Step::Refused(refusal) => return refuse(ctx, refusal),
        };
        let refusal = match read_response(&mut ctx, *response).await {
            ReadResult::Oversized(head, first, rest) => {
                return relay_oversized(ctx, head, first, rest);
            }
            ReadResult::Failed(_) if try_repeat(&ctx, "endpoint-failed") => continue,
            ReadResult::Complete(head, bytes) | ReadResult::Failed(Some((head, bytes))) => {
                let body = match ctx.memory.take() {
                    Some(memory) if bytes.len() > UNCOUNTED_MAX => sliced(bytes, memory),
                    _ => full(bytes),
                };
                return relay(ctx, head, body);
            }
            ReadResult::Failed(None) | ReadResult::NoMemory => Refusal::ResponseLost,
            ReadResult::Timeout => ctx.timeout_refusal(),
        };
        return refuse(ctx, refusal);
    }
}

/// Responds with a refusal that is true for all attempts so far.
pub(crate) fn refuse(mut ctx: RequestContext, refusal: Refusal) -> Reply {
    let claims_not_run = refusal.status() == StatusCode::SERVICE_UNAVAILABLE;
    // An earlier attempt may have run: "not run" would be false, and the caller
    // would run its approval twice.
    let refusal = if claims_not_run && ctx.may_have_run {
        Refusal::ResponseLost
    } else {
        refusal
    };
    ctx.set_outcome(refusal.status(), refusal.name());
    let wait = match refusal {
        Refusal::NotAdmitted => ctx.backlog,
        Refusal::ShuttingDown => other_node_retry_after(ctx.sample()),
        Refusal::Quarantined => {
            let remaining = ctx.quarantine_remaining().unwrap_or_default();
            remaining + retry_after(Duration::ZERO, Duration::ZERO, ctx.sample())
        }
        _ => retry_after(ctx.backlog, ctx.remaining(), ctx.sample()),
    };
    refusal.reply(wait)
}

/// The head of an endpoint's response.
pub(crate) type Head = (StatusCode, hyper::HeaderMap);

enum ReadResult {
    Complete(Head, Bytes),
    Oversized(Head, Bytes, Box<OpenResponse>),
    Failed(Option<(Head, Bytes)>),
    /// Other requests have the memory for the response.
    NoMemory,
    Timeout,
}

async fn read_response(ctx: &mut RequestContext, mut response: OpenResponse) -> ReadResult {
    let status = response.call.head.status;
    let headers = std::mem::take(&mut response.head.headers);
    let mut buffer = BytesMut::new();
    loop {
        match ctx.before_give_up(response.call.next()).await {
            None => return ReadResult::Timeout,
            Some(Ok(Some(bytes))) => buffer.extend_from_slice(&bytes),
            Some(Ok(None)) => {
                response.flight.settle();
                break;
            }
            Some(Err(error)) => {
                record_failure(ctx, &mut response.flight);
                report_broken_body(ctx, &mut response.flight, &error);
                return ReadResult::Failed(None);
            }
        }
        let needed = buffer.capacity() + RELAY_BYTES;
        let memory = ctx.memory.as_ref();
        if buffer.len() > UNCOUNTED_MAX && memory.is_some_and(|m| m.hold_response(needed).is_err())
        {
            log::info!(event = "response-without-memory", request = ctx.request.id.as_str(), bytes = buffer.len(); "");
            response.flight.settle();
            return ReadResult::NoMemory;
        }
        let is_whole_later = status.is_success() && response.head.signed;
        if buffer.len() > BUFFER_MAX && !is_whole_later {
            log::warn!(event = "answer-endless", request = ctx.request.id.as_str(), endpoint = response.flight.entry.id.to_string().as_str(), status = status.as_u16(), bytes = buffer.len(); "");
            response.flight.settle();
            record_failure(ctx, &mut response.flight);
            return ReadResult::Failed(None);
        }
        if buffer.len() > BUFFER_MAX {
            return ReadResult::Oversized((status, headers), buffer.freeze(), Box::new(response));
        }
    }
    ctx.timeline.first_output = Some(ctx.shared.now());
    if status.is_success() && response.head.signed {
        record_latency(ctx, &response.flight, response.sent);
        let keep_alive = response.head.keep_alive;
        ctx.shared
            .keep_connection(response.call, &response.flight.entry, keep_alive);
        return ReadResult::Complete((status, headers), buffer.freeze());
    }
    record_failure(ctx, &mut response.flight);
    let usable = !status.is_success() && !claims_not_run(status);
    ReadResult::Failed(usable.then(|| ((status, headers), buffer.freeze())))
}

pub(crate) fn relay(mut ctx: RequestContext, (status, headers): Head, body: ReplyBody) -> Reply {
    let outcome = if status.is_success() {
        "answered"
    } else {
        "endpoint-error"
    };
    ctx.set_outcome(status, outcome);
    reply(status, headers, body)
}

pub(crate) fn reply(status: StatusCode, headers: hyper::HeaderMap, body: ReplyBody) -> Reply {
    let mut reply = Reply::new(body);
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

fn relay_oversized(
    ctx: RequestContext,
    (status, headers): Head,
    first: Bytes,
    rest: Box<OpenResponse>,
) -> Reply {
    let state = (ctx, rest, first);
    let chunks = stream::unfold(Some(state), move |state| async move {
        let (mut ctx, mut rest, mut buffered) = state?;
        if let Some(memory) = &ctx.memory {
            memory.record_progress();
        }
        if !buffered.is_empty() {
            let slice = next_slice(&mut buffered);
            return Some((Ok(slice), Some((ctx, rest, buffered))));
        }
        match ctx.before_deadline(rest.call.next()).await {
            Some(Ok(Some(bytes))) => Some((Ok(bytes), Some((ctx, rest, Bytes::new())))),
            Some(Ok(None)) => {
                rest.flight.settle();
                ctx.set_outcome(status, "answered");
                None
            }
            broken @ (None | Some(Err(_))) => {
                if broken.is_some() {
                    report_break(&ctx, &mut rest.flight);
                }
                ctx.set_outcome(status, "cut");
                Some((Err(BodyAborted), None))
            }
        }
    });
    reply(status, headers, abortable(chunks))
}

//! Handling of a call from a router, up to the reply.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::link::LinkSender;
use snipeyoke_wire::Call;
use snipeyoke_wire::Chunk;
use snipeyoke_wire::End;
use snipeyoke_wire::Reply;
use snipeyoke_wire::frame::Body;

use crate::endpoint::CallOutcome;
use crate::endpoint::StreamChunk;
use crate::gate::Permit;
use crate::node::Node;
use crate::once;

/// Runs a call and sends its only reply.
pub(crate) async fn run(node: &Arc<Node>, link: &LinkSender, call: Call, cancel: Flag) {
    let started = node.clock.now();
    let number = call.call;
    let outcome = match node.gate.admit(&call) {
        Err(refusal) => CallOutcome::NotRun {
            reason: refusal.reason,
            retry_after: refusal.retry_after,
        },
        Ok(permit) => run_admitted(node, link, &call, cancel, permit).await,
    };
    let elapsed = node.clock.now().since(started);
    let mut reply = reply_from(number, outcome, elapsed);
    reply.load = Some(node.load());
    log::debug!(
        event = "call-ended", call = number, stage = call.stage.as_str(),
        end = reply.end, reason = reply.reason.as_str(), work_us = reply.work_us; ""
    );
    if link.send(Body::Reply(reply)).is_err() {
        log::debug!(event = "reply-lost", call = number; "");
    }
}

async fn run_admitted(
    node: &Arc<Node>,
    link: &LinkSender,
    call: &Call,
    cancel: Flag,
    permit: Permit,
) -> CallOutcome {
    if call.once.is_some() {
        // At the deadline only the wait ends: the effect runs on and keeps its permit.
        return once::run(node, call, permit)
            .or(deadline_passed(call))
            .await;
    }
    let number = call.call;
    let deliver = |chunk: StreamChunk| {
        let frame = Chunk {
            call: number,
            index: chunk.index,
            tokens: chunk.tokens,
            data: Bytes::from(chunk.text),
        };
        // A router that does not read its link can't use the result either.
        if link.send(Body::Chunk(frame)).is_err() {
            cancel.set();
        }
    };
    let call_endpoint = node.endpoint.run(call, deliver);
    let cancelled = async {
        cancel.wait().await;
        CallOutcome::Unknown {
            reason: Reason::CallerGone,
            status: 0,
        }
    };
    // Dropping `call_endpoint` closes its connection, which stops the endpoint.
    let outcome = call_endpoint.or(cancelled).or(deadline_passed(call)).await;
    drop(permit);
    outcome
}

async fn deadline_passed(call: &Call) -> CallOutcome {
    Timer::after(Duration::from_micros(call.left_us)).await;
    CallOutcome::Unknown {
        reason: Reason::Timeout,
        status: 0,
    }
}

pub(crate) fn reply_from(call: u64, outcome: CallOutcome, elapsed: Duration) -> Reply {
    let work_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    let base = Reply {
        call,
        work_us,
        ..Reply::default()
    };
    match outcome {
        CallOutcome::Completed {
            status,
            body,
            usage,
        } => Reply {
            end: End::Completed.into(),
            status: u32::from(status),
            body,
            queue_us: usage.queue_us,
            cached_tokens: usage.cached_tokens,
            output_tokens: usage.completion_tokens,
            ..base
        },
        CallOutcome::NotRun {
            reason,
            retry_after,
        } => Reply {
            end: End::NotRun.into(),
            reason: reason.to_string(),
            retry_after_ms: retry_after
                .map_or(0, |r| u32::try_from(r.as_millis()).unwrap_or(u32::MAX)),
            ..base
        },
        CallOutcome::Unknown { reason, status } => Reply {
            end: End::Unknown.into(),
            reason: reason.to_string(),
            status: u32::from(status),
            ..base
        },
    }
}

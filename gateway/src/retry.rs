//! Tries of a request, one after the other, as far as its kind and the budget
//! allow.

use crate::attempt::AttemptResult;
use crate::attempt::OpenResponse;
use crate::attempt::attempt;
use crate::refusal::Refusal;
use crate::request_context::RequestContext;
use crate::stages::StageWork;

/// What a try leads to.
pub(crate) enum Step {
    /// An endpoint answers.
    Response(Box<OpenResponse>),
    /// Another try is due, and paid for.
    Retry,
    /// There is nothing left to try.
    Refused(Refusal),
}

/// Does what is missing of the stages, then tries one endpoint.
pub(crate) async fn attempt_step(
    ctx: &mut RequestContext,
    stages: &mut Option<StageWork>,
    last_event: Option<u64>,
) -> Step {
    let inputs = match StageWork::inputs(stages.as_mut(), ctx).await {
        Ok(inputs) => inputs,
        Err(refusal) => return Step::Refused(refusal),
    };
    match attempt(ctx, &inputs, last_event).await {
        AttemptResult::Response(response) => Step::Response(response),
        AttemptResult::InputsGone => match stages.as_mut().map(StageWork::results_gone) {
            // The endpoint got the request: the next send is a repeat.
            Some(Ok(())) if try_retry(ctx, "inputs-gone") => Step::Retry,
            Some(_) | None => Step::Refused(Refusal::StageFailed),
        },
        AttemptResult::NoEndpoint => Step::Refused(Refusal::NoEndpoint),
        AttemptResult::Leaving => Step::Refused(Refusal::Leaving),
        AttemptResult::NotRun(Refusal::Quarantined) => Step::Refused(Refusal::Quarantined),
        AttemptResult::NotRun(_) if try_retry(ctx, "not-run") => Step::Retry,
        AttemptResult::Unknown(_) if try_repeat(ctx, "answer-lost") => Step::Retry,
        AttemptResult::NotRun(refusal) | AttemptResult::Unknown(refusal) => Step::Refused(refusal),
    }
}

/// Tells whether a request that may have run may be sent again, and pays for it.
pub(crate) fn try_repeat(ctx: &RequestContext, why: &str) -> bool {
    ctx.route.kind.may_repeat() && try_retry(ctx, why)
}

/// Tells whether a request may be sent again, and pays for it.
fn try_retry(ctx: &RequestContext, why: &str) -> bool {
    let allowed = ctx.try_spend_retry();
    if allowed {
        log::info!(event = "retry", request = ctx.request.id.as_str(), why, tries = ctx.attempted.len(), left_ms = ctx.remaining().as_millis() as u64; "");
    }
    allowed
}

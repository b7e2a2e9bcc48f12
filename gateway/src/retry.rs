//! Retries of a request, within the limits of its kind and the retry budget.

use crate::attempt::AttemptResult;
use crate::attempt::OpenResponse;
use crate::attempt::attempt;
use crate::refusal::Refusal;
use crate::request_context::RequestContext;
use crate::stages::StageWork;

/// The result of an attempt, including its stages.
pub(crate) enum Step {
    /// An endpoint responded.
    Response(Box<OpenResponse>),
    /// Another attempt is due, and its budget is spent.
    Retry,
    /// No further attempt is possible.
    Refused(Refusal),
}

/// Runs the missing stage work, then attempts the request at one endpoint.
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
            // The endpoint received the request, so the next send is a retry.
            Some(Ok(())) if try_retry(ctx, "inputs-gone") => Step::Retry,
            Some(_) | None => Step::Refused(Refusal::StageFailed),
        },
        AttemptResult::NotRun(_) if try_retry(ctx, "not-run") => Step::Retry,
        AttemptResult::Unknown(_) if try_repeat(ctx, "answer-lost") => Step::Retry,
        AttemptResult::NotRun(refusal)
        | AttemptResult::Unknown(refusal)
        | AttemptResult::Unserved(refusal) => Step::Refused(refusal),
    }
}

/// Returns whether a request that may have run may be retried, and spends the
/// budget for it.
pub(crate) fn try_repeat(ctx: &RequestContext, why: &str) -> bool {
    ctx.route.kind.is_retryable() && try_retry(ctx, why)
}

/// Returns whether a request may be retried, and spends the budget for it.
fn try_retry(ctx: &RequestContext, why: &str) -> bool {
    let allowed = ctx.try_spend_retry();
    if allowed {
        log::info!(event = "retry", request = ctx.request.id.as_str(), why, tries = ctx.attempted.len(), left_ms = ctx.remaining().as_millis() as u64; "");
    }
    allowed
}

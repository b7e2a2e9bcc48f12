//! Tries of a request, one after the other, as far as its kind and the budget
//! allow.

use crate::attempt::Answered;
use crate::attempt::Tried;
use crate::attempt::attempt;
use crate::refusal::Refusal;
use crate::stages::StageWork;
use crate::ticket::Ticket;

/// What a try leads to.
pub(crate) enum Step {
    /// An endpoint answers.
    Answered(Box<Answered>),
    /// Another try is due, and paid for.
    Again,
    /// There is nothing left to try.
    Refused(Refusal),
}

/// Does what is missing of the stages, then tries one endpoint.
pub(crate) async fn step(
    ticket: &mut Ticket,
    stages: &mut Option<StageWork>,
    last_event: Option<u64>,
) -> Step {
    let inputs = match StageWork::inputs(stages.as_mut(), ticket).await {
        Ok(inputs) => inputs,
        Err(refusal) => return Step::Refused(refusal),
    };
    match attempt(ticket, &inputs, last_event).await {
        Tried::Answered(answered) => Step::Answered(answered),
        Tried::InputsGone => match stages.as_mut().map(StageWork::results_gone) {
            // The endpoint got the request: the next send is a repeat.
            Some(Ok(())) if again(ticket, "inputs-gone") => Step::Again,
            Some(_) | None => Step::Refused(Refusal::StageFailed),
        },
        Tried::NoEndpoint => Step::Refused(Refusal::NoEndpoint),
        Tried::Leaving => Step::Refused(Refusal::Leaving),
        Tried::NotRun(Refusal::Quarantined) => Step::Refused(Refusal::Quarantined),
        Tried::NotRun(_) if again(ticket, "not-run") => Step::Again,
        Tried::Unknown(_) if may_repeat(ticket, "answer-lost") => Step::Again,
        Tried::NotRun(refusal) | Tried::Unknown(refusal) => Step::Refused(refusal),
    }
}

/// Tells whether a request that may have run may be sent again, and pays for it.
pub(crate) fn may_repeat(ticket: &Ticket, why: &str) -> bool {
    ticket.route.kind.is_retryable() && again(ticket, why)
}

/// Tells whether a request may be sent again, and pays for it.
fn again(ticket: &Ticket, why: &str) -> bool {
    let may = ticket.may_try_again();
    if may {
        log::info!(event = "retry", request = ticket.ask.id.as_str(), why, tries = ticket.tried.len(), left_ms = ticket.left().as_millis() as u64; "");
    }
    may
}

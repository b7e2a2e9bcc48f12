//! The callers of a simulated deployment.

use snipeyoke_lib::once::Answer;
use snipeyoke_lib::once::OnceKey;

/// The outcome of an attempt as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call completed with this answer.
    Completed(Answer),
    /// The call was not run, for this reason.
    NotRun(String),
    /// The call may have run.
    Unknown,
    /// The key was already used with another body.
    Conflict,
}

/// An idempotency key with the outcomes of its attempts and its effects.
#[derive(Debug, Clone)]
pub(super) struct Caller {
    pub(super) key: OnceKey,
    pub(super) attempts: Vec<Option<CallOutcome>>,
    pub(super) effects: u32,
}

impl Caller {
    /// Returns the guarantee that was violated for this caller, if any.
    pub(super) fn violation(&self) -> Option<String> {
        if self.effects > 1 {
            return Some(format!("{} effects", self.effects));
        }
        let refused = |t: &Option<CallOutcome>| matches!(t, Some(CallOutcome::NotRun(_)));
        if self.effects > 0 && self.attempts.iter().all(refused) {
            return Some("ran, and every attempt was reported as not run".to_owned());
        }
        let completed = |t: &Option<CallOutcome>| matches!(t, Some(CallOutcome::Completed(_)));
        if self.effects == 0 && self.attempts.iter().any(completed) {
            return Some("completed without an effect".to_owned());
        }
        None
    }
}

//! The callers' side of a simulated deployment.

use snipeyoke_lib::once::Answer;
use snipeyoke_lib::once::OnceKey;

/// What a caller was told about one try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The answer.
    Completed(Answer),
    /// Not run, and why.
    NotRun(String),
    /// It may have run.
    Unknown,
    /// The key was used with another body.
    Conflict,
}

/// One key, with what its caller was told and what took effect.
#[derive(Debug, Clone)]
pub(super) struct Caller {
    pub(super) key: OnceKey,
    pub(super) attempts: Vec<Option<CallOutcome>>,
    pub(super) effects: u32,
}

impl Caller {
    /// Returns the promise that was broken to this caller, if one was.
    pub(super) fn violation(&self) -> Option<String> {
        if self.effects > 1 {
            return Some(format!("{} effects", self.effects));
        }
        let refused = |t: &Option<CallOutcome>| matches!(t, Some(CallOutcome::NotRun(_)));
        if self.effects > 0 && self.attempts.iter().all(refused) {
            return Some("ran, and every try was told that it did not".to_owned());
        }
        let completed = |t: &Option<CallOutcome>| matches!(t, Some(CallOutcome::Completed(_)));
        if self.effects == 0 && self.attempts.iter().any(completed) {
            return Some("answered without an effect".to_owned());
        }
        None
    }
}

//! What is recorded of one request.

use std::time::Duration;

use crate::ids::AttemptId;
use crate::ids::ClientAccount;
use crate::ids::EndpointId;
use crate::ids::PipelineName;
use crate::ids::RequestId;
use crate::ids::RequestKind;
use crate::ids::StageName;
use crate::outcome::AttemptEnd;
use crate::outcome::Outcome;
use crate::outcome::Reason;
use crate::time::Time;
use crate::units::Cost;

/// The most attempts recorded of one request; later ones are only counted.
///
/// A pipeline has at most eight stages, and budgets keep retries rare, so only
/// a fault in the retry logic itself could pass this.
pub const ATTEMPTS_MAX: usize = 48;

/// A request as it was accepted or refused at the door.
#[derive(Debug, Clone, PartialEq)]
pub struct Accepted {
    /// The request.
    pub id: RequestId,
    /// The client account that sent it.
    pub account: ClientAccount,
    /// The kind that the caller asked for.
    pub kind: RequestKind,
    /// The pipeline that serves it.
    pub pipeline: PipelineName,
    /// The time that it may take.
    pub deadline: Duration,
    /// The time that admission expected it to take, if it said.
    pub predicted: Option<Duration>,
}

/// One endpoint that was weighed for an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The time until completion that was expected there.
    pub predicted: Duration,
    /// The cost that was expected there, where the policy weighs it.
    pub cost: Option<Cost>,
}

/// Where an attempt was sent, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The stage.
    pub stage: StageName,
    /// The attempt.
    pub attempt: AttemptId,
    /// The endpoint chosen.
    pub chosen: Choice,
    /// The best alternatives, at most two are kept.
    pub others: Vec<Choice>,
    /// Whether the attempt runs beside another of the same stage.
    pub hedge: bool,
    /// The ground for the choice, in a word or two.
    pub why: String,
}

/// One attempt with its decision and end.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// Why and where it was sent.
    pub decision: Decision,
    /// When it was sent.
    pub sent: Time,
    /// When and how it ended, once it has.
    pub end: Option<(Time, AttemptEnd)>,
}

impl Attempt {
    /// Returns how long the attempt took, or has taken so far.
    #[must_use]
    pub fn elapsed(&self, now: Time) -> Duration {
        let until = self.end.as_ref().map_or(now, |(at, _)| *at);
        until.since(self.sent)
    }
}

/// The end of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Finish {
    /// When the final answer was given.
    pub at: Time,
    /// The one outcome.
    pub outcome: Outcome,
    /// Why it was refused or failed.
    pub reason: Option<Reason>,
}

/// All that is recorded of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The request as it came.
    pub accepted: Accepted,
    /// When it came.
    pub at: Time,
    /// The attempts, in the order of their decisions.
    pub attempts: Vec<Attempt>,
    /// The attempts that were not recorded, being over [`ATTEMPTS_MAX`].
    pub unrecorded: u32,
    /// How it ended, once it has.
    pub finish: Option<Finish>,
}

impl Request {
    /// Tells whether the request has no outcome yet.
    #[must_use]
    pub const fn is_running(&self) -> bool {
        self.finish.is_none()
    }

    /// Tells whether the request was answered "not run".
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.finish.is_some_and(|f| f.outcome == Outcome::NotRun)
    }

    /// Tells whether the request has outlived its deadline.
    #[must_use]
    pub fn is_late(&self, now: Time) -> bool {
        self.elapsed(now) > self.accepted.deadline
    }

    /// Returns how long the request took, or has taken so far.
    #[must_use]
    pub fn elapsed(&self, now: Time) -> Duration {
        self.end_or(now).since(self.at)
    }

    /// Returns the stage of the latest attempt.
    #[must_use]
    pub fn stage(&self) -> Option<&StageName> {
        self.attempts.last().map(|a| &a.decision.stage)
    }

    /// Returns the endpoint of the latest attempt.
    #[must_use]
    pub fn endpoint(&self) -> Option<&EndpointId> {
        self.attempts.last().map(|a| &a.decision.chosen.endpoint)
    }

    /// Returns the request's end, or the present while it runs.
    ///
    /// An attempt that had no end by then was given up with the request.
    #[must_use]
    pub fn end_or(&self, now: Time) -> Time {
        self.finish.map_or(now, |f| f.at)
    }

    /// Returns the attempt whose end was the latest beyond its prediction.
    #[must_use]
    pub fn most_delayed(&self, now: Time) -> Option<&Attempt> {
        let now = self.end_or(now);
        let delay = |a: &&Attempt| {
            let predicted = a.decision.chosen.predicted;
            a.elapsed(now).saturating_sub(predicted)
        };
        self.attempts.iter().max_by_key(delay)
    }
}

//! The journal's record of one request.

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

/// The maximum number of attempts recorded per request; later ones are only counted.
///
/// A pipeline has at most 8 stages, and budgets keep retries rare, so only a
/// fault in the retry logic itself could exceed this.
pub const ATTEMPTS_MAX: usize = 48;

/// A request as accepted or refused at the ingress.
#[derive(Debug, Clone, PartialEq)]
pub struct Accepted {
    /// The request.
    pub id: RequestId,
    /// The client account that sent it.
    pub account: ClientAccount,
    /// The request kind.
    pub kind: RequestKind,
    /// The pipeline that serves it.
    pub pipeline: PipelineName,
    /// The time from acceptance to the deadline.
    pub deadline: Duration,
    /// The duration predicted by admission, if known.
    pub predicted: Option<Duration>,
}

/// An endpoint considered for an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The predicted time to completion.
    pub predicted: Duration,
    /// The predicted cost, if the policy weighs it.
    pub cost: Option<Cost>,
}

/// The routing decision of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The stage.
    pub stage: StageName,
    /// The attempt.
    pub attempt: AttemptId,
    /// The chosen endpoint.
    pub chosen: Choice,
    /// The best alternatives; at most 2 are kept.
    pub others: Vec<Choice>,
    /// Whether another attempt of the same stage was already running.
    pub hedge: bool,
    /// The reason for the choice, in a word or two.
    pub why: String,
}

/// An attempt with its decision and end.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// The routing decision.
    pub decision: Decision,
    /// When it was sent.
    pub sent: Time,
    /// The time and kind of its end, once it has ended.
    pub end: Option<(Time, AttemptEnd)>,
}

impl Attempt {
    /// Returns the duration of the attempt, up to `now` while it runs.
    #[must_use]
    pub fn elapsed(&self, now: Time) -> Duration {
        let until = self.end.as_ref().map_or(now, |(at, _)| *at);
        until.since(self.sent)
    }
}

/// The end of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Finish {
    /// The time of the final response.
    pub at: Time,
    /// The final outcome.
    pub outcome: Outcome,
    /// The reason for a refusal or failure.
    pub reason: Option<Reason>,
}

/// The journal's record of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The request as accepted or refused.
    pub accepted: Accepted,
    /// The time of arrival.
    pub at: Time,
    /// The attempts, in the order of their decisions.
    pub attempts: Vec<Attempt>,
    /// The number of attempts not recorded, beyond [`ATTEMPTS_MAX`] or for lack of room.
    pub unrecorded: u32,
    /// The end, once the request has finished.
    pub finish: Option<Finish>,
}

impl Request {
    /// Returns whether the request has no outcome yet.
    #[must_use]
    pub const fn is_running(&self) -> bool {
        self.finish.is_none()
    }

    /// Returns whether the request was answered "not run".
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.finish.is_some_and(|f| f.outcome == Outcome::NotRun)
    }

    /// Returns whether the request has exceeded its deadline.
    #[must_use]
    pub fn is_late(&self, now: Time) -> bool {
        self.elapsed(now) > self.accepted.deadline
    }

    /// Returns the duration of the request, up to `now` while it runs.
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

    /// Returns the time of the request's end, or `now` while it runs.
    ///
    /// An attempt without an end by then was abandoned with the request.
    #[must_use]
    pub fn end_or(&self, now: Time) -> Time {
        self.finish.map_or(now, |f| f.at)
    }

    /// Returns the attempt that exceeded its predicted duration the most.
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

//! What an endpoint says of itself in its responses: its load, the rate that it
//! accepts, the rest that it asks for, and that it leaves.
//!
//! All of it holds for one run of the endpoint, whatever its registration says. A
//! rest binds the node that was asked for it and no other one: an endpoint
//! that is short of something turns away each node by itself. Leaving binds all.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use super::directory::LoadReport;
use super::endpoint_speed::ContentionError;
use super::endpoint_speed::ContentionNotice;
use super::endpoint_speed::EndpointSpeed;
use super::rate_limit::NewsSource;
use super::rate_limit::RateChange;
use super::rate_limit::RateNotice;
use super::rate_limit::RateState;
use crate::time::Time;

/// The longest rest that is kept.
///
/// A mistaken value must not take an endpoint away for a day. After an hour one
/// more response says whether the rest goes on.
pub const REST_MAX: Duration = Duration::from_hours(1);

/// Why a rest that an endpoint asks for is not usable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum RestError {
    /// It is not a number.
    #[display("the rest is not a number: send decimal seconds")]
    NotANumber,
    /// It is infinite or undefined.
    #[display("the rest is not finite: send decimal seconds, an hour at most")]
    NotFinite,
    /// It is negative.
    #[display("the rest is negative: leave it out to ask for none")]
    Negative,
    /// It is sent more than once.
    #[display("the rest is sent more than once: send it once in a response")]
    Repeated,
}

/// How long an endpoint wants nothing from a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
#[display("{:.3}", _0.as_secs_f64())]
pub struct RestTime(Duration);

impl TryFrom<f64> for RestTime {
    type Error = RestError;

    fn try_from(seconds: f64) -> Result<Self, RestError> {
        if !seconds.is_finite() {
            return Err(RestError::NotFinite);
        }
        if seconds < 0.0 {
            return Err(RestError::Negative);
        }
        let longest = REST_MAX.as_secs_f64();
        Ok(Self(Duration::from_secs_f64(seconds.min(longest))))
    }
}

impl std::str::FromStr for RestTime {
    type Err = RestError;

    fn from_str(text: &str) -> Result<Self, RestError> {
        let seconds: Result<f64, _> = text.trim().parse();
        Self::try_from(seconds.map_err(|_malformed| RestError::NotANumber)?)
    }
}

impl From<RestTime> for Duration {
    fn from(rest: RestTime) -> Self {
        rest.0
    }
}

/// What a response says about a rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RestNotice {
    /// It asks for none.
    #[default]
    None,
    /// It asks for one.
    Asked(RestTime),
    /// It asks for one that is not usable: what was known stays.
    Malformed(RestError),
}

/// Why a response does not tell whether its endpoint leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the value is neither 0 nor 1: send 1 if the endpoint leaves")]
pub struct LeaveError;

/// What a response says about leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LeaveNotice {
    /// It says nothing.
    #[default]
    None,
    /// The endpoint leaves.
    Leaving,
    /// The value is not usable: what was known stays.
    Malformed(LeaveError),
}

/// What a response says of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SelfReport {
    /// Its load.
    pub load: Option<LoadReport>,
    /// The rate that it accepts; `None` if the response is no evidence either way.
    pub rate: Option<RateNotice>,
    /// The rest that it asks for.
    pub rest: RestNotice,
    /// Whether it leaves.
    pub leave: LeaveNotice,
    /// The service time on its host.
    pub contention: ContentionNotice,
}

impl SelfReport {
    /// Returns whether it says something that must hold even if the endpoint has no
    /// registration now.
    pub(super) fn is_binding(&self) -> bool {
        matches!(self.rest, RestNotice::Asked(_)) || self.leave == LeaveNotice::Leaving
    }
}

/// The news that an endpoint leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leave {
    /// When it said so, by the clock of this node.
    pub said_at: Time,
    /// Where this node learned of it.
    pub source: NewsSource,
}

/// A change of what is known from an endpoint's responses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ReportChange {
    /// Of the rate that it accepts.
    Rate(RateChange),
    /// It asks for a rest, or for a longer one.
    Rests {
        /// The rest that it asked for.
        rest: RestTime,
        /// When the rest ends.
        until: Time,
    },
    /// It asks for a rest that is not usable, and did not before.
    RestRefused(RestError),
    /// It leaves.
    Leaves(Leave),
    /// It sent an unusable value about leaving, and did not before.
    LeaveRefused(LeaveError),
    /// It sent an unusable service time, and did not before.
    ContentionRefused(ContentionError),
}

/// What a node knows from the responses of one run of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportedState {
    /// The calls of other nodes when the load was last reported.
    pub(super) other_calls: u32,
    pub(super) reported_at: Time,
    pub(super) rate: RateState,
    rest_until: Time,
    rest_refused: Option<RestError>,
    leave: Option<Leave>,
    leave_refused: Option<LeaveError>,
    pub(super) speed: EndpointSpeed,
}

impl ReportedState {
    /// Handles a response to a request that was sent at `sent`; `own_calls` is the
    /// number of this node's calls at the endpoint.
    pub(super) fn on_response(
        &mut self,
        now: Time,
        (sent, own_calls): (Time, u32),
        report: &SelfReport,
    ) -> Vec<ReportChange> {
        if let Some(load) = report.load {
            self.on_load(now, own_calls, load);
        }
        let rate = report.rate;
        let rate = rate.and_then(|notice| self.rate.on_response(now, sent, notice));
        let rate = rate.map(ReportChange::Rate);
        let speed = self
            .speed
            .on_notice(now, (report.contention, Duration::ZERO));
        let changes = [
            rate,
            self.on_rest(now, report.rest),
            self.on_leave(now, report.leave),
            speed.map(ReportChange::ContentionRefused),
        ];
        changes.into_iter().flatten().collect()
    }

    /// Handles a reported load, which includes the calls of this node.
    pub(super) fn on_load(&mut self, now: Time, own_calls: u32, load: LoadReport) {
        self.other_calls = load.calls.saturating_sub(own_calls);
        self.reported_at = now;
    }

    fn on_rest(&mut self, now: Time, notice: RestNotice) -> Option<ReportChange> {
        match notice {
            RestNotice::None => None,
            RestNotice::Malformed(error) => {
                let previous = self.rest_refused.replace(error);
                (previous != Some(error)).then_some(ReportChange::RestRefused(error))
            }
            RestNotice::Asked(rest) => {
                self.rest_refused = None;
                let until = now + rest.into();
                // Of rests that overlap, the one that ends last holds.
                if until <= self.rest_until.max(now) {
                    return None;
                }
                self.rest_until = until;
                Some(ReportChange::Rests { rest, until })
            }
        }
    }

    fn on_leave(&mut self, now: Time, notice: LeaveNotice) -> Option<ReportChange> {
        match notice {
            LeaveNotice::None => None,
            LeaveNotice::Malformed(error) => {
                let previous = self.leave_refused.replace(error);
                previous
                    .is_none()
                    .then_some(ReportChange::LeaveRefused(error))
            }
            LeaveNotice::Leaving => self.set_leave(now, NewsSource::Response),
        }
    }

    /// Handles the news of another node, `age` ago, that the endpoint leaves.
    pub(super) fn on_leave_news(
        &mut self,
        now: Time,
        age: Duration,
        source: SocketAddr,
    ) -> Option<ReportChange> {
        self.set_leave(now - age, NewsSource::Node(source))
    }

    fn set_leave(&mut self, said_at: Time, source: NewsSource) -> Option<ReportChange> {
        if self.leave.is_some() {
            return None;
        }
        let leave = Leave { said_at, source };
        self.leave = Some(leave);
        Some(ReportChange::Leaves(leave))
    }

    /// Returns when the rest that it asked this node for ends.
    #[must_use]
    pub const fn rest_until(&self) -> Time {
        self.rest_until
    }

    /// Returns the news that it leaves, if there is one.
    #[must_use]
    pub const fn leave(&self) -> Option<&Leave> {
        self.leave.as_ref()
    }

    /// Returns whether it has to be remembered although the endpoint has no
    /// registration.
    pub(super) fn is_binding(&self, now: Time) -> bool {
        let is_bound = self.rate.limit().is_some() || self.leave.is_some();
        is_bound || self.speed.is_in_use() || now < self.rest_until
    }
}

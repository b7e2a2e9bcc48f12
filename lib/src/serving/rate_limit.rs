//! Request rates that endpoints name in their responses, kept by all nodes
//! together.
//!
//! An endpoint in need names the requests per second that it accepts from all
//! nodes. Every request to it is granted by one node, the first live one of a
//! ranking of all known nodes. The second one takes its place and grants no more
//! than the bound leaves, because the first one may be alive unnoticed. No other
//! node grants any.
//!
//! A limit ends only with evidence: a response without a rate to a request that
//! was sent after the rate was last named.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use super::cold_start::AdmitterRank;
use crate::time::Time;
use crate::units::RequestRate;

/// The window of the bound on the requests to an endpoint that names a rate.
const WINDOW: Duration = Duration::from_secs(4);

/// The factor of the bound on the named rate.
const EXCESS: f64 = 1.5;

/// The requests per [`WINDOW`] that the bound allows beyond that.
const SLACK: f64 = 5.0;

/// The maximum time from a grant to the arrival of its request.
///
/// Covers the reply of the granting node and the connect time-out.
const SEND_SPREAD: Duration = Duration::from_millis(500);

/// The requests that a granting node saves up while none are needed.
const BURST: f64 = 2.0;

/// The lowest rate at which requests are granted, per second.
///
/// An endpoint that accepts nothing gets a request now and then: only its
/// response shows that it accepts more again.
const GRANTED_MIN: f64 = 0.25;

/// The highest rate at which requests are granted, per second.
///
/// No endpoint gets that many; higher rates would exceed the precision of the
/// clock.
const GRANTED_MAX: f64 = 1e6;

/// How long other nodes are told of a rate after it was named.
pub const NEWS_LIFETIME: Duration = Duration::from_secs(10);

/// The shortest time for which a node asks for no grant after a refusal.
const REFUSAL_PAUSE_MIN: Duration = Duration::from_millis(20);

/// The longest time for which a node asks for no grant after a refusal.
const REFUSAL_PAUSE_MAX: Duration = Duration::from_secs(1);

/// Why a rate that an endpoint names is not usable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum RateError {
    /// It is not a number.
    #[display("the rate is not a number: name one decimal number of requests per second")]
    NotANumber,
    /// It is infinite or undefined.
    #[display("the rate is not finite: leave it out if there is no limit")]
    NotFinite,
    /// It is negative.
    #[display("the rate is negative: name 0 to accept no requests")]
    Negative,
    /// It is named more than once.
    #[display("the rate is named more than once: name it once in a response")]
    Repeated,
}

/// A request rate that an endpoint accepts from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Display)]
pub struct NamedRate(RequestRate);

impl TryFrom<f64> for NamedRate {
    type Error = RateError;

    fn try_from(rate: f64) -> Result<Self, RateError> {
        if !rate.is_finite() {
            Err(RateError::NotFinite)
        } else if rate < 0.0 {
            Err(RateError::Negative)
        } else {
            Ok(Self(RequestRate(rate)))
        }
    }
}

impl std::str::FromStr for NamedRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let rate: f64 = text
            .trim()
            .parse()
            .map_err(|_malformed| RateError::NotANumber)?;
        Self::try_from(rate)
    }
}

impl From<NamedRate> for RequestRate {
    fn from(rate: NamedRate) -> Self {
        rate.0
    }
}

impl NamedRate {
    /// Returns the requests per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0.0
    }

    /// Returns how long a node asks for no grant after it was refused one.
    #[must_use]
    pub fn refusal_pause(self) -> Duration {
        interval(self.0).clamp(REFUSAL_PAUSE_MIN, REFUSAL_PAUSE_MAX)
    }

    /// Returns the part of the rate that a node grants.
    ///
    /// `uses` is the number of places that grant requests for themselves: two
    /// for a service that gets both batch calls and requests.
    #[must_use]
    pub fn share(self, rank: Option<AdmitterRank>, uses: u32) -> Share {
        let first = granted(self.0);
        let window = (WINDOW + SEND_SPREAD).as_secs_f64();
        let bound = EXCESS * self.per_second() * WINDOW.as_secs_f64() + SLACK;
        let second = (bound - first * window - 2.0 * BURST) / window;
        let rate = match rank {
            Some(AdmitterRank::First) => first,
            Some(AdmitterRank::Second) => second.clamp(0.0, first),
            None => 0.0,
        };
        let uses = f64::from(uses.max(1));
        Share {
            rate: rate / uses,
            burst: BURST / uses,
        }
    }
}

/// Returns the mean time between two grants at a rate.
#[must_use]
pub fn interval(rate: RequestRate) -> Duration {
    Duration::from_secs_f64(1.0 / granted(rate))
}

/// Returns the requests per second that are granted at a rate.
fn granted(rate: RequestRate) -> f64 {
    rate.0.clamp(GRANTED_MIN, GRANTED_MAX)
}

/// The requests that one node may grant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// The requests per second.
    rate: f64,
    /// The most requests that are saved up.
    burst: f64,
}

impl Share {
    /// Returns the requests per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.rate
    }
}

/// The grants that a node has left for one endpoint: a token bucket.
///
/// It starts empty, so that a node that starts again grants nothing twice.
#[derive(Debug, Clone, Copy)]
pub struct Quota {
    share: Share,
    level: f64,
    filled_at: Time,
}

impl Quota {
    /// Creates an empty quota.
    #[must_use]
    pub const fn new(now: Time, share: Share) -> Self {
        Self {
            share,
            level: 0.0,
            filled_at: now,
        }
    }

    /// Sets the share from now on.
    pub fn set_share(&mut self, now: Time, share: Share) {
        self.level = self.level_at(now).min(share.burst);
        self.filled_at = now;
        self.share = share;
    }

    /// Returns the share.
    #[must_use]
    pub const fn share(&self) -> Share {
        self.share
    }

    /// Returns when the next request may be granted; `now` if it may be already.
    #[must_use]
    pub fn next_grant(&self, now: Time) -> Time {
        let missing = 1.0 - self.level_at(now);
        if missing <= 0.0 {
            return now;
        }
        let wait = Duration::try_from_secs_f64(missing / self.share.rate);
        // Rounded up: a timer that expires too early would expire again and again.
        wait.map_or(Time::NEVER, |w| now + w + Duration::from_micros(1))
    }

    /// Grants a request and returns whether there was one left.
    pub fn try_grant(&mut self, now: Time) -> bool {
        if self.next_grant(now) > now {
            return false;
        }
        self.level = self.level_at(now) - 1.0;
        self.filled_at = now;
        true
    }

    fn level_at(&self, now: Time) -> f64 {
        let gained = self.share.rate * now.since(self.filled_at).as_secs_f64();
        (self.level + gained).min(self.share.burst)
    }
}

/// What a response says about the rate that its endpoint accepts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateNotice {
    /// It names no rate.
    Unlimited,
    /// It names a rate.
    Limited(NamedRate),
    /// It names a rate that is not usable: what was known stays.
    Malformed(RateError),
}

/// Where a node learned what an endpoint says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NewsSource {
    /// From a response of the endpoint.
    #[display("response")]
    Response,
    /// From another node.
    #[display("{_0}")]
    Node(SocketAddr),
}

/// The rate that an endpoint accepts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// The rate.
    pub rate: NamedRate,
    /// When it was last named, by the clock of this node.
    pub named_at: Time,
    /// Where this node last learned of it.
    pub source: NewsSource,
    /// The requests that went elsewhere or were refused because of it.
    pub held_back: u64,
    /// Until when this node asks for no grant.
    pub paused_until: Time,
}

/// A change of the rate that an endpoint accepts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateChange {
    /// It names a rate, or another one than before.
    Named {
        /// The rate.
        limit: RateLimit,
        /// The rate before, if any.
        previous: Option<NamedRate>,
    },
    /// It names none any more.
    Ended(RateLimit),
    /// It names one that is not usable, and did not before.
    Refused(RateError),
}

/// What a node knows of the rate that one endpoint accepts.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateState {
    limit: Option<RateLimit>,
    /// When the last request was sent whose response named no rate.
    unlimited_at: Option<Time>,
    /// Why the last value that it named was not usable.
    refused: Option<RateError>,
}

impl RateState {
    /// Returns the limit, if there is one.
    #[must_use]
    pub const fn limit(&self) -> Option<&RateLimit> {
        self.limit.as_ref()
    }

    /// Returns the limit for an update.
    pub const fn limit_mut(&mut self) -> Option<&mut RateLimit> {
        self.limit.as_mut()
    }

    /// Handles a response to a request that was sent at `sent`.
    pub fn on_response(&mut self, now: Time, sent: Time, notice: RateNotice) -> Option<RateChange> {
        let refused = match notice {
            RateNotice::Malformed(error) => Some(error),
            RateNotice::Limited(_) | RateNotice::Unlimited => None,
        };
        let previous = std::mem::replace(&mut self.refused, refused);
        match notice {
            RateNotice::Malformed(error) => {
                (previous != refused).then_some(RateChange::Refused(error))
            }
            RateNotice::Limited(rate) => self.set(rate, now, NewsSource::Response),
            RateNotice::Unlimited => {
                // The response may have been written before the endpoint named its rate.
                if self.limit.is_some_and(|l| sent < l.named_at) {
                    return None;
                }
                self.unlimited_at = self.unlimited_at.max(Some(sent));
                self.limit.take().map(RateChange::Ended)
            }
        }
    }

    /// Handles a rate that another node heard `age` ago.
    pub fn on_news(
        &mut self,
        now: Time,
        (rate, age): (NamedRate, Duration),
        source: SocketAddr,
    ) -> Option<RateChange> {
        let named_at = now - age;
        let is_newer = self.limit.is_none_or(|l| named_at > l.named_at)
            && self.unlimited_at.is_none_or(|at| named_at > at);
        if !is_newer {
            return None;
        }
        self.set(rate, named_at, NewsSource::Node(source))
    }

    fn set(&mut self, rate: NamedRate, named_at: Time, source: NewsSource) -> Option<RateChange> {
        let previous = self.limit;
        let limit = RateLimit {
            rate,
            named_at,
            source,
            held_back: previous.map_or(0, |l| l.held_back),
            paused_until: previous.map_or(Time::ZERO, |l| l.paused_until),
        };
        self.limit = Some(limit);
        let previous = previous.map(|l| l.rate);
        (previous != Some(rate)).then_some(RateChange::Named { limit, previous })
    }
}

//! How long a route's requests take, learned from those that ended well.
//!
//! A node that leaves ends its last answers at a known moment. A request that
//! can't be expected to end before it is better served by another node from
//! its start than cut off in the middle. Until it is sent to an endpoint it can
//! still be refused, so that it is judged again then, by the answer alone.
//!
//! Times spread over a factor, not around a sum: a stream lasts as long as its
//! text. They are kept as logarithms, and those of a stream by the token where
//! its caller tells how many tokens to expect.

use std::collections::BTreeMap;
use std::time::Duration;

/// The weight of the newest request in the mean and the deviation, in shares of
/// one.
///
/// An eighth, as retransmission timers of TCP have it (RFC 6298): a handful of
/// answers is enough to follow a change.
const WEIGHT: f64 = 0.125;

/// The deviation before a second request was seen, as a logarithm: a factor of
/// 1.6.
const FIRST_DEVIATION: f64 = 0.5;

/// What an answer costs beside its length, in tokens: the time to its first event.
const FIXED_TOKENS: f64 = 20.0;

/// The mean deviations above the mean that answers stay below.
///
/// One or two streams in a hundred take longer.
const DEVIATIONS: f64 = 3.0;

/// The shortest time that is told from none, of a token as well, in seconds.
const SHORTEST: f64 = 0.001;

/// How long the parts of a request took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTiming {
    /// From its arrival until it was sent to the endpoint that answered.
    pub wait: Duration,
    /// From then to the end of the answer.
    pub answer: Duration,
    /// The tokens that its caller expected of the answer.
    pub tokens: Option<u32>,
}

/// What of a request is still ahead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Remaining {
    /// Its stages, the choice of an endpoint, and the answer.
    All,
    /// The answer alone.
    Answer,
}

/// A mean and a mean deviation of logarithms.
#[derive(Debug, Clone, Copy)]
struct Spread {
    mean: f64,
    deviation: f64,
}

impl Spread {
    fn bound(&self) -> f64 {
        (self.mean + DEVIATIONS * self.deviation).exp()
    }
}

/// A spread that is learned; `None` until something was seen.
#[derive(Debug, Clone, Copy, Default)]
struct Learned(Option<Spread>);

impl Learned {
    fn observe(&mut self, value: f64) {
        let value = value.max(SHORTEST).ln();
        let known = self.0.get_or_insert(Spread {
            mean: value,
            deviation: FIRST_DEVIATION,
        });
        let off = value - known.mean;
        known.mean += WEIGHT * off;
        known.deviation += WEIGHT * (off.abs() - known.deviation);
    }

    fn bound(&self) -> Option<f64> {
        self.0.map(|s| s.bound())
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Times {
    wait: Learned,
    /// Of answers whose length nobody told, in seconds.
    answer: Learned,
    /// Of answers whose length was told, in seconds a token.
    token: Learned,
}

/// The times that requests take, by route.
#[derive(Debug, Clone, Default)]
pub struct Durations {
    routes: BTreeMap<String, Times>,
}

impl Durations {
    /// Notes how long a request took that was answered.
    pub fn observe(&mut self, route: &str, took: RequestTiming) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), Times::default());
        }
        let Some(known) = self.routes.get_mut(route) else {
            unreachable!("the route was just inserted");
        };
        known.wait.observe(took.wait.as_secs_f64());
        let answer = took.answer.as_secs_f64();
        match took.tokens {
            Some(tokens) => known.token.observe(answer / cost(tokens)),
            None => known.answer.observe(answer),
        }
    }

    /// Returns the time within which what is ahead of a request of a route ends,
    /// by those that were seen; `None` if none was.
    ///
    /// `tokens` is the length that the request's caller expects of the answer.
    #[must_use]
    pub fn bound(&self, route: &str, tokens: Option<u32>, ahead: Remaining) -> Option<Duration> {
        let known = self.routes.get(route)?;
        let answer = match tokens {
            Some(tokens) => known.token.bound()? * cost(tokens),
            None => known.answer.bound()?,
        };
        let wait = match ahead {
            Remaining::All => known.wait.bound()?,
            Remaining::Answer => 0.0,
        };
        let bound = Duration::try_from_secs_f64(wait + answer);
        Some(bound.unwrap_or(Duration::MAX))
    }
}

/// Returns what an answer costs, in tokens.
fn cost(tokens: u32) -> f64 {
    f64::from(tokens) + FIXED_TOKENS
}

//! Estimates how long a route's requests take, from those that completed.
//!
//! A node that shuts down refuses requests that it can't expect to complete: another node serves
//! them better from the start. They are checked again, by the response alone, before being sent.
//!
//! Durations vary by a factor, so they are averaged as logarithms; those of streams per token,
//! where the caller gives the expected number of tokens.

use std::collections::BTreeMap;
use std::time::Duration;

/// The weight of the newest request in the mean and the deviation.
///
/// An eighth, as in the retransmission timers of TCP (RFC 6298): a few responses are enough to
/// follow a change.
const WEIGHT: f64 = 0.125;

/// The logarithmic deviation assumed after the first request: a factor of 1.6.
const INITIAL_DEVIATION: f64 = 0.5;

/// The fixed cost of a response, the time to its first event, in tokens.
const FIXED_TOKENS: f64 = 20.0;

/// The upper bound of durations, in mean deviations above the mean.
///
/// One or two streams in a hundred take longer.
const BOUND_DEVIATIONS: f64 = 3.0;

/// The minimum duration, also of a token, in seconds; shorter ones count as this.
const MIN_SECONDS: f64 = 0.001;

/// Durations of the phases of a completed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTiming {
    /// From its arrival until it was sent to the endpoint that responded.
    pub wait: Duration,
    /// From then to the end of the response.
    pub answer: Duration,
    /// The number of response tokens expected by the caller.
    pub tokens: Option<u32>,
}

/// The remaining phases of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Remaining {
    /// Its stages, the choice of an endpoint, and the response.
    All,
    /// The response alone.
    Answer,
}

/// The mean and the mean deviation of logarithms.
#[derive(Debug, Clone, Copy)]
struct Spread {
    mean: f64,
    deviation: f64,
}

impl Spread {
    fn bound(&self) -> f64 {
        (self.mean + BOUND_DEVIATIONS * self.deviation).exp()
    }
}

/// A moving estimate; `None` before the first observation.
#[derive(Debug, Clone, Copy, Default)]
struct Estimate(Option<Spread>);

impl Estimate {
    fn observe(&mut self, value: f64) {
        let value = value.max(MIN_SECONDS).ln();
        let estimate = self.0.get_or_insert(Spread {
            mean: value,
            deviation: INITIAL_DEVIATION,
        });
        let difference = value - estimate.mean;
        estimate.mean += WEIGHT * difference;
        estimate.deviation += WEIGHT * (difference.abs() - estimate.deviation);
    }

    fn bound(&self) -> Option<f64> {
        self.0.map(|s| s.bound())
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct RouteTimes {
    wait: Estimate,
    /// Duration of responses of unknown length, in seconds.
    answer: Estimate,
    /// Duration of responses with an expected length, in seconds per token.
    token: Estimate,
}

/// Estimated durations of requests, by route.
#[derive(Debug, Clone, Default)]
pub struct Durations {
    routes: BTreeMap<String, RouteTimes>,
}

impl Durations {
    /// Records the durations of a completed request.
    pub fn observe(&mut self, route: &str, timing: RequestTiming) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteTimes::default());
        }
        let Some(estimate) = self.routes.get_mut(route) else {
            unreachable!("the route was just inserted");
        };
        estimate.wait.observe(timing.wait.as_secs_f64());
        let answer = timing.answer.as_secs_f64();
        match timing.tokens {
            Some(tokens) => estimate.token.observe(answer / token_cost(tokens)),
            None => estimate.answer.observe(answer),
        }
    }

    /// Returns an upper bound of the remaining time of a request; `None` without observations.
    ///
    /// `tokens` is the number of response tokens expected by the caller.
    #[must_use]
    pub fn bound(
        &self,
        route: &str,
        tokens: Option<u32>,
        remaining: Remaining,
    ) -> Option<Duration> {
        let estimate = self.routes.get(route)?;
        let answer = match tokens {
            Some(tokens) => estimate.token.bound()? * token_cost(tokens),
            None => estimate.answer.bound()?,
        };
        let wait = match remaining {
            Remaining::All => estimate.wait.bound()?,
            Remaining::Answer => 0.0,
        };
        let bound = Duration::try_from_secs_f64(wait + answer);
        Some(bound.unwrap_or(Duration::MAX))
    }
}

/// Returns the cost of a response, in tokens.
fn token_cost(tokens: u32) -> f64 {
    f64::from(tokens) + FIXED_TOKENS
}

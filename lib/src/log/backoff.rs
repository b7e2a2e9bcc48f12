//! Exponential backoff with jitter.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The first pause.
const PAUSE_MIN: Duration = Duration::from_millis(100);

/// The maximum pause.
///
/// A change must be in force everywhere within 4 s, so after an outage every
/// process has to retry well within that time.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// Retry pauses that double with each failure, with jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    failures: u32,
    rng: Pcg64Mcg,
}

impl Backoff {
    /// Creates a backoff without failures, with a seed for the jitter.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            failures: 0,
            rng: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
        }
    }

    /// Records a success, which resets the pause.
    pub const fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the pause before the next attempt.
    ///
    /// All processes lose the log at the same moment and would otherwise retry
    /// at the same moments. Half of each pause is random, which spreads them.
    pub fn failed(&mut self) -> Duration {
        let doubled = PAUSE_MIN.saturating_mul(1 << self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        let longest = doubled.min(PAUSE_MAX);
        longest.mul_f64(self.rng.random_range(0.5..1.0))
    }
}

//! A token bucket on the process's clock.

use std::time::Instant;

/// Grants a rate with a burst of a quarter of a second, and at least one.
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    filled: Instant,
}

impl Bucket {
    /// Builds a full bucket.
    #[must_use]
    pub fn new(rate: f64) -> Self {
        let burst = (rate / 4.0).max(1.0);
        Self {
            rate,
            burst,
            level: burst,
            filled: Instant::now(),
        }
    }

    /// Takes one, if there is one.
    pub fn take(&mut self) -> bool {
        let now = Instant::now();
        let gained = self.rate * (now - self.filled).as_secs_f64();
        self.level = (self.level + gained).min(self.burst);
        self.filled = now;
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

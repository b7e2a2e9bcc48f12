//! A token bucket with a variable rate.

use std::time::Duration;

use crate::time::Time;

/// A token bucket whose level may become negative.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated_at: Time,
}

impl Bucket {
    /// Creates a full bucket.
    #[must_use]
    pub const fn new(now: Time, rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            updated_at: now,
        }
    }

    /// Changes rate and burst; tokens above the new burst are dropped.
    pub fn set_rate(&mut self, now: Time, rate: f64, burst: f64) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Returns the time until `amount` can be spent; zero if it can be now.
    pub fn wait_time(&mut self, now: Time, amount: f64) -> Duration {
        self.fill(now);
        // An amount above the burst passes once the bucket is full, and leaves it
        // in debt. Otherwise a request of that size would never pass.
        let missing = amount.min(self.burst) - self.level;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
    }

    /// Spends an amount, into debt if necessary; a negative amount is refunded.
    pub fn spend(&mut self, now: Time, amount: f64) {
        self.fill(now);
        self.level = (self.level - amount).min(self.burst);
    }

    fn fill(&mut self, now: Time) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.updated_at = now;
    }
}

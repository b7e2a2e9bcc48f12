//! What answers tell about an endpoint's health.
//!
//! Answers are the only witness: a passing health check says nothing about an
//! endpoint that fails or delays real work.

use std::time::Duration;

use crate::time::Time;

/// The weight of the newest answer in the averages.
///
/// A fifth: three bad answers in a row move an average by half.
const WEIGHT: f32 = 0.2;

/// The first pause after a broken connection.
const PAUSE_FIRST: Duration = Duration::from_millis(400);

/// The longest pause after broken connections.
///
/// An endpoint that is back within seconds should not wait much longer than
/// its own restart took.
const PAUSE_MAX: Duration = Duration::from_millis(3_200);

/// The time after which half of what was learned is forgotten.
///
/// An endpoint that is avoided gets no answers that could clear it.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// The health of one endpoint as one node sees it.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    slowness: f32,
    failures: f32,
    broken: u32,
    resume: Time,
    seen: Time,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            failures: 0.0,
            broken: 0,
            resume: Time::ZERO,
            seen: Time::ZERO,
        }
    }
}

impl Health {
    /// Notes an answer that took `ratio` times what was expected.
    pub fn record_response(&mut self, now: Time, ratio: f32) {
        self.fade(now);
        let ratio = ratio.clamp(0.1, 50.0);
        self.slowness += WEIGHT * (ratio - self.slowness);
        self.failures -= WEIGHT * self.failures;
        self.broken = 0;
        self.resume = Time::ZERO;
    }

    /// Notes an answer that says that the work failed.
    pub fn record_failure(&mut self, now: Time) {
        self.fade(now);
        self.failures += WEIGHT * (1.0 - self.failures);
    }

    /// Notes a connection that failed or went silent: it is avoided for a while.
    pub fn record_broken(&mut self, now: Time) {
        self.record_failure(now);
        let pause = PAUSE_FIRST.saturating_mul(1 << self.broken.min(6));
        self.broken += 1;
        self.resume = now + pause.min(PAUSE_MAX);
    }

    /// Tells whether it is not to be used now.
    #[must_use]
    pub fn is_paused(&self, now: Time) -> bool {
        now < self.resume
    }

    /// Returns how many times slower than expected it answers.
    #[must_use]
    pub fn slowness(&self, now: Time) -> f32 {
        1.0 + (self.slowness - 1.0) * self.kept(now)
    }

    /// Returns the share of answers that failed, of late.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f32 {
        self.failures * self.kept(now)
    }

    fn kept(&self, now: Time) -> f32 {
        let halves = now.since(self.seen).as_secs_f32() / HALF_LIFE.as_secs_f32();
        0.5_f32.powf(halves)
    }

    fn fade(&mut self, now: Time) {
        self.slowness = self.slowness(now);
        self.failures = self.failure_rate(now);
        self.seen = now;
    }
}

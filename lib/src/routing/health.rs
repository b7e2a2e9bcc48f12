//! The recent slowdown and failure rate of an endpoint.

use crate::time::Time;

/// The weight of a new observation.
const WEIGHT: f32 = 0.25;

/// The bounds of an observed ratio, so that one outlier doesn't dominate.
const RATIO_MAX: f32 = 20.0;
const RATIO_MIN: f32 = 0.1;

/// The microseconds in which a verdict without new observations decays to half.
///
/// The decay readmits a recovered endpoint step by step: it receives a few
/// calls, and their responses improve the verdict further.
const HALF_LIFE_MICROS: f32 = 5e6;

/// The most doublings of the half-life for an endpoint that keeps failing.
const STREAK_MAX: u32 = 5;

/// Response times relative to predictions, and failures, of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    ratio: f32,
    failure_rate: f32,
    streak: u32,
    updated_at: Time,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            failure_rate: 0.0,
            streak: 0,
            updated_at: Time::ZERO,
        }
    }
}

impl Health {
    /// Records a response and its time as a multiple of the predicted time.
    pub fn on_response(&mut self, now: Time, ratio: f32) {
        self.decay_to(now);
        self.observe(ratio);
        self.failure_rate -= WEIGHT * self.failure_rate;
        self.streak = 0;
    }

    /// Records an open call that has run for `ratio` times the predicted time.
    pub fn on_overdue(&mut self, now: Time, ratio: f32) {
        self.decay_to(now);
        if ratio > self.ratio {
            self.observe(ratio);
        }
    }

    /// Records a failed call, whatever its duration.
    pub fn on_failure(&mut self, now: Time) {
        self.decay_to(now);
        self.failure_rate += WEIGHT * (1.0 - self.failure_rate);
        self.streak = (self.streak + 1).min(STREAK_MAX);
    }

    /// Returns the expected response time as a multiple of the predicted time.
    #[must_use]
    pub fn slowdown(&self, now: Time) -> f32 {
        self.verdict(now).0
    }

    /// Returns the fraction of calls that fail.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f32 {
        self.verdict(now).1
    }

    /// Returns [`Health::slowdown`] and [`Health::failure_rate`], computing the
    /// decay once.
    pub(super) fn verdict(&self, now: Time) -> (f32, f32) {
        let factor = self.decay_factor(now);
        (
            1.0 + (self.ratio - 1.0) * factor,
            self.failure_rate * factor,
        )
    }

    fn observe(&mut self, ratio: f32) {
        let ratio = ratio.clamp(RATIO_MIN, RATIO_MAX);
        self.ratio += WEIGHT * (ratio - self.ratio);
    }

    fn decay_to(&mut self, now: Time) {
        (self.ratio, self.failure_rate) = self.verdict(now);
        self.updated_at = now;
    }

    // Approximates exponential decay by a rational function, which is cheaper;
    // it is computed for every candidate of every choice.
    fn decay_factor(&self, now: Time) -> f32 {
        let idle = now.as_micros().saturating_sub(self.updated_at.as_micros()) as f32;
        let half_life = HALF_LIFE_MICROS * (1_u32 << self.streak) as f32;
        half_life / (half_life + idle)
    }
}

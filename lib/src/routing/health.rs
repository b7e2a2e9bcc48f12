//! How an endpoint has kept its promises lately.

use crate::time::Time;

/// The weight of a new observation.
const WEIGHT: f32 = 0.25;

/// The bounds of one observed ratio, so that one freak answer is no verdict.
const RATIO_MAX: f32 = 20.0;
const RATIO_MIN: f32 = 0.1;

/// The microseconds in which a verdict without new evidence fades to a half.
///
/// It lets a recovered endpoint back in step by step: as its verdict fades it
/// wins a few calls, and their answers move the verdict further.
const FADE_MICROS: f32 = 5e6;

/// The most doublings of the fade for an endpoint that fails every probe.
const STREAK_MAX: u32 = 5;

/// Answers against predictions, and failures, of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    ratio: f32,
    failing: f32,
    streak: u32,
    seen: Time,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            failing: 0.0,
            streak: 0,
            seen: Time::ZERO,
        }
    }
}

impl Health {
    /// Notes an answer, and how much longer than predicted it took.
    pub fn on_response(&mut self, now: Time, ratio: f32) {
        self.settle(now);
        self.observe(ratio);
        self.failing -= WEIGHT * self.failing;
        self.streak = 0;
    }

    /// Notes that an answer is overdue by `ratio`, without an end in sight.
    pub fn on_overdue(&mut self, now: Time, ratio: f32) {
        self.settle(now);
        if ratio > self.ratio {
            self.observe(ratio);
        }
    }

    /// Notes a failure, however fast it came.
    pub fn on_failure(&mut self, now: Time) {
        self.settle(now);
        self.failing += WEIGHT * (1.0 - self.failing);
        self.streak = (self.streak + 1).min(STREAK_MAX);
    }

    /// Returns how much longer than predicted an answer takes.
    #[must_use]
    pub fn slowdown(&self, now: Time) -> f32 {
        self.verdict(now).0
    }

    /// Returns the share of calls that fail.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f32 {
        self.verdict(now).1
    }

    /// Returns [`Health::slowdown`] and [`Health::failure_rate`] for one fade's price.
    pub(super) fn verdict(&self, now: Time) -> (f32, f32) {
        let kept = self.kept(now);
        (1.0 + (self.ratio - 1.0) * kept, self.failing * kept)
    }

    fn observe(&mut self, ratio: f32) {
        let ratio = ratio.clamp(RATIO_MIN, RATIO_MAX);
        self.ratio += WEIGHT * (ratio - self.ratio);
    }

    fn settle(&mut self, now: Time) {
        (self.ratio, self.failing) = self.verdict(now);
        self.seen = now;
    }

    // The rational form is a close kin of the exponential one, and it is
    // computed for every candidate of every choice.
    fn kept(&self, now: Time) -> f32 {
        let idle = now.as_micros().saturating_sub(self.seen.as_micros()) as f32;
        let fade = FADE_MICROS * (1_u32 << self.streak) as f32;
        fade / (fade + idle)
    }
}

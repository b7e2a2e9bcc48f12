//! How much the calls of a batch slow each other down, learned from answers.

/// The slope assumed before anything is learned.
const INITIAL_SLOPE: f32 = 1.0;

/// The weight of that assumption, in observations of a half-full batch.
const INITIAL_WEIGHT: f32 = 5.0;

/// The part of what was learned that each new observation leaves.
const DECAY: f32 = 0.99;

/// The largest ratio taken in, so that one straggler doesn't speak for all.
const RATIO_MAX: f32 = 4.0;

/// The largest slope believed.
const SLOPE_MAX: f32 = 4.0;

/// The weight of a new observation of what all endpoints have in common.
const SHARED_WEIGHT: f32 = 0.05;

/// The largest miss taken in for that, so that one straggler hardly shows.
const SHARED_RATIO_MAX: f32 = 2.5;

/// A least-squares fit of `ratio = 1 + slope * occupancy`, with fading weights.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SlowdownModel {
    sum_xy: f32,
    sum_xx: f32,
    shared: f32,
}

impl Default for SlowdownModel {
    fn default() -> Self {
        let sum_xx = INITIAL_WEIGHT * 0.25;
        Self {
            sum_xy: INITIAL_SLOPE * sum_xx,
            sum_xx,
            shared: 1.0,
        }
    }
}

impl SlowdownModel {
    /// Takes in how long an answer took, in multiples of what an idle endpoint
    /// would have needed.
    pub(super) const fn observe(&mut self, occupancy: f32, ratio: f32) {
        let occupancy = occupancy.clamp(0.0, 1.0);
        let ratio = ratio.clamp(0.0, RATIO_MAX);
        self.sum_xy = DECAY * self.sum_xy + occupancy * (ratio - 1.0);
        self.sum_xx = DECAY * self.sum_xx + occupancy * occupancy;
    }

    /// Takes in how many times its promised time an answer took.
    pub(super) fn observe_overrun(&mut self, ratio: f32) {
        let ratio = ratio.clamp(0.0, SHARED_RATIO_MAX);
        self.shared += SHARED_WEIGHT * (ratio - self.shared);
    }

    /// Returns how much longer than promised the answers of all endpoints take.
    pub(super) const fn shared_slowdown(self) -> f32 {
        self.shared.max(1.0)
    }

    /// Returns the slowdown of a full batch.
    pub(super) const fn slope(self) -> f32 {
        if self.sum_xx <= 0.0 {
            return INITIAL_SLOPE;
        }
        (self.sum_xy / self.sum_xx).clamp(0.0, SLOPE_MAX)
    }
}

//! How much the calls of a batch slow each other down, learned from answers.

/// The slope assumed before anything is learned.
const FIRST: f32 = 1.0;

/// The weight of that assumption, in observations of a half-full batch.
const FIRST_WEIGHT: f32 = 5.0;

/// The part of what was learned that each new observation leaves.
const KEPT: f32 = 0.99;

/// The largest ratio taken in, so that one straggler doesn't speak for all.
const RATIO_MAX: f32 = 4.0;

/// The largest slope believed.
const SLOPE_MAX: f32 = 4.0;

/// The weight of a new observation of what all endpoints have in common.
const COMMON_WEIGHT: f32 = 0.05;

/// The largest miss taken in for that, so that one straggler hardly shows.
const COMMON_MAX: f32 = 2.5;

/// A least-squares fit of `ratio = 1 + slope * occupancy`, with fading weights.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Drag {
    across: f32,
    along: f32,
    common: f32,
}

impl Default for Drag {
    fn default() -> Self {
        let along = FIRST_WEIGHT * 0.25;
        Self {
            across: FIRST * along,
            along,
            common: 1.0,
        }
    }
}

impl Drag {
    /// Takes in how long an answer took, in multiples of what an idle endpoint
    /// would have needed.
    pub(super) const fn observe(&mut self, occupancy: f32, ratio: f32) {
        let occupancy = occupancy.clamp(0.0, 1.0);
        let ratio = ratio.clamp(0.0, RATIO_MAX);
        self.across = KEPT * self.across + occupancy * (ratio - 1.0);
        self.along = KEPT * self.along + occupancy * occupancy;
    }

    /// Takes in how many times its promised time an answer took.
    pub(super) fn observe_overrun(&mut self, ratio: f32) {
        let ratio = ratio.clamp(0.0, COMMON_MAX);
        self.common += COMMON_WEIGHT * (ratio - self.common);
    }

    /// Returns how much longer than promised the answers of all endpoints take.
    pub(super) const fn shared_slowdown(self) -> f32 {
        self.common.max(1.0)
    }

    /// Returns the slowdown of a full batch.
    pub(super) const fn slope(self) -> f32 {
        if self.along <= 0.0 {
            return FIRST;
        }
        (self.across / self.along).clamp(0.0, SLOPE_MAX)
    }
}

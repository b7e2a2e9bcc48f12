//! A model of how much the calls of a batch slow each other down, fitted to
//! measured response times.

/// The slope assumed before the first observation.
const INITIAL_SLOPE: f32 = 1.0;

/// The weight of the initial slope, in observations of a half-full batch.
const INITIAL_WEIGHT: f32 = 5.0;

/// The factor by which each new observation decays the earlier ones.
const DECAY: f32 = 0.99;

/// The upper bound of an observed ratio, so that one straggler doesn't dominate.
const RATIO_MAX: f32 = 4.0;

/// The upper bound of the fitted slope.
const SLOPE_MAX: f32 = 4.0;

/// The weight of a new observation of the slowdown that all endpoints share.
const SHARED_WEIGHT: f32 = 0.05;

/// The upper bound of a ratio observed for the shared slowdown, so that one
/// straggler hardly changes it.
const SHARED_RATIO_MAX: f32 = 2.5;

/// A least-squares fit of `ratio = 1 + slope * occupancy`, with decaying weights.
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
    /// Records a response time as a multiple of the time predicted for an idle
    /// endpoint.
    pub(super) const fn observe(&mut self, occupancy: f32, ratio: f32) {
        let occupancy = occupancy.clamp(0.0, 1.0);
        let ratio = ratio.clamp(0.0, RATIO_MAX);
        self.sum_xy = DECAY * self.sum_xy + occupancy * (ratio - 1.0);
        self.sum_xx = DECAY * self.sum_xx + occupancy * occupancy;
    }

    /// Records a response time as a multiple of the predicted time.
    pub(super) fn observe_overrun(&mut self, ratio: f32) {
        let ratio = ratio.clamp(0.0, SHARED_RATIO_MAX);
        self.shared += SHARED_WEIGHT * (ratio - self.shared);
    }

    /// Returns the factor by which responses of all endpoints exceed predictions.
    pub(super) const fn shared_slowdown(self) -> f32 {
        self.shared.max(1.0)
    }

    /// Returns the relative slowdown of a call in a full batch.
    pub(super) const fn slope(self) -> f32 {
        if self.sum_xx <= 0.0 {
            return INITIAL_SLOPE;
        }
        (self.sum_xy / self.sum_xx).clamp(0.0, SLOPE_MAX)
    }
}

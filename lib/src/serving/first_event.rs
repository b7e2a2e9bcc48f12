//! How long endpoints of a model take to the first event, learned from answers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::PoolName;

/// The weight of the newest answer.
const WEIGHT: f32 = 0.05;

/// The tokens that a request costs beside its prompt.
///
/// A step of the batch and the way there and back, some tens of milliseconds.
const FIXED: f32 = 2_000.0;

/// The time of a token before anything was learned, in seconds.
///
/// Engines of today read some 50 tokens a millisecond.
const FIRST_GUESS: f32 = 20e-6;

/// The time to the first event, by service.
#[derive(Debug, Clone, Default)]
pub struct FirstEventTimes {
    seconds: BTreeMap<PoolName, f32>,
}

impl FirstEventTimes {
    /// Returns the time expected to the first event of a prompt.
    #[must_use]
    pub fn expected(&self, service: &PoolName, tokens: u32) -> Duration {
        let each = self.seconds.get(service).copied().unwrap_or(FIRST_GUESS);
        Duration::from_secs_f32(each * (tokens as f32 + FIXED))
    }

    /// Notes how long a first event took; returns its ratio to what was expected.
    pub fn observe(&mut self, service: &PoolName, tokens: u32, took: Duration) -> f32 {
        let each = took.as_secs_f32() / (tokens as f32 + FIXED);
        let known = self.seconds.get(service).copied().unwrap_or(each);
        let ratio = each / known.max(1e-9);
        // One endpoint that stands still must not change what is expected of
        // the others.
        let bounded = each.min(4.0 * known);
        self.seconds
            .insert(service.clone(), known + WEIGHT * (bounded - known));
        ratio
    }
}

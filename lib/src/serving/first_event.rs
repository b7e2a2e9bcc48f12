//! How long endpoints of a model take to the first event, learned from answers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::PoolName;

/// The weight of the newest answer.
const WEIGHT: f32 = 0.05;

/// The tokens that a request costs beside its prompt.
///
/// A step of the batch and the way there and back, some tens of milliseconds.
const FIXED_TOKENS: f32 = 2_000.0;

/// The time of a token before anything was learned, in seconds.
///
/// Engines of today read some 50 tokens a millisecond.
const DEFAULT_TOKEN_SECONDS: f32 = 20e-6;

/// The time to the first event, by service.
#[derive(Debug, Clone, Default)]
pub struct FirstEventTimes {
    token_seconds: BTreeMap<PoolName, f32>,
}

impl FirstEventTimes {
    /// Returns the time expected to the first event of a prompt.
    #[must_use]
    pub fn expected(&self, service: &PoolName, tokens: u32) -> Duration {
        let token_time = self
            .token_seconds
            .get(service)
            .copied()
            .unwrap_or(DEFAULT_TOKEN_SECONDS);
        Duration::from_secs_f32(token_time * (tokens as f32 + FIXED_TOKENS))
    }

    /// Notes how long a first event took; returns its ratio to what was expected.
    pub fn observe(&mut self, service: &PoolName, tokens: u32, elapsed: Duration) -> f32 {
        let token_time = elapsed.as_secs_f32() / (tokens as f32 + FIXED_TOKENS);
        let average = self
            .token_seconds
            .get(service)
            .copied()
            .unwrap_or(token_time);
        let ratio = token_time / average.max(1e-9);
        // One endpoint that stands still must not change what is expected of
        // the others.
        let bounded = token_time.min(4.0 * average);
        self.token_seconds
            .insert(service.clone(), average + WEIGHT * (bounded - average));
        ratio
    }
}

//! Estimates the time to the first event of a model's endpoints from their responses.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::PoolName;

/// The weight of the newest response in the moving average.
const WEIGHT: f32 = 0.05;

/// The fixed cost of a request, in prompt tokens.
///
/// One batch step and the network round trip, some tens of milliseconds.
const FIXED_TOKENS: f32 = 2_000.0;

/// The time per prompt token before the first observation.
///
/// Current engines process some 50 prompt tokens per millisecond.
const DEFAULT_TOKEN_SECONDS: f32 = 20e-6;

/// Estimated times to the first event, by service.
#[derive(Debug, Clone, Default)]
pub struct FirstEventTimes {
    token_seconds: BTreeMap<PoolName, f32>,
}

impl FirstEventTimes {
    /// Returns the expected time to the first event for a prompt of `tokens` tokens.
    #[must_use]
    pub fn expected(&self, service: &PoolName, tokens: u32) -> Duration {
        let token_time = self
            .token_seconds
            .get(service)
            .copied()
            .unwrap_or(DEFAULT_TOKEN_SECONDS);
        Duration::from_secs_f32(token_time * (tokens as f32 + FIXED_TOKENS))
    }

    /// Records the time to a first event and returns its ratio to the expected time.
    pub fn observe(&mut self, service: &PoolName, tokens: u32, elapsed: Duration) -> f32 {
        let token_time = elapsed.as_secs_f32() / (tokens as f32 + FIXED_TOKENS);
        let average = self
            .token_seconds
            .get(service)
            .copied()
            .unwrap_or(token_time);
        let ratio = token_time / average.max(1e-9);
        // Bounded, so that one stalled endpoint doesn't change what is expected of the others.
        let bounded = token_time.min(4.0 * average);
        self.token_seconds
            .insert(service.clone(), average + WEIGHT * (bounded - average));
        ratio
    }
}

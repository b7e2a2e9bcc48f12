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
pub(super) const DEFAULT_TOKEN_SECONDS: f32 = 20e-6;

/// Estimated times to the first event, by service.
#[derive(Debug, Clone, Default)]
pub struct FirstEventTimes {
    token_seconds: BTreeMap<PoolName, f32>,
    /// The time per token to read, without contention.
    reading: BTreeMap<PoolName, f32>,
    /// The time per prompt token of a usual endpoint, waiting included; of
    /// endpoints that name their service time.
    usual: BTreeMap<PoolName, f32>,
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

    /// Returns the expected time at endpoints that take `factor` times the usual
    /// one, in the median; without a factor, or before any observation of such
    /// endpoints, the same as [`Self::expected`].
    #[must_use]
    pub fn expected_now(&self, service: &PoolName, tokens: u32, factor: Option<f32>) -> Duration {
        let usual = self.usual.get(service);
        let Some((usual, factor)) = usual.zip(factor) else {
            return self.expected(service, tokens);
        };
        Duration::from_secs_f32(usual * factor * (tokens as f32 + FIXED_TOKENS))
    }

    /// Records the time to a first event at an endpoint that takes `factor` times
    /// the usual time.
    pub fn observe_usual(
        &mut self,
        service: &PoolName,
        tokens: u32,
        (elapsed, factor): (Duration, f32),
    ) {
        let token_time = elapsed.as_secs_f32() / (tokens as f32 + FIXED_TOKENS);
        update_average(&mut self.usual, service, token_time / factor);
    }

    /// Returns the time to read a token, in seconds; `None` before any observation of
    /// a prompt that did not wait.
    #[must_use]
    pub fn reading_seconds(&self, service: &PoolName) -> Option<f32> {
        self.reading.get(service).copied()
    }

    /// Returns the ratio of the time to a first event to that of a usual endpoint
    /// without contention which has `tokens` tokens to read before it.
    ///
    /// `contention` is the factor at that time. The average is updated unless the
    /// request `waited`.
    pub fn reading_ratio(
        &mut self,
        service: &PoolName,
        tokens: u32,
        (elapsed, contention): (Duration, f32),
        waited: bool,
    ) -> f32 {
        let token_time = elapsed.as_secs_f32() / (tokens as f32 + FIXED_TOKENS);
        let average = self.reading.get(service).copied();
        let average = average.unwrap_or(token_time / contention);
        if !waited {
            update_average(&mut self.reading, service, token_time / contention);
        }
        token_time / average.max(1e-9)
    }
}

/// Moves the average of a service; one stalled endpoint counts as four times the
/// average at most.
fn update_average(averages: &mut BTreeMap<PoolName, f32>, service: &PoolName, value: f32) {
    let average = averages.get(service).copied().unwrap_or(value);
    let bounded = value.min(4.0 * average);
    averages.insert(service.clone(), average + WEIGHT * (bounded - average));
}

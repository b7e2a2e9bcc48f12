//! Health of endpoints, judged by their responses.
//!
//! Only responses count: an endpoint that passes health checks may still fail or delay real work.

use std::time::Duration;

use crate::time::Time;

/// The weight of the newest response in the moving averages.
///
/// A fifth: three bad responses in a row move an average by half.
const WEIGHT: f32 = 0.2;

/// The pause after the first broken connection.
const INITIAL_PAUSE: Duration = Duration::from_millis(400);

/// The maximum pause after broken connections.
///
/// An endpoint that restarts within seconds should not be avoided for much longer than that.
const MAX_PAUSE: Duration = Duration::from_millis(3_200);

/// The half-life of the averages without responses.
///
/// An endpoint that is avoided sends no responses that could clear it.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// The health of one endpoint as seen by one node.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    slowness: f32,
    /// The slowness against the endpoint's own estimate.
    own_slowness: f32,
    failure_rate: f32,
    connection_failures: u32,
    paused_until: Time,
    updated_at: Time,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            own_slowness: 1.0,
            failure_rate: 0.0,
            connection_failures: 0,
            paused_until: Time::ZERO,
            updated_at: Time::ZERO,
        }
    }
}

impl Health {
    /// Records a response that took `ratio` times the expected time.
    pub fn record_response(&mut self, now: Time, ratio: f32) {
        self.apply_decay(now);
        let ratio = ratio.clamp(0.1, 50.0);
        self.slowness += WEIGHT * (ratio - self.slowness);
        self.failure_rate -= WEIGHT * self.failure_rate;
        self.connection_failures = 0;
        self.paused_until = Time::ZERO;
    }

    /// Records a response that took `ratio` times what was expected of this
    /// endpoint; [`Self::record_response`] has recorded the response.
    pub(super) fn record_own_ratio(&mut self, now: Time, ratio: f32) {
        self.apply_decay(now);
        let ratio = ratio.clamp(0.1, 50.0);
        self.own_slowness += WEIGHT * (ratio - self.own_slowness);
    }

    /// Records a response that reports a failure.
    pub fn record_failure(&mut self, now: Time) {
        self.apply_decay(now);
        self.failure_rate += WEIGHT * (1.0 - self.failure_rate);
    }

    /// Records a connection that failed or went silent, and pauses the endpoint.
    pub fn record_connection_failure(&mut self, now: Time) {
        self.record_failure(now);
        let pause = INITIAL_PAUSE.saturating_mul(1 << self.connection_failures.min(6));
        self.connection_failures += 1;
        self.paused_until = now + pause.min(MAX_PAUSE);
    }

    /// Returns whether the endpoint is paused.
    #[must_use]
    pub fn is_paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Returns the recent ratio of actual to expected response times.
    #[must_use]
    pub fn slowness(&self, now: Time) -> f32 {
        1.0 + (self.slowness - 1.0) * self.decay(now)
    }

    /// Returns the recent ratio of response times to those expected of this
    /// endpoint at its current speed.
    #[must_use]
    pub fn own_slowness(&self, now: Time) -> f32 {
        1.0 + (self.own_slowness - 1.0) * self.decay(now)
    }

    /// Returns the recent fraction of failed responses.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f32 {
        self.failure_rate * self.decay(now)
    }

    fn decay(&self, now: Time) -> f32 {
        let half_lives = now.since(self.updated_at).as_secs_f32() / HALF_LIFE.as_secs_f32();
        0.5_f32.powf(half_lives)
    }

    fn apply_decay(&mut self, now: Time) {
        self.slowness = self.slowness(now);
        self.own_slowness = self.own_slowness(now);
        self.failure_rate = self.failure_rate(now);
        self.updated_at = now;
    }
}

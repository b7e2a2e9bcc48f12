//! Computes when a refused caller should retry.

use std::time::Duration;

/// The minimum delay before a refused caller retries.
///
/// About one stage call: before that, nothing has changed.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The maximum delay, as a fraction of the request's remaining time.
///
/// Callers wait for up to a third of it; with slightly less the second attempt still has two
/// thirds.
const MAX_RETRY_FRACTION: f64 = 0.3;

/// The maximum delay before a caller retries at another node.
///
/// Another node can serve it at once; the jitter spreads callers that were refused together,
/// which would otherwise arrive in the same millisecond.
const MAX_OTHER_NODE_DELAY: Duration = Duration::from_millis(50);

/// Returns the delay after which a refused caller should retry.
///
/// Before the backlog has cleared it would only be refused again. `sample`, a random number in
/// `0..1`, spreads callers that were refused together.
#[must_use]
pub fn retry_after(backlog: Duration, remaining: Duration, sample: f64) -> Duration {
    let longest = remaining.mul_f64(MAX_RETRY_FRACTION).max(MIN_RETRY_AFTER);
    let wait = backlog.mul_f64(1.0 + sample / 2.0).min(longest);
    wait.max(MIN_RETRY_AFTER.mul_f64(1.0 + sample))
}

/// Returns the delay after which a caller should retry at another node, without backlog.
///
/// `sample`, a random number in `0..1`, spreads callers that were refused together.
#[must_use]
pub fn other_node_retry_after(sample: f64) -> Duration {
    MAX_OTHER_NODE_DELAY.mul_f64(sample)
}

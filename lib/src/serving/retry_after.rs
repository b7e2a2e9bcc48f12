//! When a refused caller should come back.

use std::time::Duration;

/// The shortest time after which a refused caller may come back.
///
/// About one call of a stage: sooner, nothing has changed.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The part of its time left after which a caller comes back at the latest.
///
/// Callers wait for up to a third of it; with a little less the answer to the
/// second try still has two thirds.
const MAX_RETRY_FRACTION: f64 = 0.3;

/// The longest wait before a caller tries another node.
///
/// Another node can serve it at once; the spread keeps those who were refused
/// together from arriving in the same millisecond.
const MAX_OTHER_NODE_DELAY: Duration = Duration::from_millis(50);

/// Returns when a refused caller should come back; `draw` in `0..1` spreads
/// those who were refused together.
///
/// Before the backlog is done it would only be refused again, so that it has
/// waited in vain and its next try too.
#[must_use]
pub fn retry_after(backlog: Duration, remaining: Duration, sample: f64) -> Duration {
    let longest = remaining.mul_f64(MAX_RETRY_FRACTION).max(MIN_RETRY_AFTER);
    let wait = backlog.mul_f64(1.0 + sample / 2.0).min(longest);
    wait.max(MIN_RETRY_AFTER.mul_f64(1.0 + sample))
}

/// Returns when a caller should try another node that has no backlog; `draw`
/// in `0..1` spreads those who were refused together.
#[must_use]
pub fn other_node_retry_after(sample: f64) -> Duration {
    MAX_OTHER_NODE_DELAY.mul_f64(sample)
}

//! When a refused caller should come back.

use std::time::Duration;

/// The shortest time after which a refused caller may come back.
///
/// About one call of a stage: sooner, nothing has changed.
const COME_BACK: Duration = Duration::from_millis(250);

/// The part of its time left after which a caller comes back at the latest.
///
/// Callers wait for up to a third of it; with a little less the answer to the
/// second try still has two thirds.
const COME_BACK_PART: f64 = 0.3;

/// The longest wait before a caller tries another node.
///
/// Another node can serve it at once; the spread keeps those who were refused
/// together from arriving in the same millisecond.
const ELSEWHERE: Duration = Duration::from_millis(50);

/// Returns when a refused caller should come back; `draw` in `0..1` spreads
/// those who were refused together.
///
/// Before the backlog is done it would only be refused again, so that it has
/// waited in vain and its next try too.
#[must_use]
pub fn retry_after(backlog: Duration, left: Duration, draw: f64) -> Duration {
    let longest = left.mul_f64(COME_BACK_PART).max(COME_BACK);
    let wait = backlog.mul_f64(1.0 + draw / 2.0).min(longest);
    wait.max(COME_BACK.mul_f64(1.0 + draw))
}

/// Returns when a caller should try another node that has no backlog; `draw`
/// in `0..1` spreads those who were refused together.
#[must_use]
pub fn other_node_retry_after(draw: f64) -> Duration {
    ELSEWHERE.mul_f64(draw)
}

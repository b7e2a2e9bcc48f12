//! The heartbeat interval, which bounds the bytes spent on heartbeats.

use std::time::Duration;

/// The heartbeat pace of one node.
///
/// An agent of a small pool is linked to hundreds of routers. At a fixed
/// interval its bytes per second would grow with the number of routers, so the
/// interval grows once the budget is reached. Each node announces its interval
/// in its heartbeats, and both sides of a link use the longer of the two.
/// Time-outs adapt to the observed gaps, and drain and goodbye are sent
/// immediately, so only the detection of a silent failure is slower.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// The shortest interval.
    pub shortest: Duration,
    /// The longest interval, regardless of the budget.
    pub longest: Duration,
    /// The budget for heartbeats in both directions, in bytes per second.
    pub budget: f64,
    /// The bytes of one heartbeat in each direction, with headers and acks.
    pub exchange: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            shortest: Duration::from_millis(500),
            longest: Duration::from_millis(2_500),
            budget: 24_000.0,
            exchange: 360.0,
        }
    }
}

impl Pace {
    /// Returns the interval between heartbeats to one peer.
    #[must_use]
    pub fn interval(&self, links: usize) -> Duration {
        let needed = Duration::from_secs_f64(links as f64 * self.exchange / self.budget);
        needed.clamp(self.shortest, self.longest)
    }
}

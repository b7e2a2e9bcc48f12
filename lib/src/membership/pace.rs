//! How often heartbeats go out, so that their bytes stay bounded.

use std::time::Duration;

/// The pace of heartbeats of one node.
///
/// An agent of a small pool is linked to hundreds of routers. At a fixed pace
/// its bytes a second would grow with the routers, so the pace falls once the
/// budget is reached. Each node says its own pace in its heartbeats and its
/// peers keep to the slower of the two. The timeout adapts to what arrives, and drain and goodbye
/// don't wait for the pace, so only the detection of silent death is later.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// The shortest interval.
    pub shortest: Duration,
    /// The longest interval, whatever the budget.
    pub longest: Duration,
    /// Bytes a second to spend on heartbeats, both ways.
    pub budget: f64,
    /// Bytes of one heartbeat to a peer and one from it, with headers and acks.
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

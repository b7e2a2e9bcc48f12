//! What a node that leaves still begins.

use std::time::Duration;

use snipeyoke_lib::serving::durations::Ahead;
use snipeyoke_lib::time::Time;

use crate::ticket::Ticket;

/// The times at which a node leaves.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stop {
    /// From when on a balancer sends no callers, unless it has too few nodes.
    pub(crate) aside: Time,
    /// When answers under way are cut.
    pub(crate) cut: Time,
}

impl Ticket {
    /// Tells whether its node leaves before the request can be expected to end.
    ///
    /// Cut at the end of the grace period, it would have to be done again from
    /// its start, with less time.
    pub(crate) fn outlasts_node(&self, ahead: Ahead) -> bool {
        let Some(stop) = self.shared.stop.get() else {
            return false;
        };
        let now = self.shared.now();
        let late = self.is_late_stream(stop);
        let bound = self.bound(ahead);
        let refused = late || now + bound.unwrap_or_default() > stop.cut;
        let millis = |time: Duration| time.as_millis().to_string();
        let known = bound.map(millis);
        log::info!(
            event = "leaving-judged",
            request = self.ask.id.as_str(),
            refused,
            late,
            bound_ms = known.as_deref().unwrap_or("-"),
            stop_ms = millis(stop.cut.since(now)).as_str();
            ""
        );
        refused
    }

    /// Returns when the request has to be sent at the latest for its answer to
    /// end before its node leaves.
    pub(crate) fn latest_send(&self) -> Time {
        let Some(stop) = self.shared.stop.get() else {
            return Time::NEVER;
        };
        stop.cut - self.bound(Ahead::Answer).unwrap_or_default()
    }

    /// Tells whether the request is a stream that came after the balancer had
    /// time to pass its node over.
    ///
    /// A stream that has begun can only be cut, and no estimate of its length is
    /// certain: those that come this late are not begun at all.
    fn is_late_stream(&self, stop: &Stop) -> bool {
        self.route.kind.is_stream() && self.began >= stop.aside
    }

    /// Returns the time within which what is ahead of the request ends; `None`
    /// if nothing is known against taking it.
    fn bound(&self, ahead: Ahead) -> Option<Duration> {
        let tokens = self.ask.prompt.and_then(|p| p.length());
        let durations = self.shared.durations();
        let bound = durations.bound(&self.route.name, tokens, ahead)?;
        // At its deadline it ends in any case.
        Some(bound.min(self.left()))
    }
}

//! What a node that leaves still begins.

use std::time::Duration;

use snipeyoke_lib::serving::durations::Ahead;
use snipeyoke_lib::time::Time;

use crate::ticket::Ticket;

/// The times at which a node leaves.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stop {
    /// From when on a balancer sends no callers, unless it has too few nodes.
    pub(crate) out_of_rotation: Time,
    /// When requests that wait for an answer are given up.
    pub(crate) given_up: Time,
    /// When answers under way are cut.
    pub(crate) cut: Time,
}

impl Ticket {
    /// Tells whether its node leaves before the request can be expected to end,
    /// and logs what that was judged by.
    ///
    /// Cut at the end of the grace period, it would have to be done again from
    /// its start, with less time.
    pub(crate) fn refused_by_leaving(&self, ahead: Ahead) -> bool {
        let Some(stop) = self.shared.stop.get() else {
            return false;
        };
        let now = self.shared.now();
        let late = self.is_late_stream(stop);
        let bound = self.bound(ahead);
        let over = now >= stop.given_up;
        let refused = late || over || now + bound.unwrap_or_default() > self.ends_by(stop);
        let millis = |time: Duration| time.as_millis().to_string();
        let known = bound.map(millis);
        log::info!(
            event = "leaving-judged",
            request = self.ask.id.as_str(),
            refused,
            late,
            bound_ms = known.as_deref().unwrap_or("-"),
            stop_ms = millis(self.ends_by(stop).since(now)).as_str();
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
        self.ends_by(stop) - self.bound(Ahead::Answer).unwrap_or_default()
    }

    /// Returns when the answer has to be complete.
    fn ends_by(&self, stop: &Stop) -> Time {
        if self.route.kind.is_stream() {
            stop.cut
        } else {
            stop.given_up
        }
    }

    /// Tells whether the request is a stream that came after the balancer had
    /// time to pass its node over.
    ///
    /// A stream that has begun can only be cut, and no estimate of its length is
    /// certain: those that come this late are not begun at all.
    fn is_late_stream(&self, stop: &Stop) -> bool {
        self.route.kind.is_stream() && self.began >= stop.out_of_rotation
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

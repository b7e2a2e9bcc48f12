//! What a node that leaves still begins.

use std::time::Duration;

use crate::time::Time;

/// The times at which a node leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// From when on a balancer sends no callers, unless it has too few nodes.
    pub out_of_rotation: Time,
    /// When requests that wait for an answer are given up.
    pub cancel_at: Time,
    /// When answers under way are cut.
    pub cut_at: Time,
}

/// A request at a node that leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingRequest {
    /// Whether its answer is a stream, which can only be cut once it has begun.
    pub stream: bool,
    /// When it came.
    pub arrived_at: Time,
    /// When it ends in any case.
    pub deadline: Time,
    /// The time within which what is ahead of it ends; `None` if nothing is
    /// known.
    pub remaining: Option<Duration>,
}

impl Shutdown {
    /// Tells whether a request is refused, since the node leaves before it can be
    /// expected to end.
    ///
    /// Cut at the end of the grace period, it would have to be done again from
    /// its start, with less time.
    #[must_use]
    pub fn should_refuse(&self, now: Time, request: &PendingRequest) -> bool {
        let ends = (now + request.remaining.unwrap_or_default()).min(request.deadline);
        self.is_late_stream(request)
            || now >= self.cancel_at
            || ends > self.response_deadline(request)
    }

    /// Returns when a request has to be sent at the latest for its answer, which
    /// is all that is ahead of it, to end before the node leaves.
    #[must_use]
    pub fn latest_send(&self, request: &PendingRequest) -> Time {
        let end = self.response_deadline(request);
        if request.deadline <= end {
            return Time::NEVER;
        }
        end - request.remaining.unwrap_or_default()
    }

    /// Returns when the answer has to be complete.
    #[must_use]
    pub const fn response_deadline(&self, request: &PendingRequest) -> Time {
        if request.stream {
            self.cut_at
        } else {
            self.cancel_at
        }
    }

    /// Tells whether a request is a stream that came after the balancer had time
    /// to pass the node over.
    ///
    /// No estimate of a stream's length is certain: those that come this late are
    /// not begun at all.
    #[must_use]
    pub fn is_late_stream(&self, request: &PendingRequest) -> bool {
        request.stream && request.arrived_at >= self.out_of_rotation
    }
}

//! Decides which requests a node still accepts during its shutdown.

use std::time::Duration;

use crate::time::Time;

/// The schedule of a node's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// When load balancers stop sending callers, unless too few nodes are left.
    pub out_of_rotation: Time,
    /// When requests that wait for a response are cancelled.
    pub cancel_at: Time,
    /// When streams in progress are cut.
    pub cut_at: Time,
}

/// A request at a node that shuts down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingRequest {
    /// Whether its response is a stream, which can only be cut once it has begun.
    pub stream: bool,
    /// When it arrived.
    pub arrived_at: Time,
    /// When it ends in any case.
    pub deadline: Time,
    /// An upper bound of its remaining time; `None` if unknown.
    pub remaining: Option<Duration>,
}

impl Shutdown {
    /// Returns whether to refuse a request that can't be expected to end before the shutdown.
    ///
    /// Cut at the end of the grace period, it would have to restart elsewhere with less time.
    #[must_use]
    pub fn should_refuse(&self, now: Time, request: &PendingRequest) -> bool {
        let ends = (now + request.remaining.unwrap_or_default()).min(request.deadline);
        self.is_late_stream(request)
            || now >= self.cancel_at
            || ends > self.response_deadline(request)
    }

    /// Returns the latest time to send a request so that its response ends before the shutdown.
    #[must_use]
    pub fn latest_send(&self, request: &PendingRequest) -> Time {
        let end = self.response_deadline(request);
        if request.deadline <= end {
            return Time::NEVER;
        }
        end - request.remaining.unwrap_or_default()
    }

    /// Returns when the response has to be complete.
    #[must_use]
    pub const fn response_deadline(&self, request: &PendingRequest) -> Time {
        if request.stream {
            self.cut_at
        } else {
            self.cancel_at
        }
    }

    /// Returns whether a request is a stream that arrived after load balancers had time to remove
    /// the node.
    ///
    /// Estimates of a stream's length are uncertain, so streams that arrive this late are refused.
    #[must_use]
    pub fn is_late_stream(&self, request: &PendingRequest) -> bool {
        request.stream && request.arrived_at >= self.out_of_rotation
    }
}

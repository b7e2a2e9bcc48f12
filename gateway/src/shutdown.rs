//! Admission of requests while the node shuts down.

use std::time::Duration;

use snipeyoke_lib::serving::durations::Remaining;
use snipeyoke_lib::serving::shutdown::PendingRequest;
use snipeyoke_lib::time::Time;

use crate::request_context::RequestContext;

impl RequestContext {
    /// Returns whether the node shuts down before the request is expected to
    /// end, and logs the basis of the decision.
    pub(crate) fn refused_by_shutdown(&self, remaining: Remaining) -> bool {
        let Some(shutdown) = self.shared.shutdown.get() else {
            return false;
        };
        let now = self.shared.now();
        let pending = self.pending_request(remaining);
        let refused = shutdown.should_refuse(now, &pending);
        let millis = |time: Duration| time.as_millis().to_string();
        let bound = pending.remaining.map(millis);
        log::info!(
            event = "leaving-judged",
            request = self.request.id.as_str(),
            refused,
            late = shutdown.is_late_stream(&pending),
            bound_ms = bound.as_deref().unwrap_or("-"),
            stop_ms = millis(shutdown.response_deadline(&pending).since(now)).as_str();
            ""
        );
        refused
    }

    /// Returns the latest send time for the response to end before the node
    /// shuts down.
    pub(crate) fn latest_send(&self) -> Time {
        let Some(shutdown) = self.shared.shutdown.get() else {
            return Time::NEVER;
        };
        shutdown.latest_send(&self.pending_request(Remaining::Answer))
    }

    fn pending_request(&self, remaining: Remaining) -> PendingRequest {
        let tokens = self.request.prompt.and_then(|p| p.output_length());
        let durations = self.shared.durations();
        PendingRequest {
            stream: self.route.kind.is_stream(),
            arrived_at: self.started_at,
            deadline: self.deadline,
            remaining: durations.bound(&self.route.name, tokens, remaining),
        }
    }
}

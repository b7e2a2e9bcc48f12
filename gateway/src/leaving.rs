//! What a node that leaves still begins.

use std::time::Duration;

use snipeyoke_lib::serving::durations::Remaining;
use snipeyoke_lib::serving::shutdown::PendingRequest;
use snipeyoke_lib::time::Time;

use crate::ticket::Ticket;

impl Ticket {
    /// Tells whether its node leaves before the request can be expected to end,
    /// and logs what that was judged by.
    pub(crate) fn refused_by_leaving(&self, ahead: Remaining) -> bool {
        let Some(stop) = self.shared.stop.get() else {
            return false;
        };
        let now = self.shared.now();
        let request = self.candidate(ahead);
        let refused = stop.should_refuse(now, &request);
        let millis = |time: Duration| time.as_millis().to_string();
        let known = request.remaining.map(millis);
        log::info!(
            event = "leaving-judged",
            request = self.ask.id.as_str(),
            refused,
            late = stop.is_late_stream(&request),
            bound_ms = known.as_deref().unwrap_or("-"),
            stop_ms = millis(stop.response_deadline(&request).since(now)).as_str();
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
        stop.latest_send(&self.candidate(Remaining::Answer))
    }

    fn candidate(&self, ahead: Remaining) -> PendingRequest {
        let tokens = self.ask.prompt.and_then(|p| p.output_length());
        let durations = self.shared.durations();
        PendingRequest {
            stream: self.route.kind.is_stream(),
            arrived_at: self.began,
            deadline: self.due,
            remaining: durations.bound(&self.route.name, tokens, ahead),
        }
    }
}

//! Admission of requests while the node shuts down.

use std::time::Duration;

use snipeyoke_lib::serving::durations::Ahead;
use snipeyoke_lib::serving::stopping::Candidate;
use snipeyoke_lib::time::Time;

use crate::request_context::RequestContext;

impl RequestContext {
    /// Returns whether the node shuts down before the request is expected to
    /// end, and logs the basis of the decision.
    pub(crate) fn refused_by_shutdown(&self, ahead: Ahead) -> bool {
        let Some(shutdown) = self.shared.shutdown.get() else {
            return false;
        };
        let now = self.shared.now();
        let candidate = self.candidate(ahead);
        let refused = shutdown.refuses(now, &candidate);
        let millis = |time: Duration| time.as_millis().to_string();
        let bound = candidate.ahead.map(millis);
        log::info!(
            event = "leaving-judged",
            request = self.request.id.as_str(),
            refused,
            late = shutdown.is_late_stream(&candidate),
            bound_ms = bound.as_deref().unwrap_or("-"),
            stop_ms = millis(shutdown.end(&candidate).since(now)).as_str();
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
        shutdown.latest_send(&self.candidate(Ahead::Answer))
    }

    fn candidate(&self, ahead: Ahead) -> Candidate {
        let tokens = self.request.prompt.and_then(|p| p.output_length());
        let durations = self.shared.durations();
        Candidate {
            stream: self.route.kind.is_stream(),
            began: self.started_at,
            due: self.deadline,
            ahead: durations.bound(&self.route.name, tokens, ahead),
        }
    }
}

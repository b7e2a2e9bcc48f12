//! Endpoints from which others may fetch KV caches.

use super::Directory;
use super::Endpoint;
use crate::ids::SoftwareVersion;
use crate::serving::endpoint_loss::Incarnation;
use crate::time::Time;

impl Directory {
    /// Returns the endpoint of a run if others may fetch from it now; `None` if the
    /// run has ended, leaves, rests, is paused or evacuated, or has another version.
    #[must_use]
    pub fn fetch_source(
        &self,
        now: Time,
        run: &Incarnation,
        version: &SoftwareVersion,
    ) -> Option<&Endpoint> {
        let endpoint = self.endpoints.get(&run.endpoint)?;
        let entry = &endpoint.entry;
        let is_same = entry.started_at == run.started_at && entry.version == *version;
        let is_usable = endpoint.is_open() && !endpoint.is_resting(now) && !endpoint.is_paused(now);
        (is_same && is_usable).then_some(endpoint)
    }
}

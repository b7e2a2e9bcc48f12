//! Chooses the endpoint for a job.

use std::time::Duration;

use super::endpoint::StageEndpoint;
use super::queue::BatchQueue;
use super::queue::JobId;
use super::queue::JobState;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::time::Time;

/// The cost of transferring 1 MB to another failure domain, as a delay.
///
/// For results of a few megabytes it is worth waiting for one or two calls.
const TRANSFER_COST_PER_MB: Duration = Duration::from_millis(40);

/// The maximum transfer cost.
///
/// About one call: a longer wait would cost the request more than the transfer.
const MAX_TRANSFER_COST: Duration = Duration::from_millis(250);

/// How long before the expected end of a call the next one is sent.
///
/// The round trip between two busy nodes takes some 30 ms, and the end of a call is known to
/// about the same accuracy.
const SEND_AHEAD: Duration = Duration::from_millis(50);

/// An endpoint considered for the next call.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) id: EndpointId,
    /// Whether it can be sent a call now.
    pub(super) is_ready: bool,
    /// Its free result memory, in bytes.
    pub(super) free_memory: u64,
}

impl BatchQueue {
    /// Returns the usable endpoints, without paused ones unless all are paused.
    pub(super) fn candidates(&mut self, now: Time) -> Vec<Candidate> {
        let usable = self.endpoints.iter().filter(|(_, e)| e.is_usable());
        let is_healthy = |(_, e): &(&EndpointId, &StageEndpoint)| !e.health.is_paused(now);
        let mut ids: Vec<EndpointId> = usable
            .clone()
            .filter(is_healthy)
            .map(|(id, _)| id.clone())
            .collect();
        if ids.is_empty() {
            ids = usable.map(|(id, _)| id.clone()).collect();
        }
        let candidates = ids.into_iter().map(|id| Candidate {
            is_ready: self.is_ready(now, &id),
            free_memory: self.free_memory(now, &id),
            id,
        });
        candidates.collect()
    }

    /// Returns the endpoint that would finish the job first.
    ///
    /// A ready endpoint without memory for the job is skipped: it would seem to finish first,
    /// and the job would wait for it while others have memory.
    pub(super) fn best_candidate<'a>(
        &self,
        now: Time,
        job_state: &JobState,
        candidates: &'a [Candidate],
    ) -> Option<&'a Candidate> {
        let items = job_state.waiting_items().min(self.limits.max_items);
        let min_memory = self.min_memory(job_state);
        let completion = |candidate: &&Candidate| {
            let endpoint = &self.endpoints[&candidate.id];
            let start = if endpoint.in_flight < self.limits.slots {
                now
            } else {
                endpoint.free_at.max(now)
            };
            let start = start
                .max(endpoint.full_until)
                .max(endpoint.pause_end(now, self.cold_share));
            let duration = endpoint.expected(now, self.expected_time(items));
            let retry_cost = duration.mul_f32(endpoint.health.failure_rate(now));
            start + duration + retry_cost + transfer_cost(job_state, endpoint)
        };
        let has_memory = |c: &&Candidate| !c.is_ready || c.free_memory >= min_memory;
        let permitted = candidates.iter().filter(|c| self.permits(&c.id, job_state));
        permitted.filter(has_memory).min_by_key(completion)
    }

    /// Returns whether an endpoint is in a region where a job may run.
    pub(super) fn permits(&self, endpoint: &EndpointId, job_state: &JobState) -> bool {
        let endpoint = self.endpoints.get(endpoint);
        endpoint.is_some_and(|e| job_state.job.homes.allows(e.region()))
    }

    /// Returns whether all endpoints that a job could use are evacuated.
    pub(super) fn is_evacuated_for(&self, job_state: &JobState) -> bool {
        let permitted = |e: &&StageEndpoint| job_state.job.homes.allows(e.region());
        let mut all = self.endpoints.values().filter(permitted);
        let usable = all.clone().any(StageEndpoint::is_usable);
        !usable && all.any(StageEndpoint::is_evacuated)
    }

    /// Returns whether an endpoint can be sent a call now.
    ///
    /// While full batches wait, the next call is sent shortly before the one in flight ends, so
    /// that the endpoint isn't idle for a round trip.
    fn is_ready(&self, now: Time, id: &EndpointId) -> bool {
        let endpoint = &self.endpoints[id];
        if endpoint.full_until > now || endpoint.pause_end(now, self.cold_share) > now {
            return false;
        }
        endpoint.in_flight < self.limits.slots
            || self.can_send_ahead(endpoint) && endpoint.free_at <= now + SEND_AHEAD
    }

    fn can_send_ahead(&self, endpoint: &StageEndpoint) -> bool {
        let queued = self.limits.queue > 0 && endpoint.in_flight == self.limits.slots;
        queued && self.waiting_items() >= self.limits.max_items
    }

    /// Returns when the next call may be sent ahead of the end of another.
    pub(super) fn next_send_ahead(&self) -> Option<Time> {
        let endpoints = self.endpoints.values().filter(|e| self.can_send_ahead(e));
        endpoints.map(|e| e.free_at - SEND_AHEAD).min()
    }

    pub(super) fn is_local(&self, endpoint: &EndpointId, id: JobId) -> bool {
        let job = &self.jobs[&id].job;
        let inputs = job.input_source.as_ref().map(|(domain, _)| domain);
        inputs.or(job.result_domain.as_ref()) == Some(&self.endpoints[endpoint].entry.domain)
    }
}

/// Returns the cost of transferring a job's inputs and results across failure domains, as a delay.
///
/// Each item reads all inputs of its job, which are often many times the size of its results.
fn transfer_cost(job_state: &JobState, endpoint: &StageEndpoint) -> Duration {
    let job = &job_state.job;
    let is_remote = |domain: &FailureDomain| *domain != endpoint.entry.domain;
    let results = job.result_domain.as_ref().filter(|d| is_remote(d));
    let results = results.map_or(0, |_| job.result_bytes.0);
    let inputs = job.input_source.as_ref().filter(|(d, _)| is_remote(d));
    let inputs = inputs.map_or(0, |(_, bytes)| bytes.0);
    let bytes = (results + inputs) * job_state.waiting_items() as u64;
    TRANSFER_COST_PER_MB
        .mul_f64(bytes as f64 / 1e6)
        .min(MAX_TRANSFER_COST)
}

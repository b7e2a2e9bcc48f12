//! Which endpoint a job goes to.

use std::time::Duration;

use super::endpoint::StageEndpoint;
use super::queue::BatchQueue;
use super::queue::JobId;
use super::queue::JobState;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::time::Time;

/// What a result's way to another failure domain is worth, for each megabyte.
///
/// Results of a few megabytes are worth the wait for one or two calls.
const TRANSFER_COST_PER_MB: Duration = Duration::from_millis(40);

/// The most that it is worth.
///
/// About a call: for more than that a request loses more by its delay.
const MAX_TRANSFER_COST: Duration = Duration::from_millis(250);

/// How long before the end of a call the next one is sent.
///
/// The way there and back, and the time of two busy nodes, are some 30 ms; the
/// end of a call is known to about as much.
const SEND_AHEAD: Duration = Duration::from_millis(50);

/// An endpoint as a place for the next call.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) id: EndpointId,
    /// Whether it takes a call now.
    pub(super) is_ready: bool,
    /// The memory for results that it has left, in bytes.
    pub(super) free_memory: u64,
}

impl BatchQueue {
    /// Returns the endpoints that work may go to.
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

    /// Returns the endpoint that would have the job done first.
    ///
    /// One without work and without memory for the job is left out: it would
    /// look like the first one, and the job would wait for it while others
    /// have room.
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
            let start = start.max(endpoint.full_until);
            let duration = self
                .expected_time(items)
                .mul_f32(endpoint.health.slowness(now).max(0.5));
            let retry_cost = duration.mul_f32(endpoint.health.failure_rate(now));
            start + duration + retry_cost + transfer_cost(job_state, endpoint)
        };
        let has_memory = |c: &&Candidate| !c.is_ready || c.free_memory >= min_memory;
        candidates.iter().filter(has_memory).min_by_key(completion)
    }

    /// Tells whether an endpoint takes a call now, or in a moment.
    ///
    /// While whole batches wait, the next call is sent a little before the one
    /// at work ends: an endpoint that waits for us does nothing meanwhile.
    fn is_ready(&self, now: Time, id: &EndpointId) -> bool {
        let endpoint = &self.endpoints[id];
        if endpoint.full_until > now {
            return false;
        }
        endpoint.in_flight < self.limits.slots
            || self.can_send_ahead(endpoint) && endpoint.free_at <= now + SEND_AHEAD
    }

    fn can_send_ahead(&self, endpoint: &StageEndpoint) -> bool {
        let queued = self.limits.queue > 0 && endpoint.in_flight == self.limits.slots;
        queued && self.waiting_items() >= self.limits.max_items
    }

    /// Returns when a call may next be sent ahead of the end of another.
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

/// Returns what it costs, in time, to read a job's inputs and results across
/// failure domains.
///
/// Each piece reads all inputs of its job: what a job reads is often many times
/// what it makes.
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

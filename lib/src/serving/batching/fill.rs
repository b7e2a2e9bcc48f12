//! Chooses the items of the next batch.

use std::time::Duration;

use super::contention::SendRank;
use super::endpoint::StageEndpoint;
use super::queue::BatchCall;
use super::queue::BatchItem;
use super::queue::BatchQueue;
use super::queue::InFlightCall;
use super::queue::JobId;
use super::queue::JobState;
use super::queue::OVERDUE_FACTOR;
use super::queue::OVERDUE_MARGIN;
use crate::ids::EndpointId;
use crate::time::Time;
use crate::units::Bytes;

/// The fraction of an endpoint's memory that is filled with results.
///
/// Result sizes are estimates; a tenth covers the spread of a dozen or so.
const USABLE_MEMORY_FRACTION: f64 = 0.9;

/// How much each priority level delays a job's target time in the send order.
///
/// About two calls: less urgent jobs yield while calls are scarce, and are sent in order
/// otherwise.
const PRIORITY_STEP: Duration = Duration::from_millis(500);

impl BatchQueue {
    pub(super) fn next_batch(&mut self, now: Time) -> Option<BatchCall> {
        let candidates = self.candidates(now);
        let ready = candidates.iter().filter(|c| c.is_ready);
        let free = ready.map(|c| c.free_memory).max()?;
        let waiting = self.jobs.iter().filter(|(_, j)| j.waiting_items() > 0);
        waiting
            .map(|(_, j)| self.min_memory(j))
            .min()
            .filter(|&n| n <= free)?;
        let order = self.send_order(now);
        for &(_, id) in &order {
            let job_state = &self.jobs[&id];
            let permitted = candidates.iter().any(|c| self.permits(&c.id, job_state));
            if free < self.min_memory(job_state) || !permitted {
                continue;
            }
            let candidate = self.best_candidate(now, job_state, &candidates)?;
            if candidate.is_ready {
                let endpoint = candidate.id.clone();
                return Some(self.fill_batch(now, &endpoint, id, &order));
            }
        }
        None
    }

    /// Returns the jobs with waiting items and their ranks, the most urgent first.
    ///
    /// Jobs that can be on time are ordered by target time plus the delay of their priority.
    /// Late jobs follow, since a late response loses less by waiting.
    fn send_order(&self, now: Time) -> Vec<(SendRank, JobId)> {
        if let Some(order) = self.contended_order(now) {
            return order;
        }
        let waiting = self.jobs.iter().filter(|(_, j)| j.waiting_items() > 0);
        let mut order: Vec<(bool, Time, JobId)> = waiting
            .map(|(&id, job_state)| {
                let late = job_state.late;
                let time = if late {
                    job_state.job.deadline
                } else {
                    job_state.job.target
                };
                (late, time + priority_delay(job_state), id)
            })
            .collect();
        order.sort();
        let order = order.into_iter();
        order
            .map(|(late, _, id)| (SendRank::of_late(late), id))
            .collect()
    }

    /// Returns how long all endpoints that a job may use rest; zero if one of them
    /// does not.
    pub(super) fn rest_time(&self, now: Time, job_state: &JobState) -> Duration {
        let usable = self.endpoints.values().filter(|e| e.is_usable());
        let permitted = usable.filter(|e| job_state.job.homes.allows(e.region()));
        let first_end = permitted.map(StageEndpoint::rest_until).min();
        first_end.map_or(Duration::ZERO, |at| at.since(now))
    }

    /// Returns the time needed to clear the backlog.
    pub(super) fn backlog_time(&self, now: Time) -> Duration {
        let calls = self.waiting_items() as f64 / self.limits.max_items as f64;
        let slots = f64::from(self.limits.slots) * self.effective_endpoints(now);
        self.expected_time(self.limits.max_items)
            .mul_f64(calls / slots)
    }

    /// Returns the number of usable endpoints, counting slow ones as fractions.
    pub(super) fn effective_endpoints(&self, now: Time) -> f64 {
        let healthy =
            |e: &&StageEndpoint| e.is_usable() && !e.health.is_paused(now) && !e.is_resting(now);
        let call = self.expected_time(self.limits.max_items);
        let speed = |e: &StageEndpoint| match &e.speed {
            None => e.usable_fraction(call) / f64::from(e.health.slowness(now).max(0.5)),
            Some(_) => e.usable_fraction(call) * e.speed_ratio(now),
        };
        let speeds: f64 = self.endpoints.values().filter(healthy).map(speed).sum();
        speeds.max(0.1)
    }

    /// Returns the minimum number of items of a job to start at once.
    ///
    /// A job is not split for lack of memory: its first results would hold memory while its last
    /// items wait for some.
    fn min_items(&self, job_state: &JobState) -> usize {
        let fitting = self.limits.result_memory.0 as f64 * USABLE_MEMORY_FRACTION
            / job_state.job.result_bytes.0.max(1) as f64;
        job_state
            .waiting_items()
            .min(self.limits.max_items)
            .min((fitting as usize).max(1))
    }

    /// Returns the result memory, in bytes, that starting a job requires.
    pub(super) fn min_memory(&self, job_state: &JobState) -> u64 {
        self.min_items(job_state) as u64 * job_state.job.result_bytes.0.max(1)
    }

    /// Returns the free result memory of an endpoint, in bytes.
    pub(super) fn free_memory(&mut self, now: Time, endpoint: &EndpointId) -> u64 {
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            return 0;
        };
        let used = endpoint.memory.used(now).0;
        // A result larger than the whole memory is attempted on an empty endpoint only.
        if used == 0 {
            return u64::MAX;
        }
        let usable = (self.limits.result_memory.0 as f64 * USABLE_MEMORY_FRACTION) as u64;
        usable.saturating_sub(used)
    }

    /// Returns how many results of a job fit in an endpoint's memory.
    fn fitting_items(&mut self, now: Time, endpoint: &EndpointId, id: JobId) -> usize {
        let each = self.jobs[&id].job.result_bytes.0.max(1);
        let free = self.free_memory(now, endpoint);
        if free == u64::MAX {
            let usable = (self.limits.result_memory.0 as f64 * USABLE_MEMORY_FRACTION) as u64;
            return (usable / each).max(1) as usize;
        }
        (free / each) as usize
    }

    fn fill_batch(
        &mut self,
        now: Time,
        endpoint: &EndpointId,
        first: JobId,
        order: &[(SendRank, JobId)],
    ) -> BatchCall {
        let per_endpoint = self.items_per_idle_endpoint(now);
        let mut items = Vec::new();
        let mut result_bytes = Vec::new();
        let mut reserved = 0;
        // Among jobs of equal rank, local ones come first: the others have endpoints in their own
        // failure domain.
        let mut others: Vec<(SendRank, bool, JobId)> = order
            .iter()
            .filter(|&&(_, id)| id != first)
            .map(|&(rank, id)| (rank, !self.is_local(endpoint, id), id))
            .collect();
        others.sort_by_key(|&(rank, remote, _)| (rank, remote));
        let others = others.into_iter().map(|(_, _, id)| id);
        for id in std::iter::once(first).chain(others) {
            let allowed = self.max_items_of(endpoint, id, (first, per_endpoint), items.len());
            let fits = self.fitting_items(now, endpoint, id);
            let short_of_memory =
                id != first && fits < allowed.min(self.min_items(&self.jobs[&id]));
            let fits = fits.min(allowed);
            if fits == 0 || short_of_memory {
                continue;
            }
            let each = self.jobs[&id].job.result_bytes;
            let dequeued = self.dequeue_items(now, id, fits);
            let bytes = each.0 * dequeued.len() as u64;
            reserved += bytes;
            self.reserve_memory(endpoint, Bytes(bytes));
            result_bytes.extend(dequeued.iter().map(|_| each));
            items.extend(dequeued);
        }
        self.start_call(now, endpoint, items, result_bytes, Bytes(reserved))
    }

    /// Returns how many items of a job may join a batch that already has `filled` items.
    ///
    /// Jobs stay whole and are spread over the idle endpoints. Once a batch for each of those
    /// waits, batches are filled with parts of jobs too, for throughput.
    fn max_items_of(
        &self,
        endpoint: &EndpointId,
        id: JobId,
        (first, per_endpoint): (JobId, usize),
        filled: usize,
    ) -> usize {
        if !self.permits(endpoint, &self.jobs[&id]) {
            return 0;
        }
        let waiting = self.jobs[&id].waiting_items();
        let max = self
            .limits
            .max_items
            .min(self.endpoints[endpoint].max_items);
        let backlogged = per_endpoint >= max;
        let allowed = if id == first || backlogged || self.is_local(endpoint, id) {
            max
        } else {
            per_endpoint.min(max)
        };
        let remaining = allowed.saturating_sub(filled);
        let fits = waiting <= remaining || id == first || backlogged;
        if fits { remaining } else { 0 }
    }

    /// Returns the items per call if the idle endpoints share the waiting items.
    fn items_per_idle_endpoint(&self, now: Time) -> usize {
        let idle = self.endpoints.values();
        let idle = idle.filter(|e| {
            let is_usable = e.is_usable() && !e.is_resting(now);
            is_usable && e.in_flight < self.limits.slots && e.full_until <= now
        });
        self.waiting_items().div_ceil(idle.count().max(1))
    }

    fn dequeue_items(&mut self, now: Time, id: JobId, max: usize) -> Vec<BatchItem> {
        let Some(job_state) = self.jobs.get_mut(&id) else {
            return Vec::new();
        };
        let job = &job_state.job;
        let waiting = job_state
            .items
            .iter_mut()
            .filter(|(_, i)| i.waiting)
            .take(max);
        let items = waiting.map(|(&item, item_state)| {
            item_state.waiting = false;
            item_state.in_flight += 1;
            BatchItem {
                job: id,
                request: job.request.clone(),
                fingerprint: job.fingerprint,
                stage: job.stage,
                item,
                remaining: job.deadline.since(now),
                input: job.input.clone(),
                key: job.key.clone(),
            }
        });
        let items: Vec<BatchItem> = items.collect();
        if let Some(shares) = &mut self.shares {
            let account = job.chain.as_ref().and_then(|c| c.account.as_ref());
            shares.record_served(now, account, items.len() as f64);
        }
        items
    }

    fn reserve_memory(&mut self, endpoint: &EndpointId, bytes: Bytes) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.memory.reserve(bytes);
        }
    }

    fn start_call(
        &mut self,
        now: Time,
        endpoint: &EndpointId,
        items: Vec<BatchItem>,
        result_bytes: Vec<Bytes>,
        reserved: Bytes,
    ) -> BatchCall {
        let expected = self.expected_time(items.len());
        let backlogged = self.waiting_items() >= self.limits.max_items;
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            unreachable!("the endpoint was just chosen");
        };
        let id = self.next_call;
        self.next_call += 1;
        let waits = endpoint.in_flight >= self.limits.slots;
        let started_at = if waits {
            endpoint.free_at.max(now)
        } else {
            now
        };
        endpoint.in_flight += 1;
        endpoint.record_call(now);
        endpoint.free_at = started_at + endpoint.expected(now, expected);
        let expected_here = endpoint.expected_when_well(now, expected);
        let in_flight_call = InFlightCall {
            endpoint: endpoint.entry.id.clone(),
            items: items.iter().map(|i| (i.job, i.item)).collect(),
            reserved,
            result_bytes,
            sent_at: now,
            started_at,
            expected,
            expected_here,
            waits,
            overdue_at: Some(started_at + expected_here * OVERDUE_FACTOR + OVERDUE_MARGIN),
            abandoned: false,
            backlogged,
        };
        self.calls.insert(id, in_flight_call);
        let timeout = items.iter().map(|i| i.remaining).max().unwrap_or_default();
        BatchCall {
            id,
            entry: endpoint.entry.clone(),
            items,
            expected: expected_here,
            timeout,
        }
    }

    pub(super) fn expected_time(&self, items: usize) -> Duration {
        self.limits.call_overhead + self.limits.item_time * items as u32
    }
}

/// Returns how much a job's priority delays it in the send order.
pub(super) fn priority_delay(job_state: &JobState) -> Duration {
    PRIORITY_STEP * u32::from(job_state.job.priority)
}

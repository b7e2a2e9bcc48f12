//! Determines which waiting jobs can be on time together.
//!
//! In a burst, jobs served strictly by target time would all be slightly late. Dropping as few as
//! possible keeps the others on time (the Moore-Hodgson algorithm): jobs are added by target
//! time, and whenever one would be late, the least urgent and largest job so far is dropped.

use std::collections::BinaryHeap;
use std::time::Duration;

use super::endpoint::StageEndpoint;
use super::fill::priority_delay;
use super::queue::BatchQueue;
use super::queue::InFlightCall;
use super::queue::JobId;
use super::queue::JobState;
use crate::time::Time;

/// The interval at which late jobs are marked; a new job counts as on time until then.
///
/// A tenth of a call.
const UPDATE_INTERVAL: Duration = Duration::from_millis(20);

/// The weight of the newest call in the moving average of the item rate.
const RATE_WEIGHT: f64 = 0.1;

/// A job that can be on time along with those added before it.
///
/// Ordered by which is dropped first: the least urgent, then the largest, then the one with the
/// earliest target, since dropping that one gives time to all the others.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OnTimeJob {
    /// Its priority, where 0 is the most urgent, and its number of waiting items; where
    /// callers compete, the standing of its request instead of the items.
    rank: (u8, usize),
    /// Larger for what is dropped first among equal ranks.
    drop_order: u64,
    id: JobId,
    items: usize,
}

impl BatchQueue {
    /// Marks the jobs that can't be on time along with the others.
    pub(super) fn mark_late_jobs(&mut self, now: Time) {
        if now.since(self.late_updated_at) < UPDATE_INTERVAL {
            return;
        }
        self.late_updated_at = now;
        self.mark_over_share(now);
        let late = self.late_jobs(now);
        for (id, job_state) in &mut self.jobs {
            job_state.late = late.binary_search(id).is_ok();
        }
    }

    /// Returns the jobs that will be late, sorted by id.
    fn late_jobs(&self, now: Time) -> Vec<JobId> {
        let rate = self.service_rate(now);
        let start = now + self.median_wait(now);
        let backlogged = self.waiting_items() >= self.limits.max_items;
        let mut on_time = BinaryHeap::new();
        let mut on_time_items = 0;
        let mut late = Vec::new();
        for (adjusted_target, id) in self.jobs_by_target() {
            let job_state = &self.jobs[&id];
            let waiting = job_state.waiting_items();
            let call = if backlogged {
                self.limits.max_items
            } else {
                waiting
            };
            let target = job_state.job.target;
            let done = |before: usize| {
                let before = Duration::from_secs_f64(before as f64 / rate);
                start + before + self.expected_time(call)
            };
            if done(0) > target {
                late.push(id);
                continue;
            }
            let standing = self.standing(job_state).map(usize::from);
            on_time.push(OnTimeJob {
                rank: (job_state.job.priority, standing.unwrap_or(waiting)),
                drop_order: match standing {
                    Some(_) => adjusted_target.as_micros(),
                    None => u64::MAX - adjusted_target.as_micros(),
                },
                id,
                items: waiting,
            });
            on_time_items += waiting;
            while done(on_time_items - waiting.min(on_time_items)) > target {
                let Some(dropped) = on_time.pop() else {
                    break;
                };
                on_time_items -= dropped.items;
                late.push(dropped.id);
                if dropped.id == id {
                    break;
                }
            }
        }
        late.sort_unstable();
        late
    }

    /// Returns the jobs with waiting items, sorted by target time adjusted for priority.
    fn jobs_by_target(&self) -> Vec<(Time, JobId)> {
        let waiting = self.jobs.iter().filter(|(_, j)| j.waiting_items() > 0);
        let adjusted_target =
            |(&id, j): (&JobId, &JobState)| (j.job.target + priority_delay(j), id);
        let mut targets: Vec<(Time, JobId)> = waiting.map(adjusted_target).collect();
        targets.sort();
        targets
    }

    /// Returns the items per second of all endpoints together under backlog.
    pub(super) fn service_rate(&self, now: Time) -> f64 {
        let nominal =
            self.limits.max_items as f64 / self.expected_time(self.limits.max_items).as_secs_f64();
        let rate = self.item_rate.unwrap_or(nominal);
        rate * f64::from(self.limits.slots) * self.effective_endpoints(now)
    }

    /// Returns the time until half of the endpoints are free.
    fn median_wait(&self, now: Time) -> Duration {
        let usable = self.endpoints.values().filter(|e| e.is_usable());
        let wait = |e: &StageEndpoint| {
            if e.in_flight < self.limits.slots {
                Duration::ZERO
            } else {
                e.free_at.since(now)
            }
        };
        let mut waits: Vec<Duration> = usable.map(wait).collect();
        waits.sort();
        waits.get(waits.len() / 2).copied().unwrap_or_default()
    }

    /// Updates the item rate with the calls of an endpoint under backlog.
    ///
    /// Partial batches, scarce memory and the round trip make endpoints slower than their call
    /// times alone suggest.
    pub(super) fn record_rate(&mut self, now: Time, call: &InFlightCall) {
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else {
            return;
        };
        let before = endpoint.last_call_end.take();
        if !call.backlogged || call.abandoned {
            return;
        }
        endpoint.last_call_end = Some(now);
        // Memory is scarce for no longer than the time-to-live of results: after a longer gap
        // the endpoint was idle.
        let ttl = self.limits.result_ttl;
        let recent = |at: &Time| *at < now && now.since(*at) <= ttl;
        let Some(before) = before.filter(recent) else {
            return;
        };
        let rate = call.items.len() as f64 / now.since(before).as_secs_f64();
        let average = self.item_rate.unwrap_or(rate);
        self.item_rate = Some(average + RATE_WEIGHT * (rate - average));
    }
}

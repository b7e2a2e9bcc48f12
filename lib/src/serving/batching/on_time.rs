//! Which waiting jobs can be on time together.
//!
//! In a burst more waits than can be done by its goal. Served by goal alone,
//! each job leaves at the last moment and every one is a little late. Leaving
//! out as few as possible keeps the others on time (Moore and Hodgson's rule):
//! jobs are taken by their goal, and whenever one can't make it, the least
//! urgent and largest of those taken is left out.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::endpoint::StageEndpoint;
use super::fill::priority_delay;
use super::queue::BatchQueue;
use super::queue::InFlightCall;
use super::queue::JobId;
use super::queue::JobState;
use crate::time::Time;

/// The time between two looks.
///
/// A tenth of a call. A new job counts as one that can be on time until then.
const UPDATE_INTERVAL: Duration = Duration::from_millis(20);

/// The weight of the newest call in the pace.
const RATE_WEIGHT: f64 = 0.1;

/// A job that can be on time beside those taken before it.
///
/// The first to be left out is the least urgent, then the largest, then the one
/// with the earliest goal: without it all the others gain time, where without
/// the latest one every job would still leave at the last moment.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OnTimeJob {
    /// Its urgency, 0 is first, and its waiting pieces.
    rank: (u8, usize),
    adjusted_target: Reverse<Time>,
    id: JobId,
}

impl BatchQueue {
    /// Marks the jobs that can't be on time beside the others.
    pub(super) fn mark_late_jobs(&mut self, now: Time) {
        if now.since(self.late_updated_at) < UPDATE_INTERVAL {
            return;
        }
        self.late_updated_at = now;
        let late = self.late_jobs(now);
        for (id, job_state) in &mut self.jobs {
            job_state.late = late.binary_search(id).is_ok();
        }
    }

    /// Returns the jobs to leave out, in the order of their numbers.
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
            on_time.push(OnTimeJob {
                rank: (job_state.job.priority, waiting),
                adjusted_target: Reverse(adjusted_target),
                id,
            });
            on_time_items += waiting;
            while done(on_time_items - waiting.min(on_time_items)) > target {
                let Some(dropped) = on_time.pop() else {
                    break;
                };
                on_time_items -= dropped.rank.1;
                late.push(dropped.id);
                if dropped.id == id {
                    break;
                }
            }
        }
        late.sort_unstable();
        late
    }

    /// Returns the jobs with waiting pieces, in the order in which they leave.
    fn jobs_by_target(&self) -> Vec<(Time, JobId)> {
        let waiting = self.jobs.iter().filter(|(_, j)| j.waiting_items() > 0);
        let adjusted_target =
            |(&id, j): (&JobId, &JobState)| (j.job.target + priority_delay(j), id);
        let mut targets: Vec<(Time, JobId)> = waiting.map(adjusted_target).collect();
        targets.sort();
        targets
    }

    /// Returns the pieces that all endpoints do in a second while many wait.
    fn service_rate(&self, now: Time) -> f64 {
        let nominal =
            self.limits.max_items as f64 / self.expected_time(self.limits.max_items).as_secs_f64();
        let rate = self.item_rate.unwrap_or(nominal);
        rate * f64::from(self.limits.slots) * self.effective_endpoints(now)
    }

    /// Returns how long it takes until half of the endpoints are free.
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

    /// Learns how fast an endpoint is while many pieces wait.
    ///
    /// Calls that leave early, memory that is short and the way there and back
    /// make it slower than its call times alone would say.
    pub(super) fn record_rate(&mut self, now: Time, call: &InFlightCall) {
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else {
            return;
        };
        let before = endpoint.last_call_end.take();
        if !call.backlogged || call.abandoned {
            return;
        }
        endpoint.last_call_end = Some(now);
        // Room is short for no longer than results are kept: after a longer
        // time the endpoint had nothing to do.
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

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

use super::fill::step;
use super::maker::Maker;
use super::queue::BatchQueue;
use super::queue::Call;
use super::queue::Held;
use super::queue::JobId;
use crate::time::Time;

/// The time between two looks.
///
/// A tenth of a call. A new job counts as one that can be on time until then.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// The weight of the newest call in the pace.
const WEIGHT: f64 = 0.1;

/// A job that can be on time beside those taken before it.
///
/// The first to be left out is the least urgent, then the largest, then the one
/// with the earliest goal: without it all the others gain time, where without
/// the latest one every job would still leave at the last moment.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Taken {
    /// Its urgency, 0 is first, and its waiting pieces.
    cost: (u8, usize),
    turn: Reverse<Time>,
    id: JobId,
}

impl BatchQueue {
    /// Marks the jobs that can't be on time beside the others.
    pub(super) fn sort_out(&mut self, now: Time) {
        if now.since(self.sorted) < LOOK_EVERY {
            return;
        }
        self.sorted = now;
        let late = self.left_out(now);
        for (id, held) in &mut self.jobs {
            held.late = late.binary_search(id).is_ok();
        }
    }

    /// Returns the jobs to leave out, in the order of their numbers.
    fn left_out(&self, now: Time) -> Vec<JobId> {
        let rate = self.rate(now);
        let begin = now + self.until_free(now);
        let crowded = self.waiting_items() >= self.limits.max_items;
        let mut taken = BinaryHeap::new();
        let mut pieces = 0;
        let mut late = Vec::new();
        for (turn, id) in self.turns() {
            let held = &self.jobs[&id];
            let own = held.waiting_items();
            let call = if crowded { self.limits.max_items } else { own };
            let goal = held.job.target;
            let done = |before: usize| {
                let before = Duration::from_secs_f64(before as f64 / rate);
                begin + before + self.expected(call)
            };
            if done(0) > goal {
                late.push(id);
                continue;
            }
            taken.push(Taken {
                cost: (held.job.priority, own),
                turn: Reverse(turn),
                id,
            });
            pieces += own;
            while done(pieces - own.min(pieces)) > goal {
                let Some(dropped) = taken.pop() else {
                    break;
                };
                pieces -= dropped.cost.1;
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
    fn turns(&self) -> Vec<(Time, JobId)> {
        let waiting = self.jobs.iter().filter(|(_, h)| h.waiting_items() > 0);
        let turn = |(&id, h): (&JobId, &Held)| (h.job.target + step(h), id);
        let mut turns: Vec<(Time, JobId)> = waiting.map(turn).collect();
        turns.sort();
        turns
    }

    /// Returns the pieces that all endpoints do in a second while many wait.
    fn rate(&self, now: Time) -> f64 {
        let usual =
            self.limits.max_items as f64 / self.expected(self.limits.max_items).as_secs_f64();
        let pace = self.pace.unwrap_or(usual);
        pace * f64::from(self.limits.slots) * self.speeds(now)
    }

    /// Returns how long it takes until half of the endpoints are free.
    fn until_free(&self, now: Time) -> Duration {
        let usable = self.makers.values().filter(|m| m.is_usable());
        let busy = |m: &Maker| {
            if m.calls < self.limits.slots {
                Duration::ZERO
            } else {
                m.free_at.since(now)
            }
        };
        let mut waits: Vec<Duration> = usable.map(busy).collect();
        waits.sort();
        waits.get(waits.len() / 2).copied().unwrap_or_default()
    }

    /// Learns how fast an endpoint is while many pieces wait.
    ///
    /// Calls that leave early, memory that is short and the way there and back
    /// make it slower than its call times alone would say.
    pub(super) fn note_pace(&mut self, now: Time, call: &Call) {
        let Some(maker) = self.makers.get_mut(&call.endpoint) else {
            return;
        };
        let before = maker.last_end.take();
        if !call.crowded || call.given_up {
            return;
        }
        maker.last_end = Some(now);
        // Room is short for no longer than results are kept: after a longer
        // time the endpoint had nothing to do.
        let keep = self.limits.result_ttl;
        let recent = |at: &Time| *at < now && now.since(*at) <= keep;
        let Some(before) = before.filter(recent) else {
            return;
        };
        let pace = call.items.len() as f64 / now.since(before).as_secs_f64();
        let known = self.pace.unwrap_or(pace);
        self.pace = Some(known + WEIGHT * (pace - known));
    }
}

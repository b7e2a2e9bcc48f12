//! Which pieces leave next, and on which call.

use std::time::Duration;

use super::maker::Maker;
use super::queue::BatchCall;
use super::queue::BatchItem;
use super::queue::BatchQueue;
use super::queue::Call;
use super::queue::Held;
use super::queue::JobId;
use super::queue::OVERDUE;
use super::queue::OVERDUE_MORE;
use crate::ids::EndpointId;
use crate::time::Time;
use crate::units::Bytes;

/// The part of an endpoint's memory that is planned for.
///
/// Sizes of results are only approximate; a tenth covers the spread of some
/// dozen of them.
const ROOM_USED: f64 = 0.9;

/// How far a level of urgency puts a job's goal off.
///
/// About two calls: less urgent jobs wait while calls are scarce, and go in
/// turn as soon as they are not.
const URGENCY_STEP: Duration = Duration::from_millis(500);

impl BatchQueue {
    pub(super) fn next_send(&mut self, now: Time) -> Option<BatchCall> {
        let spots = self.spots(now);
        let idle = spots.iter().filter(|s| s.idle);
        let free = idle.map(|s| s.free).max()?;
        let waiting = self.jobs.iter().filter(|(_, h)| h.waiting_items() > 0);
        waiting
            .map(|(_, h)| self.need(h))
            .min()
            .filter(|&n| n <= free)?;
        let order = self.order();
        for &(_, id) in &order {
            let held = &self.jobs[&id];
            if free < self.need(held) {
                continue;
            }
            let spot = self.best(now, held, &spots)?;
            if spot.idle {
                let maker = spot.id.clone();
                return Some(self.fill(now, &maker, id, &order));
            }
        }
        None
    }

    /// Returns the jobs with waiting pieces, the most urgent first, and which
    /// of them are late.
    ///
    /// Those that can still be on time go by their goal, put off by a step for
    /// each level of urgency; the late ones after them, as an answer that is
    /// late anyway loses less by waiting.
    fn order(&self) -> Vec<(bool, JobId)> {
        let waiting = self.jobs.iter().filter(|(_, h)| h.waiting_items() > 0);
        let mut order: Vec<(bool, Time, JobId)> = waiting
            .map(|(&id, held)| {
                let late = held.late;
                let by = if late {
                    held.job.deadline
                } else {
                    held.job.target
                };
                (late, by + step(held), id)
            })
            .collect();
        order.sort();
        order.into_iter().map(|(late, _, id)| (late, id)).collect()
    }

    /// Returns the time in which all that waits would be done.
    pub(super) fn clear_time(&self, now: Time) -> Duration {
        let calls = self.waiting_items() as f64 / self.limits.max_items as f64;
        let slots = f64::from(self.limits.slots) * self.speeds(now);
        self.expected(self.limits.max_items).mul_f64(calls / slots)
    }

    /// Returns the number of endpoints that work, slow ones as parts of one.
    pub(super) fn speeds(&self, now: Time) -> f64 {
        let well = |m: &&Maker| m.is_usable() && !m.health.is_paused(now);
        let speed = |m: &Maker| 1.0 / f64::from(m.health.slowness(now).max(0.5));
        let speeds: f64 = self.makers.values().filter(well).map(speed).sum();
        speeds.max(0.1)
    }

    /// Returns the pieces of a job that make a call worth while.
    ///
    /// A job is not begun in parts for lack of room: its first results would
    /// take room for as long as the last ones wait for some.
    fn least(&self, held: &Held) -> usize {
        let most =
            self.limits.result_memory.0 as f64 * ROOM_USED / held.job.result_bytes.0.max(1) as f64;
        held.waiting_items()
            .min(self.limits.max_items)
            .min((most as usize).max(1))
    }

    /// Returns the memory that makes a call for a job worth while.
    pub(super) fn need(&self, held: &Held) -> u64 {
        self.least(held) as u64 * held.job.result_bytes.0.max(1)
    }

    /// Returns the memory for results that an endpoint has left.
    pub(super) fn free(&mut self, now: Time, maker: &EndpointId) -> u64 {
        let Some(maker) = self.makers.get_mut(maker) else {
            return 0;
        };
        let taken = maker.room.taken(now).0;
        // A result larger than all of the memory can only be tried.
        if taken == 0 {
            return u64::MAX;
        }
        let room = (self.limits.result_memory.0 as f64 * ROOM_USED) as u64;
        room.saturating_sub(taken)
    }

    /// Returns how many results of a job an endpoint has room for.
    fn fits(&mut self, now: Time, maker: &EndpointId, id: JobId) -> usize {
        let each = self.jobs[&id].job.result_bytes.0.max(1);
        let free = self.free(now, maker);
        if free == u64::MAX {
            let room = (self.limits.result_memory.0 as f64 * ROOM_USED) as u64;
            return (room / each).max(1) as usize;
        }
        (free / each) as usize
    }

    fn fill(
        &mut self,
        now: Time,
        maker: &EndpointId,
        first: JobId,
        order: &[(bool, JobId)],
    ) -> BatchCall {
        let share = self.share(now);
        let mut items = Vec::new();
        let mut each = Vec::new();
        let mut booked = 0;
        // Among jobs that are alike late, those whose results are read near
        // this endpoint go along first; the others have endpoints of their own.
        let mut others: Vec<(bool, bool, JobId)> = order
            .iter()
            .filter(|&&(_, id)| id != first)
            .map(|&(late, id)| (late, !self.is_near(maker, id), id))
            .collect();
        others.sort_by_key(|&(late, afar, _)| (late, afar));
        let others = others.into_iter().map(|(_, _, id)| id);
        for id in std::iter::once(first).chain(others) {
            let most = self.most(maker, id, (first, share), items.len());
            let fits = self.fits(now, maker, id);
            let short_of_room = id != first && fits < most.min(self.least(&self.jobs[&id]));
            let fits = fits.min(most);
            if fits == 0 || short_of_room {
                continue;
            }
            let size = self.jobs[&id].job.result_bytes;
            let taken = self.take(now, id, fits);
            let bytes = size.0 * taken.len() as u64;
            booked += bytes;
            self.book(maker, Bytes(bytes));
            each.extend(taken.iter().map(|_| size));
            items.extend(taken);
        }
        self.start(now, maker, items, each, Bytes(booked))
    }

    /// Returns how many pieces of a job a call with `held` pieces takes.
    ///
    /// While endpoints are idle a job stays whole and the idle ones share what
    /// waits. When a batch for each of them waits, calls are filled with parts
    /// of jobs too: what then counts is the work done for each call.
    fn most(
        &self,
        maker: &EndpointId,
        id: JobId,
        (first, share): (JobId, usize),
        held: usize,
    ) -> usize {
        let wanted = self.jobs[&id].waiting_items();
        let batch = self.limits.max_items.min(self.makers[maker].most);
        let crowded = share >= batch;
        let most = if id == first || crowded || self.is_near(maker, id) {
            batch
        } else {
            share.min(batch)
        };
        let left = most.saturating_sub(held);
        let whole = wanted <= left || id == first || crowded;
        if whole { left } else { 0 }
    }

    /// Returns the pieces for each call if idle endpoints share what waits.
    fn share(&self, now: Time) -> usize {
        let idle = self.makers.values();
        let idle = idle.filter(|m| m.is_usable() && m.calls < self.limits.slots && m.full <= now);
        self.waiting_items().div_ceil(idle.count().max(1))
    }

    fn take(&mut self, now: Time, id: JobId, most: usize) -> Vec<BatchItem> {
        let Some(held) = self.jobs.get_mut(&id) else {
            return Vec::new();
        };
        let job = &held.job;
        let waiting = held.pieces.iter_mut().filter(|(_, p)| p.waiting).take(most);
        let items = waiting.map(|(&piece, state)| {
            state.waiting = false;
            state.running += 1;
            BatchItem {
                job: id,
                request: job.request.clone(),
                fingerprint: job.fingerprint,
                stage: job.stage,
                item: piece,
                remaining: job.deadline.since(now),
                input: job.input.clone(),
                key: job.key.clone(),
            }
        });
        items.collect()
    }

    fn book(&mut self, maker: &EndpointId, bytes: Bytes) {
        if let Some(maker) = self.makers.get_mut(maker) {
            maker.room.book(bytes);
        }
    }

    fn start(
        &mut self,
        now: Time,
        maker: &EndpointId,
        items: Vec<BatchItem>,
        each: Vec<Bytes>,
        booked: Bytes,
    ) -> BatchCall {
        let expected = self.expected(items.len());
        let crowded = self.waiting_items() >= self.limits.max_items;
        let Some(maker) = self.makers.get_mut(maker) else {
            unreachable!("the endpoint was just chosen");
        };
        let call = self.next_call;
        self.next_call += 1;
        let begin = if maker.calls < self.limits.slots {
            now
        } else {
            maker.free_at.max(now)
        };
        maker.calls += 1;
        maker.free_at = begin + expected.mul_f32(maker.health.slowness(now).max(0.5));
        let sent = Call {
            endpoint: maker.entry.id.clone(),
            items: items.iter().map(|i| (i.job, i.item)).collect(),
            booked,
            each,
            began: begin,
            expected,
            overdue: Some(begin + expected * OVERDUE + OVERDUE_MORE),
            given_up: false,
            crowded,
        };
        self.calls.insert(call, sent);
        let longest = items.iter().map(|i| i.remaining).max().unwrap_or_default();
        BatchCall {
            id: call,
            entry: maker.entry.clone(),
            items,
            expected,
            timeout: longest,
        }
    }

    pub(super) fn expected(&self, pieces: usize) -> Duration {
        self.limits.call_overhead + self.limits.item_time * pieces as u32
    }
}

/// Returns how far a job's urgency puts it off.
pub(super) fn step(held: &Held) -> Duration {
    URGENCY_STEP * u32::from(held.job.priority)
}

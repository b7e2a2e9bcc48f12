//! Which endpoint a job goes to.

use std::time::Duration;

use super::maker::Maker;
use super::queue::BatchQueue;
use super::queue::Held;
use super::queue::JobId;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::time::Time;

/// What a result's way to another failure domain is worth, for each megabyte.
///
/// Results of a few megabytes are worth the wait for one or two calls.
const AFAR_MB: Duration = Duration::from_millis(40);

/// The most that it is worth.
///
/// About a call: for more than that a request loses more by its delay.
const AFAR_MAX: Duration = Duration::from_millis(250);

/// How long before the end of a call the next one is sent.
///
/// The way there and back, and the time of two busy nodes, are some 30 ms; the
/// end of a call is known to about as much.
const LEAD: Duration = Duration::from_millis(50);

/// An endpoint as a place for the next call.
#[derive(Debug)]
pub(super) struct Spot {
    pub(super) id: EndpointId,
    /// Whether it takes a call now.
    pub(super) idle: bool,
    /// The memory for results that it has left, in bytes.
    pub(super) free: u64,
}

impl BatchQueue {
    /// Returns the endpoints that work may go to.
    pub(super) fn spots(&mut self, now: Time) -> Vec<Spot> {
        let usable = self.makers.iter().filter(|(_, m)| m.is_usable());
        let well = |(_, m): &(&EndpointId, &Maker)| !m.health.is_paused(now);
        let mut ids: Vec<EndpointId> = usable
            .clone()
            .filter(well)
            .map(|(id, _)| id.clone())
            .collect();
        if ids.is_empty() {
            ids = usable.map(|(id, _)| id.clone()).collect();
        }
        let spots = ids.into_iter().map(|id| Spot {
            idle: self.is_idle(now, &id),
            free: self.free(now, &id),
            id,
        });
        spots.collect()
    }

    /// Returns the endpoint that would have the job done first.
    ///
    /// One without work and without memory for the job is left out: it would
    /// look like the first one, and the job would wait for it while others
    /// have room.
    pub(super) fn best<'a>(&self, now: Time, held: &Held, spots: &'a [Spot]) -> Option<&'a Spot> {
        let pieces = held.waiting_items().min(self.limits.max_items);
        let need = self.need(held);
        let done = |spot: &&Spot| {
            let maker = &self.makers[&spot.id];
            let begin = if maker.calls < self.limits.slots {
                now
            } else {
                maker.free_at.max(now)
            };
            let begin = begin.max(maker.full);
            let took = self
                .expected(pieces)
                .mul_f32(maker.health.slowness(now).max(0.5));
            let failing = took.mul_f32(maker.health.failure_rate(now));
            begin + took + failing + afar(held, maker)
        };
        let has_room = |s: &&Spot| !s.idle || s.free >= need;
        spots.iter().filter(has_room).min_by_key(done)
    }

    /// Tells whether an endpoint takes a call now, or in a moment.
    ///
    /// While whole batches wait, the next call is sent a little before the one
    /// at work ends: an endpoint that waits for us does nothing meanwhile.
    fn is_idle(&self, now: Time, id: &EndpointId) -> bool {
        let maker = &self.makers[id];
        if maker.full > now {
            return false;
        }
        maker.calls < self.limits.slots || self.may_lead(maker) && maker.free_at <= now + LEAD
    }

    fn may_lead(&self, maker: &Maker) -> bool {
        let queued = self.limits.queue > 0 && maker.calls == self.limits.slots;
        queued && self.waiting_items() >= self.limits.max_items
    }

    /// Returns when a call may next be sent ahead of the end of another.
    pub(super) fn lead(&self) -> Option<Time> {
        let makers = self.makers.values().filter(|m| self.may_lead(m));
        makers.map(|m| m.free_at - LEAD).min()
    }

    pub(super) fn is_near(&self, maker: &EndpointId, id: JobId) -> bool {
        let job = &self.jobs[&id].job;
        let inputs = job.input_source.as_ref().map(|(domain, _)| domain);
        inputs.or(job.result_domain.as_ref()) == Some(&self.makers[maker].entry.domain)
    }
}

/// Returns what it costs, in time, to read a job's inputs and results across
/// failure domains.
///
/// Each piece reads all inputs of its job: what a job reads is often many times
/// what it makes.
fn afar(held: &Held, maker: &Maker) -> Duration {
    let job = &held.job;
    let away = |domain: &FailureDomain| *domain != maker.entry.domain;
    let results = job.result_domain.as_ref().filter(|d| away(d));
    let results = results.map_or(0, |_| job.result_bytes.0);
    let inputs = job.input_source.as_ref().filter(|(d, _)| away(d));
    let inputs = inputs.map_or(0, |(_, bytes)| bytes.0);
    let bytes = (results + inputs) * held.waiting_items() as u64;
    AFAR_MB.mul_f64(bytes as f64 / 1e6).min(AFAR_MAX)
}

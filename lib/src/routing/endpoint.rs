//! A router's view of one endpoint.

use std::collections::VecDeque;
use std::time::Duration;

use super::Health;
use super::LoadReport;
use super::Need;
use crate::ids::EndpointId;
use crate::ids::Incarnation;
use crate::time::Time;

/// The age after which a load report no longer permits new work.
pub(super) const REPORT_MAX_AGE: Duration = Duration::from_secs(3);

/// The service time assumed before the first observation, in seconds.
const INITIAL_WORK_SECS: f32 = 0.02;

/// The weight of a new observation of a call's service time.
const WORK_WEIGHT: f32 = 0.1;

/// The forecast for a call at an endpoint; times in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Forecast {
    /// The service time that the call adds, charged as its cost.
    pub(super) work: f32,
    /// The time to the response, without the endpoint's health verdict.
    pub(super) nominal: f32,
    /// The time to the response.
    pub(super) total: f32,
    /// The fraction of calls that fail.
    pub(super) failure_rate: f32,
}

/// Pool-wide averages, used where an endpoint has no data of its own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PoolAverages {
    /// The mean service time of a call, in seconds.
    pub(super) work: f32,
    /// The relative slowdown of a call in a full batch.
    pub(super) slope: f32,
}

/// A router's view of one endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub(super) id: EndpointId,
    pub(super) incarnation: Incarnation,
    pub(super) instance: u64,
    pub(super) domain: u16,
    pub(super) reachable: bool,
    pub(super) draining: bool,
    pub(super) models: u64,
    pub(super) outstanding: u32,
    pub(super) health: Health,
    pub(super) cache_epoch: u64,
    pub(super) cache_next: u64,
    fresh_until: Time,
    seq: Option<u64>,
    healthy: bool,
    overhead: f32,
    slots: f32,
    reported: u32,
    finished: u32,
    prompt_secs: f32,
    output_secs: f32,
    mean_work: Option<f32>,
    unreported: VecDeque<Time>,
}

impl Endpoint {
    pub(super) fn new(id: EndpointId, incarnation: Incarnation, instance: u64) -> Self {
        Self {
            id,
            incarnation,
            instance,
            domain: 0,
            reachable: true,
            draining: false,
            models: 0,
            outstanding: 0,
            health: Health::default(),
            cache_epoch: 0,
            cache_next: 0,
            fresh_until: Time::ZERO,
            seq: None,
            healthy: true,
            overhead: 0.0,
            slots: 1.0,
            reported: 0,
            finished: 0,
            prompt_secs: 0.0,
            output_secs: 0.0,
            mean_work: None,
            unreported: VecDeque::new(),
        }
    }

    /// Returns the endpoint's id.
    #[must_use]
    pub const fn id(&self) -> &EndpointId {
        &self.id
    }

    /// Returns the latest known incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of this router's calls in flight.
    #[must_use]
    pub const fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Returns the endpoint's health record.
    #[must_use]
    pub const fn health(&self) -> &Health {
        &self.health
    }

    /// Returns whether new work may be sent.
    #[must_use]
    pub fn is_usable(&self, now: Time) -> bool {
        // The host list lags behind, so an endpoint that died or leaves could
        // still receive calls. A load report lags by no more than its age.
        let fresh = now <= self.fresh_until;
        self.reachable && self.healthy && !self.draining && fresh
    }

    /// Returns whether the endpoint is draining and accepts no new work.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns this router's estimate of the calls in service and queued.
    #[must_use]
    pub fn busy(&self) -> u32 {
        let known = (self.reported + self.unreported.len() as u32).saturating_sub(self.finished);
        known.max(self.outstanding)
    }

    /// Returns the index of the failure domain within the fleet.
    #[must_use]
    pub const fn domain(&self) -> u16 {
        self.domain
    }

    /// Returns the endpoint's health record for an update.
    pub const fn health_mut(&mut self) -> &mut Health {
        &mut self.health
    }

    /// Records that the endpoint refused a call because it is full.
    ///
    /// Its queue is longer than last reported, so the estimate grows by one
    /// call for each slot until the next report.
    pub const fn mark_full(&mut self) {
        self.reported += self.slots as u32;
    }

    /// Marks the endpoint as draining.
    pub const fn mark_draining(&mut self) {
        self.draining = true;
    }

    pub(super) fn set_location(&mut self, domain: u16, overhead: f32) {
        self.domain = domain;
        self.overhead = overhead;
    }

    pub(super) fn apply_load(&mut self, now: Time, report: &LoadReport, models: u64) {
        // Ignores a stale report: it would restore an old queue length.
        if self.seq.is_some_and(|seq| report.seq < seq) {
            return;
        }
        self.fresh_until = now + REPORT_MAX_AGE;
        self.seq = Some(report.seq);
        self.healthy = report.healthy;
        self.draining = report.draining;
        self.models = models;
        self.slots = report.slots.max(1) as f32;
        self.reported = report.active + report.queued;
        self.finished = 0;
        self.prompt_secs = secs_per_token(report.prefill);
        self.output_secs = secs_per_token(report.decode);
        let covered_until = now - report.age;
        while self
            .unreported
            .front()
            .is_some_and(|&sent| sent <= covered_until)
        {
            self.unreported.pop_front();
        }
    }

    pub(super) fn on_send(&mut self, now: Time) {
        self.outstanding += 1;
        self.unreported.push_back(now);
    }

    pub(super) fn on_release(&mut self, sent: Time) {
        self.outstanding = self.outstanding.saturating_sub(1);
        match self.unreported.iter().position(|&time| time == sent) {
            Some(index) => {
                self.unreported.remove(index);
            }
            None => self.finished += 1,
        }
    }

    pub(super) fn observe_work(&mut self, seconds: f32) {
        let known = self.mean_work.unwrap_or(seconds);
        self.mean_work = Some(known + WORK_WEIGHT * (seconds - known));
    }

    /// Returns the busy calls for each slot; above 1.0, calls are queued.
    pub(super) fn occupancy(&self) -> f32 {
        self.busy() as f32 / self.slots
    }

    pub(super) fn forecast(
        &self,
        now: Time,
        need: &Need<'_>,
        cached: u32,
        averages: PoolAverages,
    ) -> Forecast {
        let mean = self.mean_work.unwrap_or(averages.work);
        let busy = self.busy() as f32;
        let generates = self.output_secs > 0.0 && need.output > 0.0;
        let (prefill, decode) = if generates {
            let uncached = need.prompt.saturating_sub(cached) as f32;
            (uncached * self.prompt_secs, need.output * self.output_secs)
        } else {
            (0.0, mean)
        };
        let wait = (busy + 1.0 - self.slots).max(0.0) / self.slots * mean;
        // Calls of a batch slow each other down well before the batch is full.
        let occupancy = (busy / self.slots).min(1.0);
        let batch_slowdown = if generates {
            1.0 + averages.slope * occupancy
        } else {
            1.0
        };
        let response = wait + (prefill + decode) * batch_slowdown;
        let (slowdown, failure_rate) = self.health.verdict(now);
        // A running batch serves one more call at little extra cost.
        let batch_size = if generates { busy + 1.0 } else { 1.0 };
        Forecast {
            failure_rate,
            work: (prefill + decode / batch_size) * slowdown,
            nominal: response + self.overhead,
            total: response * slowdown + self.overhead,
        }
    }
}

/// Returns the pool's mean service time before the first observation, in
/// seconds.
pub(super) const fn initial_work() -> f32 {
    INITIAL_WORK_SECS
}

fn secs_per_token(rate: f64) -> f32 {
    if rate > 0.0 { (1.0 / rate) as f32 } else { 0.0 }
}

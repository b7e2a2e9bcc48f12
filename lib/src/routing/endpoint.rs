//! One endpoint as a router sees it.

use std::collections::VecDeque;
use std::time::Duration;

use super::Health;
use super::LoadReport;
use super::Need;
use crate::ids::EndpointId;
use crate::ids::Incarnation;
use crate::time::Time;

/// How long a report counts as fresh; older ones bar new work.
pub(super) const FRESH: Duration = Duration::from_secs(3);

/// The seconds that a call takes at an endpoint of which nothing is known.
const WORK_FIRST: f32 = 0.02;

/// The weight of a new observation of the work of a call.
const WORK_WEIGHT: f32 = 0.1;

/// What is expected of a call; times in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Forecast {
    /// The time at work that the call adds, which costs.
    pub(super) work: f32,
    /// The time to the answer of an endpoint that keeps its promises.
    pub(super) nominal: f32,
    /// The time to the answer.
    pub(super) total: f32,
    /// The share of calls that fail.
    pub(super) failing: f32,
}

/// What is usual in a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Usual {
    /// The seconds that a call works.
    pub(super) work: f32,
    /// How much a full batch slows down each of its calls.
    pub(super) drag: f32,
}

/// One endpoint as a router sees it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub(super) id: EndpointId,
    pub(super) incarnation: Incarnation,
    pub(super) life: u64,
    pub(super) domain: u16,
    pub(super) present: bool,
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
    per_prompt: f32,
    per_output: f32,
    work: Option<f32>,
    since: VecDeque<Time>,
}

impl Endpoint {
    pub(super) fn new(id: EndpointId, incarnation: Incarnation, life: u64) -> Self {
        Self {
            id,
            incarnation,
            life,
            domain: 0,
            present: true,
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
            per_prompt: 0.0,
            per_output: 0.0,
            work: None,
            since: VecDeque::new(),
        }
    }

    /// Returns the endpoint's name.
    #[must_use]
    pub const fn id(&self) -> &EndpointId {
        &self.id
    }

    /// Returns the incarnation last seen.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns this router's calls in flight.
    #[must_use]
    pub const fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Returns how the endpoint has kept its promises.
    #[must_use]
    pub const fn health(&self) -> &Health {
        &self.health
    }

    /// Tells whether new work may be sent.
    #[must_use]
    pub fn is_usable(&self, now: Time) -> bool {
        // The host list lags, so an endpoint that died or leaves would go on
        // getting calls. Its own report can't lag by more than its age.
        let fresh = now <= self.fresh_until;
        self.present && self.healthy && !self.draining && fresh
    }

    /// Tells whether the endpoint says that it takes no new work.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the calls at work and waiting, as far as this router can tell.
    #[must_use]
    pub fn busy(&self) -> u32 {
        let known = (self.reported + self.since.len() as u32).saturating_sub(self.finished);
        known.max(self.outstanding)
    }

    /// Returns the index of the failure domain within the fleet.
    #[must_use]
    pub const fn domain(&self) -> u16 {
        self.domain
    }

    /// Returns how the endpoint has kept its promises, for an update.
    pub const fn health_mut(&mut self) -> &mut Health {
        &mut self.health
    }

    /// Notes that the endpoint refused a call for want of room.
    ///
    /// Its queue is longer than its last report says; it counts as one more
    /// full round of calls until the next report.
    pub const fn mark_full(&mut self) {
        self.reported += self.slots as u32;
    }

    /// Notes that the endpoint says that it takes no new work.
    pub const fn mark_draining(&mut self) {
        self.draining = true;
    }

    pub(super) fn place(&mut self, domain: u16, overhead: f32) {
        self.domain = domain;
        self.overhead = overhead;
    }

    pub(super) fn load(&mut self, now: Time, report: &LoadReport, models: u64) {
        // A report overtaken by a newer one would bring back an old queue.
        if self.seq.is_some_and(|seq| report.seq < seq) {
            return;
        }
        self.fresh_until = now + FRESH;
        self.seq = Some(report.seq);
        self.healthy = report.healthy;
        self.draining = report.draining;
        self.models = models;
        self.slots = report.slots.max(1) as f32;
        self.reported = report.active + report.queued;
        self.finished = 0;
        self.per_prompt = per_token(report.prefill);
        self.per_output = per_token(report.decode);
        let covered = now - report.age;
        while self.since.front().is_some_and(|&sent| sent <= covered) {
            self.since.pop_front();
        }
    }

    pub(super) fn sent(&mut self, now: Time) {
        self.outstanding += 1;
        self.since.push_back(now);
    }

    pub(super) fn released(&mut self, sent: Time) {
        self.outstanding = self.outstanding.saturating_sub(1);
        match self.since.iter().position(|&t| t == sent) {
            Some(index) => {
                self.since.remove(index);
            }
            None => self.finished += 1,
        }
    }

    pub(super) fn observe_work(&mut self, seconds: f32) {
        let known = self.work.unwrap_or(seconds);
        self.work = Some(known + WORK_WEIGHT * (seconds - known));
    }

    /// Returns how full the endpoint is; above one, calls wait.
    pub(super) fn occupancy(&self) -> f32 {
        self.busy() as f32 / self.slots
    }

    pub(super) fn forecast(
        &self,
        now: Time,
        need: &Need<'_>,
        cached: u32,
        usual: Usual,
    ) -> Forecast {
        let mean = self.work.unwrap_or(usual.work);
        let busy = self.busy() as f32;
        let generates = self.per_output > 0.0 && need.output > 0.0;
        let (read, write) = if generates {
            let unread = need.prompt.saturating_sub(cached) as f32;
            (unread * self.per_prompt, need.output * self.per_output)
        } else {
            (0.0, mean)
        };
        let wait = (busy + 1.0 - self.slots).max(0.0) / self.slots * mean;
        // Calls of one batch are in each other's way well before it is full.
        let occupancy = (busy / self.slots).min(1.0);
        let drag = if generates {
            1.0 + usual.drag * occupancy
        } else {
            1.0
        };
        let plain = wait + (read + write) * drag;
        let (slow, failing) = self.health.verdict(now);
        // A batch that runs anyway takes one more call at little cost.
        let share = if generates { busy + 1.0 } else { 1.0 };
        Forecast {
            failing,
            work: (read + write / share) * slow,
            nominal: plain + self.overhead,
            total: plain * slow + self.overhead,
        }
    }
}

/// Returns the pool-wide usual work where nothing was seen.
pub(super) const fn first_work() -> f32 {
    WORK_FIRST
}

fn per_token(rate: f64) -> f32 {
    if rate > 0.0 { (1.0 / rate) as f32 } else { 0.0 }
}

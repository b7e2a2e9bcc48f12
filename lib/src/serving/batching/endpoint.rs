//! State of an endpoint of a stage service, as seen by the queue.

use std::collections::VecDeque;
use std::time::Duration;

use super::result_memory::ResultMemory;
use crate::ids::Region;
use crate::serving::cold_start::ADMISSION_WINDOW;
use crate::serving::cold_start::AdmitterRank;
use crate::serving::directory::Endpoint;
use crate::serving::directory::Entry;
use crate::serving::endpoint_speed::EndpointSpeed;
use crate::serving::health::Health;
use crate::serving::rate_limit::NamedRate;
use crate::serving::rate_limit::Quota;
use crate::time::Time;

/// What a queue needs to know of an endpoint of its service.
#[derive(Debug, Clone, Copy)]
pub struct EndpointState<'a> {
    /// Its registration.
    pub entry: &'a Entry,
    /// Its region, if known.
    pub region: Option<&'a Region>,
    /// Whether its failure domain is evacuated.
    pub evacuated: bool,
    /// When it stops being cold.
    pub cold_until: Time,
    /// The rate that it names, if any.
    pub rate: Option<NamedRate>,
    /// When the rest that it asked this node for ends.
    pub rest_until: Time,
}

impl<'a> From<&'a Entry> for EndpointState<'a> {
    fn from(entry: &'a Entry) -> Self {
        Self {
            entry,
            region: None,
            evacuated: false,
            cold_until: Time::ZERO,
            rate: None,
            rest_until: Time::ZERO,
        }
    }
}

impl<'a> From<&'a Endpoint> for EndpointState<'a> {
    fn from(endpoint: &'a Endpoint) -> Self {
        Self {
            entry: endpoint.entry(),
            region: endpoint.region(),
            evacuated: endpoint.is_present() && !endpoint.is_open(),
            cold_until: endpoint.cold_until(),
            rate: endpoint.rate_limit().map(|l| l.rate),
            rest_until: endpoint.rest_until(),
        }
    }
}

#[derive(Debug, Clone)]
pub(super) struct StageEndpoint {
    pub(super) entry: Entry,
    pub(super) present: bool,
    pub(super) in_flight: u32,
    pub(super) free_at: Time,
    pub(super) full_until: Time,
    pub(super) health: Health,
    pub(super) memory: ResultMemory,
    pub(super) releases: Vec<String>,
    /// The maximum batch size, reduced after a call that found no memory for its results.
    pub(super) max_items: usize,
    /// When the first result of `releases` became unneeded.
    pub(super) releases_since: Option<Time>,
    /// When its last call ended, if that call was sent under backlog.
    pub(super) last_call_end: Option<Time>,
    region: Option<Region>,
    evacuated: bool,
    pub(super) cold_until: Time,
    /// The calls within the last [`ADMISSION_WINDOW`].
    recent_calls: VecDeque<Time>,
    /// The rate that it names, if any.
    rate: Option<NamedRate>,
    /// The calls left within that rate.
    quota: Option<Quota>,
    rest_until: Time,
    /// The estimate of its speed, if it names its service time.
    pub(super) speed: Option<EndpointSpeed>,
    /// When its last call ended.
    pub(super) last_end: Time,
}

impl StageEndpoint {
    pub(super) fn new(entry: Entry) -> Self {
        Self {
            entry,
            present: true,
            in_flight: 0,
            free_at: Time::ZERO,
            full_until: Time::ZERO,
            health: Health::default(),
            memory: ResultMemory::default(),
            releases: Vec::new(),
            releases_since: None,
            max_items: usize::MAX,
            last_call_end: None,
            region: None,
            evacuated: false,
            cold_until: Time::ZERO,
            recent_calls: VecDeque::new(),
            rate: None,
            quota: None,
            rest_until: Time::ZERO,
            speed: None,
            last_end: Time::ZERO,
        }
    }

    pub(super) fn update(&mut self, state: EndpointState<'_>) {
        self.present = true;
        self.entry = state.entry.clone();
        self.region = state.region.cloned();
        self.evacuated = state.evacuated;
        self.cold_until = state.cold_until;
        self.rate = state.rate;
        self.rest_until = state.rest_until;
    }

    /// Returns how long a call of a usual duration is expected to take here.
    pub(super) fn expected(&self, now: Time, usual: Duration) -> Duration {
        match &self.speed {
            None => usual.mul_f32(self.health.slowness(now).max(0.5)),
            Some(speed) => {
                let slowness = self.health.own_slowness(now).max(1.0);
                speed.stretched(now, usual).mul_f32(slowness)
            }
        }
    }

    /// Returns its calls per time relative to a usual endpoint.
    pub(super) fn speed_ratio(&self, now: Time) -> f64 {
        let slowness = match &self.speed {
            None => self.health.slowness(now).max(0.5),
            Some(speed) => speed.factor(now) * self.health.own_slowness(now).max(1.0),
        };
        f64::from(slowness).recip()
    }

    /// Returns how long a call of a usual duration takes here while it is well.
    pub(super) fn expected_when_well(&self, now: Time, usual: Duration) -> Duration {
        self.speed
            .as_ref()
            .map_or(usual, |speed| speed.stretched(now, usual))
    }

    /// Updates the calls left within the rate that it names.
    pub(super) fn update_quota(&mut self, now: Time, (rank, uses): (Option<AdmitterRank>, u32)) {
        let share = self.rate.map(|rate| rate.share(rank, uses));
        self.quota = share.map(|share| {
            let mut quota = self.quota.unwrap_or_else(|| Quota::new(now, share));
            quota.set_share(now, share);
            quota
        });
    }

    /// Returns whether it names a rate.
    pub(super) const fn is_limited(&self) -> bool {
        self.rate.is_some()
    }

    /// Spends a call of the rate that it names; returns whether one was left.
    pub(super) fn try_grant(&mut self, now: Time) -> bool {
        self.quota.as_mut().is_none_or(|q| q.try_grant(now))
    }

    /// Returns the fraction of its time in which it may be called, with calls of
    /// a given duration.
    pub(super) fn usable_fraction(&self, call: Duration) -> f64 {
        let calls = self.quota.map(|q| q.share().per_second());
        calls.map_or(1.0, |c| (c * call.as_secs_f64()).min(1.0))
    }

    /// Returns when it may get a call, as far as the limits on its calls are
    /// concerned; at most `now` if it may now.
    pub(super) fn pause_end(&self, now: Time, cold_share: Option<usize>) -> Time {
        let grant = self.quota.map_or(Time::ZERO, |q| q.next_grant(now));
        grant
            .max(self.cold_pause_end(now, cold_share))
            .max(self.rest_until)
    }

    /// Returns when the rest that it asked for ends.
    pub(super) const fn rest_until(&self) -> Time {
        self.rest_until
    }

    /// Returns whether it asked for a rest that goes on.
    pub(super) fn is_resting(&self, now: Time) -> bool {
        now < self.rest_until
    }

    pub(super) const fn region(&self) -> Option<&Region> {
        self.region.as_ref()
    }

    pub(super) const fn is_usable(&self) -> bool {
        self.present && !self.entry.draining && !self.evacuated
    }

    /// Returns whether it gets no calls only because its domain is evacuated.
    pub(super) const fn is_evacuated(&self) -> bool {
        self.present && self.evacuated
    }

    pub(super) fn record_call(&mut self, now: Time) {
        self.recent_calls
            .retain(|&at| now.since(at) < ADMISSION_WINDOW);
        self.recent_calls.push_back(now);
        // A call that is sent is always granted.
        let _granted = self.try_grant(now);
    }

    /// Returns when it may get a call, given the calls per second that it may
    /// get while it is cold; [`Time::ZERO`] if now.
    fn cold_pause_end(&self, now: Time, share: Option<usize>) -> Time {
        let Some(share) = share.filter(|_| now < self.cold_until) else {
            return Time::ZERO;
        };
        let is_recent = |at: &&Time| now.since(**at) < ADMISSION_WINDOW;
        let recent = self.recent_calls.iter().filter(is_recent);
        if recent.clone().count() < share {
            return Time::ZERO;
        }
        // Once this call has left the window there is room for another one.
        let blocking = recent.rev().nth(share.saturating_sub(1));
        let next = blocking
            .filter(|_| share > 0)
            .map(|&at| at + ADMISSION_WINDOW);
        next.map_or(self.cold_until, |at| at.min(self.cold_until))
    }
}

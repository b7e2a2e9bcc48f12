//! The speeds of endpoints that name their service time.

use std::time::Duration;

use super::Directory;
use super::Endpoint;
use super::Entry;
use super::choice::median;
use crate::ids::EndpointId;
use crate::ids::PoolName;
use crate::serving::endpoint_speed::Contention;
use crate::serving::endpoint_speed::ContentionNotice;
use crate::serving::endpoint_speed::SLOW_RATIO;
use crate::serving::endpoint_speed::SpeedSample;
use crate::time::Time;

/// The spread of a value over the endpoints of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// The lowest value.
    pub min: f32,
    /// The median.
    pub median: f32,
    /// The highest value.
    pub max: f32,
}

impl Spread {
    fn of(mut values: Vec<f32>) -> Option<Self> {
        values.sort_by(f32::total_cmp);
        Some(Self {
            min: *values.first()?,
            median: *values.get(values.len() / 2)?,
            max: *values.last()?,
        })
    }
}

/// The speeds of a service's endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceSpeeds {
    /// Their lasting speeds; 1 is usual, 2 is twice as fast.
    pub speed: Spread,
    /// The contention on their hosts; 1 is usual.
    pub contention: Spread,
}

impl Directory {
    /// Returns the endpoints of a service that name their service time.
    fn measured<'a>(&'a self, service: &PoolName) -> impl Iterator<Item = &'a Endpoint> {
        let open = self.open_endpoints(service);
        open.filter(|e| e.speed().is_some())
    }

    /// Has a run that names its service time for the first time begin with the
    /// median speed of its service.
    pub(super) fn start_speed(&mut self, entry: &Entry, notice: ContentionNotice) {
        let is_named = matches!(notice, ContentionNotice::Named(_));
        let is_known = |e: &Endpoint| e.speed().is_some();
        if !is_named || self.endpoints.get(&entry.id).is_none_or(is_known) {
            return;
        }
        let measured = self.measured(&entry.service);
        let others: Vec<f32> = measured
            .filter_map(|e| Some(e.speed()?.lasting()))
            .collect();
        let lasting = median(others);
        let endpoint = self.endpoints.get_mut(&entry.id);
        if let Some(endpoint) = endpoint.filter(|e| e.entry.is_same_run(entry)) {
            endpoint.reported.speed.start_with(lasting);
        }
    }

    /// Handles the contention that another node heard from a run of an endpoint.
    pub fn on_contention_news(
        &mut self,
        now: Time,
        entry: &Entry,
        (contention, age): (Contention, Duration),
    ) {
        let notice = ContentionNotice::Named(contention);
        self.start_speed(entry, notice);
        let endpoint = self.endpoints.get_mut(&entry.id);
        if let Some(endpoint) = endpoint.filter(|e| e.entry.is_same_run(entry)) {
            let _usable = endpoint.reported.speed.on_notice(now, (notice, age));
        }
    }

    /// Learns from the time of a response of a run of an endpoint.
    ///
    /// The response has also been recorded in the endpoint's health.
    pub fn record_speed(&mut self, now: Time, entry: &Entry, sample: SpeedSample) -> Option<f32> {
        let endpoint = self.endpoints.get_mut(&entry.id)?;
        if !endpoint.entry.is_same_run(entry) || endpoint.speed().is_none() {
            return None;
        }
        let own_ratio = endpoint.reported.speed.record(sample);
        endpoint.health.record_own_ratio(now, own_ratio);
        Some(own_ratio)
    }

    /// Returns how much longer than usual the endpoints of a service take now, in
    /// the median; `None` if none names its service time.
    #[must_use]
    pub fn speed_factor(&self, now: Time, service: &PoolName) -> Option<f32> {
        let measured = self.measured(service);
        let factors = measured.filter_map(|e| Some(e.speed()?.factor(now) * e.saturation(now)));
        let factors: Vec<f32> = factors.collect();
        (!factors.is_empty()).then(|| median(factors))
    }

    /// Returns the speeds of a service's endpoints, if any names its service time.
    #[must_use]
    pub fn service_speeds(&self, now: Time, service: &PoolName) -> Option<ServiceSpeeds> {
        let speeds = self.measured(service).filter_map(Endpoint::speed);
        let (speed, contention) = speeds
            .map(|s| (1.0 / s.lasting(), s.contention(now)))
            .unzip();
        Some(ServiceSpeeds {
            speed: Spread::of(speed)?,
            contention: Spread::of(contention)?,
        })
    }

    /// Returns an endpoint's registration, if it names its service time.
    #[must_use]
    pub fn measured_entry(&self, id: &EndpointId) -> Option<Entry> {
        let endpoint = self.endpoints.get(id)?;
        endpoint.speed().is_some().then(|| endpoint.entry.clone())
    }
}

/// How slow the endpoints of a choice usually are at present.
#[derive(Debug, Clone, Copy)]
pub(in crate::serving) struct TypicalSlowness {
    /// The median over all of them.
    pub(super) all: f32,
    /// The median against their own estimates; 1 for those that have none.
    own: f32,
}

impl TypicalSlowness {
    pub(in crate::serving) fn of(now: Time, pool: &[&Endpoint]) -> Self {
        let own = |e: &&Endpoint| e.speed().map_or(1.0, |_| e.health.own_slowness(now));
        let mut owns: Vec<f32> = pool.iter().map(own).collect();
        owns.sort_by(f32::total_cmp);
        Self {
            all: median(pool.iter().map(|e| e.health.slowness(now)).collect()),
            // Of two the lower one, so that either can count as slow.
            own: owns
                .get(owns.len().saturating_sub(1) / 2)
                .copied()
                .unwrap_or(1.0),
        }
    }

    /// Returns the ratio of an endpoint's slowness to that of its peers.
    ///
    /// An endpoint with an estimate is judged only by what is expected of it.
    pub(in crate::serving) fn ratio(self, now: Time, endpoint: &Endpoint) -> f32 {
        if endpoint.speed().is_some() {
            endpoint.health.own_slowness(now) / self.own.max(1.0)
        } else {
            endpoint.health.slowness(now) / self.all.max(0.1)
        }
    }

    /// Returns whether an endpoint with an estimate is far slower than expected;
    /// `None` if it has none.
    pub(in crate::serving) fn is_slow(self, now: Time, endpoint: &Endpoint) -> Option<bool> {
        endpoint.speed()?;
        Some(self.ratio(now, endpoint) > SLOW_RATIO)
    }
}

//! An endpoint with its load and health.

use std::net::SocketAddr;
use std::time::Duration;

use rapidhash::v3::rapidhash_v3_seeded;

use super::SECRETS;
use super::VersionRule;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::ids::PoolName;
use crate::ids::Region;
use crate::ids::SoftwareVersion;
use crate::serving::endpoint_speed::EndpointSpeed;
use crate::serving::endpoint_speed::saturation;
use crate::serving::health::Health;
use crate::serving::rate_limit::RateLimit;
use crate::serving::self_report::Leave;
use crate::serving::self_report::ReportedState;
use crate::time::Time;

/// How long a load report is used, with a weight that falls to zero.
///
/// Calls last from 50 ms to a few seconds; after a second most of the reported
/// calls have ended.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// The weight of an endpoint's failures in its load.
///
/// An endpoint that fails four in ten of its calls then counts as four times as
/// loaded as its peers.
const FAILURE_WEIGHT: f32 = 8.0;

/// The registration of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub id: EndpointId,
    /// The start time reported by the endpoint, since names are reused.
    pub started_at: Option<u64>,
    /// Its service.
    pub service: PoolName,
    /// The version of its software.
    pub version: SoftwareVersion,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The number of calls that it processes concurrently.
    pub slots: u32,
    /// Whether it is leaving and accepts no new calls.
    pub draining: bool,
    /// How much longer it is cold, as of when it registered.
    pub cold_left: Duration,
}

impl Entry {
    /// Returns whether an entry of the same name is of the same run.
    pub(super) fn is_same_run(&self, other: &Self) -> bool {
        let Self {
            started_at,
            address,
            version,
            ..
        } = self;
        (started_at, address, version) == (&other.started_at, &other.address, &other.version)
    }

    pub(super) fn hash(&self) -> u64 {
        let Self {
            id,
            address,
            started_at,
            draining,
            ..
        } = self;
        let text = format!("{id} {address} {started_at:?} {draining}");
        rapidhash_v3_seeded(text.as_bytes(), &SECRETS)
    }
}

/// The load that an endpoint reported with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// The running and queued calls.
    pub calls: u32,
    /// The number of calls that it processes concurrently.
    pub slots: u32,
}

/// An endpoint with its load and health as observed by this node.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub(super) entry: Entry,
    pub(super) own_calls: u32,
    pub(super) reported: ReportedState,
    pub(super) health: Health,
    pub(super) replaced: bool,
    /// Whether its failure domain is evacuated.
    pub(super) evacuated: bool,
    pub(super) cold_until: Time,
    pub(super) region: Option<Region>,
    /// Until when it may have restarted without this node having heard of it.
    pub(super) doubted_until: Time,
}

impl Endpoint {
    pub(super) fn new(entry: Entry) -> Self {
        Self {
            entry,
            evacuated: false,
            cold_until: Time::ZERO,
            region: None,
            doubted_until: Time::ZERO,
            own_calls: 0,
            reported: ReportedState::default(),
            health: Health::default(),
            replaced: false,
        }
    }

    /// Returns the endpoint's registration.
    #[must_use]
    pub const fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Returns its health as observed by this node.
    #[must_use]
    pub const fn health(&self) -> &Health {
        &self.health
    }

    /// Returns whether it may get new calls.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.is_present() && !self.evacuated
    }

    /// Returns whether it may get new calls unless its failure domain is
    /// evacuated.
    #[must_use]
    pub const fn is_present(&self) -> bool {
        !self.is_leaving() && !self.replaced
    }

    /// Returns whether it leaves, by its registration or its own responses.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.entry.draining || self.reported.leave().is_some()
    }

    /// Returns the news that it leaves, if its responses or another node said so.
    #[must_use]
    pub const fn leave(&self) -> Option<&Leave> {
        self.reported.leave()
    }

    /// Returns when the rest that it asked this node for ends.
    #[must_use]
    pub const fn rest_until(&self) -> Time {
        self.reported.rest_until()
    }

    /// Returns whether it asked this node for a rest that goes on.
    #[must_use]
    pub fn is_resting(&self, now: Time) -> bool {
        now < self.rest_until()
    }

    /// Returns whether it is cold.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Returns whether an endpoint of this version may get a call.
    #[must_use]
    pub fn satisfies(&self, now: Time, rule: &VersionRule) -> bool {
        let version = &self.entry.version;
        match rule {
            VersionRule::Any | VersionRule::NewStream { .. } => true,
            VersionRule::At(wanted) => wanted == version && self.doubted_until <= now,
        }
    }

    /// Returns whether its connections failed or it is known to have ended, so that
    /// others are preferred.
    #[must_use]
    pub fn is_paused(&self, now: Time) -> bool {
        self.health.is_paused(now) || now < self.doubted_until
    }

    /// Returns when it stops being cold.
    #[must_use]
    pub const fn cold_until(&self) -> Time {
        self.cold_until
    }

    /// Returns the limit on its requests, if it names one.
    #[must_use]
    pub const fn rate_limit(&self) -> Option<&RateLimit> {
        self.reported.rate.limit()
    }

    /// Returns its region, if known.
    #[must_use]
    pub const fn region(&self) -> Option<&Region> {
        self.region.as_ref()
    }

    /// Returns its estimated number of current calls.
    #[must_use]
    pub fn calls(&self, now: Time) -> f32 {
        let age =
            now.since(self.reported.reported_at).as_secs_f32() / REPORT_LIFETIME.as_secs_f32();
        self.own_calls as f32 + self.reported.other_calls as f32 * (1.0 - age).max(0.0)
    }

    /// Returns the age of its last load report.
    #[must_use]
    pub const fn report_age(&self, now: Time) -> Duration {
        now.since(self.reported.reported_at)
    }

    /// Returns whether a registration of its name is of the same run.
    pub(in crate::serving) fn is_run_of(&self, entry: &Entry) -> bool {
        self.entry.is_same_run(entry)
    }

    /// Returns the estimate of its speed, if it names its service time.
    #[must_use]
    pub fn speed(&self) -> Option<&EndpointSpeed> {
        Some(&self.reported.speed).filter(|speed| speed.is_in_use())
    }

    /// Returns how much longer its calls take because of load beyond its slots.
    #[must_use]
    pub fn saturation(&self, now: Time) -> f32 {
        saturation(self.calls(now), self.entry.slots)
    }

    pub(super) fn weighted_load(&self, now: Time) -> f32 {
        let failures = 1.0 + FAILURE_WEIGHT * self.health.failure_rate(now);
        let slowness = self.speed().map_or_else(
            || self.health.slowness(now).max(0.5),
            |speed| speed.factor(now) * self.health.own_slowness(now).max(1.0),
        );
        (self.calls(now) + 1.0) / self.entry.slots.max(1) as f32 * failures * slowness
    }
}

//! Directory of the endpoints of all services, and the choice among them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

use super::bookings::Shard;
use super::endpoint_loss::Incarnation;
use super::evacuation::Evacuations;
use super::health::Health;
use super::homes::Homes;
use super::rate_limit::NEWS_LIFETIME;
use super::rate_limit::NamedRate;
use super::rate_limit::RateChange;
use super::rate_limit::RateLimit;
use super::rate_limit::RateNotice;
use super::rate_limit::RateState;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::ids::PoolName;
use crate::ids::Region;
use crate::ids::SoftwareVersion;
use crate::time::Time;
use crate::units::RequestRate;

/// How long a load report is used, with a weight that falls to zero.
///
/// Calls last from 50 ms to a few seconds; after a second most of the reported
/// calls have ended.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// The bound on the load of an endpoint that holds a prefix, relative to the
/// mean.
///
/// Bounded-load hashing: at a quarter above the mean a hot key spills to its
/// next endpoint, while keys of usual load stay together.
const BOUND_RATIO: f32 = 1.25;

/// The calls above the mean at which spilling begins.
///
/// A handful of running calls costs less than reading a shared prefix again.
const BOUND_SLACK: f32 = 6.0;

/// The ratio to the slowness of its peers above which an endpoint loses its
/// prefixes.
const SLOW_RATIO: f32 = 2.5;

/// The weight of an endpoint's failures in its load.
///
/// An endpoint that fails four in ten of its calls then counts as four times as
/// loaded as its peers.
const FAILURE_WEIGHT: f32 = 8.0;

/// The cost of another failure domain, in calls.
///
/// At half a call an idle local endpoint is preferred to an idle remote one,
/// but a busy local one is not.
const REMOTE_COST: f32 = 0.5;

/// How long the rate of an endpoint that has disappeared is remembered.
///
/// Registrations disappear for seconds while the registry is away.
const RATE_RETENTION: Duration = Duration::from_mins(1);

/// How long an endpoint that may have restarted gets no stream that continues.
///
/// Its registration is renewed about every second, and expires after three.
/// Until then it may run another version than the one registered.
const RESTART_DOUBT: Duration = Duration::from_secs(4);

/// The fraction of its slots up to which an endpoint gets new streams while its
/// service has several versions and others have room.
///
/// New streams can start at any version; those that continue have only the
/// endpoints of their own.
const NEW_STREAMS_FRACTION: f32 = 0.75;

const SECRETS: RapidSecrets = RapidSecrets::seed(0);

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
    fn is_same_run(&self, other: &Self) -> bool {
        let Self {
            started_at,
            address,
            version,
            ..
        } = self;
        (started_at, address, version) == (&other.started_at, &other.address, &other.version)
    }

    fn hash(&self) -> u64 {
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
    entry: Entry,
    own_calls: u32,
    other_calls: u32,
    reported_at: Time,
    health: Health,
    replaced: bool,
    /// Whether its failure domain is evacuated.
    evacuated: bool,
    cold_until: Time,
    region: Option<Region>,
    rate: RateState,
    /// Until when it may have restarted without this node having heard of it.
    doubted_until: Time,
}

impl Endpoint {
    fn new(entry: Entry) -> Self {
        Self {
            entry,
            evacuated: false,
            cold_until: Time::ZERO,
            region: None,
            rate: RateState::default(),
            doubted_until: Time::ZERO,
            own_calls: 0,
            other_calls: 0,
            reported_at: Time::ZERO,
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
        !self.entry.draining && !self.replaced
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

    /// Returns when it stops being cold.
    #[must_use]
    pub const fn cold_until(&self) -> Time {
        self.cold_until
    }

    /// Returns the limit on its requests, if it names one.
    #[must_use]
    pub const fn rate_limit(&self) -> Option<&RateLimit> {
        self.rate.limit()
    }

    /// Returns its region, if known.
    #[must_use]
    pub const fn region(&self) -> Option<&Region> {
        self.region.as_ref()
    }

    /// Returns its estimated number of current calls.
    #[must_use]
    pub fn calls(&self, now: Time) -> f32 {
        let age = now.since(self.reported_at).as_secs_f32() / REPORT_LIFETIME.as_secs_f32();
        self.own_calls as f32 + self.other_calls as f32 * (1.0 - age).max(0.0)
    }

    /// Returns the age of its last load report.
    #[must_use]
    pub const fn report_age(&self, now: Time) -> Duration {
        now.since(self.reported_at)
    }

    fn weighted_load(&self, now: Time) -> f32 {
        let failures = 1.0 + FAILURE_WEIGHT * self.health.failure_rate(now);
        let slowness = self.health.slowness(now).max(0.5);
        (self.calls(now) + 1.0) / self.entry.slots.max(1) as f32 * failures * slowness
    }
}

/// The software versions at which a call may run.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum VersionRule {
    /// Any version.
    #[default]
    Any,
    /// Any version, since the call starts a stream that may continue elsewhere.
    NewStream {
        /// The versions to avoid unless there is no other.
        closed: BTreeSet<SoftwareVersion>,
    },
    /// The version at which the stream began.
    At(SoftwareVersion),
}

/// The requirements of a call on its endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointCriteria<'a> {
    /// The service.
    pub service: &'a PoolName,
    /// Endpoints to avoid unless there is no other.
    pub avoid: &'a [EndpointId],
    /// The preferred failure domain, if any.
    pub domain: Option<&'a FailureDomain>,
    /// Whether other failure domains are used only if the preferred one has no
    /// usable endpoint.
    pub strict: bool,
    /// The hash of the prompt's shared prefix; `None` if reuse is not
    /// worthwhile.
    pub prefix: Option<u64>,
    /// The regions in which the call may run.
    pub homes: &'a Homes,
    /// Whether cold endpoints are left out.
    pub warm_only: bool,
    /// Whether endpoints that name a rate are left out.
    pub unlimited_only: bool,
    /// The versions at which the call may run.
    pub versions: &'a VersionRule,
}

/// Why the endpoints of a service get no calls, although some are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// None is in a region where the request may be served.
    OutsideHomes,
    /// All are in evacuated failure domains.
    Evacuated,
    /// All are cold.
    Cold,
}

/// The reason why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum Reason {
    /// It has the least load.
    #[display("least-load")]
    LeastLoad,
    /// It ranks first for the prompt's prefix.
    #[display("prefix")]
    Prefix,
    /// The endpoint that ranks first for the prefix is full, slow or
    /// unavailable.
    #[display("prefix-spill")]
    Spill,
    /// The node that books the service's requests chose it.
    #[display("booked")]
    Booked,
    /// All endpoints are paused; this one has the least load.
    #[display("last-resort")]
    LastResort,
}

/// An endpoint chosen for a call.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Its registration.
    pub entry: Entry,
    /// The reason for the choice.
    pub reason: Reason,
    /// Its estimated number of calls.
    pub calls: f32,
    /// The age of its last load report.
    pub report_age: Duration,
    /// Whether it is cold.
    pub cold: bool,
    /// Whether it names a rate.
    pub limited: bool,
}

/// All endpoints known to this node.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    checksum: u64,
    /// The region of each failure domain.
    regions: BTreeMap<FailureDomain, Region>,
    evacuations: Evacuations,
    /// The endpoints that name a rate.
    limited: BTreeSet<EndpointId>,
    /// What is known of the rates of endpoints that have disappeared.
    departed_rates: BTreeMap<EndpointId, DepartedRate>,
}

#[derive(Debug, Clone)]
struct DepartedRate {
    entry: Entry,
    rate: RateState,
    since: Time,
}

impl Directory {
    /// Creates a directory without endpoints.
    #[must_use]
    pub fn new(regions: BTreeMap<FailureDomain, Region>) -> Self {
        Self {
            regions,
            ..Self::default()
        }
    }

    /// Adds or updates an endpoint. Returns whether it is a new one.
    ///
    /// An endpoint that restarted under its name is a new one: the load and
    /// health of its previous run do not apply to it.
    pub fn set(&mut self, entry: Entry) -> bool {
        self.checksum = self.checksum.wrapping_add(entry.hash());
        let held = self.endpoints.get_mut(&entry.id);
        let previous_hash = held.as_ref().map_or(0, |e| e.entry.hash());
        self.checksum = self.checksum.wrapping_sub(previous_hash);
        let same = |e: &Endpoint| e.entry.is_same_run(&entry);
        let evacuated = self.evacuations.contains(&entry.domain);
        let region = self.regions.get(&entry.domain).cloned();
        match held {
            Some(endpoint) if same(endpoint) => {
                endpoint.entry = entry;
                endpoint.evacuated = evacuated;
                endpoint.region = region;
                false
            }
            _ => {
                let departed = self.departed_rates.remove(&entry.id);
                let departed = departed.filter(|d| d.entry.is_same_run(&entry));
                let endpoint = Endpoint {
                    evacuated,
                    region,
                    rate: departed.map(|d| d.rate).unwrap_or_default(),
                    ..Endpoint::new(entry)
                };
                let id = endpoint.entry.id.clone();
                self.endpoints.insert(id.clone(), endpoint);
                self.update_limited(&id);
                true
            }
        }
    }

    fn update_limited(&mut self, id: &EndpointId) {
        let limit = self.endpoints.get(id).and_then(Endpoint::rate_limit);
        if limit.is_some() {
            self.limited.insert(id.clone());
        } else {
            self.limited.remove(id);
        }
    }

    /// Returns the evacuations of failure domains.
    #[must_use]
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns whether a failure domain is known, from the settings or by one of
    /// its endpoints.
    #[must_use]
    pub fn knows_domain(&self, domain: &FailureDomain) -> bool {
        let in_domain = |e: &Endpoint| e.entry.domain == *domain;
        self.regions.contains_key(domain) || self.endpoints.values().any(in_domain)
    }

    /// Begins the evacuation of a failure domain. Returns whether it was not
    /// evacuated.
    pub fn begin_evacuation(&mut self, domain: &FailureDomain) -> bool {
        for endpoint in self.endpoints.values_mut() {
            endpoint.evacuated |= endpoint.entry.domain == *domain;
        }
        self.evacuations.begin(domain)
    }

    /// Ends the evacuation of a failure domain. Returns whether it was
    /// evacuated.
    ///
    /// Its endpoints may have become cold without a call. Those of a service for
    /// which `cold_time` returns a duration count as cold for that long, also if
    /// their registrations still say otherwise.
    pub fn end_evacuation(
        &mut self,
        now: Time,
        domain: &FailureDomain,
        cold_time: impl Fn(&PoolName) -> Option<Duration>,
    ) -> bool {
        if !self.evacuations.end(domain) {
            return false;
        }
        for endpoint in self.endpoints.values_mut() {
            if endpoint.entry.domain != *domain {
                continue;
            }
            endpoint.evacuated = false;
            if let Some(duration) = cold_time(&endpoint.entry.service) {
                endpoint.cold_until = endpoint.cold_until.max(now + duration);
            }
        }
        true
    }

    /// Records a call to an endpoint of a failure domain. Returns whether it is
    /// the first one since an evacuation ended.
    pub fn record_call(&mut self, now: Time, domain: &FailureDomain) -> bool {
        self.evacuations.record_call(now, domain)
    }

    /// Records that an endpoint is cold until some time.
    pub fn mark_cold(&mut self, id: &EndpointId, until: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.cold_until = endpoint.cold_until.max(until);
        }
    }

    /// Removes an endpoint. Returns whether it was known.
    pub fn remove(&mut self, now: Time, id: &EndpointId) -> bool {
        let Some(removed) = self.endpoints.remove(id) else {
            return false;
        };
        self.checksum = self.checksum.wrapping_sub(removed.entry.hash());
        let retained = |d: &DepartedRate| now.since(d.since) < RATE_RETENTION;
        self.departed_rates.retain(|_, d| retained(d));
        if removed.rate_limit().is_some() {
            let departed = DepartedRate {
                entry: removed.entry,
                rate: removed.rate,
                since: now,
            };
            self.departed_rates.insert(id.clone(), departed);
        }
        self.update_limited(id);
        true
    }

    /// Handles what a response says about the rate of its endpoint.
    pub fn on_rate_notice(
        &mut self,
        now: Time,
        id: &EndpointId,
        (sent, notice): (Time, RateNotice),
    ) -> Option<RateChange> {
        let endpoint = self.endpoints.get_mut(id)?;
        let change = endpoint.rate.on_response(now, sent, notice)?;
        self.update_limited(id);
        Some(change)
    }

    /// Handles the rate of an endpoint that another node heard.
    pub fn on_rate_news(
        &mut self,
        now: Time,
        (id, rate, age): (&EndpointId, NamedRate, Duration),
        source: SocketAddr,
    ) -> Option<RateChange> {
        let endpoint = self.endpoints.get_mut(id)?;
        let change = endpoint.rate.on_news(now, (rate, age), source)?;
        self.update_limited(id);
        Some(change)
    }

    /// Returns the endpoints that named a rate recently, with their ages.
    pub fn recent_rates(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (&EndpointId, NamedRate, Duration)> {
        let rates = self.limits().map(move |(e, limit)| {
            let age = now.since(limit.named_at);
            (&e.entry.id, limit.rate, age)
        });
        rates.filter(|(_, _, age)| *age < NEWS_LIFETIME)
    }

    /// Returns the endpoints that name a rate.
    pub fn limits(&self) -> impl Iterator<Item = (&Endpoint, &RateLimit)> {
        let limited = self.limited.iter();
        let limited = limited.filter_map(|id| self.endpoints.get(id));
        limited.filter_map(|e| Some((e, e.rate_limit()?)))
    }

    /// Returns whether an endpoint of a service names a rate.
    #[must_use]
    pub fn has_limits(&self, service: &PoolName) -> bool {
        self.limits().any(|(e, _)| e.entry.service == *service)
    }

    /// Records that a request did not go to an endpoint because of its rate.
    pub fn record_held_back(&mut self, id: &EndpointId) {
        let endpoint = self.endpoints.get_mut(id);
        if let Some(limit) = endpoint.and_then(|e| e.rate.limit_mut()) {
            limit.held_back += 1;
        }
    }

    /// Records that this node was refused a grant for an endpoint; it asks for
    /// none for a while.
    pub fn pause_grants(&mut self, now: Time, id: &EndpointId) {
        let endpoint = self.endpoints.get_mut(id);
        if let Some(limit) = endpoint.and_then(|e| e.rate.limit_mut()) {
            limit.paused_until = now + limit.rate.refusal_pause();
        }
    }

    /// Returns the rate that the endpoints which a request may use accept
    /// together, if all of them name one or are too cold.
    #[must_use]
    pub fn total_rate(
        &self,
        now: Time,
        service: &PoolName,
        (homes, warm_only): (&Homes, bool),
    ) -> Option<RequestRate> {
        let usable = self.open_endpoints(service);
        let usable = usable.filter(|e| homes.allows(e.region()));
        let mut usable = usable.filter(|e| !(warm_only && e.is_cold(now))).peekable();
        usable.peek()?;
        let rate = |e: &Endpoint| Some(e.rate_limit()?.rate.per_second());
        usable.map(rate).sum::<Option<f64>>().map(RequestRate)
    }

    /// Returns an endpoint by its name.
    #[must_use]
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns a checksum over the registrations of all endpoints.
    ///
    /// Two nodes that know the same endpoints have the same checksum.
    #[must_use]
    pub const fn checksum(&self) -> u64 {
        self.checksum
    }

    /// Returns whether a service has an endpoint that may get calls.
    #[must_use]
    pub fn serves(&self, service: &PoolName) -> bool {
        self.open_endpoints(service).next().is_some()
    }

    /// Returns why no endpoint of a service gets a call; `None` if one does, or
    /// if none is known at all.
    #[must_use]
    pub fn unavailability(
        &self,
        now: Time,
        service: &PoolName,
        (homes, warm_only): (&Homes, bool),
    ) -> Option<Unavailable> {
        let present = |e: &&Endpoint| e.is_present() && e.entry.service == *service;
        let mut usable: Vec<&Endpoint> = self.endpoints.values().filter(present).collect();
        if usable.is_empty() {
            return None;
        }
        usable.retain(|e| homes.allows(e.region()));
        if usable.is_empty() {
            return Some(Unavailable::OutsideHomes);
        }
        usable.retain(|e| e.is_open());
        if usable.is_empty() {
            return Some(Unavailable::Evacuated);
        }
        let all_cold = warm_only && usable.iter().all(|e| e.is_cold(now));
        all_cold.then_some(Unavailable::Cold)
    }

    pub(super) fn open_endpoints<'a>(
        &'a self,
        service: &PoolName,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let all = self.endpoints.values();
        all.filter(move |e| e.is_open() && e.entry.service == *service)
    }

    /// Returns the endpoint that ranks first for a prefix.
    #[must_use]
    pub fn home(&self, service: &PoolName, prefix: u64) -> Option<&Entry> {
        let ranked = self
            .open_endpoints(service)
            .max_by_key(|e| rank(prefix, &e.entry.id));
        ranked.map(|e| &e.entry)
    }

    /// Returns the shard of a service's endpoints at which a request is booked:
    /// that of the endpoint that ranks first for its prefix.
    #[must_use]
    pub fn shard(&self, service: &PoolName, prefix: u64) -> Shard {
        let count = Shard::count(self.open_endpoints(service).count());
        let home = self.home(service, prefix);
        home.map_or(Shard { index: 0, count }, |e| Shard::of(&e.id, count))
    }

    /// Returns the shard at which a request is booked that may get some versions
    /// only: that of the endpoint of these that ranks first for its prefix.
    #[must_use]
    pub fn version_shard(
        &self,
        now: Time,
        service: &PoolName,
        (prefix, versions): (u64, &VersionRule),
    ) -> Shard {
        let usable = self.open_endpoints(service);
        let usable = usable.filter(|e| e.satisfies(now, versions));
        let home = usable.max_by_key(|e| rank(prefix, &e.entry.id));
        let home = home.map(|e| &e.entry.id);
        home.map_or_else(
            || self.shard(service, prefix),
            |id| self.shard_of(service, id),
        )
    }

    /// Returns the shard of a service's endpoints that an endpoint is in.
    #[must_use]
    pub fn shard_of(&self, service: &PoolName, endpoint: &EndpointId) -> Shard {
        Shard::of(endpoint, Shard::count(self.open_endpoints(service).count()))
    }

    /// Chooses the endpoint for a call.
    #[must_use]
    pub fn choose(&self, now: Time, criteria: EndpointCriteria<'_>) -> Option<Choice> {
        let permitted = |e: &&Endpoint| {
            let too_cold = criteria.warm_only && e.is_cold(now);
            let limited = criteria.unlimited_only && e.rate_limit().is_some();
            let permitted = criteria.homes.allows(e.region()) && !too_cold && !limited;
            permitted && e.satisfies(now, criteria.versions)
        };
        let all = self.open_endpoints(criteria.service).filter(permitted);
        let mut all: Vec<&Endpoint> = all.collect();
        prefer_for_new(&mut all, criteria.versions, |e| e.calls(now));
        let not_avoided = |e: &&Endpoint| !criteria.avoid.contains(&e.entry.id);
        let usable: Vec<&Endpoint> = all.iter().copied().filter(not_avoided).collect();
        let healthy = |e: &&Endpoint| !e.health.is_paused(now);
        let mut pool: Vec<&Endpoint> = usable.iter().copied().filter(healthy).collect();
        if pool.is_empty() {
            let endpoint = least_loaded(now, &usable, criteria)?;
            return Some(choice(now, endpoint, Reason::LastResort));
        }
        if let (true, Some(domain)) = (criteria.strict, criteria.domain) {
            let near = |e: &&Endpoint| e.entry.domain == *domain;
            let nearby: Vec<&Endpoint> = pool.iter().copied().filter(near).collect();
            if !nearby.is_empty() {
                pool = nearby;
            }
        }
        let Some(prefix) = criteria.prefix else {
            let endpoint = least_loaded(now, &pool, criteria)?;
            return Some(choice(now, endpoint, Reason::LeastLoad));
        };
        let picked = choose_bounded(now, &pool, prefix);
        let home = pool.iter().max_by_key(|e| rank(prefix, &e.entry.id))?;
        let at_home = home.entry.id == picked.entry.id;
        let reason = if at_home {
            Reason::Prefix
        } else {
            Reason::Spill
        };
        Some(choice(now, picked, reason))
    }

    /// Returns an endpoint that another node chose; `None` if this node knows
    /// that it may get no calls, or not this one.
    #[must_use]
    pub fn booked_choice(
        &self,
        now: Time,
        id: &EndpointId,
        versions: &VersionRule,
    ) -> Option<Choice> {
        let may_get = |e: &&Endpoint| e.is_open() && e.satisfies(now, versions);
        let endpoint = self.get(id).filter(may_get)?;
        Some(choice(now, endpoint, Reason::Booked))
    }

    /// Records that a call was sent.
    pub fn call_started(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.own_calls += 1;
        }
    }

    /// Records that a call ended, with any result.
    pub fn call_ended(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.own_calls = endpoint.own_calls.saturating_sub(1);
        }
    }

    /// Records the load that an endpoint reported with a response.
    pub fn apply_load(&mut self, now: Time, id: &EndpointId, load: LoadReport) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            // The report includes this node's calls, which are counted in
            // `own_calls`.
            endpoint.other_calls = load.calls.saturating_sub(endpoint.own_calls);
            endpoint.reported_at = now;
        }
    }

    /// Returns an endpoint's health for an update.
    pub fn health_mut(&mut self, id: &EndpointId) -> Option<&mut Health> {
        self.endpoints.get_mut(id).map(|e| &mut e.health)
    }

    /// Returns the versions of a service's endpoints, also of those that leave.
    #[must_use]
    pub fn versions(&self, service: &PoolName) -> BTreeSet<SoftwareVersion> {
        let of_service = self.endpoints.values();
        let of_service = of_service.filter(|e| e.entry.service == *service);
        of_service.map(|e| e.entry.version.clone()).collect()
    }

    /// Returns whether an endpoint of a service may get a call.
    #[must_use]
    pub fn satisfies(&self, now: Time, service: &PoolName, versions: &VersionRule) -> bool {
        let mut open = self.open_endpoints(service);
        open.any(|e| e.satisfies(now, versions))
    }

    /// Records that a run of an endpoint has ended; it may restart under its
    /// name at another version before its registration is read.
    pub fn mark_ended(&mut self, now: Time, run: &Incarnation) {
        let endpoint = self.endpoints.get_mut(&run.endpoint);
        if let Some(endpoint) = endpoint.filter(|e| e.entry.started_at == run.started_at) {
            endpoint.doubted_until = now + RESTART_DOUBT;
        }
    }

    /// Records that another endpoint answers at this one's address.
    ///
    /// It gets no more calls until its registration changes.
    pub fn mark_replaced(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.replaced = true;
        }
    }
}

/// Leaves out endpoints that a new stream should not get while there are others:
/// those of closed versions, and of several versions those that are nearly full.
pub(super) fn prefer_for_new(
    pool: &mut Vec<&Endpoint>,
    versions: &VersionRule,
    calls: impl Fn(&Endpoint) -> f32,
) {
    let VersionRule::NewStream { closed } = versions else {
        return;
    };
    let first = pool.first().map(|e| &e.entry.version);
    if pool.iter().all(|e| Some(&e.entry.version) == first) {
        return;
    }
    let is_open = |e: &&Endpoint| !closed.contains(&e.entry.version);
    if pool.iter().any(is_open) {
        pool.retain(is_open);
    }
    let has_room = |e: &&Endpoint| calls(e) < e.entry.slots as f32 * NEW_STREAMS_FRACTION;
    if pool.iter().any(has_room) {
        pool.retain(has_room);
    }
}

fn choice(now: Time, endpoint: &Endpoint, reason: Reason) -> Choice {
    Choice {
        entry: endpoint.entry.clone(),
        reason,
        calls: endpoint.calls(now),
        report_age: endpoint.report_age(now),
        cold: endpoint.is_cold(now),
        limited: endpoint.rate_limit().is_some(),
    }
}

fn least_loaded<'a>(
    now: Time,
    pool: &[&'a Endpoint],
    criteria: EndpointCriteria<'_>,
) -> Option<&'a Endpoint> {
    let weighted_load = |e: &Endpoint| {
        let is_remote = criteria.domain.is_some_and(|d| e.entry.domain != *d);
        let slots = e.entry.slots.max(1) as f32;
        e.weighted_load(now) + if is_remote { REMOTE_COST / slots } else { 0.0 }
    };
    let ordered = |a: &&&Endpoint, b: &&&Endpoint| weighted_load(a).total_cmp(&weighted_load(b));
    pool.iter().min_by(ordered).copied()
}

/// Returns the best-ranked endpoint of a prefix that is not full, slow or
/// failing.
fn choose_bounded<'a>(now: Time, pool: &[&'a Endpoint], prefix: u64) -> &'a Endpoint {
    let mut ranked: Vec<&Endpoint> = pool.to_vec();
    ranked.sort_by_key(|e| std::cmp::Reverse(rank(prefix, &e.entry.id)));
    let count = ranked.len().max(1) as f32;
    let calls: f32 = ranked.iter().map(|e| e.calls(now)).sum();
    let bound = BOUND_RATIO * calls / count + BOUND_SLACK;
    let slowness = median(ranked.iter().map(|e| e.health.slowness(now)).collect());
    let failures = median(ranked.iter().map(|e| e.health.failure_rate(now)).collect());
    let fits = |e: &&&Endpoint| {
        let slow = e.health.slowness(now) > SLOW_RATIO * slowness;
        let failing = e.health.failure_rate(now) > failures + 0.3;
        e.calls(now) < bound && !slow && !failing
    };
    let first = ranked.iter().find(fits).or_else(|| ranked.first());
    let Some(endpoint) = first else {
        unreachable!("the caller has at least one endpoint");
    };
    endpoint
}

pub(super) fn median(mut values: Vec<f32>) -> f32 {
    values.sort_by(f32::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(1.0)
}

pub(super) fn rank(prefix: u64, id: &EndpointId) -> u64 {
    let mut text = prefix.to_le_bytes().to_vec();
    text.extend_from_slice(id.as_str().as_bytes());
    rapidhash_v3_seeded(&text, &SECRETS)
}

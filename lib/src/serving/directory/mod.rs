//! Directory of the endpoints of all services, and the choice among them.

mod choice;
mod endpoint;
mod reports;
mod sources;
mod speeds;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rapidhash::v3::RapidSecrets;

use super::bookings::Shard;
use super::endpoint_loss::Incarnation;
use super::evacuation::Evacuations;
use super::health::Health;
use super::homes::Homes;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::ids::PoolName;
use crate::ids::Region;
use crate::ids::SoftwareVersion;
use crate::time::Time;

pub use self::choice::Choice;
pub use self::choice::EndpointCriteria;
pub use self::choice::Reason;
pub use self::choice::Unavailable;
pub use self::choice::VersionRule;
use self::choice::choice;
use self::choice::choose_bounded;
use self::choice::least_loaded;
pub(super) use self::choice::prefer_for_new;
pub(super) use self::choice::rank;
pub use self::endpoint::Endpoint;
pub use self::endpoint::Entry;
pub use self::endpoint::LoadReport;
use self::reports::Departed;
pub use self::speeds::ServiceSpeeds;
pub use self::speeds::Spread;
pub(super) use self::speeds::TypicalSlowness;

const SECRETS: RapidSecrets = RapidSecrets::seed(0);

/// How long an endpoint that may have restarted gets no stream that continues.
///
/// Its registration is renewed about every second, and expires after three.
/// Until then it may run another version than the one registered.
const RESTART_DOUBT: Duration = Duration::from_secs(4);

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
    /// The endpoints that said that they leave.
    leaving: BTreeSet<EndpointId>,
    /// The endpoints that name their service time, so that their speed is estimated.
    estimated: BTreeSet<EndpointId>,
    /// What endpoints that have disappeared said of themselves.
    departed: BTreeMap<EndpointId, Departed>,
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
                let departed = self.departed.remove(&entry.id);
                let departed = departed.filter(|d| d.entry.is_same_run(&entry));
                let endpoint = Endpoint {
                    evacuated,
                    region,
                    reported: departed.map(|d| d.reported).unwrap_or_default(),
                    ..Endpoint::new(entry)
                };
                let id = endpoint.entry.id.clone();
                self.endpoints.insert(id.clone(), endpoint);
                self.update_indexes(&id);
                true
            }
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
        self.forget_departed(now);
        if removed.reported.is_binding(now) {
            let departed = Departed {
                entry: removed.entry,
                reported: removed.reported,
                since: now,
            };
            self.departed.insert(id.clone(), departed);
        }
        self.update_indexes(id);
        true
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

    /// Returns whether endpoints of a service name their current service time.
    #[must_use]
    pub fn has_contention(&self, service: &PoolName) -> bool {
        let estimated = self.estimated.iter();
        let mut estimated = estimated.filter_map(|id| self.endpoints.get(id));
        estimated.any(|e| e.entry.service == *service)
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
        usable.retain(|e| !e.is_resting(now));
        if usable.is_empty() {
            return Some(Unavailable::Resting);
        }
        let all_cold = warm_only && usable.iter().all(|e| e.is_cold(now));
        all_cold.then_some(Unavailable::Cold)
    }

    /// Returns the endpoints of a service that may get calls.
    pub fn open_endpoints<'a>(&'a self, service: &PoolName) -> impl Iterator<Item = &'a Endpoint> {
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
            let held_back = too_cold || limited || e.is_resting(now);
            let permitted = criteria.homes.allows(e.region()) && !held_back;
            permitted && e.satisfies(now, criteria.versions)
        };
        let all = self.open_endpoints(criteria.service).filter(permitted);
        let mut all: Vec<&Endpoint> = all.collect();
        prefer_for_new(&mut all, criteria.versions, |e| e.calls(now));
        let not_avoided = |e: &&Endpoint| !criteria.avoid.contains(&e.entry.id);
        let usable: Vec<&Endpoint> = all.iter().copied().filter(not_avoided).collect();
        let healthy = |e: &&Endpoint| !e.is_paused(now);
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
        let may_get =
            |e: &&Endpoint| e.is_open() && !e.is_resting(now) && e.satisfies(now, versions);
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
            endpoint.reported.on_load(now, endpoint.own_calls, load);
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

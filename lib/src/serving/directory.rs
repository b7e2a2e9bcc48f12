//! The endpoints of all services, and the choice among them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

use super::bookings::Shard;
use super::health::Health;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::ids::PoolName;
use crate::time::Time;

/// How long a report of load says something.
///
/// Calls last from 50 ms to a few seconds; after a second most of what was
/// reported has ended.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// How far above the mean load an endpoint that holds a prefix may be.
///
/// Bounded-load hashing: at a quarter above the mean a hot key spills to its
/// next endpoint, while keys of usual heat stay together.
const BOUND_RATIO: f32 = 1.25;

/// The calls above the mean at which spilling begins.
///
/// A handful of running calls costs less than reading a shared prefix again.
const BOUND_SLACK: f32 = 6.0;

/// How many times slower than its peers an endpoint is left by its prefixes.
const SLOW_RATIO: f32 = 2.5;

/// The weight of an endpoint's failures in its load.
///
/// An endpoint that fails four in ten of its calls then counts as four times
/// as loaded as its peers.
const FAILURE_WEIGHT: f32 = 8.0;

/// What another failure domain costs, in calls.
///
/// Half a call: an idle endpoint nearby is taken before an idle one afar, a
/// busy one nearby is not.
const REMOTE_COST: f32 = 0.5;

const SECRETS: RapidSecrets = RapidSecrets::seed(0);

/// What an endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub id: EndpointId,
    /// The moment of its start, as it tells it; a name may be used again.
    pub started_at: Option<u64>,
    /// Its service.
    pub service: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The calls that it works on at once.
    pub slots: u32,
    /// Whether it leaves and takes nothing new.
    pub draining: bool,
}

impl Entry {
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

/// The load that an endpoint reported with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls at work and waiting.
    pub calls: u32,
    /// The calls that it works on at once.
    pub slots: u32,
}

/// One endpoint as this node knows it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    entry: Entry,
    own_calls: u32,
    other_calls: u32,
    reported_at: Time,
    health: Health,
    replaced: bool,
}

impl Endpoint {
    fn new(entry: Entry) -> Self {
        Self {
            entry,
            own_calls: 0,
            other_calls: 0,
            reported_at: Time::ZERO,
            health: Health::default(),
            replaced: false,
        }
    }

    /// Returns what the endpoint says of itself.
    #[must_use]
    pub const fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Returns its health as seen from here.
    #[must_use]
    pub const fn health(&self) -> &Health {
        &self.health
    }

    /// Tells whether it may get new calls.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        !self.entry.draining && !self.replaced
    }

    /// Returns the calls that it is taken to have now.
    #[must_use]
    pub fn calls(&self, now: Time) -> f32 {
        let age = now.since(self.reported_at).as_secs_f32() / REPORT_LIFETIME.as_secs_f32();
        self.own_calls as f32 + self.other_calls as f32 * (1.0 - age).max(0.0)
    }

    fn weighted_load(&self, now: Time) -> f32 {
        let failures = 1.0 + FAILURE_WEIGHT * self.health.failures(now);
        let slowness = self.health.slowness(now).max(0.5);
        (self.calls(now) + 1.0) / self.entry.slots.max(1) as f32 * failures * slowness
    }
}

/// What a call asks of its endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointCriteria<'a> {
    /// The service.
    pub service: &'a PoolName,
    /// Endpoints that are not to be taken, unless there is no other.
    pub avoid: &'a [EndpointId],
    /// The failure domain that is nearest, if any.
    pub domain: Option<&'a FailureDomain>,
    /// Whether other failure domains come only after all of that one.
    pub strict: bool,
    /// The hash of the prompt's shared prefix, where one is worth keeping to.
    pub prefix: Option<u64>,
}

/// Why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum Reason {
    /// It has the least load.
    #[display("least-load")]
    LeastLoad,
    /// It is the first for the prompt's prefix.
    #[display("prefix")]
    Prefix,
    /// The first for the prefix is full, slow or away.
    #[display("prefix-spill")]
    Spill,
    /// The node that knows what all endpoints still have to read chose it.
    #[display("booked")]
    Booked,
    /// All endpoints are paused; it is the least bad.
    #[display("last-resort")]
    LastResort,
}

/// An endpoint picked for a call.
#[derive(Debug, Clone)]
pub struct Choice {
    /// What it says of itself.
    pub entry: Entry,
    /// Why it was chosen.
    pub reason: Reason,
    /// The calls that it was taken to have.
    pub calls: f32,
    /// The age of its last report of load.
    pub report_age: Duration,
}

/// All endpoints that this node knows.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    checksum: u64,
}

impl Directory {
    /// Takes in what an endpoint says of itself; tells whether it is a new one.
    ///
    /// One that started again under its name is a new one: what was learned of
    /// the life before says nothing about this one.
    pub fn set(&mut self, entry: Entry) -> bool {
        self.checksum = self.checksum.wrapping_add(entry.hash());
        let held = self.endpoints.get_mut(&entry.id);
        let previous_hash = held.as_ref().map_or(0, |e| e.entry.hash());
        self.checksum = self.checksum.wrapping_sub(previous_hash);
        let same = |e: &Endpoint| {
            e.entry.started_at == entry.started_at && e.entry.address == entry.address
        };
        match held {
            Some(endpoint) if same(endpoint) => {
                endpoint.entry = entry;
                false
            }
            _ => {
                self.endpoints
                    .insert(entry.id.clone(), Endpoint::new(entry));
                true
            }
        }
    }

    /// Forgets an endpoint; tells whether it was known.
    pub fn remove(&mut self, id: &EndpointId) -> bool {
        let removed = self.endpoints.remove(id);
        let previous_hash = removed.as_ref().map_or(0, |e| e.entry.hash());
        self.checksum = self.checksum.wrapping_sub(previous_hash);
        removed.is_some()
    }

    /// Returns an endpoint.
    #[must_use]
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns a sum over what all endpoints say of themselves.
    ///
    /// Two nodes that know the same endpoints have the same sum.
    #[must_use]
    pub const fn checksum(&self) -> u64 {
        self.checksum
    }

    /// Tells whether a service has an endpoint that may get calls.
    #[must_use]
    pub fn serves(&self, service: &PoolName) -> bool {
        self.open_endpoints(service).next().is_some()
    }

    pub(super) fn open_endpoints<'a>(
        &'a self,
        service: &PoolName,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let all = self.endpoints.values();
        all.filter(move |e| e.is_open() && e.entry.service == *service)
    }

    /// Returns the endpoint that a prefix belongs to while nothing is wrong.
    #[must_use]
    pub fn home(&self, service: &PoolName, prefix: u64) -> Option<&Entry> {
        let ranked = self
            .open_endpoints(service)
            .max_by_key(|e| rank(prefix, &e.entry.id));
        ranked.map(|e| &e.entry)
    }

    /// Returns the part of a service's endpoints at which a request is booked:
    /// that of its prefix's endpoint.
    #[must_use]
    pub fn shard(&self, service: &PoolName, prefix: u64) -> Shard {
        let count = Shard::count(self.open_endpoints(service).count());
        let home = self.home(service, prefix);
        home.map_or(Shard { index: 0, count }, |e| Shard::of(&e.id, count))
    }

    /// Chooses the endpoint for a call.
    #[must_use]
    pub fn choose(&self, now: Time, criteria: EndpointCriteria<'_>) -> Option<Choice> {
        let all: Vec<&Endpoint> = self.open_endpoints(criteria.service).collect();
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

    /// Returns an endpoint that another node chose; `None` if it may get no
    /// calls as far as is known here.
    #[must_use]
    pub fn booked_choice(&self, now: Time, id: &EndpointId) -> Option<Choice> {
        let endpoint = self.get(id).filter(|e| e.is_open())?;
        Some(choice(now, endpoint, Reason::Booked))
    }

    /// Notes that a call was sent.
    pub fn call_started(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.own_calls += 1;
        }
    }

    /// Notes that a call ended, in whatever way.
    pub fn call_ended(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.own_calls = endpoint.own_calls.saturating_sub(1);
        }
    }

    /// Notes the load that came with an answer.
    pub fn apply_load(&mut self, now: Time, id: &EndpointId, load: LoadReport) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            // The report counts this node's calls too, which it knows itself.
            endpoint.other_calls = load.calls.saturating_sub(endpoint.own_calls);
            endpoint.reported_at = now;
        }
    }

    /// Returns an endpoint's health for an update.
    pub fn health_mut(&mut self, id: &EndpointId) -> Option<&mut Health> {
        self.endpoints.get_mut(id).map(|e| &mut e.health)
    }

    /// Notes that another endpoint answers at this one's address.
    ///
    /// It gets no more calls until it says something new of itself.
    pub fn mark_replaced(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.replaced = true;
        }
    }
}

fn choice(now: Time, endpoint: &Endpoint, reason: Reason) -> Choice {
    Choice {
        entry: endpoint.entry.clone(),
        reason,
        calls: endpoint.calls(now),
        report_age: now.since(endpoint.reported_at),
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

/// Returns the first endpoint of a prefix that is neither full nor slow.
fn choose_bounded<'a>(now: Time, pool: &[&'a Endpoint], prefix: u64) -> &'a Endpoint {
    let mut ranked: Vec<&Endpoint> = pool.to_vec();
    ranked.sort_by_key(|e| std::cmp::Reverse(rank(prefix, &e.entry.id)));
    let count = ranked.len().max(1) as f32;
    let calls: f32 = ranked.iter().map(|e| e.calls(now)).sum();
    let bound = BOUND_RATIO * calls / count + BOUND_SLACK;
    let slowness = median(ranked.iter().map(|e| e.health.slowness(now)).collect());
    let failures = median(ranked.iter().map(|e| e.health.failures(now)).collect());
    let fits = |e: &&&Endpoint| {
        let slow = e.health.slowness(now) > SLOW_RATIO * slowness;
        let failing = e.health.failures(now) > failures + 0.3;
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

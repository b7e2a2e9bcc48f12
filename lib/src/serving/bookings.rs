//! Placement of prompts on a model's endpoints, at the node that books them.
//!
//! A node among a hundred sees one request in a hundred. The load that an
//! endpoint reported with a response is seconds old when the node next chooses,
//! so each node chooses as if all endpoints were idle: a few get several
//! prompts queued while most have none. The prompts of one shard of a model's
//! endpoints are therefore booked at one node, which knows what each endpoint
//! still has to read.
//!
//! All costs are in prompt tokens: the backlog of the endpoint, the request's
//! own tokens, and the cost of reading its inputs from another failure domain.

use std::collections::BTreeMap;
use std::time::Duration;

use super::admission::Work;
use super::cold_start::Admissions;
use super::cold_start::AdmitterRank;
use super::directory::Directory;
use super::directory::Endpoint;
use super::directory::TypicalSlowness;
use super::directory::VersionRule;
use super::directory::prefer_for_new;
use super::directory::rank;
use super::homes::Homes;
use super::prefix_sources::PrefixSources;
use super::rate_limit::Quota;
pub use super::shards::Shard;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::ids::PoolName;
use crate::time::Time;

/// How long an endpoint is assumed to cache the shared prefix of a prompt.
///
/// A busy engine overwrites its whole cache in about half a minute.
pub const PREFIX_RETENTION: Duration = Duration::from_secs(30);

/// The maximum lifetime of a booking whose end was not reported.
///
/// Responses take seconds. A lost message must not make an endpoint look busy
/// forever.
const BOOKING_MAX: Duration = Duration::from_secs(30);

/// The interval between two sweeps of expired entries.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The cost of a running call in tokens.
///
/// Each call makes the steps of the others half a hundredth longer.
const CALL_TOKENS: f32 = 64.0;

/// The cost of a token to read for each running call, relative to one in the
/// backlog.
///
/// The calls that run beside a prompt get no tokens while the engine reads it.
const DISTURBANCE: f32 = 0.05;

/// The cost of an endpoint other than the first-ranked one for a prefix that no
/// endpoint is known to have, in tokens.
///
/// A node that takes over the bookings expects prefixes where they rank first.
const AWAY_TOKENS: f32 = 3_000.0;

/// The cost of a token that the request itself has to read, relative to one in
/// the backlog.
///
/// Reading the prefix again delays later prompts, too.
const READ_WEIGHT: f32 = 1.5;

/// The ratio to the typical slowness of its peers above which an endpoint
/// counts as slow.
const SLOW_RATIO: f32 = 2.5;

/// The weight of an endpoint's failures in its cost.
const FAILURE_WEIGHT: f32 = 8.0;

/// The additional cost of a paused endpoint, so that it is chosen last.
const PAUSED_COST: f32 = 1e9;

/// Identifies a booking by the link that it arrived on, 0 for this node's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BookingId {
    /// The link.
    pub link: u64,
    /// The number on that link.
    pub number: u64,
}

/// The first parts of a shared prefix.
///
/// More requests share them than the whole prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeadingPrefix {
    /// The hash of the parts.
    pub hash: u64,
    /// Their tokens.
    pub tokens: u32,
}

/// The properties of a request that determine its endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PlacementRequest {
    /// The hash of its shared prefix; `None` if reuse is not worthwhile.
    pub prefix: Option<u64>,
    /// The tokens of its shared prefix.
    pub shared_tokens: u32,
    /// The shorter prefixes that it begins with, shortest first.
    pub leading: Vec<LeadingPrefix>,
    /// The tokens of its own part.
    pub own_tokens: u32,
    /// The failure domain of its inputs.
    pub input_domain: Option<FailureDomain>,
    /// The cost of reading them from another failure domain, in tokens.
    pub remote_cost: u32,
    /// Endpoints to avoid unless there is no other.
    pub avoid: Vec<EndpointId>,
    /// Endpoints that it may not get, since they asked its node for a rest.
    pub resting: Vec<EndpointId>,
    /// The regions in which it may run.
    pub homes: Homes,
    /// Whether another node booked the shard until lately.
    pub moved: bool,
    /// The only endpoint that it may get, if any.
    pub only: Option<EndpointId>,
    /// The versions at which it may run.
    pub versions: VersionRule,
}

/// What an endpoint has to read before the first event of a booked request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReadingWork {
    /// The tokens of the prompts before it.
    pub ahead_tokens: u32,
    /// Its own tokens that the endpoint does not have cached.
    pub unread_tokens: u32,
}

impl ReadingWork {
    /// Returns the tokens to read until the first event.
    #[must_use]
    pub const fn tokens(&self) -> u32 {
        self.ahead_tokens.saturating_add(self.unread_tokens)
    }
}

/// A request in flight, as it was booked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BookedRequest {
    /// Its endpoint.
    pub endpoint: EndpointId,
    /// The start time that the endpoint had reported.
    pub started_at: Option<u64>,
    /// When it was booked.
    pub since: Time,
    /// What its endpoint had to read.
    pub work: ReadingWork,
}

#[derive(Debug, Clone)]
struct Booking {
    endpoint: EndpointId,
    started_at: Option<u64>,
    work: ReadingWork,
    /// The tokens that the endpoint has not read yet.
    pending_tokens: u32,
    since: Time,
}

#[derive(Debug, Clone, Copy, Default)]
struct Load {
    pending_tokens: u64,
    calls: u32,
}

#[derive(Debug, Clone)]
struct PrefixHolder {
    endpoint: EndpointId,
    started_at: Option<u64>,
    last_used: Time,
}

/// The requests in flight at one shard of a service's endpoints.
#[derive(Debug, Clone, Default)]
pub struct Bookings {
    in_flight: BTreeMap<BookingId, Booking>,
    loads: BTreeMap<EndpointId, Load>,
    prefix_holders: BTreeMap<u64, Vec<PrefixHolder>>,
    last_sweep: Time,
    admissions: Admissions,
    /// The calls per second to a cold endpoint; `None` if it has no limit.
    cold_share: Option<usize>,
    /// The grants for endpoints that name a rate.
    quotas: BTreeMap<EndpointId, Quota>,
    /// This node's rank among those that grant requests, and the number of
    /// places that do so for the same endpoints.
    granter: (Option<AdmitterRank>, u32),
    /// The endpoints that were left out because of their rates.
    held_back: Vec<EndpointId>,
    /// When the first request was booked.
    started_at: Option<Time>,
    /// Whether endpoints may have cached prefixes before this node booked them.
    took_over: bool,
    pub(super) sources: PrefixSources,
}

impl Bookings {
    /// Records that another node may have booked before this one.
    pub const fn mark_taken_over(&mut self) {
        self.took_over = true;
    }

    /// Sets the calls per second that this node may admit to a cold endpoint;
    /// `None` if there is no limit.
    pub const fn set_cold_share(&mut self, share: Option<usize>) {
        self.cold_share = share;
    }

    /// Sets this node's rank among those that grant requests to endpoints that
    /// name a rate; `uses` is the number of places that do so for the same
    /// endpoints.
    pub const fn set_granter(&mut self, rank: Option<AdmitterRank>, uses: u32) {
        self.granter = (rank, uses);
    }

    /// Chooses the endpoint for a request and books it there.
    ///
    /// Returns `None` if there is none, or if all are cold or name a rate, and
    /// get as many requests as this node may admit.
    pub fn place(
        &mut self,
        now: Time,
        directory: &Directory,
        (service, shard): (&PoolName, Shard),
        id: BookingId,
        request: &PlacementRequest,
    ) -> Option<EndpointId> {
        self.sweep(now);
        self.end(id);
        let in_shard = |e: &&Endpoint| Shard::of(&e.entry().id, shard.count) == shard;
        let mut all: Vec<&Endpoint> = directory.open_endpoints(service).filter(in_shard).collect();
        let is_only = |e: &Endpoint| request.only.as_ref().is_none_or(|id| *id == e.entry().id);
        let is_wanted = |e: &Endpoint| {
            let is_resting = request.resting.contains(&e.entry().id);
            is_only(e) && !is_resting && e.satisfies(now, &request.versions)
        };
        all.retain(|e| is_wanted(e) && request.homes.allows(e.region()) && self.admits(now, e));
        prefer_for_new(&mut all, &request.versions, |e| {
            let load = self.loads.get(&e.entry().id);
            load.map_or(0.0, |l| l.calls as f32)
        });
        let not_avoided = |e: &&Endpoint| !request.avoid.contains(&e.entry().id);
        let mut pool: Vec<&Endpoint> = all.iter().copied().filter(not_avoided).collect();
        if pool.is_empty() {
            pool = all;
        }
        let prefix = request.prefix.unwrap_or_default();
        let home = pool.iter().max_by_key(|e| rank(prefix, &e.entry().id))?;
        let home = home.entry().id.clone();
        self.took_over |= request.moved;
        let started_at = *self.started_at.get_or_insert(now);
        // Until then endpoints may have cached prefixes that this node does not know of.
        let is_complete = !self.took_over || now.since(started_at) >= PREFIX_RETENTION;
        let is_first = self.is_first(request);
        let typical = TypicalSlowness::of(now, &pool);
        let unread_tokens = |e: &Endpoint| {
            let is_expected = is_first && !is_complete && e.entry().id == home;
            let missing = if is_expected {
                0
            } else {
                self.missing_tokens(request, e)
            };
            request.own_tokens + missing
        };
        let candidates = self.sources.candidates(now, directory, request);
        let work = |e: &Endpoint| {
            let missing = unread_tokens(e).saturating_sub(request.own_tokens);
            candidates.work(e, (request.own_tokens, missing))
        };
        let cost = |e: &Endpoint| {
            let is_away = is_first && e.entry().id != home && !self.holds_leading(request, e);
            let away_cost = if is_away { AWAY_TOKENS } else { 0.0 };
            let work = work(e);
            let load = self.loads.get(&e.entry().id).copied().unwrap_or_default();
            let pauses = self
                .sources
                .pause_cost(load.pending_tokens, load.calls, &work);
            self.cost(now, e, request, (work.tokens(), typical)) + away_cost + pauses
        };
        let rated = pool
            .iter()
            .map(|e| (cost(e), rank(prefix, &e.entry().id), *e));
        let best = rated.min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        let (_, _, best) = best?;
        let work = work(best);
        let pending_tokens = work.tokens();
        let entry = best.entry();
        self.sources.on_booked(now, id, entry, request, work);
        let (endpoint, started_at) = (entry.id.clone(), entry.started_at);
        let ahead_tokens = self.pending_tokens(&endpoint);
        let work = ReadingWork {
            ahead_tokens: u32::try_from(ahead_tokens).unwrap_or(u32::MAX),
            unread_tokens: pending_tokens,
        };
        self.record_prefix(now, request, &endpoint, started_at);
        self.admissions.record(now, &endpoint);
        if let Some(quota) = self.quotas.get_mut(&endpoint) {
            quota.try_grant(now);
        }
        let load = self.loads.entry(endpoint.clone()).or_default();
        load.calls += 1;
        load.pending_tokens += u64::from(pending_tokens);
        let booking = Booking {
            endpoint: endpoint.clone(),
            started_at,
            work,
            pending_tokens,
            since: now,
        };
        self.in_flight.insert(id, booking);
        Some(endpoint)
    }

    /// Records that a request's prompt was read. Returns the endpoint where it
    /// was booked.
    pub fn on_prompt_read(&mut self, id: BookingId) -> Option<&EndpointId> {
        self.sources.on_prompt_read(id);
        self.settle(id)
    }

    fn settle(&mut self, id: BookingId) -> Option<&EndpointId> {
        let booking = self.in_flight.get_mut(&id)?;
        let read = std::mem::take(&mut booking.pending_tokens);
        if let Some(load) = self.loads.get_mut(&booking.endpoint) {
            load.pending_tokens = load.pending_tokens.saturating_sub(u64::from(read));
        }
        Some(&booking.endpoint)
    }

    /// Records that a request has ended. Returns the endpoint where it was
    /// booked.
    pub fn end(&mut self, id: BookingId) -> Option<EndpointId> {
        self.sources.on_ended(id);
        self.settle(id)?;
        let booking = self.in_flight.remove(&id)?;
        if let Some(load) = self.loads.get_mut(&booking.endpoint) {
            load.calls = load.calls.saturating_sub(1);
            if load.calls == 0 {
                self.loads.remove(&booking.endpoint);
            }
        }
        Some(booking.endpoint)
    }

    /// Ends all bookings that arrived on a closed link.
    pub fn end_link(&mut self, link: u64) {
        let first = BookingId { link, number: 0 };
        let last = BookingId {
            link,
            number: u64::MAX,
        };
        let ids: Vec<BookingId> = self
            .in_flight
            .range(first..=last)
            .map(|(&id, _)| id)
            .collect();
        for id in ids {
            self.end(id);
        }
    }

    /// Returns the tokens that the endpoints have not read yet, for the owners of first
    /// stages.
    ///
    /// Placed prompts are read in the order of arrival, so they precede all others.
    #[must_use]
    pub fn waiting_work(&self, now: Time) -> Work {
        let mut work = Work::default();
        let tokens: u64 = self.loads.values().map(|l| l.pending_tokens).sum();
        if tokens > 0 {
            work.add(now, 0, tokens as f64);
        }
        work
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns whether no request is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Returns the tokens that an endpoint still has to read.
    #[must_use]
    pub fn pending_tokens(&self, endpoint: &EndpointId) -> u64 {
        self.loads.get(endpoint).map_or(0, |l| l.pending_tokens)
    }

    /// Returns the endpoint where a request was booked, and when.
    #[must_use]
    pub fn booked(&self, id: BookingId) -> Option<(&EndpointId, Time)> {
        let booking = self.in_flight.get(&id)?;
        Some((&booking.endpoint, booking.since))
    }

    /// Returns a request in flight as it was booked.
    #[must_use]
    pub fn booked_request(&self, id: BookingId) -> Option<BookedRequest> {
        let booking = self.in_flight.get(&id)?;
        Some(BookedRequest {
            endpoint: booking.endpoint.clone(),
            started_at: booking.started_at,
            since: booking.since,
            work: booking.work,
        })
    }

    /// Returns whether an endpoint may get a call.
    fn admits(&mut self, now: Time, endpoint: &Endpoint) -> bool {
        self.has_grant(now, endpoint) && self.admits_cold(now, endpoint)
    }

    /// Returns whether a request to an endpoint is within the rate that it names.
    fn has_grant(&mut self, now: Time, endpoint: &Endpoint) -> bool {
        let id = &endpoint.entry().id;
        let Some(limit) = endpoint.rate_limit() else {
            self.quotas.remove(id);
            return true;
        };
        let (rank, uses) = self.granter;
        let share = limit.rate.share(rank, uses);
        if !self.quotas.contains_key(id) {
            self.quotas.insert(id.clone(), Quota::new(now, share));
        }
        let quota = self.quotas.get_mut(id);
        let has_grant = quota.is_some_and(|quota| {
            quota.set_share(now, share);
            quota.next_grant(now) <= now
        });
        if !has_grant {
            self.held_back.push(id.clone());
        }
        has_grant
    }

    /// Takes the endpoints that were left out because of their rates, one for
    /// each request.
    pub fn take_held_back(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.held_back)
    }

    fn admits_cold(&mut self, now: Time, endpoint: &Endpoint) -> bool {
        let Some(share) = self.cold_share.filter(|_| endpoint.is_cold(now)) else {
            return true;
        };
        self.admissions.has_room(now, &endpoint.entry().id, share)
    }

    fn cost(
        &self,
        now: Time,
        endpoint: &Endpoint,
        request: &PlacementRequest,
        (unread_tokens, typical): (u32, TypicalSlowness),
    ) -> f32 {
        let entry = endpoint.entry();
        let load = self.loads.get(&entry.id).copied().unwrap_or_default();
        let health = endpoint.health();
        let ratio = typical.ratio(now, endpoint);
        let slow_factor = if ratio > SLOW_RATIO { ratio } else { 1.0 };
        let failure_factor = 1.0 + FAILURE_WEIGHT * health.failure_rate(now);
        let is_remote = request
            .input_domain
            .as_ref()
            .is_some_and(|d| *d != entry.domain);
        let full = load.calls >= entry.slots;
        let tokens = load.pending_tokens as f32
            + READ_WEIGHT * unread_tokens as f32
            + (CALL_TOKENS + DISTURBANCE * unread_tokens as f32) * load.calls as f32;
        let paused_cost = if endpoint.is_paused(now) {
            PAUSED_COST
        } else {
            0.0
        };
        let queued = if full {
            READ_WEIGHT * request.shared_tokens as f32
        } else {
            0.0
        };
        let remote_cost = if is_remote {
            request.remote_cost as f32
        } else {
            0.0
        };
        // Not stretched by the endpoint's speed: placing prompts by it made the largest
        // tenth of the prompts later, as the fastest endpoints drew most of them.
        tokens * slow_factor * failure_factor + queued + remote_cost + paused_cost
    }

    /// Returns the shared tokens that an endpoint does not have cached.
    fn missing_tokens(&self, request: &PlacementRequest, endpoint: &Endpoint) -> u32 {
        let Some(prefix) = request.prefix else {
            return request.shared_tokens;
        };
        let whole = LeadingPrefix {
            hash: prefix,
            tokens: request.shared_tokens,
        };
        let mut longest_first = std::iter::once(&whole).chain(request.leading.iter().rev());
        let held = longest_first.find(|p| self.holds(endpoint, p.hash));
        let held_tokens = held.map_or(0, |p| p.tokens);
        request.shared_tokens.saturating_sub(held_tokens)
    }

    /// Returns whether no endpoint is known to have the prefix of a request.
    fn is_first(&self, request: &PlacementRequest) -> bool {
        let prefix = request.prefix;
        prefix.is_some_and(|p| !self.prefix_holders.contains_key(&p))
    }

    /// Returns whether an endpoint has the first parts of a request's prefix
    /// cached.
    fn holds_leading(&self, request: &PlacementRequest, endpoint: &Endpoint) -> bool {
        request.leading.iter().any(|p| self.holds(endpoint, p.hash))
    }

    /// Returns whether an endpoint has a prefix cached.
    fn holds(&self, endpoint: &Endpoint, prefix: u64) -> bool {
        let entry = endpoint.entry();
        let is_same = |w: &PrefixHolder| w.endpoint == entry.id && w.started_at == entry.started_at;
        let holders = self.prefix_holders.get(&prefix);
        holders.is_some_and(|all| all.iter().any(is_same))
    }

    fn record_prefix(
        &mut self,
        now: Time,
        request: &PlacementRequest,
        endpoint: &EndpointId,
        started_at: Option<u64>,
    ) {
        let Some(prefix) = request.prefix else {
            return;
        };
        let leading = request.leading.iter().map(|p| p.hash);
        for hash in leading.chain([prefix]) {
            let all = self.prefix_holders.entry(hash).or_default();
            all.retain(|w| w.endpoint != *endpoint);
            all.push(PrefixHolder {
                endpoint: endpoint.clone(),
                started_at,
                last_used: now,
            });
        }
    }

    fn sweep(&mut self, now: Time) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.admissions.sweep(now);
        self.sources.sweep(now);
        self.prefix_holders.retain(|_, all| {
            all.retain(|w| now.since(w.last_used) < PREFIX_RETENTION);
            !all.is_empty()
        });
        let old = self
            .in_flight
            .iter()
            .filter(|(_, b)| now.since(b.since) > BOOKING_MAX);
        let ids: Vec<BookingId> = old.map(|(&id, _)| id).collect();
        for id in ids {
            self.end(id);
        }
    }
}

//! Which endpoint of a model reads a prompt, decided where all prompts are known.
//!
//! A node among a hundred sees one request in a hundred. What an endpoint reported
//! with an answer is seconds old when the node next chooses, so that each node
//! chooses as if all endpoints were idle: a few have several prompts before them
//! while most have none. Here the prompts of a part of a model's endpoints are
//! booked at one node, which knows what each endpoint still has to read.
//!
//! All costs are in prompt tokens: what is before a request, what it has to read
//! itself, and what it costs to read its inputs in another failure domain.

use std::collections::BTreeMap;
use std::time::Duration;

use super::directory::Directory;
use super::directory::Endpoint;
use super::directory::median;
use super::directory::rank;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::ids::PoolName;
use crate::time::Time;

/// The endpoints of a service from which on their bookings are split.
///
/// Among 32 some are idle at any load that the service can bear. One node would
/// otherwise place all requests of the largest service.
const SPLIT: usize = 32;

/// How long an endpoint is taken to keep a prompt's shared part.
///
/// An engine at work has read its whole memory anew in about half a minute.
const WARM: Duration = Duration::from_secs(30);

/// How long a booking lasts whose end nobody told.
///
/// Answers take seconds. A lost word must not make an endpoint look busy for good.
const HELD_MAX: Duration = Duration::from_secs(30);

/// The time between two looks for what has run out.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// The tokens that a running answer is taken for.
///
/// Each makes the others' steps half a hundredth longer.
const CALL: f32 = 64.0;

/// How much a token that has to be read counts, against one that waits.
///
/// What is read again keeps later prompts waiting, too.
const READ: f32 = 1.5;

/// How many times slower than its peers an endpoint counts as slow.
const SLOW: f32 = 2.5;

/// The weight of an endpoint's failures in its cost.
const FAILURES: f32 = 8.0;

/// What the worst of all endpoints costs more than any other: it is paused.
const PAUSED: f32 = 1e9;

/// A part of a service's endpoints, whose bookings meet at one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shard {
    /// Its number, from 0.
    pub index: u32,
    /// How many there are.
    pub count: u32,
}

impl Shard {
    /// Returns the number of parts for so many endpoints.
    ///
    /// A power of two, so that few numbers of endpoints lie at a change.
    #[must_use]
    pub fn count(endpoints: usize) -> u32 {
        let parts = (endpoints / SPLIT).max(1);
        1 << parts.ilog2()
    }

    /// Returns the part that an endpoint belongs to.
    #[must_use]
    pub fn of(id: &EndpointId, count: u32) -> Self {
        let index = rank(0, id) % u64::from(count.max(1));
        Self {
            index: index as u32,
            count,
        }
    }
}

/// Numbers a booking by the link that it came over, 0 for this node's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BookingId {
    /// The link.
    pub link: u64,
    /// The number on that link.
    pub number: u64,
}

/// What a request asks of its endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PlacementRequest {
    /// The hash of its shared part; `None` if that is not worth keeping to.
    pub prefix: Option<u64>,
    /// The tokens of its shared part.
    pub shared_tokens: u32,
    /// The tokens of its own.
    pub own_tokens: u32,
    /// Where its inputs lie.
    pub input_domain: Option<FailureDomain>,
    /// What it costs to read them in another failure domain, in tokens.
    pub remote_cost: u32,
    /// Endpoints that are not to be taken, unless there is no other.
    pub avoid: Vec<EndpointId>,
}

#[derive(Debug, Clone)]
struct Held {
    endpoint: EndpointId,
    /// What it has not read yet.
    pending: u32,
    since: Time,
}

#[derive(Debug, Clone, Copy, Default)]
struct Load {
    pending: u64,
    calls: u32,
}

#[derive(Debug, Clone)]
struct Warm {
    endpoint: EndpointId,
    born: Option<u64>,
    used: Time,
}

/// The requests that are under way at a part of a service's endpoints.
#[derive(Debug, Clone, Default)]
pub struct Bookings {
    held: BTreeMap<BookingId, Held>,
    loads: BTreeMap<EndpointId, Load>,
    warm: BTreeMap<u64, Vec<Warm>>,
    swept: Time,
}

impl Bookings {
    /// Chooses the endpoint for a request and books it there.
    pub fn place(
        &mut self,
        now: Time,
        directory: &Directory,
        (service, shard): (&PoolName, Shard),
        id: BookingId,
        wish: &PlacementRequest,
    ) -> Option<EndpointId> {
        self.sweep(now);
        self.end(id);
        let here = |e: &&Endpoint| Shard::of(&e.entry().id, shard.count) == shard;
        let all: Vec<&Endpoint> = directory.open_endpoints(service).filter(here).collect();
        let fresh = |e: &&Endpoint| !wish.avoid.contains(&e.entry().id);
        let mut pool: Vec<&Endpoint> = all.iter().copied().filter(fresh).collect();
        if pool.is_empty() {
            pool = all;
        }
        let prefix = wish.prefix.unwrap_or_default();
        let home = pool.iter().max_by_key(|e| rank(prefix, &e.entry().id))?;
        let home = home.entry().id.clone();
        let slowness = median(pool.iter().map(|e| e.health().slowness(now)).collect());
        let unread = |e: &Endpoint| wish.own_tokens + self.missing_tokens(wish, e, &home);
        let cost = |e: &Endpoint| self.cost(now, e, wish, (unread(e), slowness));
        let ordered = |a: &&&Endpoint, b: &&&Endpoint| {
            let by_rank = |e: &Endpoint| rank(prefix, &e.entry().id);
            let ranked = by_rank(b).cmp(&by_rank(a));
            cost(a).total_cmp(&cost(b)).then(ranked)
        };
        let best = pool.iter().min_by(ordered)?;
        let pending = unread(best);
        let entry = best.entry();
        let (endpoint, born) = (entry.id.clone(), entry.started_at);
        self.note_warm(now, wish, &endpoint, born);
        let load = self.loads.entry(endpoint.clone()).or_default();
        load.calls += 1;
        load.pending += u64::from(pending);
        let held = Held {
            endpoint: endpoint.clone(),
            pending,
            since: now,
        };
        self.held.insert(id, held);
        Some(endpoint)
    }

    /// Notes that a request's prompt has been read; tells where it was booked.
    pub fn on_prompt_read(&mut self, id: BookingId) -> Option<&EndpointId> {
        let held = self.held.get_mut(&id)?;
        let read = std::mem::take(&mut held.pending);
        if let Some(load) = self.loads.get_mut(&held.endpoint) {
            load.pending = load.pending.saturating_sub(u64::from(read));
        }
        Some(&held.endpoint)
    }

    /// Notes that a request has ended; tells where it was booked.
    pub fn end(&mut self, id: BookingId) -> Option<EndpointId> {
        self.on_prompt_read(id)?;
        let held = self.held.remove(&id)?;
        if let Some(load) = self.loads.get_mut(&held.endpoint) {
            load.calls = load.calls.saturating_sub(1);
            if load.calls == 0 {
                self.loads.remove(&held.endpoint);
            }
        }
        Some(held.endpoint)
    }

    /// Forgets what came over a link that is gone.
    pub fn end_link(&mut self, link: u64) {
        let first = BookingId { link, number: 0 };
        let last = BookingId {
            link,
            number: u64::MAX,
        };
        let ids: Vec<BookingId> = self.held.range(first..=last).map(|(&id, _)| id).collect();
        for id in ids {
            self.end(id);
        }
    }

    /// Returns the number of requests under way.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether no request is under way.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the tokens that an endpoint still has to read.
    #[must_use]
    pub fn pending_tokens(&self, endpoint: &EndpointId) -> u64 {
        self.loads.get(endpoint).map_or(0, |l| l.pending)
    }

    fn cost(
        &self,
        now: Time,
        endpoint: &Endpoint,
        wish: &PlacementRequest,
        (unread, slowness): (u32, f32),
    ) -> f32 {
        let entry = endpoint.entry();
        let load = self.loads.get(&entry.id).copied().unwrap_or_default();
        let health = endpoint.health();
        let times = health.slowness(now) / slowness.max(0.1);
        let slow = if times > SLOW { times } else { 1.0 };
        let failing = 1.0 + FAILURES * health.failures(now);
        let away = wish
            .input_domain
            .as_ref()
            .is_some_and(|d| *d != entry.domain);
        let full = load.calls >= entry.slots;
        let tokens = load.pending as f32 + READ * unread as f32 + CALL * load.calls as f32;
        let worst = if health.is_paused(now) { PAUSED } else { 0.0 };
        let queued = if full {
            READ * wish.shared_tokens as f32
        } else {
            0.0
        };
        let afar = if away { wish.remote_cost as f32 } else { 0.0 };
        tokens * slow * failing + queued + afar + worst
    }

    /// Returns the shared tokens that an endpoint would have to read.
    fn missing_tokens(
        &self,
        wish: &PlacementRequest,
        endpoint: &Endpoint,
        home: &EndpointId,
    ) -> u32 {
        let Some(prefix) = wish.prefix else {
            return wish.shared_tokens;
        };
        let entry = endpoint.entry();
        let known = self.warm.get(&prefix).filter(|all| !all.is_empty());
        let warm = known.map_or(entry.id == *home, |all| {
            all.iter()
                .any(|w| w.endpoint == entry.id && w.born == entry.started_at)
        });
        if warm { 0 } else { wish.shared_tokens }
    }

    fn note_warm(
        &mut self,
        now: Time,
        wish: &PlacementRequest,
        endpoint: &EndpointId,
        born: Option<u64>,
    ) {
        let Some(prefix) = wish.prefix else {
            return;
        };
        let all = self.warm.entry(prefix).or_default();
        all.retain(|w| w.endpoint != *endpoint);
        all.push(Warm {
            endpoint: endpoint.clone(),
            born,
            used: now,
        });
    }

    fn sweep(&mut self, now: Time) {
        if now.since(self.swept) < SWEEP_EVERY {
            return;
        }
        self.swept = now;
        self.warm.retain(|_, all| {
            all.retain(|w| now.since(w.used) < WARM);
            !all.is_empty()
        });
        let old = self
            .held
            .iter()
            .filter(|(_, h)| now.since(h.since) > HELD_MAX);
        let ids: Vec<BookingId> = old.map(|(&id, _)| id).collect();
        for id in ids {
            self.end(id);
        }
    }
}

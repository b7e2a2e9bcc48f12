//! Sources from which an endpoint fetches the KV cache of a shared prefix.
//!
//! The node that books prompts knows which endpoints have prefilled a prefix. If
//! it chooses one that lacks a part of it, it names another one as the source.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::bookings::BookingId;
use super::bookings::Bookings;
use super::bookings::PREFIX_RETENTION;
use super::bookings::PlacementRequest;
use super::directory::Directory;
use super::directory::Endpoint;
use super::directory::Entry;
use super::endpoint_loss::Incarnation;
use super::first_event::DEFAULT_TOKEN_SECONDS;
use super::first_event::FirstEventTimes;
use super::long_prompts::PauseLimit;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::ids::PoolName;
use crate::ids::SoftwareVersion;
use crate::time::Time;
use crate::units::Bytes;

/// The maximum number of fetches in progress from one source.
///
/// Transfers of an endpoint run one after another: a third one waits longer than
/// the prefill of most prefixes takes.
pub const FETCHES_PER_SOURCE: u32 = 2;

/// The missing tokens from which a fetch is worthwhile.
///
/// Prefilling fewer takes 16 to 20 ms, not much more than a fetch with its
/// connection.
pub const FETCH_MIN_TOKENS: u32 = 1_024;

/// The maximum number of prefixes whose holders are known.
///
/// At 194 prompts per second with one new prefix each, 5,820 are used within the
/// retention. Further ones are left out until others expire.
const PREFIXES_MAX: usize = 8_192;

/// The maximum number of holders of a prefix; the one that read it first is dropped.
///
/// Two fetches from each of eight are more than start within the time of one.
const HOLDERS_MAX: usize = 8;

/// The bounds of the learned time per token, in seconds: a factor of 4 about the
/// 20 µs of current engines, so that stalls do not pass for slow prefill.
const TOKEN_SECONDS: [f32; 2] = [5e-6, 80e-6];

/// How the endpoints of a service transfer KV caches to each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KvTransfer {
    /// The size of the cache of one token.
    pub token_bytes: Bytes,
    /// The speed of the link, in megabits per second.
    pub link_mbps: f64,
}

impl KvTransfer {
    /// Creates the transfer; `None` if a figure is not a positive number.
    #[must_use]
    pub fn new(token_bytes: f64, link_mbps: f64) -> Option<Self> {
        let are_valid = [token_bytes, link_mbps]
            .iter()
            .all(|n| n.is_finite() && *n > 0.0);
        are_valid.then_some(Self {
            token_bytes: Bytes(token_bytes as u64),
            link_mbps,
        })
    }

    fn token_seconds(&self) -> f32 {
        (self.token_bytes.0 as f64 * 8.0 / (self.link_mbps * 1e6)) as f32
    }
}

/// The times that decide between a fetch and a prefill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FetchTerms {
    /// The time of a fetched token, relative to a prefilled one.
    ratio: f32,
    pauses: Option<PauseLimit>,
}

impl FetchTerms {
    /// Creates the terms of a service from its configuration and the observed times
    /// to first events; `max_gap` is the limit on pauses between events.
    #[must_use]
    pub fn new(
        transfer: KvTransfer,
        (service, times): (&PoolName, &FirstEventTimes),
        max_gap: Option<Duration>,
    ) -> Self {
        let learned = times.reading_seconds(service);
        let token_seconds = learned.unwrap_or(DEFAULT_TOKEN_SECONDS);
        let token_seconds = token_seconds.clamp(TOKEN_SECONDS[0], TOKEN_SECONDS[1]);
        Self {
            ratio: transfer.token_seconds() / token_seconds,
            pauses: max_gap.map(|gap| PauseLimit::new(gap, token_seconds)),
        }
    }
}

/// The source that an endpoint is to fetch from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefixSource {
    /// The run of the endpoint that holds the prefix.
    pub run: Incarnation,
    /// The tokens that it holds and the chosen endpoint lacks.
    pub tokens: u32,
}

/// What an endpoint has to do before the first event of a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PromptWork {
    read_tokens: u32,
    /// The time of the fetch, in tokens of prefill.
    fetch_cost: u32,
    source: Option<PrefixSource>,
}

impl PromptWork {
    /// Returns the time until the prompt is read, in tokens of prefill.
    #[must_use]
    pub const fn tokens(&self) -> u32 {
        self.read_tokens.saturating_add(self.fetch_cost)
    }
}

/// How the tokens of a booked prompt are provided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptTokens {
    /// Cached at the endpoint.
    pub held: u32,
    /// Fetched from the source.
    pub fetched: u32,
    /// Prefilled.
    pub read: u32,
}

#[derive(Debug, Clone)]
struct Holder {
    run: Incarnation,
    version: SoftwareVersion,
    used_at: Time,
}

/// A booked prompt whose first event has not come.
#[derive(Debug, Clone)]
struct PendingPrompt {
    holder: Holder,
    prefixes: Vec<u64>,
    source: Option<PrefixSource>,
    tokens: PromptTokens,
}

/// The fetches in progress from one endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct SourceLoad {
    fetches: u32,
    tokens: u32,
}

/// The holders of prefixes and the fetches in progress at one shard of a
/// service's endpoints.
#[derive(Debug, Clone, Default)]
pub struct PrefixSources {
    /// `None` if nothing is fetched.
    terms: Option<FetchTerms>,
    holders: BTreeMap<u64, Vec<Holder>>,
    pending: BTreeMap<BookingId, PendingPrompt>,
    loads: BTreeMap<EndpointId, SourceLoad>,
}

impl PrefixSources {
    /// Returns the endpoints from which parts of a request's prefix may be fetched.
    pub(super) fn candidates(
        &self,
        now: Time,
        directory: &Directory,
        request: &PlacementRequest,
    ) -> Candidates {
        let mut found = Candidates {
            ratio: self.terms.map_or(0.0, |t| t.ratio),
            shared_tokens: request.shared_tokens,
            sources: Vec::new(),
        };
        let Some(prefix) = request.prefix.filter(|_| self.terms.is_some()) else {
            return found;
        };
        let leading = request.leading.iter().rev().map(|p| (p.hash, p.tokens));
        for (hash, tokens) in std::iter::once((prefix, request.shared_tokens)).chain(leading) {
            for holder in self.holders.get(&hash).into_iter().flatten() {
                let id = &holder.run.endpoint;
                let load = self.loads.get(id).copied().unwrap_or_default();
                let is_known = found.sources.iter().any(|c| c.run.endpoint == *id);
                let is_refused = request.avoid.contains(id) || request.resting.contains(id);
                let is_old = now.since(holder.used_at) >= PREFIX_RETENTION;
                if is_known || is_refused || is_old || load.fetches >= FETCHES_PER_SOURCE {
                    continue;
                }
                let endpoint = directory.fetch_source(now, &holder.run, &holder.version);
                let endpoint = endpoint.filter(|e| request.homes.allows(e.region()));
                if let Some(endpoint) = endpoint {
                    found.sources.push(Candidate {
                        run: holder.run.clone(),
                        version: holder.version.clone(),
                        domain: endpoint.entry().domain.clone(),
                        tokens,
                        load,
                    });
                }
            }
        }
        found
    }

    /// Returns the cost of the pauses that a prompt causes and suffers, in tokens.
    pub(super) fn pause_cost(&self, pending_tokens: u64, calls: u32, work: &PromptWork) -> f32 {
        let pauses = self.terms.and_then(|t| t.pauses);
        pauses.map_or(0.0, |p| p.cost(pending_tokens, calls, work.read_tokens))
    }

    /// Records that a request was booked at an endpoint.
    pub(super) fn on_booked(
        &mut self,
        now: Time,
        id: BookingId,
        entry: &Entry,
        request: &PlacementRequest,
        work: PromptWork,
    ) {
        if self.terms.is_none() {
            return;
        }
        let fetched = work.source.as_ref().map_or(0, |s| s.tokens);
        if let Some(source) = &work.source {
            let load = self.loads.entry(source.run.endpoint.clone()).or_default();
            load.fetches += 1;
            load.tokens = load.tokens.saturating_add(fetched);
        }
        let all = request.own_tokens.saturating_add(request.shared_tokens);
        let leading = request.leading.iter().map(|p| p.hash);
        let prefixes = request.prefix.map(|p| leading.chain([p]).collect());
        let holder = Holder {
            run: Incarnation {
                endpoint: entry.id.clone(),
                started_at: entry.started_at,
            },
            version: entry.version.clone(),
            used_at: now,
        };
        let pending = PendingPrompt {
            holder,
            prefixes: prefixes.unwrap_or_default(),
            tokens: PromptTokens {
                held: all.saturating_sub(work.read_tokens + fetched),
                fetched,
                read: work.read_tokens,
            },
            source: work.source,
        };
        self.pending.insert(id, pending);
    }

    /// Records that the first event of a request came: its endpoint holds the
    /// request's prefix.
    pub(super) fn on_prompt_read(&mut self, id: BookingId) {
        let Some(pending) = self.remove(id) else {
            return;
        };
        for prefix in pending.prefixes {
            if !self.holders.contains_key(&prefix) && self.holders.len() >= PREFIXES_MAX {
                continue;
            }
            let holders = self.holders.entry(prefix).or_default();
            holders.retain(|h| h.run.endpoint != pending.holder.run.endpoint);
            holders.push(pending.holder.clone());
            if holders.len() > HOLDERS_MAX {
                holders.remove(0);
            }
        }
    }

    /// Records that a request ended; a fetch of it has ended too.
    pub(super) fn on_ended(&mut self, id: BookingId) {
        self.remove(id);
    }

    fn remove(&mut self, id: BookingId) -> Option<PendingPrompt> {
        let pending = self.pending.remove(&id)?;
        if let Some(source) = &pending.source
            && let Some(load) = self.loads.get_mut(&source.run.endpoint)
        {
            load.fetches = load.fetches.saturating_sub(1);
            load.tokens = load.tokens.saturating_sub(source.tokens);
            if load.fetches == 0 {
                self.loads.remove(&source.run.endpoint);
            }
        }
        Some(pending)
    }

    /// Drops holders that have not been used within the retention.
    pub(super) fn sweep(&mut self, now: Time) {
        self.holders.retain(|_, holders| {
            holders.retain(|h| now.since(h.used_at) < PREFIX_RETENTION);
            !holders.is_empty()
        });
    }
}

impl Bookings {
    /// Sets the terms of fetches; `None` if nothing is fetched.
    pub fn set_fetch_terms(&mut self, terms: Option<FetchTerms>) {
        if terms.is_none() && self.sources.terms.is_some() {
            self.sources = PrefixSources::default();
        }
        self.sources.terms = terms;
    }

    /// Returns the source that a request without a first event was given.
    #[must_use]
    pub fn prefix_source(&self, id: BookingId) -> Option<&PrefixSource> {
        self.sources.pending.get(&id)?.source.as_ref()
    }

    /// Returns how the tokens of a request without a first event are provided;
    /// `None` if nothing is fetched.
    #[must_use]
    pub fn prompt_tokens(&self, id: BookingId) -> Option<PromptTokens> {
        Some(self.sources.pending.get(&id)?.tokens)
    }

    /// Returns the number of fetches in progress from an endpoint.
    #[must_use]
    pub fn fetches(&self, source: &EndpointId) -> u32 {
        self.sources.loads.get(source).map_or(0, |l| l.fetches)
    }
}

#[derive(Debug)]
struct Candidate {
    run: Incarnation,
    version: SoftwareVersion,
    domain: FailureDomain,
    /// The tokens of the prefix that it holds.
    tokens: u32,
    load: SourceLoad,
}

/// The possible sources of one request's prefix.
#[derive(Debug)]
pub(super) struct Candidates {
    ratio: f32,
    shared_tokens: u32,
    sources: Vec<Candidate>,
}

impl Candidates {
    /// Returns the work of a request at an endpoint that lacks `missing` of its
    /// shared tokens.
    pub(super) fn work(&self, endpoint: &Endpoint, (own, missing): (u32, u32)) -> PromptWork {
        let held = self.shared_tokens.saturating_sub(missing);
        let entry = endpoint.entry();
        let gain = |c: &Candidate| c.tokens.saturating_sub(held);
        // Transfers from one source run one after another.
        let cost = |c: &Candidate| (gain(c) as f32 + c.load.tokens as f32) * self.ratio;
        let usable = self.sources.iter().filter(|c| {
            let is_other = c.run.endpoint != entry.id && c.version == entry.version;
            let is_worthwhile = missing >= FETCH_MIN_TOKENS && gain(c) >= FETCH_MIN_TOKENS;
            is_other && is_worthwhile && cost(c) < gain(c) as f32
        });
        let best = usable.max_by_key(|c| {
            let is_near = c.domain == entry.domain;
            (c.tokens, is_near, Reverse(c.load.fetches))
        });
        let fetched = best.map_or(0, gain);
        PromptWork {
            read_tokens: own.saturating_add(missing - fetched),
            fetch_cost: best.map_or(0, |c| cost(c) as u32),
            source: best.map(|c| PrefixSource {
                run: c.run.clone(),
                tokens: fetched,
            }),
        }
    }
}

//! Selection of the owner of a service and of other nodes with a special role.
//!
//! All nodes rank the known nodes by the same hash, so that the batch items of
//! a service reach one node without coordination. Each node skips silent nodes
//! by its own observation; two owners at the same time only fill their batches
//! less well.
//!
//! Hosts differ in processor power. An owner does the work of a whole service,
//! so only nodes on strong hosts own services while any of them is alive.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

use super::bookings::Shard;
use super::cold_start::AdmitterRank;
use super::crashes::Suspect;
use super::stream_origins::StreamId;
use crate::ids::PoolName;
use crate::time::Time;
use crate::units::MilliCores;

/// How long a silent node is skipped before it is contacted again.
const SILENCE_PAUSE: Duration = Duration::from_millis(1_500);

/// How long a node that cannot read the registry is skipped as a reader.
///
/// Without this all nodes would read for themselves while the first reader is
/// partitioned: 18 reads a second with 22 nodes, and 280 with 340.
const READER_PAUSE: Duration = Duration::from_secs(5);

/// The number of nodes that may read the registry for all.
///
/// During an outage of the registry no node can read it, and a node that polled
/// all candidates in turn would poll hundreds. Three nodes fail together rarely
/// enough.
const READERS_MAX: usize = 3;

/// The number of nodes that count lost endpoints.
///
/// With two, the counts survive the loss of one node.
const CRASH_COUNTERS: usize = 2;

/// The name by which the nodes that count lost endpoints are ranked.
const CRASH_SUBJECT: &str = "crashes";

/// The number of nodes that keep the origin of one stream.
///
/// With two, it is known when the node that began the stream is one of them and
/// dies.
const ORIGIN_KEEPERS: usize = 2;

/// How long a node is remembered after it was last heard.
const PEER_RETENTION: Duration = Duration::from_mins(1);

/// The fraction of the strongest node's power from which a node may own
/// services.
///
/// At one half, hosts of the same kind stay together despite small differences
/// in the reported power, and hosts with a fifth of the others' power are
/// excluded.
const STRONG_FRACTION: f64 = 0.5;

/// How long a node admits no calls to cold endpoints after others may first
/// have heard of it.
///
/// Nodes that do not know it yet rank two others. One node reads the list of all
/// nodes every fifteen seconds, and its peers learn of it within a few more.
const ADMITTER_DELAY: Duration = Duration::from_secs(20);

/// How long a node admits no calls to cold endpoints after its replicas were
/// stale.
///
/// Nodes may have joined meanwhile. The first polls after a partition bring the
/// nodes that others know.
const REJOIN_DELAY: Duration = Duration::from_secs(5);

/// How long a new node grants no requests to endpoints that name a rate.
///
/// It polls four nodes a second, and these tell of it in turn: hundreds know it
/// within five seconds. Until then another node grants as the first one.
const GRANTER_DELAY: Duration = Duration::from_secs(6);

/// The ranking subject for the registry reader; no service has such a name.
const READER_SUBJECT: &str = "configuration, of all nodes";

const SECRETS: RapidSecrets = RapidSecrets::seed(0);

#[derive(Debug, Clone, Copy)]
struct Peer {
    /// The power of its host, once known.
    power: Option<MilliCores>,
    last_heard: Time,
    answered: bool,
    silent_until: Time,
    /// The time until which it is not used as a registry reader.
    cannot_read_until: Time,
    leaving: bool,
    /// The number of the last change of this entry, as of
    /// [`Owners::last_change`].
    changed: u64,
    /// Its rank as a registry reader.
    rank: u64,
}

/// The nodes that keep the origins of streams, by part of the streams and rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginKeepers(Vec<Vec<SocketAddr>>);

impl OriginKeepers {
    /// Returns the nodes that keep the origin of a stream; there is at least one.
    #[must_use]
    pub fn of(&self, stream: StreamId) -> &[SocketAddr] {
        let part = stream.0 % self.0.len().max(1) as u64;
        self.0.get(part as usize).map_or(&[], Vec::as_slice)
    }

    /// Returns the node that tells where a stream began, and saves its origin.
    #[must_use]
    pub fn first(&self, stream: StreamId) -> Option<SocketAddr> {
        self.of(stream).first().copied()
    }

    /// Returns the node that records the versions of all services.
    #[must_use]
    pub fn recorder(&self) -> Option<SocketAddr> {
        self.first(StreamId(0))
    }
}

/// The nodes that this node knows, ranked to select owners.
#[derive(Debug, Clone)]
pub struct Owners {
    own: SocketAddr,
    power: MilliCores,
    leaving: bool,
    /// Whether this node cannot read the registry itself.
    cannot_read: bool,
    /// This node's rank as a registry reader.
    rank: u64,
    peers: BTreeMap<SocketAddr, Peer>,
    /// The number of changes of other nodes so far.
    last_change: u64,
    /// When all other nodes know this one, and this one knows them.
    known_from: Time,
    /// Whether the other nodes knew this one before it started.
    known_before: bool,
    /// From when on this node may grant requests to endpoints that name a rate,
    /// once it hears of another node; `None` if it may already.
    grants_from: Option<Time>,
}

impl Owners {
    /// Creates the state of a node that knows no other node.
    #[must_use]
    pub fn new(own: SocketAddr, power: MilliCores) -> Self {
        Self {
            rank: rank(READER_SUBJECT, &own),
            own,
            power,
            leaving: false,
            cannot_read: false,
            peers: BTreeMap::new(),
            last_change: 0,
            known_from: Time::ZERO + ADMITTER_DELAY,
            known_before: false,
            grants_from: Some(Time::ZERO + GRANTER_DELAY),
        }
    }

    /// Records that the other nodes knew this one before it started.
    pub const fn mark_known(&mut self) {
        self.known_from = Time::ZERO;
        self.grants_from = None;
        self.known_before = true;
    }

    /// Returns whether this node has run before under its address.
    #[must_use]
    pub const fn is_known_before(&self) -> bool {
        self.known_before
    }

    /// Records that this node's replicas are stale, so that it may not know nodes
    /// that have joined.
    pub fn defer_admissions(&mut self, now: Time) {
        self.known_from = self.known_from.max(now + REJOIN_DELAY);
    }

    /// Returns the address of this node.
    #[must_use]
    pub const fn own(&self) -> SocketAddr {
        self.own
    }

    /// Adds a node that was reported to exist. Returns whether it is new.
    pub fn discover(&mut self, now: Time, peer: SocketAddr) -> bool {
        if peer == self.own || self.peers.contains_key(&peer) {
            return false;
        }
        self.last_change += 1;
        let known = Peer {
            power: None,
            last_heard: now,
            answered: false,
            silent_until: Time::ZERO,
            cannot_read_until: Time::ZERO,
            leaving: false,
            changed: self.last_change,
            rank: rank(READER_SUBJECT, &peer),
        };
        self.peers.insert(peer, known);
        true
    }

    /// Records the power of a node's host.
    pub fn set_power(&mut self, peer: SocketAddr, power: MilliCores) {
        if let Some(known) = self.peers.get_mut(&peer)
            && known.power != Some(power)
        {
            self.last_change += 1;
            known.power = Some(power);
            known.changed = self.last_change;
        }
    }

    /// Records a response of a node.
    pub fn mark_heard(&mut self, now: Time, peer: SocketAddr) {
        self.discover(now, peer);
        self.grants_from = self.grants_from.filter(|&at| now < at);
        if let Some(known) = self.peers.get_mut(&peer) {
            known.last_heard = now;
            known.answered = true;
            // It was left out of the changes sent to others while it was
            // silent.
            if known.silent_until > Time::ZERO {
                self.last_change += 1;
                known.changed = self.last_change;
            }
            known.silent_until = Time::ZERO;
        }
    }

    /// Records that this node leaves: it owns nothing if another node can.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Records whether a node reports that it leaves.
    pub fn set_peer_leaving(&mut self, peer: SocketAddr, leaving: bool) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.leaving = leaving;
        }
    }

    /// Records that a node did not respond in time.
    pub fn mark_silent(&mut self, now: Time, peer: SocketAddr) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.silent_until = now + SILENCE_PAUSE;
        }
        self.peers
            .retain(|_, p| now.since(p.last_heard) < PEER_RETENTION);
    }

    /// Records whether a node cannot read the registry itself.
    pub fn set_cannot_read(&mut self, now: Time, peer: SocketAddr, cannot_read: bool) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.cannot_read_until = if cannot_read {
                now + READER_PAUSE
            } else {
                Time::ZERO
            };
        }
    }

    /// Records whether this node cannot read the registry itself.
    pub const fn set_own_cannot_read(&mut self, cannot_read: bool) {
        self.cannot_read = cannot_read;
    }

    /// Returns when a node last responded; [`Time::ZERO`] if it never did.
    #[must_use]
    pub fn last_heard(&self, peer: SocketAddr) -> Time {
        let answered = self.peers.get(&peer).filter(|p| p.answered);
        answered.map_or(Time::ZERO, |p| p.last_heard)
    }

    /// Returns whether any other node has responded.
    #[must_use]
    pub fn has_heard(&self) -> bool {
        self.peers.values().any(|p| p.answered)
    }

    /// Returns the other nodes that are not silent, with the power of their
    /// hosts.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (SocketAddr, Option<MilliCores>)> {
        let live = move |p: &Peer| p.silent_until <= now;
        self.peers
            .iter()
            .filter(move |(_, p)| live(p))
            .map(|(&a, p)| (a, p.power))
    }

    /// Returns the number of the last change of other nodes.
    #[must_use]
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the nodes that are not silent and have changed since the change
    /// numbered `since`, with the power of their hosts.
    pub fn changes_since(
        &self,
        now: Time,
        since: u64,
    ) -> impl Iterator<Item = (SocketAddr, Option<MilliCores>)> {
        let is_changed = move |p: &Peer| p.silent_until <= now && p.changed > since;
        let found = self.peers.iter().filter(move |(_, p)| is_changed(p));
        found.map(|(&a, p)| (a, p.power))
    }

    /// Returns the number of known nodes, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the current owner of a service's batch items.
    #[must_use]
    pub fn owner(&self, now: Time, service: &PoolName) -> SocketAddr {
        self.first_ranked(now, service.as_str())
    }

    /// Returns the node that currently books the requests to a shard of a
    /// service's endpoints.
    #[must_use]
    pub fn booking_owner(&self, now: Time, service: &PoolName, shard: Shard) -> SocketAddr {
        self.first_ranked(now, &shard_subject(service, shard))
    }

    /// Returns the rank of this node among those that may send batch calls to
    /// the cold endpoints of a service; `None` if it may not send any.
    #[must_use]
    pub fn batch_admitter_rank(&self, now: Time, service: &PoolName) -> Option<AdmitterRank> {
        self.admitter_rank(now, service.as_str())
    }

    /// Returns the rank of this node among those that admit calls to the cold
    /// endpoints of a shard; `None` if it may not admit any.
    #[must_use]
    pub fn shard_admitter_rank(
        &self,
        now: Time,
        service: &PoolName,
        shard: Shard,
    ) -> Option<AdmitterRank> {
        self.admitter_rank(now, &shard_subject(service, shard))
    }

    /// Returns the rank of this node among those that grant requests to the
    /// endpoints of a shard that name a rate; `None` if it may not grant any.
    ///
    /// Unlike an admission to a cold endpoint, a grant does not need recent
    /// replicas: a node that is cut off ranks the same nodes as before.
    #[must_use]
    pub fn shard_granter_rank(
        &self,
        now: Time,
        service: &PoolName,
        shard: Shard,
    ) -> Option<AdmitterRank> {
        self.granter_rank(now, &shard_subject(service, shard))
    }

    /// Returns the rank of this node among those that send batch calls to the
    /// endpoints of a service that name a rate; `None` if it may not send any.
    #[must_use]
    pub fn batch_granter_rank(&self, now: Time, service: &PoolName) -> Option<AdmitterRank> {
        self.granter_rank(now, service.as_str())
    }

    fn granter_rank(&self, now: Time, subject: &str) -> Option<AdmitterRank> {
        let is_alone = self.peers.is_empty();
        let waits = |at| now < at || !is_alone;
        if self.grants_from.is_some_and(waits) {
            return None;
        }
        self.own_rank(subject)
    }

    /// Returns the rank of this node among those that admit calls to the cold
    /// endpoints of a subject.
    fn admitter_rank(&self, now: Time, subject: &str) -> Option<AdmitterRank> {
        let is_known = now >= self.known_from;
        is_known.then(|| self.own_rank(subject)).flatten()
    }

    /// Returns whether this node is one of the first two for a subject.
    ///
    /// Silent and leaving nodes keep their ranks: they may be alive and admit
    /// calls of nodes that this one does not reach.
    fn own_rank(&self, subject: &str) -> Option<AdmitterRank> {
        let others = self.peers.iter().map(|(&a, p)| (a, self.power_of(p)));
        let all = others.chain([(self.own, self.power)]);
        let ranked = strongest(all.collect()).map(|a| (rank(subject, &a), a));
        let mut ranked: Vec<(u64, SocketAddr)> = ranked.collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        match ranked.iter().position(|&(_, node)| node == self.own)? {
            0 => Some(AdmitterRank::First),
            1 => Some(AdmitterRank::Second),
            _ => None,
        }
    }

    /// Returns the nodes that currently count lost endpoints.
    ///
    /// They are the same for all suspects: only who sees all that an endpoint had
    /// can tell which of it is the cause.
    #[must_use]
    pub fn crash_counters(&self, now: Time) -> Vec<SocketAddr> {
        let mut nodes = self.ranked_strong(now, CRASH_SUBJECT);
        nodes.truncate(CRASH_COUNTERS);
        nodes
    }

    /// Returns the node that currently sends the trials of a quarantined suspect.
    #[must_use]
    pub fn trial_node(&self, now: Time, suspect: Suspect) -> Option<SocketAddr> {
        let nodes = self.ranked_strong(now, &suspect.to_string());
        nodes.first().copied()
    }

    /// Returns the strong nodes, highest rank first.
    fn ranked_strong(&self, now: Time, subject: &str) -> Vec<SocketAddr> {
        let mut nodes: Vec<SocketAddr> = self.strong(now).collect();
        // While all nodes leave, each would otherwise count on its own.
        if nodes.is_empty() {
            nodes = self.live(now).map(|(a, _)| a).chain([self.own]).collect();
        }
        let ranked = nodes.into_iter().map(|a| (rank(subject, &a), a));
        let mut ranked: Vec<(u64, SocketAddr)> = ranked.collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, node)| node).collect()
    }

    /// Returns the nodes that currently keep the origins of streams for all.
    ///
    /// A few nodes keep those of all streams, since some of them write to the
    /// registry.
    #[must_use]
    pub fn origin_keepers(&self, now: Time) -> OriginKeepers {
        let parts = u64::from(Shard::count(self.count()));
        let mut strong: Vec<SocketAddr> = self.strong(now).collect();
        if strong.is_empty() {
            strong.push(self.own);
        }
        let ranked = |part| {
            let subject = keeper_subject(part);
            let mut nodes = strong.clone();
            nodes.sort_unstable_by_key(|a| std::cmp::Reverse((rank(&subject, a), *a)));
            nodes.truncate(ORIGIN_KEEPERS);
            nodes
        };
        OriginKeepers((0..parts).map(ranked).collect())
    }

    fn first_ranked(&self, now: Time, subject: &str) -> SocketAddr {
        let strong = self.strong(now);
        let first = strong.max_by_key(|a| (rank(subject, a), *a));
        first.unwrap_or(self.own)
    }

    /// Returns the node that currently reads the registry for all.
    ///
    /// If no candidate can read it, this is the first candidate: its response
    /// shows when the registry is back.
    #[must_use]
    pub fn reader(&self, now: Time) -> SocketAddr {
        let rank = |node: &SocketAddr| {
            let peer = self.peers.get(node);
            (peer.map_or(self.rank, |p| p.rank), *node)
        };
        let mut ranked: Vec<(u64, SocketAddr)> = self.strong(now).map(|a| rank(&a)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let mut readers = ranked.iter().take(READERS_MAX).map(|&(_, node)| node);
        let first = readers.clone().next();
        let able = readers.find(|a| !self.cannot_read(now, a));
        able.or(first).unwrap_or(self.own)
    }

    fn cannot_read(&self, now: Time, node: &SocketAddr) -> bool {
        let peer = self.peers.get(node);
        peer.map_or(self.cannot_read, |p| p.cannot_read_until > now)
    }

    /// Returns the nodes on strong hosts that are neither leaving nor silent.
    fn strong(&self, now: Time) -> impl Iterator<Item = SocketAddr> {
        let usable = self.peers.iter();
        let usable = usable.filter(|(_, p)| p.silent_until <= now && !p.leaving);
        let others = usable.map(|(&address, p)| (address, self.power_of(p)));
        let own = (!self.leaving).then_some((self.own, self.power));
        strongest(others.chain(own).collect())
    }

    /// Returns the power of a node's host.
    ///
    /// A node of unknown power counts as strong as this one: a newly discovered
    /// node reports its power with its first response.
    fn power_of(&self, peer: &Peer) -> MilliCores {
        peer.power.unwrap_or(self.power)
    }
}

/// Returns the nodes whose power comes close to that of the strongest.
fn strongest(all: Vec<(SocketAddr, MilliCores)>) -> impl Iterator<Item = SocketAddr> {
    let most = all.iter().map(|(_, power)| power.0).max();
    let least = f64::from(most.unwrap_or_default()) * STRONG_FRACTION;
    let strong = move |power: MilliCores| f64::from(power.0) >= least;
    all.into_iter()
        .filter_map(move |(a, power)| strong(power).then_some(a))
}

fn shard_subject(service: &PoolName, shard: Shard) -> String {
    format!("{service}, part {}", shard.index)
}

fn keeper_subject(index: u64) -> String {
    format!("stream origins, part {index}")
}

fn rank(subject: &str, peer: &SocketAddr) -> u64 {
    let text = format!("{subject} {peer}");
    rapidhash_v3_seeded(text.as_bytes(), &SECRETS)
}

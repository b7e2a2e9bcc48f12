//! Which node owns the pieces of a service.
//!
//! All nodes rank the known nodes alike by a hash, so that pieces of one
//! service meet at one of them without messages. A node that does not answer
//! is passed over, by each node for itself; two owners at once only fill their
//! calls less well.
//!
//! Hosts differ in processor power. An owner does the work of a whole service,
//! so only nodes on strong hosts own one while any of them lives.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

use super::bookings::Shard;
use super::crashes::Fingerprint;
use crate::ids::PoolName;
use crate::time::Time;
use crate::units::MilliCores;

/// How long a silent node is passed over before it is tried again.
const SILENCE_PAUSE: Duration = Duration::from_millis(1_500);

/// How long a node that can't read the registry is passed over as a reader.
///
/// Without this all nodes read for themselves while the first one is cut off:
/// 18 reads a second at 22 nodes, and 280 at 340.
const READER_PAUSE: Duration = Duration::from_secs(5);

/// The nodes that may read the registry for all.
///
/// While the registry is away for everyone nobody can, and each node that asks
/// them all in turn would ask hundreds. Three are away together rarely enough.
const READERS_MAX: usize = 3;

/// The nodes that count the ends of endpoints under one request.
///
/// Two: what one of them counted is not lost with it.
const CRASH_COUNTERS: usize = 2;

/// How long a node that was not heard of is remembered.
const PEER_RETENTION: Duration = Duration::from_mins(1);

/// The part of the strongest node's power from which a node may own services.
///
/// Half: hosts of one kind, said a little differently, stay together, and a
/// host of a fifth of the others' power stays out.
const STRONG_FRACTION: f64 = 0.5;

/// What nodes are ranked by to read for all; no service has such a name.
const READER_SUBJECT: &str = "configuration, of all nodes";

const SECRETS: RapidSecrets = RapidSecrets::seed(0);

#[derive(Debug, Clone, Copy)]
struct Peer {
    /// The power of its host, once it is known.
    power: Option<MilliCores>,
    last_heard: Time,
    answered: bool,
    silent_until: Time,
    /// Until when it is not asked to read the registry for others.
    cannot_read_until: Time,
    leaving: bool,
    /// When this was last news, as a number of [`Owners::news`].
    changed: u64,
    /// Its rank among those that may read the registry for all.
    rank: u64,
}

/// The nodes that one node knows of.
#[derive(Debug, Clone)]
pub struct Owners {
    own: SocketAddr,
    power: MilliCores,
    leaving: bool,
    /// Whether this node can't read the registry itself.
    cannot_read: bool,
    /// This node's rank among those that may read the registry for all.
    rank: u64,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Counts the news about other nodes.
    last_change: u64,
}

impl Owners {
    /// Starts with this node alone.
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
        }
    }

    /// Returns the address of this node.
    #[must_use]
    pub const fn own(&self) -> SocketAddr {
        self.own
    }

    /// Notes that a node is said to exist; tells whether this is news.
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

    /// Notes the power of a node's host.
    pub fn set_power(&mut self, peer: SocketAddr, power: MilliCores) {
        if let Some(known) = self.peers.get_mut(&peer)
            && known.power != Some(power)
        {
            self.last_change += 1;
            known.power = Some(power);
            known.changed = self.last_change;
        }
    }

    /// Notes that a node answered.
    pub fn mark_heard(&mut self, now: Time, peer: SocketAddr) {
        self.discover(now, peer);
        if let Some(known) = self.peers.get_mut(&peer) {
            known.last_heard = now;
            known.answered = true;
            // It was left out of what others were told meanwhile.
            if known.silent_until > Time::ZERO {
                self.last_change += 1;
                known.changed = self.last_change;
            }
            known.silent_until = Time::ZERO;
        }
    }

    /// Notes that this node leaves: it owns nothing if another node can.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Notes whether a node says that it leaves.
    pub fn set_peer_leaving(&mut self, peer: SocketAddr, leaving: bool) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.leaving = leaving;
        }
    }

    /// Notes that a node did not answer in time.
    pub fn mark_silent(&mut self, now: Time, peer: SocketAddr) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.silent_until = now + SILENCE_PAUSE;
        }
        self.peers
            .retain(|_, p| now.since(p.last_heard) < PEER_RETENTION);
    }

    /// Notes whether a node can't read the registry itself.
    pub fn set_cannot_read(&mut self, now: Time, peer: SocketAddr, cannot_read: bool) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.cannot_read_until = if cannot_read {
                now + READER_PAUSE
            } else {
                Time::ZERO
            };
        }
    }

    /// Notes whether this node can't read the registry itself.
    pub const fn set_own_cannot_read(&mut self, cannot_read: bool) {
        self.cannot_read = cannot_read;
    }

    /// Returns when a node last answered; the start of time if it never did.
    #[must_use]
    pub fn last_heard(&self, peer: SocketAddr) -> Time {
        let answered = self.peers.get(&peer).filter(|p| p.answered);
        answered.map_or(Time::ZERO, |p| p.last_heard)
    }

    /// Tells whether any other node has answered.
    #[must_use]
    pub fn has_heard(&self) -> bool {
        self.peers.values().any(|p| p.answered)
    }

    /// Returns the other nodes that are not silent, and their hosts' power.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (SocketAddr, Option<MilliCores>)> {
        let live = move |p: &Peer| p.silent_until <= now;
        self.peers
            .iter()
            .filter(move |(_, p)| live(p))
            .map(|(&a, p)| (a, p.power))
    }

    /// Returns the number of the last news about other nodes.
    #[must_use]
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the nodes that are not silent and of which there was news since
    /// the one numbered `since`, and their hosts' power.
    pub fn changes_since(
        &self,
        now: Time,
        since: u64,
    ) -> impl Iterator<Item = (SocketAddr, Option<MilliCores>)> {
        let is_changed = move |p: &Peer| p.silent_until <= now && p.changed > since;
        let found = self.peers.iter().filter(move |(_, p)| is_changed(p));
        found.map(|(&a, p)| (a, p.power))
    }

    /// Returns the number of nodes known, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the owner of a service's pieces as of now.
    #[must_use]
    pub fn owner(&self, now: Time, service: &PoolName) -> SocketAddr {
        self.first_ranked(now, service.as_str())
    }

    /// Returns the node at which the requests to a part of a model's endpoints
    /// are booked, as of now.
    #[must_use]
    pub fn booking_owner(&self, now: Time, service: &PoolName, shard: Shard) -> SocketAddr {
        self.first_ranked(now, &format!("{service}, part {}", shard.index))
    }

    /// Returns the nodes that count the ends of endpoints under a request, as of
    /// now.
    #[must_use]
    pub fn crash_counters(&self, now: Time, request: Fingerprint) -> Vec<SocketAddr> {
        let subject = request.to_string();
        let mut nodes: Vec<SocketAddr> = self.strong(now).collect();
        // While all leave, each would count for itself alone.
        if nodes.is_empty() {
            nodes = self.live(now).map(|(a, _)| a).chain([self.own]).collect();
        }
        let ranked = nodes.into_iter().map(|a| (rank(&subject, &a), a));
        let mut ranked: Vec<(u64, SocketAddr)> = ranked.collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let counters = ranked.into_iter().take(CRASH_COUNTERS);
        counters.map(|(_, node)| node).collect()
    }

    fn first_ranked(&self, now: Time, subject: &str) -> SocketAddr {
        let strong = self.strong(now);
        let first = strong.max_by_key(|a| (rank(subject, a), *a));
        first.unwrap_or(self.own)
    }

    /// Returns the node that reads the registry for all, as of now.
    ///
    /// If none of those that may can read it, it is the first of them all the
    /// same: its answer tells when the registry is back.
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

    /// Returns the nodes on strong hosts that neither leave nor are silent.
    fn strong(&self, now: Time) -> impl Iterator<Item = SocketAddr> {
        let usable = self.peers.iter();
        let usable = usable.filter(|(_, p)| p.silent_until <= now && !p.leaving);
        // One of unknown power is taken for as strong as this node: a node that
        // has just been heard of says its power with its first answer.
        let others = usable.map(|(&address, p)| (address, p.power.unwrap_or(self.power)));
        let own = (!self.leaving).then_some((self.own, self.power));
        let all: Vec<(SocketAddr, MilliCores)> = others.chain(own).collect();
        let most = all.iter().map(|(_, power)| power.0).max();
        let least = f64::from(most.unwrap_or_default()) * STRONG_FRACTION;
        let strong = move |power: MilliCores| f64::from(power.0) >= least;
        all.into_iter()
            .filter_map(move |(a, power)| strong(power).then_some(a))
    }
}

fn rank(subject: &str, peer: &SocketAddr) -> u64 {
    let text = format!("{subject} {peer}");
    rapidhash_v3_seeded(text.as_bytes(), &SECRETS)
}

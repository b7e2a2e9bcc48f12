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

use crate::ids::PoolName;
use crate::time::Time;
use crate::units::MilliCores;

/// How long a silent node is passed over before it is tried again.
const SILENT: Duration = Duration::from_millis(1_500);

/// How long a node that can't read the registry is passed over as a reader.
///
/// Without this all nodes read for themselves while the first one is cut off:
/// 18 reads a second at 22 nodes, and 280 at 340.
const UNREAD: Duration = Duration::from_secs(5);

/// How long a node that was not heard of is remembered.
const FORGOTTEN: Duration = Duration::from_mins(1);

/// The part of the strongest node's power from which a node may own services.
///
/// Half: hosts of one kind, said a little differently, stay together, and a
/// host of a fifth of the others' power stays out.
const STRONG: f64 = 0.5;

/// What nodes are ranked by to read for all; no service has such a name.
const READER: &str = "configuration, of all nodes";

const SECRETS: RapidSecrets = RapidSecrets::seed(0);

#[derive(Debug, Clone, Copy)]
struct Peer {
    /// The power of its host, once it is known.
    power: Option<MilliCores>,
    heard: Time,
    answered: bool,
    silent: Time,
    /// Until when it is not asked to read the registry for others.
    unread: Time,
    leaving: bool,
}

/// The nodes that one node knows of.
#[derive(Debug, Clone)]
pub struct Owners {
    own: SocketAddr,
    power: MilliCores,
    leaving: bool,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Owners {
    /// Starts with this node alone.
    #[must_use]
    pub const fn new(own: SocketAddr, power: MilliCores) -> Self {
        Self {
            own,
            power,
            leaving: false,
            peers: BTreeMap::new(),
        }
    }

    /// Notes that a node is said to exist; tells whether this is news.
    pub fn learn(&mut self, now: Time, peer: SocketAddr) -> bool {
        if peer == self.own || self.peers.contains_key(&peer) {
            return false;
        }
        let known = Peer {
            power: None,
            heard: now,
            answered: false,
            silent: Time::ZERO,
            unread: Time::ZERO,
            leaving: false,
        };
        self.peers.insert(peer, known);
        true
    }

    /// Notes the power of a node's host.
    pub fn has_power(&mut self, peer: SocketAddr, power: MilliCores) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.power = Some(power);
        }
    }

    /// Notes that a node answered.
    pub fn heard(&mut self, now: Time, peer: SocketAddr) {
        self.learn(now, peer);
        if let Some(known) = self.peers.get_mut(&peer) {
            known.heard = now;
            known.answered = true;
            known.silent = Time::ZERO;
        }
    }

    /// Notes that this node leaves: it owns nothing if another node can.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Notes whether a node says that it leaves.
    pub fn leaves(&mut self, peer: SocketAddr, leaving: bool) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.leaving = leaving;
        }
    }

    /// Notes that a node did not answer in time.
    pub fn silent(&mut self, now: Time, peer: SocketAddr) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.silent = now + SILENT;
        }
        self.peers.retain(|_, p| now.since(p.heard) < FORGOTTEN);
    }

    /// Notes whether a node can't read the registry itself.
    pub fn unread(&mut self, now: Time, peer: SocketAddr, unread: bool) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.unread = if unread { now + UNREAD } else { Time::ZERO };
        }
    }

    /// Returns when a node last answered; the start of time if it never did.
    #[must_use]
    pub fn heard_at(&self, peer: SocketAddr) -> Time {
        let answered = self.peers.get(&peer).filter(|p| p.answered);
        answered.map_or(Time::ZERO, |p| p.heard)
    }

    /// Tells whether any other node has answered.
    #[must_use]
    pub fn has_heard(&self) -> bool {
        self.peers.values().any(|p| p.answered)
    }

    /// Returns the other nodes that are not silent, and their hosts' power.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (SocketAddr, Option<MilliCores>)> {
        let live = move |p: &Peer| p.silent <= now;
        self.peers
            .iter()
            .filter(move |(_, p)| live(p))
            .map(|(&a, p)| (a, p.power))
    }

    /// Returns the number of nodes known, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the owner of a service's pieces as of now.
    #[must_use]
    pub fn owner(&self, now: Time, service: &PoolName) -> SocketAddr {
        self.first(now, service.as_str(), |_| true)
    }

    /// Returns the node that reads the registry for all, as of now.
    #[must_use]
    pub fn reader(&self, now: Time) -> SocketAddr {
        self.first(now, READER, |p| p.unread <= now)
    }

    fn first(&self, now: Time, subject: &str, fits: impl Fn(&Peer) -> bool) -> SocketAddr {
        let usable = self.peers.iter();
        let usable = usable.filter(|(_, p)| p.silent <= now && !p.leaving && fits(p));
        // One of unknown power is taken for as strong as this node: a node that
        // has just been heard of says its power with its first answer.
        let others = usable.map(|(&address, p)| (address, p.power.unwrap_or(self.power)));
        let own = (!self.leaving).then_some((self.own, self.power));
        let all: Vec<(SocketAddr, MilliCores)> = others.chain(own).collect();
        let most = all.iter().map(|(_, power)| power.0).max();
        let least = f64::from(most.unwrap_or_default()) * STRONG;
        let strong = all.iter().filter(|(_, power)| f64::from(power.0) >= least);
        let first = strong
            .map(|(a, _)| *a)
            .max_by_key(|a| (rank(subject, a), *a));
        first.unwrap_or(self.own)
    }
}

fn rank(subject: &str, peer: &SocketAddr) -> u64 {
    let text = format!("{subject} {peer}");
    rapidhash_v3_seeded(text.as_bytes(), &SECRETS)
}

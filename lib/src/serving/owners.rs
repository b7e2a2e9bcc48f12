//! Which node owns the pieces of a service.
//!
//! All nodes rank the known nodes alike by a hash, so that pieces of one
//! service meet at one of them without messages. A node that does not answer
//! is passed over, by each node for itself; two owners at once only fill their
//! calls less well.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

use crate::ids::PoolName;
use crate::time::Time;

/// How long a silent node is passed over before it is tried again.
const SILENT: Duration = Duration::from_millis(1_500);

/// How long a node that was not heard of is remembered.
const FORGOTTEN: Duration = Duration::from_mins(1);

const SECRETS: RapidSecrets = RapidSecrets::seed(0);

#[derive(Debug, Clone, Copy)]
struct Peer {
    heard: Time,
    answered: bool,
    silent: Time,
    leaving: bool,
}

/// The nodes that one node knows of.
#[derive(Debug, Clone)]
pub struct Owners {
    own: SocketAddr,
    leaving: bool,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Owners {
    /// Starts with this node alone.
    #[must_use]
    pub const fn new(own: SocketAddr) -> Self {
        Self {
            own,
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
            heard: now,
            answered: false,
            silent: Time::ZERO,
            leaving: false,
        };
        self.peers.insert(peer, known);
        true
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

    /// Tells whether any other node has answered.
    #[must_use]
    pub fn has_heard(&self) -> bool {
        self.peers.values().any(|p| p.answered)
    }

    /// Returns the other nodes that are not silent.
    pub fn live(&self, now: Time) -> impl Iterator<Item = SocketAddr> {
        let live = move |p: &Peer| p.silent <= now;
        self.peers
            .iter()
            .filter(move |(_, p)| live(p))
            .map(|(&a, _)| a)
    }

    /// Returns the number of nodes known, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the owner of a service's pieces as of now.
    #[must_use]
    pub fn owner(&self, now: Time, service: &PoolName) -> SocketAddr {
        let usable = self.peers.iter();
        let usable = usable.filter(|(_, p)| p.silent <= now && !p.leaving);
        let others = usable.map(|(&address, _)| address);
        let own = (!self.leaving).then_some(self.own);
        let all = others.chain(own);
        all.max_by_key(|a| (rank(service, a), *a))
            .unwrap_or(self.own)
    }
}

fn rank(service: &PoolName, peer: &SocketAddr) -> u64 {
    let text = format!("{service} {peer}");
    rapidhash_v3_seeded(text.as_bytes(), &SECRETS)
}

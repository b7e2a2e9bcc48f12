//! Simulation of nodes that learn of each other while some of them start,
//! freeze or are cut off, in virtual time.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::strategy::Strategy;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::bookings::Shard;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::MilliCores;

/// One step of the virtual clock, in milliseconds.
pub(crate) const STEP: u64 = 20;

/// The length of a schedule, in milliseconds.
pub(crate) const LENGTH: u64 = 60_000;

/// The interval between two polls of a node, in milliseconds.
const POLL_INTERVAL: u64 = 500;

/// The interval between two reads of the list of all nodes, in milliseconds.
const LIST_INTERVAL: u64 = 15_000;

/// The age from which a node's replica of the endpoints is stale.
const STALE: Duration = Duration::from_millis(1_700);

#[derive(Debug, Clone, Copy)]
pub(crate) enum Fault {
    /// A new node joins.
    Join,
    /// A node is killed and starts again after some time.
    Restart(usize, u64),
    /// A node is cut off from all others and from the registry.
    Cut(usize, u64),
    /// A node stands still; its clock does too.
    Freeze(usize, u64),
    /// The nodes fall into two groups that can't reach each other; the second
    /// can't reach the registry.
    Split(u64),
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) owners: Owners,
    /// When its clock began, and the time for which it stood still.
    started_at: u64,
    frozen_for: u64,
    pub(crate) frozen_until: u64,
    pub(crate) down_until: u64,
    pub(crate) cut_until: u64,
    /// By its own clock.
    fresh_at: Time,
    /// The number of its starts.
    pub(crate) starts: u32,
}

impl Node {
    pub(crate) fn clock(&self, now: u64) -> Time {
        Time::from_millis(now.saturating_sub(self.started_at + self.frozen_for))
    }

    pub(crate) fn is_running(&self, now: u64) -> bool {
        now >= self.down_until && now >= self.frozen_until
    }
}

#[derive(Debug)]
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node>,
    /// The nodes that ever registered.
    listed: BTreeSet<usize>,
    split_until: u64,
    /// The faults to come, and when.
    faults: VecDeque<(u64, Fault)>,
    ends_at: u64,
    /// Random samples for choices and delays, used in turn.
    samples: VecDeque<u8>,
}

pub(crate) fn address(n: usize) -> SocketAddr {
    ([10, 0, 0, 1], 1_000 + n as u16).into()
}

impl World {
    /// Starts nodes that have known each other for long.
    pub(crate) fn new(count: usize, samples: Vec<u8>) -> Self {
        let mut world = Self {
            now: 100_000,
            nodes: Vec::new(),
            listed: (0..count).collect(),
            split_until: 0,
            faults: VecDeque::new(),
            ends_at: 100_000 + LENGTH,
            samples: samples.into(),
        };
        for _ in 0..count {
            world.add_node(0);
        }
        world
    }

    /// Sets the faults to come, by their times since the start.
    pub(crate) fn schedule(&mut self, mut faults: Vec<(u64, Fault)>) {
        faults.sort_by_key(|&(at, _)| at);
        let start = self.now;
        self.faults = faults.into_iter().map(|(at, f)| (start + at, f)).collect();
    }

    /// Returns whether the schedule has not ended.
    pub(crate) fn is_playing(&self) -> bool {
        self.now < self.ends_at
    }

    /// Returns a random node.
    pub(crate) fn random_node(&mut self) -> usize {
        let n = self.sample() * 31 + self.sample();
        n % self.nodes.len()
    }

    fn add_node(&mut self, started_at: u64) {
        let n = self.nodes.len();
        self.listed.insert(n);
        let node = self.new_node(n, started_at);
        self.nodes.push(node);
    }

    fn new_node(&self, n: usize, started_at: u64) -> Node {
        let mut node = Node {
            owners: Owners::new(address(n), MilliCores(500)),
            started_at,
            frozen_for: 0,
            frozen_until: 0,
            down_until: 0,
            cut_until: 0,
            fresh_at: Time::ZERO,
            starts: 1,
        };
        let now = node.clock(self.now);
        node.fresh_at = now;
        for &other in &self.listed {
            node.owners.discover(now, address(other));
        }
        node
    }

    pub(crate) fn sample(&mut self) -> usize {
        let sample = self.samples.pop_front().unwrap_or(7);
        self.samples
            .push_back(sample.wrapping_mul(5).wrapping_add(113));
        usize::from(sample)
    }

    pub(crate) fn reaches_registry(&self, n: usize) -> bool {
        let cut = self.nodes[n].cut_until > self.now;
        !cut && (self.now >= self.split_until || n.is_multiple_of(2))
    }

    pub(crate) fn reaches(&self, a: usize, b: usize) -> bool {
        let is_cut = |n: usize| self.nodes[n].cut_until > self.now;
        let same_side = a % 2 == b % 2 || self.now >= self.split_until;
        a == b || !is_cut(a) && !is_cut(b) && same_side && self.nodes[b].is_running(self.now)
    }

    pub(crate) fn apply(&mut self, fault: Fault) {
        let now = self.now;
        let count = self.nodes.len();
        match fault {
            Fault::Join => self.add_node(now),
            Fault::Restart(n, time) => {
                let n = n % count;
                let mut node = self.new_node(n, now);
                node.starts = self.nodes[n].starts + 1;
                node.owners.mark_known();
                node.down_until = now + time;
                self.nodes[n] = node;
            }
            Fault::Cut(n, time) => self.nodes[n % count].cut_until = now + time,
            Fault::Freeze(n, time) => {
                let node = &mut self.nodes[n % count];
                if node.is_running(now) {
                    node.frozen_until = now + time;
                    node.frozen_for += time;
                }
            }
            Fault::Split(time) => self.split_until = now + time,
        }
    }

    /// Advances the clock; returns the polls that were answered: who polled whom.
    pub(crate) fn step(&mut self) -> Vec<(usize, usize)> {
        while self.faults.front().is_some_and(|&(at, _)| at <= self.now) {
            if let Some((_, fault)) = self.faults.pop_front() {
                self.apply(fault);
            }
        }
        self.now += STEP;
        let mut polls = Vec::new();
        for n in 0..self.nodes.len() {
            if !self.nodes[n].is_running(self.now) {
                continue;
            }
            if self.reaches_registry(n) {
                let now = self.nodes[n].clock(self.now);
                self.nodes[n].fresh_at = now;
            }
            self.update_staleness(n);
            let phase = self.now + 37 * n as u64;
            if phase % POLL_INTERVAL < STEP {
                polls.extend(self.poll(n).map(|other| (n, other)));
            }
            if self.now % LIST_INTERVAL < STEP && self.reaches_registry(n) {
                self.learn_all(n);
            }
        }
        polls
    }

    fn update_staleness(&mut self, n: usize) {
        if self.is_stale(n) {
            let now = self.nodes[n].clock(self.now);
            self.nodes[n].owners.defer_admissions(now);
        }
    }

    pub(crate) fn is_stale(&self, n: usize) -> bool {
        let node = &self.nodes[n];
        node.clock(self.now).since(node.fresh_at) > STALE
    }

    fn learn_all(&mut self, n: usize) {
        let now = self.nodes[n].clock(self.now);
        for other in self.listed.clone() {
            self.nodes[n].owners.discover(now, address(other));
        }
    }

    /// Polls a random node, from which the node learns others; returns it if it
    /// answers.
    fn poll(&mut self, n: usize) -> Option<usize> {
        let now = self.nodes[n].clock(self.now);
        let live: Vec<SocketAddr> = self.nodes[n].owners.live(now).map(|(a, _)| a).collect();
        if live.is_empty() {
            return None;
        }
        let sample = self.sample();
        let peer = live[sample % live.len()];
        let other = usize::from(peer.port()) - 1_000;
        if !self.reaches(n, other) {
            self.miss(n, other);
            return None;
        }
        let then = self.nodes[other].clock(self.now);
        let known: Vec<SocketAddr> = self.nodes[other]
            .owners
            .live(then)
            .map(|(a, _)| a)
            .collect();
        self.nodes[other].owners.discover(then, address(n));
        let owners = &mut self.nodes[n].owners;
        owners.mark_heard(now, peer);
        for address in known {
            owners.discover(now, address);
        }
        Some(other)
    }

    /// Marks a node as silent that did not respond.
    fn miss(&mut self, n: usize, other: usize) {
        let now = self.nodes[n].clock(self.now);
        self.nodes[n].owners.mark_silent(now, address(other));
    }

    /// Returns the node that books requests to a shard, as a node believes, if
    /// that node reaches it.
    pub(crate) fn reachable_booker(
        &mut self,
        n: usize,
        service: &PoolName,
        shard: Shard,
    ) -> Option<usize> {
        let now = self.nodes[n].clock(self.now);
        let booker = self.nodes[n].owners.booking_owner(now, service, shard);
        let booker = usize::from(booker.port()) - 1_000;
        if !self.reaches(n, booker) {
            self.miss(n, booker);
            return None;
        }
        Some(booker)
    }
}

pub(crate) fn fault() -> impl Strategy<Value = (u64, Fault)> {
    let fault = (0..6_u8, 0..64_usize, 500..9_000_u64).prop_map(|(kind, node, time)| match kind {
        0 | 1 => Fault::Join,
        2 => Fault::Restart(node, time),
        3 => Fault::Cut(node, time * 4),
        4 => Fault::Freeze(node, time),
        _ => Fault::Split(time * 3),
    });
    (0..LENGTH, fault)
}

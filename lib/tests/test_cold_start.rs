//! The bound on calls to a cold endpoint, over nodes that join, restart, freeze
//! and are cut off.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::bookings::Shard;
use snipeyoke_lib::serving::cold_start::ADMISSION_LIFETIME;
use snipeyoke_lib::serving::cold_start::Admissions;
use snipeyoke_lib::serving::cold_start::AdmitterRank;
use snipeyoke_lib::serving::cold_start::ColdBound;
use snipeyoke_lib::serving::cold_start::ColdStart;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::MilliCores;

const BOUND: ColdBound = ColdBound {
    excess: 1.5,
    slack: 5.0,
};

const START: ColdStart = ColdStart {
    duration: Duration::from_secs(3),
    rate: 8.4,
};

/// One step of the virtual clock, in milliseconds.
const STEP: u64 = 20;

/// The length of a schedule, in milliseconds.
const LENGTH: u64 = 60_000;

/// The interval between two polls of a node, in milliseconds.
const POLL_INTERVAL: u64 = 500;

/// The interval between two reads of the list of all nodes, in milliseconds.
const LIST_INTERVAL: u64 = 15_000;

/// How long other nodes take to detect a silent node.
const SILENCE_LIMIT: Duration = Duration::from_millis(750);

/// The age from which a node's replica of the endpoints is stale.
const STALE: Duration = Duration::from_millis(1_700);

/// The random schedules of the property.
const CASES: u32 = 48;

#[derive(Debug, Clone, Copy)]
enum Fault {
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
struct Node {
    owners: Owners,
    admissions: Admissions,
    /// When its clock began, and the time for which it stood still.
    started_at: u64,
    frozen_for: u64,
    frozen_until: u64,
    down_until: u64,
    cut_until: u64,
    /// By its own clock.
    fresh_at: Time,
    reached_at: Vec<Time>,
}

impl Node {
    fn clock(&self, now: u64) -> Time {
        Time::from_millis(now.saturating_sub(self.started_at + self.frozen_for))
    }

    fn is_running(&self, now: u64) -> bool {
        now >= self.down_until && now >= self.frozen_until
    }
}

#[derive(Debug)]
struct World {
    now: u64,
    nodes: Vec<Node>,
    /// The nodes that ever registered.
    listed: BTreeSet<usize>,
    split_until: u64,
    /// When calls arrived at the endpoint.
    arrivals: Vec<u64>,
    /// Random samples for choices and delays, used in turn.
    samples: VecDeque<u8>,
}

fn address(n: usize) -> SocketAddr {
    ([10, 0, 0, 1], 1_000 + n as u16).into()
}

fn service() -> PoolName {
    "llm".parse().expect("a name")
}

fn endpoint() -> EndpointId {
    "m1".parse().expect("a name")
}

const SHARD: Shard = Shard { index: 0, count: 1 };

impl World {
    /// Starts nodes that have known each other for long.
    fn new(count: usize, samples: Vec<u8>) -> Self {
        let mut world = Self {
            now: 100_000,
            nodes: Vec::new(),
            listed: (0..count).collect(),
            split_until: 0,
            arrivals: Vec::new(),
            samples: samples.into(),
        };
        for _ in 0..count {
            world.add_node(0);
        }
        world
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
            admissions: Admissions::default(),
            started_at,
            frozen_for: 0,
            frozen_until: 0,
            down_until: 0,
            cut_until: 0,
            fresh_at: Time::ZERO,
            reached_at: Vec::new(),
        };
        let now = node.clock(self.now);
        node.fresh_at = now;
        for &other in &self.listed {
            node.owners.discover(now, address(other));
        }
        node
    }

    fn sample(&mut self) -> usize {
        let sample = self.samples.pop_front().unwrap_or(7);
        self.samples
            .push_back(sample.wrapping_mul(5).wrapping_add(113));
        usize::from(sample)
    }

    fn reaches_registry(&self, n: usize) -> bool {
        let cut = self.nodes[n].cut_until > self.now;
        !cut && (self.now >= self.split_until || n.is_multiple_of(2))
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let is_cut = |n: usize| self.nodes[n].cut_until > self.now;
        let same_side = a % 2 == b % 2 || self.now >= self.split_until;
        a == b || !is_cut(a) && !is_cut(b) && same_side && self.nodes[b].is_running(self.now)
    }

    fn apply(&mut self, fault: Fault) {
        let now = self.now;
        let count = self.nodes.len();
        match fault {
            Fault::Join => self.add_node(now),
            Fault::Restart(n, time) => {
                let n = n % count;
                let mut node = self.new_node(n, now);
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

    fn step(&mut self) {
        self.now += STEP;
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
                self.poll(n);
            }
            if self.now % LIST_INTERVAL < STEP && self.reaches_registry(n) {
                self.learn_all(n);
            }
        }
    }

    fn update_staleness(&mut self, n: usize) {
        if self.is_stale(n) {
            let now = self.nodes[n].clock(self.now);
            self.nodes[n].owners.defer_admissions(now);
        }
    }

    fn is_stale(&self, n: usize) -> bool {
        let node = &self.nodes[n];
        node.clock(self.now).since(node.fresh_at) > STALE
    }

    fn learn_all(&mut self, n: usize) {
        let now = self.nodes[n].clock(self.now);
        for other in self.listed.clone() {
            self.nodes[n].owners.discover(now, address(other));
        }
    }

    /// Polls a random node, from which the node learns others.
    fn poll(&mut self, n: usize) {
        let now = self.nodes[n].clock(self.now);
        let live: Vec<SocketAddr> = self.nodes[n].owners.live(now).map(|(a, _)| a).collect();
        if live.is_empty() {
            return;
        }
        let sample = self.sample();
        let peer = live[sample % live.len()];
        let other = usize::from(peer.port()) - 1_000;
        if !self.reaches(n, other) {
            self.miss(n, other);
            return;
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
    }

    /// Marks a node as silent once it has not responded for a while.
    fn miss(&mut self, n: usize, other: usize) {
        let now = self.nodes[n].clock(self.now);
        let node = &mut self.nodes[n];
        node.reached_at.push(now);
        node.reached_at.retain(|&at| now.since(at) <= SILENCE_LIMIT);
        node.owners.mark_silent(now, address(other));
    }

    /// A request of a node for the cold endpoint.
    fn request(&mut self, n: usize) {
        if !self.nodes[n].is_running(self.now) {
            return;
        }
        let now = self.nodes[n].clock(self.now);
        let owner = self.nodes[n].owners.booking_owner(now, &service(), SHARD);
        let owner = usize::from(owner.port()) - 1_000;
        if !self.reaches(n, owner) {
            self.miss(n, owner);
            return;
        }
        if self.is_stale(owner) {
            return;
        }
        let node = &mut self.nodes[owner];
        let then = node.clock(self.now);
        let rank = node.owners.shard_admitter_rank(then, &service(), SHARD);
        let share = rank.map_or(0, |rank| BOUND.share(START, rank));
        if node.admissions.has_room(then, &endpoint(), share) {
            node.admissions.record(then, &endpoint());
            let lifetime = ADMISSION_LIFETIME.as_millis() as usize;
            let delay = self.sample() * lifetime / 255;
            self.arrivals.push(self.now + delay as u64);
        }
    }

    /// Returns the most calls that arrived within a second.
    fn peak(&self) -> usize {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_unstable();
        let within = |(n, &at): (usize, &u64)| {
            arrivals[n..]
                .iter()
                .take_while(|&&a| a < at + 1_000)
                .count()
        };
        arrivals
            .iter()
            .enumerate()
            .map(within)
            .max()
            .unwrap_or_default()
    }
}

fn fault() -> impl Strategy<Value = (u64, Fault)> {
    let fault = (0..6_u8, 0..64_usize, 500..9_000_u64).prop_map(|(kind, node, time)| match kind {
        0 | 1 => Fault::Join,
        2 => Fault::Restart(node, time),
        3 => Fault::Cut(node, time * 4),
        4 => Fault::Freeze(node, time),
        _ => Fault::Split(time * 3),
    });
    (0..LENGTH, fault)
}

/// Plays a schedule with three requests from random nodes in each step.
fn play(count: usize, mut faults: Vec<(u64, Fault)>, samples: Vec<u8>) -> World {
    faults.sort_by_key(|&(at, _)| at);
    let mut faults: VecDeque<(u64, Fault)> = faults.into();
    let mut world = World::new(count, samples);
    let begin = world.now;
    while world.now < begin + LENGTH {
        while faults
            .front()
            .is_some_and(|&(at, _)| begin + at <= world.now)
        {
            if let Some((_, fault)) = faults.pop_front() {
                world.apply(fault);
            }
        }
        world.step();
        for _ in 0..3 {
            let n = world.sample() * 31 + world.sample();
            world.request(n % world.nodes.len());
        }
    }
    world
}

#[test]
fn the_bound_holds_on_random_schedules() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let bound = (BOUND.excess * START.rate + BOUND.slack) as usize;
    let schedule = (3..24_usize, vec(fault(), 0..24), vec(0..=255_u8, 16..64));
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let outcome =
        TestRunner::new_with_rng(config, rng).run(&schedule, |(count, faults, samples)| {
            let world = play(count, faults, samples);
            proptest::prop_assert!(world.peak() <= bound, "{} calls in a second", world.peak());
            Ok(())
        });
    outcome.expect("the sum over all nodes stays within the bound");
}

#[test]
fn nodes_that_agree_use_what_a_cold_endpoint_tolerates() {
    // With more demand than the endpoint tolerates, at least 0.8 of it is used,
    // whatever the number of nodes.
    for count in [3, 23, 103, 340] {
        let world = play(count, Vec::new(), vec![3, 50, 180, 90]);
        let rate = world.arrivals.len() as f64 / (LENGTH as f64 / 1e3);
        assert!(
            rate >= 0.8 * START.rate,
            "{count} nodes: {rate} calls a second"
        );
        assert!(rate <= START.rate, "{count} nodes: {rate} calls a second");
    }
}

#[test]
fn the_second_node_takes_over_from_the_first() {
    let first = (0..9).find(|&n| rank_of(9, n) == Some(AdmitterRank::First));
    let first = first.expect("one is first");
    let faults = vec![(0, Fault::Cut(first, LENGTH))];
    let world = play(9, faults, vec![3, 50, 180, 90]);
    let rate = world.arrivals.len() as f64 / (LENGTH as f64 / 1e3);
    assert!(rate >= 0.8 * START.rate, "{rate} calls a second");
}

fn rank_of(count: usize, n: usize) -> Option<AdmitterRank> {
    let world = World::new(count, vec![1]);
    let node = &world.nodes[n];
    node.owners
        .shard_admitter_rank(node.clock(world.now), &service(), SHARD)
}

#[test]
fn two_nodes_at_most_admit_calls() {
    let ranks: Vec<AdmitterRank> = (0..23).filter_map(|n| rank_of(23, n)).collect();
    assert_eq!(ranks.len(), 2);
    assert_ne!(ranks[0], ranks[1]);
}

#[test]
fn shares_add_up_to_the_bound_at_most() {
    for rate in [0.3, 1.0, 2.5, 8.4, 10.0, 64.0, 1_000.0] {
        for (excess, slack) in [(1.0, 0.0), (1.0, 3.0), (1.5, 5.0), (4.0, 40.0)] {
            let start = ColdStart { rate, ..START };
            let bound = ColdBound { excess, slack };
            let first = bound.share(start, AdmitterRank::First);
            let second = bound.share(start, AdmitterRank::Second);
            assert!((first + second) as f64 <= excess * rate + slack);
            assert!(first as f64 <= rate.max(1.0));
        }
    }
}

#[test]
fn a_node_that_others_may_not_know_admits_no_calls() {
    // Two nodes that know it not yet count on the shares of each other.
    let mut owners = Owners::new(address(0), MilliCores(500));
    let rank = |owners: &Owners, s: u64| {
        owners.shard_admitter_rank(Time::from_millis(s * 1_000), &service(), SHARD)
    };
    assert_eq!(rank(&owners, 19), None);
    assert_eq!(rank(&owners, 20), Some(AdmitterRank::First));
    owners.mark_known();
    assert_eq!(rank(&owners, 1), Some(AdmitterRank::First));
    owners.defer_admissions(Time::from_millis(30_000));
    assert_eq!(rank(&owners, 31), None);
    assert_eq!(rank(&owners, 36), Some(AdmitterRank::First));
}

#[test]
fn calls_to_a_warm_endpoint_count_when_it_turns_cold() {
    let mut admissions = Admissions::default();
    let at = Time::from_millis;
    for n in 0..5 {
        admissions.record(at(1_000 + n), &endpoint());
    }
    assert!(!admissions.has_room(at(1_500), &endpoint(), 5));
    assert!(admissions.has_room(at(2_200), &endpoint(), 5));
}

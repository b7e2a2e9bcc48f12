//! Bound on the time for which a confirmed change stays unknown.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use snipeyoke_lib::log::Backoff;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::serving::registry_polling::REPLICA_KINDS;
use snipeyoke_lib::serving::registry_polling::RegistryPolling;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::serving::registry_polling::ReplicaStatus;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::MilliCores;

/// The configured bound.
const BOUND: Duration = Duration::from_secs(2);

/// The bound for the endpoints, which leaves time for a call in flight.
const NOTICE: Duration = Duration::from_millis(1_600);

/// The response time of the registry and of a node.
const RESPONSE_TIME: Duration = Duration::from_millis(20);

/// How long a node waits for the response of another node.
const SILENCE_LIMIT: Duration = Duration::from_millis(750);

/// How long a call to a silent registry takes.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// How long a node must be free of faults before the bound applies: the longest
/// pause after failed reads.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// The number of random simulations.
const SEEDS: u64 = 1_000;

/// A fault of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The node neither reads nor answers.
    Frozen,
    /// The registry sends it no response.
    RegistrySilent,
    /// The registry refuses its reads at once.
    RegistryRefuses,
    /// It is partitioned from all other nodes.
    Partitioned,
}

/// A read in flight.
#[derive(Debug, Clone, Copy)]
struct Read {
    sent: Time,
    done_at: Time,
    succeeds: bool,
}

/// A poll in flight.
#[derive(Debug, Clone, Copy)]
struct Poll {
    target: SocketAddr,
    sent: Time,
    done_at: Time,
}

/// A node with its reads and polls; none of its long polls ever returns.
#[derive(Debug)]
struct Node {
    address: SocketAddr,
    owners: Owners,
    polling: RegistryPolling,
    reads: BTreeMap<ReplicaKind, Read>,
    /// When the next read may be sent after a failed one.
    pauses: BTreeMap<ReplicaKind, Time>,
    backoff: Backoff,
    polls: Vec<Poll>,
    /// When the node last had a fault, if ever.
    last_fault: Option<Time>,
}

/// Nodes on one registry, simulated in steps of at least ten milliseconds.
struct World {
    now: Time,
    step: Duration,
    nodes: Vec<Node>,
    faults: BTreeMap<SocketAddr, Fault>,
    /// When each read was sent.
    read_times: Vec<Time>,
    poll_count: usize,
    /// The greatest age of a replica on a node without faults, as a fraction of
    /// its bound.
    max_age: f64,
}

fn node(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], n).into()
}

const fn bound(kind: ReplicaKind) -> Duration {
    match kind {
        ReplicaKind::Config => BOUND,
        ReplicaKind::Endpoints => NOTICE,
    }
}

impl World {
    fn new(count: u16) -> Self {
        let start = Time::from_millis(1_000);
        let begin = |n: u16| {
            let mut owners = Owners::new(node(n), MilliCores(190));
            for peer in (1..=count).filter(|&peer| peer != n) {
                owners.mark_heard(Time::ZERO, node(peer));
            }
            let mut polling = RegistryPolling::new(BOUND, Duration::from_secs(2));
            for kind in REPLICA_KINDS {
                polling.confirm(kind, start);
            }
            Node {
                address: node(n),
                owners,
                polling,
                reads: BTreeMap::new(),
                pauses: BTreeMap::new(),
                backoff: Backoff::new(u64::from(n)),
                polls: Vec::new(),
                last_fault: None,
            }
        };
        Self {
            now: start,
            step: Duration::from_millis(10),
            nodes: (1..=count).map(begin).collect(),
            faults: BTreeMap::new(),
            read_times: Vec::new(),
            poll_count: 0,
            max_age: 0.0,
        }
    }

    /// Returns the registry reader.
    fn reader(&self) -> SocketAddr {
        self.nodes[0].owners.reader(self.now)
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            for index in 0..self.nodes.len() {
                self.step(index);
            }
            self.now = self.now + self.step;
        }
    }

    fn fault(&self, node: SocketAddr) -> Option<Fault> {
        self.faults.get(&node).copied()
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let fault = self.fault(self.nodes[index].address);
        if fault.is_some_and(|f| f != Fault::Partitioned) {
            self.nodes[index].last_fault = Some(now);
        }
        if fault == Some(Fault::Frozen) {
            return;
        }
        for kind in REPLICA_KINDS {
            self.read(index, kind, fault);
        }
        self.poll(index);
        let node = &self.nodes[index];
        let recovers = |last_fault| now.since(last_fault) < RECOVERY_TIME + BOUND;
        if node.last_fault.is_some_and(recovers) {
            return;
        }
        for kind in REPLICA_KINDS {
            let age = node.polling.freshness(kind).age(now).expect("it began so");
            let fraction = age.as_secs_f64() / bound(kind).as_secs_f64();
            self.max_age = self.max_age.max(fraction);
        }
    }

    fn read(&mut self, index: usize, kind: ReplicaKind, fault: Option<Fault>) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if let Some(read) = node.reads.get(&kind).copied().filter(|r| r.done_at <= now) {
            node.reads.remove(&kind);
            node.polling.on_read(now, read.succeeds);
            if read.succeeds {
                node.polling.confirm(kind, read.sent);
                node.backoff.succeeded();
            } else {
                node.pauses.insert(kind, now + node.backoff.failed());
            }
        }
        let is_reader = node.polling.is_reader(now, &mut node.owners);
        let paused = node.pauses.get(&kind).is_some_and(|&until| until > now);
        if paused || node.reads.contains_key(&kind) || node.polling.read_at(kind, is_reader) > now {
            return;
        }
        let response_time = match fault {
            Some(Fault::RegistrySilent) => CALL_TIMEOUT,
            _ => RESPONSE_TIME,
        };
        let succeeds = !matches!(fault, Some(Fault::RegistrySilent | Fault::RegistryRefuses));
        let done_at = now + response_time;
        let sent = now;
        node.reads.insert(
            kind,
            Read {
                sent,
                done_at,
                succeeds,
            },
        );
        self.read_times.push(now);
    }

    fn poll(&mut self, index: usize) {
        let now = self.now;
        let polls = self.nodes[index].polls.extract_if(.., |p| p.done_at <= now);
        for poll in polls.collect::<Vec<Poll>>() {
            self.on_poll_end(index, poll);
        }
        let node = &mut self.nodes[index];
        let Some(target) = node.polling.poll_target(now, &mut node.owners) else {
            return;
        };
        self.poll_count += 1;
        let polled = self.nodes.iter_mut().find(|n| n.address == target);
        polled.expect("it is one of them").polling.on_polled(now);
        let done_at = now + RESPONSE_TIME;
        let sent = now;
        self.nodes[index].polls.push(Poll {
            target,
            sent,
            done_at,
        });
    }

    fn on_poll_end(&mut self, index: usize, poll: Poll) {
        let now = self.now;
        let own = self.nodes[index].address;
        let responds = self.fault(poll.target) != Some(Fault::Frozen);
        let partitioned = [own, poll.target].map(|n| self.fault(n) == Some(Fault::Partitioned));
        if !responds || partitioned.contains(&true) {
            let node = &mut self.nodes[index];
            if now.since(poll.sent) > SILENCE_LIMIT {
                node.owners.mark_silent(now, poll.target);
                node.polling.on_peer_lost(poll.target);
            } else {
                let done_at = now + self.step;
                node.polls.push(Poll { done_at, ..poll });
            }
            return;
        }
        let seen = self.nodes.iter().find(|n| n.address == poll.target);
        let seen = seen.expect("it is one of them");
        // As of when the other node responds, which is later than the poll was
        // sent.
        let status = ReplicaStatus {
            cannot_read: seen.polling.cannot_read(now),
            config_age: seen.polling.freshness(ReplicaKind::Config).age(now),
            endpoints_age: seen.polling.freshness(ReplicaKind::Endpoints).age(now),
        };
        let node = &mut self.nodes[index];
        node.owners.mark_heard(now, poll.target);
        let from = (poll.target, poll.sent);
        node.polling
            .apply_status(now, &mut node.owners, from, status);
    }

    fn is_expired(&self, node: &Node) -> bool {
        let expired = |&kind: &ReplicaKind| node.polling.freshness(kind).is_expired(self.now);
        REPLICA_KINDS.iter().any(expired)
    }
}

#[test]
fn two_reads_of_the_endpoints_fit_into_the_notice() {
    // An endpoint reports that it leaves, and one read of the registry fails.
    // The next read must still come before the endpoint may get no new calls.
    for notice in [2_000_u64, 3_000, 4_000].map(Duration::from_millis) {
        let mut polling = RegistryPolling::new(BOUND, notice);
        let read = Time::from_millis(1_000);
        polling.confirm(ReplicaKind::Endpoints, read);
        let pause = polling.read_at(ReplicaKind::Endpoints, true).since(read);
        assert!(2 * pause < notice);
        // A read of a silent registry, and the poll by which the others learn
        // of the second.
        let failed = pause + CALL_TIMEOUT + Duration::from_millis(100);
        assert!(failed + polling.poll_interval() < notice, "{notice:?}");
        // Each read has a cost: no more than four, besides the time for a call.
        assert!(4 * pause + Duration::from_millis(400) >= notice);
    }
}

#[test]
fn a_starting_node_waits_for_the_registry() {
    // Hundreds of nodes start together, and the registry sends thousands of
    // endpoints to each. Lists requested from peers as well would fill their
    // links, and no node would serve requests for half a minute.
    let mut polling = RegistryPolling::new(BOUND, BOUND);
    let now = Time::from_millis(1_000);
    assert!(polling.is_stale(now, ReplicaKind::Endpoints));
    assert!(!polling.is_registry_unreachable(now, ReplicaKind::Endpoints));
    polling.on_read(now, false);
    assert!(polling.is_registry_unreachable(now, ReplicaKind::Endpoints));
    polling.on_read(now, true);
    polling.confirm(ReplicaKind::Endpoints, now);
    assert!(!polling.is_registry_unreachable(now, ReplicaKind::Endpoints));
}

#[test]
fn differing_replicas_are_not_read_with_each_poll() {
    // Two nodes disagree on an endpoint whatever they read. If each poll caused
    // a read, both would list thousands of endpoints again and again.
    let mut polling = RegistryPolling::new(BOUND, BOUND);
    let poll = Duration::from_millis(400);
    let lists = (0..150).filter(|&n| polling.on_mismatch(Time::from_millis(1_000) + poll * n));
    assert_eq!(lists.count(), 4, "in a minute");
}

#[test]
fn one_node_reads_for_all() {
    // One minute without faults. Each read has a cost, so the number of reads
    // must not grow with the number of nodes.
    for count in [1, 6, 22, 120] {
        let mut world = World::new(count);
        world.run(Duration::from_mins(1));
        assert!(world.max_age < 0.6, "{count}: {}", world.max_age);
        let reads = world.read_times.len();
        // Four reads of each topic within its bound.
        assert!(reads <= 125 + 155, "{count} nodes: {reads} reads");
    }
}

#[test]
fn a_frozen_reader_is_replaced_within_the_bound() {
    // The reader freezes with its connections open. The others get no response
    // and must still learn of a change within the bound.
    let mut world = World::new(22);
    world.run(Duration::from_secs(5));
    let reader = world.reader();
    world.faults.insert(reader, Fault::Frozen);
    world.run(Duration::from_secs(20));
    assert!(world.max_age < 1.0, "{}", world.max_age);
}

#[test]
fn a_reader_without_registry_access_delays_nobody() {
    // The reader still responds to polls, with its state from before the fault.
    // It has to learn from the next reader itself.
    for fault in [Fault::RegistrySilent, Fault::RegistryRefuses] {
        let mut world = World::new(22);
        world.run(Duration::from_secs(5));
        let reader = world.reader();
        world.faults.insert(reader, fault);
        let before = world.read_times.len();
        world.run(Duration::from_secs(20));
        let reads = world.read_times.len() - before;
        // The reads of the next reader, and the failing ones of the node
        // itself.
        assert!(reads <= 95 + 24, "{fault:?}: {reads} reads in 20 s");
        for node in &world.nodes {
            assert!(!world.is_expired(node), "{fault:?}: {}", node.address);
        }
    }
}

#[test]
fn the_loss_of_a_reader_does_not_make_all_nodes_read() {
    // Hundreds of nodes have replicas of the same age and would all read at the
    // same moment whenever their reader is lost.
    for fault in [
        Fault::Frozen,
        Fault::RegistrySilent,
        Fault::RegistryRefuses,
        Fault::Partitioned,
    ] {
        let mut world = World::new(103);
        world.run(Duration::from_secs(5));
        let reader = world.reader();
        let before = world.read_times.len();
        world.faults.insert(reader, fault);
        world.run(Duration::from_secs(5));
        let reads = world.read_times.len() - before;
        // A quarter of the nodes, besides the usual reads.
        assert!(reads <= 26 + 25, "{fault:?}: {reads} reads in 5 s");
    }
}

#[test]
fn in_an_outage_no_node_polls_all_others() {
    // The registry is down for all nodes. If each polled every other one in
    // turn for a working reader, it would poll a hundred as fast as they
    // respond.
    let mut world = World::new(103);
    world.run(Duration::from_secs(5));
    for n in 1..=103 {
        world.faults.insert(node(n), Fault::RegistryRefuses);
    }
    let before = world.poll_count;
    world.run(Duration::from_secs(20));
    let polls = (world.poll_count - before) / 103;
    // Usually one poll in 0.32 s.
    assert!(polls <= 2 * 63, "{polls} polls of each node in 20 s");
}

#[test]
fn after_an_outage_all_replicas_are_fresh_within_the_bound() {
    // The registry was silent for all nodes. Within the bound after its return,
    // each node must know of a change made at that moment.
    let mut world = World::new(22);
    for n in 1..=22 {
        world.faults.insert(node(n), Fault::RegistrySilent);
    }
    world.run(Duration::from_secs(30));
    world.faults.clear();
    let back = world.now;
    world.run(BOUND);
    for node in &world.nodes {
        let age = node.polling.freshness(ReplicaKind::Config).age(world.now);
        assert!(
            age.expect("it began so") < world.now.since(back),
            "{} knows nothing since",
            node.address
        );
    }
}

/// Simulates half a minute in which nodes freeze, lose their connections and
/// recover; returns the greatest age on a node without faults.
fn simulate(seed: u64) -> f64 {
    let mut rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
    let count = rng.random_range(1..16_u16);
    let mut world = World::new(count);
    world.step = Duration::from_millis(50);
    let mut ends: Vec<(Time, SocketAddr)> = Vec::new();
    for _ in 0..60 {
        let ended: Vec<(Time, SocketAddr)> =
            ends.extract_if(.., |(at, _)| *at <= world.now).collect();
        for (_, node) in ended {
            world.faults.remove(&node);
        }
        if rng.random_bool(0.3) {
            // Half of the faults affect the current reader.
            let target = if rng.random_bool(0.5) {
                world.reader()
            } else {
                node(rng.random_range(1..=count))
            };
            let kinds = [
                Fault::Frozen,
                Fault::RegistrySilent,
                Fault::RegistryRefuses,
                Fault::Partitioned,
            ];
            let duration = Duration::from_millis(rng.random_range(100..8_000));
            if world.fault(target).is_none() {
                world.faults.insert(target, kinds[rng.random_range(0..4)]);
                ends.push((world.now + duration, target));
            }
        }
        world.run(Duration::from_millis(500));
    }
    world.max_age
}

#[test]
fn a_node_that_reaches_the_registry_is_fresh_within_the_bound() {
    // Random faults of readers and other nodes. A replica must never be older
    // than its bound while the registry responds to the node.
    for seed in 0..SEEDS {
        let max_age = simulate(seed);
        assert!(max_age < 1.0, "seed {seed}: {max_age} of the bound");
    }
}

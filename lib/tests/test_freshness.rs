//! The bound on the time for which a confirmed change stays unknown.

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

/// The bound that is asked for.
const BOUND: Duration = Duration::from_secs(2);

/// The bound for the endpoints, which leaves time for a call under way.
const NOTICE: Duration = Duration::from_millis(1_600);

/// The time that an answer of the registry and of a node takes.
const ANSWER: Duration = Duration::from_millis(20);

/// How long a node waits for an answer of another one.
const SILENCE: Duration = Duration::from_millis(750);

/// How long a call to a silent registry takes.
const CALL: Duration = Duration::from_millis(900);

/// How long a node is well before it must know what was confirmed: the longest
/// pause after failed reads.
const SETTLED: Duration = Duration::from_secs(2);

/// The random plays.
const SEEDS: u64 = 1_000;

/// What is wrong, by node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wrong {
    /// The node neither reads nor answers.
    Frozen,
    /// The registry answers it nothing.
    Cut,
    /// The registry turns it away at once.
    Refused,
    /// No other node answers it, and it answers none.
    Apart,
}

/// A read under way.
#[derive(Debug, Clone, Copy)]
struct Read {
    sent: Time,
    over: Time,
    works: bool,
}

/// A look under way.
#[derive(Debug, Clone, Copy)]
struct Look {
    at: SocketAddr,
    sent: Time,
    over: Time,
}

/// A node, its reads and its looks; none of its waiting reads is ever woken.
#[derive(Debug)]
struct Node {
    address: SocketAddr,
    owners: Owners,
    upkeep: RegistryPolling,
    reads: BTreeMap<ReplicaKind, Read>,
    /// When the next read may go out after one that failed.
    pauses: BTreeMap<ReplicaKind, Time>,
    backoff: Backoff,
    looks: Vec<Look>,
    /// When something was last wrong with it, if ever.
    ill: Option<Time>,
}

/// Nodes on one registry, in steps of ten milliseconds or more.
struct World {
    now: Time,
    step: Duration,
    nodes: Vec<Node>,
    wrong: BTreeMap<SocketAddr, Wrong>,
    /// When each read was sent.
    reads: Vec<Time>,
    looks: usize,
    /// The longest time for which a node that is well knew nothing of a topic,
    /// as a part of its bound.
    oldest: f64,
}

fn node(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], n).into()
}

const fn bound(kept: ReplicaKind) -> Duration {
    match kept {
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
            let mut upkeep = RegistryPolling::new(BOUND, Duration::from_secs(2));
            for kept in REPLICA_KINDS {
                upkeep.confirm(kept, start);
            }
            Node {
                address: node(n),
                owners,
                upkeep,
                reads: BTreeMap::new(),
                pauses: BTreeMap::new(),
                backoff: Backoff::new(u64::from(n)),
                looks: Vec::new(),
                ill: None,
            }
        };
        Self {
            now: start,
            step: Duration::from_millis(10),
            nodes: (1..=count).map(begin).collect(),
            wrong: BTreeMap::new(),
            reads: Vec::new(),
            looks: 0,
            oldest: 0.0,
        }
    }

    /// Returns the node that reads for all.
    fn first(&self) -> SocketAddr {
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

    fn wrong(&self, node: SocketAddr) -> Option<Wrong> {
        self.wrong.get(&node).copied()
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let wrong = self.wrong(self.nodes[index].address);
        if wrong.is_some_and(|w| w != Wrong::Apart) {
            self.nodes[index].ill = Some(now);
        }
        if wrong == Some(Wrong::Frozen) {
            return;
        }
        for kept in REPLICA_KINDS {
            self.read(index, kept, wrong);
        }
        self.look(index);
        let node = &self.nodes[index];
        let settles = |ill| now.since(ill) < SETTLED + BOUND;
        if node.ill.is_some_and(settles) {
            return;
        }
        for kept in REPLICA_KINDS {
            let age = node.upkeep.freshness(kept).age(now).expect("it began so");
            let part = age.as_secs_f64() / bound(kept).as_secs_f64();
            self.oldest = self.oldest.max(part);
        }
    }

    fn read(&mut self, index: usize, kept: ReplicaKind, wrong: Option<Wrong>) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if let Some(read) = node.reads.get(&kept).copied().filter(|r| r.over <= now) {
            node.reads.remove(&kept);
            node.upkeep.on_read(now, read.works);
            if read.works {
                node.upkeep.confirm(kept, read.sent);
                node.backoff.succeeded();
            } else {
                node.pauses.insert(kept, now + node.backoff.failed());
            }
        }
        let first = node.upkeep.is_reader(now, &mut node.owners);
        let paused = node.pauses.get(&kept).is_some_and(|&until| until > now);
        if paused || node.reads.contains_key(&kept) || node.upkeep.read_at(kept, first) > now {
            return;
        }
        let takes = match wrong {
            Some(Wrong::Cut) => CALL,
            _ => ANSWER,
        };
        let works = !matches!(wrong, Some(Wrong::Cut | Wrong::Refused));
        let over = now + takes;
        let sent = now;
        node.reads.insert(kept, Read { sent, over, works });
        self.reads.push(now);
    }

    fn look(&mut self, index: usize) {
        let now = self.now;
        let looks = self.nodes[index].looks.extract_if(.., |l| l.over <= now);
        for look in looks.collect::<Vec<Look>>() {
            self.looked(index, look);
        }
        let node = &mut self.nodes[index];
        let Some(at) = node.upkeep.poll_target(now, &mut node.owners) else {
            return;
        };
        self.looks += 1;
        let asked = self.nodes.iter_mut().find(|n| n.address == at);
        asked.expect("it is one of them").upkeep.on_polled(now);
        let over = now + ANSWER;
        let sent = now;
        self.nodes[index].looks.push(Look { at, sent, over });
    }

    fn looked(&mut self, index: usize, look: Look) {
        let now = self.now;
        let own = self.nodes[index].address;
        let hears = self.wrong(look.at) != Some(Wrong::Frozen);
        let apart = [own, look.at].map(|n| self.wrong(n) == Some(Wrong::Apart));
        if !hears || apart.contains(&true) {
            let node = &mut self.nodes[index];
            if now.since(look.sent) > SILENCE {
                node.owners.mark_silent(now, look.at);
                node.upkeep.on_peer_lost(look.at);
            } else {
                let over = now + self.step;
                node.looks.push(Look { over, ..look });
            }
            return;
        }
        let seen = self.nodes.iter().find(|n| n.address == look.at);
        let seen = seen.expect("it is one of them");
        // As of when the other node answered, which is later than it was asked.
        let told = ReplicaStatus {
            cannot_read: seen.upkeep.cannot_read(now),
            config_age: seen.upkeep.freshness(ReplicaKind::Config).age(now),
            endpoints_age: seen.upkeep.freshness(ReplicaKind::Endpoints).age(now),
        };
        let node = &mut self.nodes[index];
        node.owners.mark_heard(now, look.at);
        let from = (look.at, look.sent);
        node.upkeep.apply_status(now, &mut node.owners, from, told);
    }

    fn is_lost(&self, node: &Node) -> bool {
        let lost = |&kept: &ReplicaKind| node.upkeep.freshness(kept).is_expired(self.now);
        REPLICA_KINDS.iter().any(lost)
    }
}

#[test]
fn two_reads_of_the_endpoints_fit_into_the_notice() {
    // An endpoint says that it leaves. One read of the registry fails; the next
    // one must still come before the endpoint may get nothing new.
    for notice in [2_000_u64, 3_000, 4_000].map(Duration::from_millis) {
        let mut upkeep = RegistryPolling::new(BOUND, notice);
        let read = Time::from_millis(1_000);
        upkeep.confirm(ReplicaKind::Endpoints, read);
        let pause = upkeep.read_at(ReplicaKind::Endpoints, true).since(read);
        assert!(2 * pause < notice);
        // A silent one, and the look by which the others learn of the second.
        let failed = pause + CALL + Duration::from_millis(100);
        assert!(failed + upkeep.poll_interval() < notice, "{notice:?}");
        // Each has its price: no more than four, beside the time for a call.
        assert!(4 * pause + Duration::from_millis(400) >= notice);
    }
}

#[test]
fn a_node_that_starts_waits_for_the_registry() {
    // Hundreds of nodes start together, and thousands of endpoints are on their
    // way from the registry to each. Asked of each other as well, the lists fill
    // the links of whoever has one first, and nobody is served for half a minute.
    let mut upkeep = RegistryPolling::new(BOUND, BOUND);
    let now = Time::from_millis(1_000);
    assert!(upkeep.is_stale(now, ReplicaKind::Endpoints));
    assert!(!upkeep.is_registry_unreachable(now, ReplicaKind::Endpoints));
    upkeep.on_read(now, false);
    assert!(upkeep.is_registry_unreachable(now, ReplicaKind::Endpoints));
    upkeep.on_read(now, true);
    upkeep.confirm(ReplicaKind::Endpoints, now);
    assert!(!upkeep.is_registry_unreachable(now, ReplicaKind::Endpoints));
}

#[test]
fn copies_that_stay_different_are_not_read_with_each_look() {
    // Two nodes disagree on an endpoint whatever they read. Each look would make
    // both list thousands of endpoints again.
    let mut upkeep = RegistryPolling::new(BOUND, BOUND);
    let look = Duration::from_millis(400);
    let lists = (0..150).filter(|&n| upkeep.on_mismatch(Time::from_millis(1_000) + look * n));
    assert_eq!(lists.count(), 4, "in a minute");
}

#[test]
fn one_node_reads_for_all() {
    // All is well, for a minute. Each read has its price, so their number must
    // not grow with the nodes.
    for count in [1, 6, 22, 120] {
        let mut world = World::new(count);
        world.run(Duration::from_mins(1));
        assert!(world.oldest < 0.6, "{count}: {}", world.oldest);
        let reads = world.reads.len();
        // Four of each topic within its bound.
        assert!(reads <= 125 + 155, "{count} nodes: {reads} reads");
    }
}

#[test]
fn a_frozen_reader_is_replaced_within_the_bound() {
    // The node that reads for all stops, with its connections open. The others
    // get no answer, and must know of a change within the bound all the same.
    let mut world = World::new(22);
    world.run(Duration::from_secs(5));
    let first = world.first();
    world.wrong.insert(first, Wrong::Frozen);
    world.run(Duration::from_secs(20));
    assert!(world.oldest < 1.0, "{}", world.oldest);
}

#[test]
fn a_reader_that_the_registry_turns_away_holds_up_nobody() {
    // It still answers looks, with what it knew when it was cut off. It learns
    // from the next reader itself.
    for wrong in [Wrong::Cut, Wrong::Refused] {
        let mut world = World::new(22);
        world.run(Duration::from_secs(5));
        let first = world.first();
        world.wrong.insert(first, wrong);
        let before = world.reads.len();
        world.run(Duration::from_secs(20));
        let reads = world.reads.len() - before;
        // Those of the next reader, and those of the node itself, which fail.
        assert!(reads <= 95 + 24, "{wrong:?}: {reads} reads in 20 s");
        for node in &world.nodes {
            assert!(!world.is_lost(node), "{wrong:?}: {}", node.address);
        }
    }
}

#[test]
fn the_loss_of_a_reader_does_not_make_all_nodes_read() {
    // Hundreds of nodes whose copies grow old together would all read at the
    // same moment, each time that their reader is lost.
    for wrong in [Wrong::Frozen, Wrong::Cut, Wrong::Refused, Wrong::Apart] {
        let mut world = World::new(103);
        world.run(Duration::from_secs(5));
        let first = world.first();
        let before = world.reads.len();
        world.wrong.insert(first, wrong);
        world.run(Duration::from_secs(5));
        let reads = world.reads.len() - before;
        // A quarter of the nodes, beside the usual reads.
        assert!(reads <= 26 + 25, "{wrong:?}: {reads} reads in 5 s");
    }
}

#[test]
fn in_an_outage_nobody_asks_all_the_others() {
    // The registry is away for all. Each node that asked every other one in turn
    // whether it can read would ask a hundred, as fast as they answer.
    let mut world = World::new(103);
    world.run(Duration::from_secs(5));
    for n in 1..=103 {
        world.wrong.insert(node(n), Wrong::Refused);
    }
    let before = world.looks;
    world.run(Duration::from_secs(20));
    let looks = (world.looks - before) / 103;
    // Usually one look in 0.32 s.
    assert!(looks <= 2 * 63, "{looks} looks of each node in 20 s");
}

#[test]
fn after_an_outage_all_know_within_the_bound() {
    // The registry was silent for all. It comes back, and each node knows of a
    // change made at that moment within the bound.
    let mut world = World::new(22);
    for n in 1..=22 {
        world.wrong.insert(node(n), Wrong::Cut);
    }
    world.run(Duration::from_secs(30));
    world.wrong.clear();
    let back = world.now;
    world.run(BOUND);
    for node in &world.nodes {
        let age = node.upkeep.freshness(ReplicaKind::Config).age(world.now);
        assert!(
            age.expect("it began so") < world.now.since(back),
            "{} knows nothing since",
            node.address
        );
    }
}

/// Plays half a minute in which nodes freeze, are cut off and come back, and
/// returns the greatest age of a node that is well.
fn play(seed: u64) -> f64 {
    let mut rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
    let count = rng.random_range(1..16_u16);
    let mut world = World::new(count);
    world.step = Duration::from_millis(50);
    let mut ends: Vec<(Time, SocketAddr)> = Vec::new();
    for _ in 0..60 {
        let over: Vec<(Time, SocketAddr)> =
            ends.extract_if(.., |(at, _)| *at <= world.now).collect();
        for (_, node) in over {
            world.wrong.remove(&node);
        }
        if rng.random_bool(0.3) {
            // Often the very node that reads.
            let hit = if rng.random_bool(0.5) {
                world.first()
            } else {
                node(rng.random_range(1..=count))
            };
            let kinds = [Wrong::Frozen, Wrong::Cut, Wrong::Refused, Wrong::Apart];
            let lasts = Duration::from_millis(rng.random_range(100..8_000));
            if world.wrong(hit).is_none() {
                world.wrong.insert(hit, kinds[rng.random_range(0..4)]);
                ends.push((world.now + lasts, hit));
            }
        }
        world.run(Duration::from_millis(500));
    }
    world.oldest
}

#[test]
fn whoever_reaches_the_registry_knows_within_the_bound() {
    // Random faults of readers and others. What a node knows must never be older
    // than its bound while the registry answers it.
    for seed in 0..SEEDS {
        let oldest = play(seed);
        assert!(oldest < 1.0, "seed {seed}: {oldest} of the bound");
    }
}

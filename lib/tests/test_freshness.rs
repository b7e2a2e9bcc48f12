//! The bound on the time for which a confirmed change stays unknown.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use snipeyoke_lib::serving::freshness::Freshness;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::MilliCores;

/// The bound that is asked for.
const BOUND: Duration = Duration::from_secs(2);

/// The time that an answer of the registry and of a node takes.
const ANSWER: Duration = Duration::from_millis(20);

/// How long a node waits for an answer of another one.
const SILENCE: Duration = Duration::from_millis(750);

/// How long a call to a silent registry takes.
const CALL: Duration = Duration::from_millis(900);

/// What is wrong, by node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wrong {
    /// The node neither reads nor answers.
    Frozen,
    /// The registry answers it nothing.
    Cut,
}

/// A node, its reads and its looks; none of its waiting reads is ever woken.
#[derive(Debug)]
struct Node {
    address: SocketAddr,
    owners: Owners,
    /// The node that reads for all, as of the last look.
    first: SocketAddr,
    freshness: Freshness,
    /// When the read, and the look, under way was sent and will be over.
    read: Option<(Time, Time)>,
    look: Option<(Time, Time, SocketAddr)>,
    looked: Time,
}

/// Nodes on one registry, in steps of ten milliseconds.
struct World {
    now: Time,
    nodes: Vec<Node>,
    wrong: BTreeMap<SocketAddr, Wrong>,
    reads: usize,
    /// The longest time for which a node that is well knew nothing.
    oldest: Duration,
}

fn node(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], n).into()
}

impl World {
    fn new(count: u16) -> Self {
        let begin = |n: u16| {
            let mut owners = Owners::new(node(n), MilliCores(190));
            for peer in 1..=count {
                owners.heard(Time::ZERO, node(peer));
            }
            let mut freshness = Freshness::new(BOUND);
            freshness.confirm(Time::from_millis(1_000));
            Node {
                address: node(n),
                first: owners.reader(Time::ZERO),
                owners,
                freshness,
                read: None,
                look: None,
                looked: Time::ZERO,
            }
        };
        Self {
            now: Time::from_millis(1_000),
            nodes: (1..=count).map(begin).collect(),
            wrong: BTreeMap::new(),
            reads: 0,
            oldest: Duration::ZERO,
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
            self.now = self.now + Duration::from_millis(10);
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let wrong = self.wrong.get(&self.nodes[index].address).copied();
        if wrong == Some(Wrong::Frozen) {
            return;
        }
        self.read(index, wrong);
        self.look(index);
        let age = self.nodes[index].freshness.age(now).expect("it began so");
        self.oldest = self.oldest.max(age);
    }

    fn read(&mut self, index: usize, wrong: Option<Wrong>) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if let Some((sent, _)) = node.read.take_if(|(_, over)| *over <= now)
            && wrong.is_none()
        {
            node.freshness.confirm(sent);
        }
        let first = node.first == node.address;
        if node.read.is_none() && node.freshness.read_at(first) <= now {
            let takes = if wrong.is_none() { ANSWER } else { CALL };
            node.read = Some((now, now + takes));
            self.reads += 1;
        }
    }

    fn look(&mut self, index: usize) {
        let now = self.now;
        let ended = self.nodes[index].look.take_if(|(_, over, _)| *over <= now);
        if let Some((sent, _, at)) = ended {
            self.looked(index, sent, at);
        }
        let node = &mut self.nodes[index];
        if node.look.is_some() || now.since(node.looked) < node.freshness.look_pause() {
            return;
        }
        node.looked = now;
        node.first = node.owners.reader(now);
        let first = node.first;
        if first == node.address {
            return;
        }
        let frozen = self.wrong.get(&first) == Some(&Wrong::Frozen);
        let takes = if frozen { SILENCE } else { ANSWER };
        node.look = Some((now, now + takes, first));
    }

    fn looked(&mut self, index: usize, sent: Time, at: SocketAddr) {
        let now = self.now;
        if self.wrong.get(&at) == Some(&Wrong::Frozen) {
            self.nodes[index].owners.silent(now, at);
            return;
        }
        let seen = self.nodes.iter().find(|n| n.address == at);
        // As of when the other node answered, which is later than `sent`.
        let age = seen.and_then(|n| n.freshness.age(now));
        let node = &mut self.nodes[index];
        node.owners.heard(now, at);
        let unread = node.freshness.is_unread(age);
        node.owners.unread(now, at, unread);
        if unread {
            node.looked = Time::ZERO;
        }
        if let Some(age) = age {
            node.freshness.confirm(sent - age);
        }
    }
}

#[test]
fn one_node_reads_for_all() {
    // All is well, for a minute. Each read has its price, so their number must
    // not grow with the nodes.
    for count in [1, 6, 22, 120] {
        let mut world = World::new(count);
        world.run(Duration::from_mins(1));
        assert!(
            world.oldest < BOUND.mul_f64(0.6),
            "{count}: {:?}",
            world.oldest
        );
        assert!(world.reads <= 125, "{count} nodes: {} reads", world.reads);
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
    assert!(world.oldest < BOUND, "{:?}", world.oldest);
}

#[test]
fn a_reader_that_the_registry_turns_away_holds_up_nobody() {
    // It still answers looks, with what it knew when it was cut off.
    let mut world = World::new(22);
    world.run(Duration::from_secs(5));
    let first = world.first();
    world.wrong.insert(first, Wrong::Cut);
    let before = world.reads;
    world.run(Duration::from_secs(20));
    let reads = world.reads - before;
    // Two a second of the next reader, one of each node until it has found it,
    // and those of the node itself, which fail.
    assert!(reads <= 40 + 21 + 24, "{reads} reads in 20 s");
    let cut = world.nodes.iter().find(|n| n.address == first);
    let cut = cut.expect("it is one of them").freshness;
    assert!(cut.is_lost(world.now), "it can't know by itself");
    let others = world.nodes.iter().filter(|n| n.address != first);
    for node in others {
        assert!(!node.freshness.is_lost(world.now), "{}", node.address);
    }
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
        let age = node.freshness.age(world.now).expect("it began so");
        assert!(
            age < world.now.since(back),
            "{} knows nothing since",
            node.address
        );
    }
}

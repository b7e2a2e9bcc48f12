//! Replicas of a registry that comes back from a copy, over random schedules.

use std::collections::BTreeMap;
use std::sync::Arc;

use assert_matches::assert_matches;
use snipeyoke_lib::serving::catch_up::ConfigMark;
use snipeyoke_lib::serving::position::Era;
use snipeyoke_lib::serving::position::EraChange;
use snipeyoke_lib::serving::position::ListMode;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::position::REWRITE_PERIOD;
use snipeyoke_lib::serving::position::Rank;
use snipeyoke_lib::serving::position::Returns;
use snipeyoke_lib::serving::position::rewrite_delay;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::serving::replica::Reading;
use snipeyoke_lib::serving::replica::Record;
use snipeyoke_lib::serving::replica::Replica;
use snipeyoke_lib::serving::slices::Assembly;
use snipeyoke_lib::time::Time;

use crate::schedules::Dice;
use crate::schedules::run_seeds;

/// The random schedules of the property.
const CASES: u32 = 96;

/// The length of the disturbed part of a schedule, in milliseconds.
const LENGTH: u64 = 20_000;

/// The time after which all nodes know everything, in milliseconds: what was lost is
/// written again, settles, and is read.
const QUIET: u64 = 9_000;

/// The time between two events, in milliseconds.
const STEP: u64 = 50;

/// The time within which writers write again, in milliseconds.
const REWRITTEN: u64 = 2_000;

/// The time after which the registry drops what nobody writes again, in milliseconds.
const EXPIRY: u64 = 3_500;

const ENDPOINTS: usize = 5;

/// What a record says: its rank, and whether an endpoint leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Said {
    rank: Rank,
    leaves: bool,
}

impl Said {
    fn encode(self) -> Arc<[u8]> {
        let text = format!("{} {} {}", self.rank.major, self.rank.minor, self.leaves);
        Arc::from(text.into_bytes())
    }

    fn decode(value: &[u8]) -> Self {
        let text = std::str::from_utf8(value).expect("text");
        let mut words = text.split(' ');
        let mut word = || words.next().expect("three words");
        Self {
            rank: Rank {
                major: word().parse().expect("a number"),
                minor: word().parse().expect("a number"),
            },
            leaves: word() == "true",
        }
    }
}

fn rank_of(record: &Record) -> Option<Rank> {
    record.value.as_deref().map(|v| Said::decode(v).rank)
}

fn said(replica: &Replica, key: &str) -> Option<Said> {
    let record = replica.get(key)?;
    record.value.as_deref().map(Said::decode)
}

fn key(endpoint: usize) -> String {
    format!("i-{endpoint}")
}

/// One topic of the registry.
#[derive(Debug, Clone, Default)]
struct Log(Vec<(String, Option<Said>)>);

impl Log {
    fn write(&mut self, key: &str, value: Option<Said>) {
        self.0.push((key.to_owned(), value));
    }

    fn records(&self, era: u64, from: u64) -> Vec<Record> {
        let all = self.0.iter().enumerate().skip(from as usize);
        let record = |(offset, (key, value)): (usize, &(String, Option<Said>))| Record {
            key: key.clone(),
            value: value.map(Said::encode),
            position: Position::new(era, offset as u64),
        };
        all.map(record).collect()
    }

    fn newest(&self, era: u64) -> Vec<Record> {
        let mut newest = BTreeMap::new();
        for record in self.records(era, 0) {
            newest.insert(record.key.clone(), record);
        }
        newest.into_values().filter(|r| r.value.is_some()).collect()
    }
}

#[derive(Debug, Clone, Default)]
struct Node {
    config: Replica,
    endpoints: Replica,
    returns: Returns,
    /// What it has known of each endpoint: its last run, and whether that leaves.
    known: BTreeMap<String, Said>,
    version: u64,
}

impl Node {
    fn replica(&mut self, kind: ReplicaKind) -> &mut Replica {
        match kind {
            ReplicaKind::Config => &mut self.config,
            ReplicaKind::Endpoints => &mut self.endpoints,
        }
    }

    fn mark(&self) -> ConfigMark {
        ConfigMark {
            next: self.config.next(),
            rank: self.config.rank(),
        }
    }

    fn extend(&mut self, kind: ReplicaKind, records: Vec<Record>, next: Position) {
        let mut reading = Reading {
            rank: &rank_of,
            is_change: &mut |_| true,
        };
        self.replica(kind).extend_with(records, next, &mut reading);
    }

    fn list(&mut self, now: Time, kind: ReplicaKind, (era, log): (u64, &Log)) {
        self.returns.on_era(now, Era(era));
        let mode = self.returns.on_list(now, kind);
        let end = Position::new(era, log.0.len() as u64);
        let mut reading = Reading {
            rank: &rank_of,
            is_change: &mut |_| true,
        };
        self.replica(kind)
            .replace_with(log.newest(era), (end, mode), &mut reading);
    }

    /// Reads a topic as a node does: on from its position, or the whole list.
    fn read(&mut self, now: Time, kind: ReplicaKind, (era, log): (u64, &Log)) {
        let from = self.replica(kind).next();
        let is_gone = from.offset.0 > log.0.len() as u64 || from == Position::default();
        if is_gone || from.era.0 != era || self.returns.needs_list(now, kind) {
            self.list(now, kind, (era, log));
            return;
        }
        let next = Position::new(era, log.0.len() as u64);
        self.extend(kind, log.records(era, from.offset.0), next);
    }

    /// Gets from a peer what this node lacks.
    fn poll(&mut self, now: Time, peer: &Self) {
        for next in [peer.config.next(), peer.endpoints.next()] {
            self.returns.on_era(now, next.era);
        }
        let mut assembly = Assembly::default();
        while peer.mark().is_ahead_of(&self.mark()) {
            let before = self.mark();
            let request = assembly.next_request(before.next, before.rank);
            let Some(slice) = peer.config.slice(request) else {
                self.extend(ReplicaKind::Config, Vec::new(), peer.config.next());
                continue;
            };
            let is_ahead = slice.is_ahead;
            let record = assembly.add(slice).expect("it fits in one slice");
            let next = if is_ahead {
                before.next
            } else {
                record.position.next()
            };
            self.extend(ReplicaKind::Config, vec![record], next);
            assert_ne!(self.mark(), before, "the transfer makes no progress");
        }
        if peer.endpoints.next() > self.endpoints.next() {
            let changes = peer.endpoints.changes_since(self.endpoints.next());
            let changes = changes.expect("nothing is forgotten");
            for change in &changes {
                self.returns.on_record(now, change.position.era);
            }
            self.extend(ReplicaKind::Endpoints, changes, peer.endpoints.next());
        }
    }

    fn differs(&self, peer: &Self) -> bool {
        let of = |node: &Self| -> Vec<Option<(u64, bool)>> {
            let said = (0..ENDPOINTS).map(|n| said(&node.endpoints, &key(n)));
            said.map(|s| s.map(|s| (s.rank.major, s.leaves))).collect()
        };
        self.endpoints.next() == peer.endpoints.next() && of(self) != of(peer)
    }

    /// Checks that nothing went back.
    fn check(&mut self) {
        let version = said(&self.config, "config").map_or(0, |s| s.rank.major);
        assert!(
            version >= self.version,
            "version {} after {}",
            version,
            self.version
        );
        self.version = version;
        for number in 0..ENDPOINTS {
            let key = key(number);
            let Some(now) = said(&self.endpoints, &key) else {
                continue;
            };
            if let Some(before) = self.known.get(&key) {
                assert!(now.rank >= before.rank, "{key}: {now:?} after {before:?}");
            }
            self.known.insert(key, now);
        }
    }
}

/// A writer's endpoint.
#[derive(Debug, Clone, Copy)]
struct Endpoint {
    said: Said,
    alive: bool,
    writes_at: u64,
    expires_at: Option<u64>,
}

struct StoreWorld {
    dice: Dice,
    ms: u64,
    era: u64,
    config: Log,
    endpoints: Log,
    copy: (Log, Log),
    version: u64,
    version_again_at: Option<u64>,
    writers: Vec<Endpoint>,
    nodes: Vec<Node>,
    returned_at: u64,
}

impl StoreWorld {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            dice: Dice(seed),
            ms: 0,
            era: 0,
            config: Log::default(),
            endpoints: Log::default(),
            copy: (Log::default(), Log::default()),
            version: 0,
            version_again_at: None,
            writers: Vec::new(),
            nodes: Vec::new(),
            returned_at: 0,
        };
        world.write_version();
        for _ in 0..ENDPOINTS {
            let first = Said {
                rank: Rank { major: 1, minor: 0 },
                leaves: false,
            };
            world.writers.push(Endpoint {
                said: first,
                alive: true,
                writes_at: 0,
                expires_at: None,
            });
        }
        let nodes = 1 + world.roll(5) as usize;
        world.nodes = vec![Node::default(); nodes];
        world
    }

    fn roll(&mut self, end: u64) -> u64 {
        self.dice.roll(end)
    }

    fn now(&self) -> Time {
        Time::from_millis(10_000 + self.ms)
    }

    fn write_version(&mut self) {
        self.version += 1;
        self.put_version();
    }

    fn put_version(&mut self) {
        let value = Said {
            rank: Rank {
                major: self.version,
                minor: 0,
            },
            leaves: false,
        };
        self.config.write("config", Some(value));
    }

    fn restore(&mut self) {
        (self.config, self.endpoints) = self.copy.clone();
        self.era += 1;
        self.returned_at = self.ms;
        self.version_again_at = Some(self.ms + self.roll(REWRITTEN));
        for number in 0..ENDPOINTS {
            let at = self.ms + self.roll(REWRITTEN);
            let writer = &mut self.writers[number];
            writer.writes_at = at;
            if !writer.alive {
                writer.expires_at = Some(self.ms + EXPIRY);
            }
        }
    }

    fn disturb(&mut self) {
        let number = self.roll(ENDPOINTS as u64) as usize;
        let node = self.roll(self.nodes.len() as u64) as usize;
        match self.roll(14) {
            0 | 1 => self.copy = (self.config.clone(), self.endpoints.clone()),
            // Returns are further apart than what is written again takes.
            2 if self.ms > self.returned_at + EXPIRY + 1_000 => self.restore(),
            3..=5 => self.write_version(),
            6 => self.writers[number].said.leaves = true,
            7 => {
                let writer = &mut self.writers[number];
                writer.alive = false;
                writer.expires_at = Some(self.ms);
            }
            8 if !self.writers[number].alive => {
                let writer = &mut self.writers[number];
                writer.said = Said {
                    rank: Rank {
                        major: writer.said.rank.major + 1,
                        minor: 0,
                    },
                    leaves: false,
                };
                writer.alive = true;
                writer.expires_at = None;
                writer.writes_at = self.ms;
            }
            9 => self.nodes[node] = Node::default(),
            _ => {}
        }
    }

    fn write(&mut self) {
        if self.version_again_at.is_some_and(|at| at <= self.ms) {
            self.version_again_at = None;
            self.put_version();
        }
        for number in 0..ENDPOINTS {
            let interval = 800 + self.roll(400);
            let ms = self.ms;
            let writer = &mut self.writers[number];
            if writer.alive && writer.writes_at <= ms {
                writer.said.rank.minor += 1;
                writer.writes_at = ms + interval;
                self.endpoints.write(&key(number), Some(writer.said));
            }
            if writer.expires_at.is_some_and(|at| at <= ms) {
                writer.expires_at = None;
                self.endpoints.write(&key(number), None);
            }
        }
    }

    fn read(&mut self) {
        let now = self.now();
        for number in 0..self.nodes.len() {
            // The first node reads for all; the others poll it, and each other.
            if number == 0 || self.roll(40) == 0 {
                let node = &mut self.nodes[number];
                node.read(now, ReplicaKind::Config, (self.era, &self.config));
                node.read(now, ReplicaKind::Endpoints, (self.era, &self.endpoints));
            }
            let peer = self.roll(self.nodes.len() as u64) as usize;
            let peer = if self.roll(3) == 0 { 0 } else { peer };
            let peer = self.nodes[peer].clone();
            let node = &mut self.nodes[number];
            node.poll(now, &peer);
            if !node.returns.is_unsettled(now) && node.differs(&peer) {
                node.list(now, ReplicaKind::Endpoints, (self.era, &self.endpoints));
            }
            node.check();
            self.check_alive(number);
        }
    }

    /// Checks that a node keeps the endpoints that it knew and that live.
    fn check_alive(&self, number: usize) {
        let node = &self.nodes[number];
        for (endpoint, writer) in self.writers.iter().enumerate() {
            let key = key(endpoint);
            let known = node.known.get(&key).map(|s| s.rank.major);
            let is_known = known == Some(writer.said.rank.major);
            if writer.alive && is_known {
                assert!(
                    said(&node.endpoints, &key).is_some(),
                    "node {number} lost {key}"
                );
            }
        }
    }

    fn run(&mut self) {
        while self.ms < LENGTH + QUIET {
            if self.ms < LENGTH {
                self.disturb();
            }
            self.write();
            self.read();
            self.ms += STEP;
        }
        for (number, node) in self.nodes.iter().enumerate() {
            assert_eq!(node.version, self.version, "node {number}");
            for endpoint in 0..ENDPOINTS {
                let found = said(&node.endpoints, &key(endpoint));
                let writer = self.writers[endpoint];
                let expected = writer.alive.then_some(writer.said);
                let run = |s: Said| (s.rank.major, s.leaves);
                assert_eq!(
                    found.map(run),
                    expected.map(run),
                    "node {number}, {endpoint}"
                );
            }
        }
    }
}

#[test]
fn nothing_goes_back_and_all_nodes_meet_after_returns() {
    // Guards against offsets that order records of two eras, at a node and between
    // nodes: restored once and again, with nodes that start at any moment.
    run_seeds(CASES, &|seed| StoreWorld::new(seed).run());
}

#[test]
fn a_position_of_a_later_era_is_later() {
    assert!(Position::new(1, 0) > Position::new(0, 900));
    assert_eq!(Position::new(2, 7).to_string(), "2/7");
    assert_eq!("3".parse(), Ok(Era(3)));
    assert_matches!("-1".parse::<Era>(), Err(_));
}

#[test]
fn a_list_is_read_again_once_the_registry_has_settled() {
    let at = Time::from_millis;
    let mut returns = Returns::default();
    assert_eq!(returns.on_era(at(0), Era(4)), None);
    assert_eq!(returns.on_list(at(1), ReplicaKind::Config), ListMode::Whole);
    let previous = Era(4);
    let change = returns.on_era(at(10), Era(6));
    assert_eq!(change, Some(EraChange::Returned { previous }));
    let mode = returns.on_list(at(11), ReplicaKind::Config);
    assert_eq!(mode, ListMode::Unsettled);
    let settled = at(10) + REWRITE_PERIOD;
    assert_eq!(returns.wake(), settled);
    assert!(!returns.needs_list(at(12), ReplicaKind::Config));
    assert!(returns.needs_list(settled, ReplicaKind::Config));
    assert!(!returns.needs_list(settled, ReplicaKind::Endpoints));
    let mode = returns.on_list(settled, ReplicaKind::Config);
    assert_eq!(mode, ListMode::Settled);
    let mode = returns.on_list(settled, ReplicaKind::Config);
    assert_eq!(mode, ListMode::Whole);
    assert!(!returns.needs_list(settled, ReplicaKind::Config));
}

#[test]
fn an_era_that_goes_down_is_reported_once() {
    let now = Time::from_millis(5);
    let mut returns = Returns::default();
    returns.on_era(now, Era(4));
    let known = Era(4);
    assert_eq!(
        returns.on_era(now, Era(2)),
        Some(EraChange::Lower { known })
    );
    assert_eq!(returns.on_era(now, Era(2)), None);
    assert_eq!(returns.era(), Some(Era(4)));
}

#[test]
fn nodes_do_not_all_write_again_at_once() {
    // Guards against 340 registrations in one moment, at a registry that takes 400 writes
    // a second.
    for nodes in [3_usize, 23, 103, 340] {
        let delay = |n: usize| rewrite_delay(nodes, n as f64 / nodes as f64).as_millis();
        let mut of_second: BTreeMap<u128, usize> = BTreeMap::new();
        for node in 0..nodes {
            *of_second.entry(delay(node) / 1_000).or_default() += 1;
        }
        assert!(
            of_second.values().all(|&n| n <= 101),
            "{nodes}: {of_second:?}"
        );
    }
}

//! Tests of snapshot parts that arrive reordered, repeated, mixed, damaged or not at all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config as Runs;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_lib::config::Config;
use snipeyoke_lib::config::Fold;
use snipeyoke_lib::config::INCOMPLETE_BYTES_MAX;
use snipeyoke_lib::config::INCOMPLETE_SNAPSHOTS_MAX;
use snipeyoke_lib::config::PART_BYTES_MAX;
use snipeyoke_lib::config::Pool;
use snipeyoke_lib::config::Snapshot;
use snipeyoke_lib::config::SnapshotId;
use snipeyoke_lib::config::SnapshotPart;
use snipeyoke_lib::ids::NodeId;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::ids::Revision;
use snipeyoke_lib::record::Author;
use snipeyoke_lib::record::Body;
use snipeyoke_lib::record::Record;
use snipeyoke_lib::record::RecordId;

/// The size of a part, so that some dozens of pools need several parts.
const PART_BYTES: usize = 300;

/// The number of offsets, at each of which both publishers have a different state.
const OFFSETS: u64 = 5;

/// The offset of the first record that is read from the topic.
const LOG_START: u64 = 20;

#[derive(Debug, Clone, Copy)]
enum Source {
    Offer,
    Log,
}

/// The arrival of a part of a state.
#[derive(Debug, Clone, Copy)]
struct Step {
    state: usize,
    part: usize,
    source: Source,
    damaged: bool,
}

fn step() -> impl Strategy<Value = Step> {
    let source = prop_oneof![Just(Source::Offer), Just(Source::Log)];
    let damaged = prop::bool::weighted(0.05);
    (0..2 * OFFSETS as usize, 0..64_usize, source, damaged).prop_map(
        |(state, part, source, damaged)| Step {
            state,
            part,
            source,
            damaged,
        },
    )
}

fn state(offset: u64, price: f64) -> Snapshot {
    let pool = |n: u64| (format!("pool-{n}"), Pool { price, path: None });
    let pools = (0..5 + offset).map(pool);
    let config = Config {
        pools: pools
            .map(|(name, pool)| (name.parse().expect("a name"), pool))
            .collect(),
        ..Config::default()
    };
    Snapshot {
        next: Offset(offset),
        revision: Revision(offset),
        config: Arc::new(config),
        recent: Vec::new(),
    }
}

/// The states of both publishers.
fn states() -> Vec<Snapshot> {
    let both = |n| [state(n, 1.0), state(n, 2.0)];
    (1..=OFFSETS).flat_map(both).collect()
}

fn record(part: SnapshotPart) -> Record {
    let node: NodeId = "router-1".parse().expect("a name");
    Record {
        id: RecordId::default(),
        author: Author::Node(node),
        body: Body::SnapshotPart(part),
    }
}

/// A reader, and the undamaged parts that it has received.
struct Harness {
    states: Vec<Snapshot>,
    parts: Vec<Vec<SnapshotPart>>,
    fold: Fold,
    arrived: BTreeMap<SnapshotId, BTreeSet<u32>>,
    log: u64,
}

impl Harness {
    fn new() -> Self {
        let states = states();
        Self {
            parts: states.iter().map(|s| s.parts(PART_BYTES)).collect(),
            states,
            fold: Fold::new(),
            arrived: BTreeMap::new(),
            log: LOG_START,
        }
    }

    fn run(&mut self, step: Step) -> Result<(), String> {
        let parts = &self.parts[step.state];
        let mut part = parts[step.part % parts.len()].clone();
        let before = self.fold.next();
        if step.damaged {
            // The joined text is still JSON, so that only the digest reveals the damage.
            part.text = part.text.replace('1', "7") + " ";
        } else {
            self.arrived.entry(part.set).or_default().insert(part.index);
        }
        match step.source {
            Source::Offer => {
                self.fold.adopt_part(&part);
            }
            Source::Log => {
                self.log += 1;
                self.fold.apply(Offset(self.log), &record(part));
            }
        }
        self.check(before)
    }

    fn check(&self, before: Offset) -> Result<(), String> {
        let next = self.fold.next();
        if next < before {
            return Err(format!("the reader moved back from {before} to {next}"));
        }
        let bytes_max = INCOMPLETE_SNAPSHOTS_MAX * 64 * PART_BYTES;
        if self.fold.incomplete_bytes() > bytes_max {
            return Err(format!("{} bytes are held", self.fold.incomplete_bytes()));
        }
        if next == before {
            return Ok(());
        }
        let config = self.fold.config();
        let known = |s: &&Snapshot| s.next == next && s.config == config;
        let Some(state) = self.states.iter().find(known) else {
            return Err(format!("no publisher had the state at {next}"));
        };
        let set = state.parts(PART_BYTES)[0].set;
        let arrived = self.arrived.get(&set).map_or(0, BTreeSet::len);
        if arrived < set.count as usize {
            return Err(format!(
                "a state with {arrived} of {} parts was adopted",
                set.count
            ));
        }
        Ok(())
    }

    /// Delivers all parts of the highest state twice, in the given order.
    ///
    /// Twice, since a damaged part may occupy a slot until its set is dropped.
    fn settle(&mut self, order: &[usize]) -> Result<(), String> {
        let state = self.states.len() - 1;
        let count = self.parts[state].len();
        for _time in 0..2 {
            let whole = (0..count).map(|n| order[n % order.len()] % count);
            for part in whole.chain(0..count) {
                self.run(Step {
                    state,
                    part,
                    source: Source::Offer,
                    damaged: false,
                })?;
            }
        }
        if self.fold.next() != Offset(OFFSETS) {
            return Err("the highest state was not adopted".to_owned());
        }
        if self.fold.incomplete_bytes() > 0 {
            return Err("obsolete parts are held".to_owned());
        }
        Ok(())
    }
}

#[test]
fn a_state_is_adopted_completely_or_not_at_all() {
    // A process could run a configuration that no operator made, if it joined a
    // wrong set of parts: those of several states and publishers arrive mixed,
    // repeated, damaged or not at all, from offers and from the log.
    let config = Runs {
        cases: 2_000,
        failure_persistence: None,
        ..Runs::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = (vec(step(), 0..150), vec(0..64_usize, 1..20));
    let verdict = TestRunner::new_with_rng(config, rng).run(&steps, |(steps, order)| {
        let mut harness = Harness::new();
        for step in steps {
            prop_assert_eq!(harness.run(step), Ok(()));
        }
        prop_assert_eq!(harness.settle(&order), Ok(()));
        Ok(())
    });
    verdict.expect("states are adopted completely");
}

#[test]
fn incomplete_snapshots_are_bounded() {
    // A reader could run out of memory when many publishers stop half-way and
    // each leaves large parts of a snapshot that is never completed.
    let mut fold = Fold::new();
    for n in 1..1_000 {
        let set = SnapshotId {
            next: Offset(n),
            count: 100,
            digest: n,
        };
        let text = "x".repeat(PART_BYTES_MAX);
        for index in 0..30 {
            let text = text.clone();
            fold.adopt_part(&SnapshotPart { set, index, text });
        }
        assert!(
            fold.incomplete_bytes() <= INCOMPLETE_BYTES_MAX,
            "{} bytes are held",
            fold.incomplete_bytes()
        );
    }
    let state = Snapshot {
        next: Offset(2_000),
        ..state(40, 1.0)
    };
    let parts = state.parts(PART_BYTES);
    let (last, others) = parts.split_last().expect("there are parts");
    for part in others {
        assert!(!fold.adopt_part(part));
    }
    assert!(fold.adopt_part(last), "a later state is adopted");
    assert_eq!(fold.incomplete_bytes(), 0);
}

#[test]
fn every_record_of_a_snapshot_is_bounded() {
    // The log refuses a record that is too large, so readers get no snapshots:
    // text that JSON escapes twice makes the record larger than the text.
    let pools = (0..20_000).map(|n| {
        let path = Some(format!("/\"\\\u{1}æ{n}"));
        let pool = Pool { price: 1.0, path };
        (format!("pool-{n}").parse().expect("a name"), pool)
    });
    let snapshot = Snapshot {
        config: Arc::new(Config {
            pools: pools.collect(),
            ..Config::default()
        }),
        ..state(9, 1.0)
    };
    let records = snapshot.records(&Author::Peer, RecordId::default);
    assert!(records.len() > 1);
    let mut fold = Fold::new();
    for record in records.iter().rev() {
        let bytes = record.encode();
        assert!(bytes.len() <= PART_BYTES_MAX, "{} bytes", bytes.len());
        fold.apply_bytes(Offset(LOG_START), &bytes);
    }
    assert_eq!(fold.config(), snapshot.config);
}

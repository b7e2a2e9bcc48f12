//! Tests of the configuration with concurrent changes, lost responses, outages and retention.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config as Runs;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_lib::config::Applied;
use snipeyoke_lib::config::Change;
use snipeyoke_lib::config::Fold;
use snipeyoke_lib::config::FoldGuards;
use snipeyoke_lib::config::Pool;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::ids::Revision;
use snipeyoke_lib::log::AppendEnd;
use snipeyoke_lib::log::FollowOutcome;
use snipeyoke_lib::log::Follower;
use snipeyoke_lib::log::Publisher;
use snipeyoke_lib::log::ReadEnd;
use snipeyoke_lib::log::Topic;
use snipeyoke_lib::record::Author;
use snipeyoke_lib::record::Body;
use snipeyoke_lib::record::Record;
use snipeyoke_lib::record::RecordId;
use snipeyoke_lib::time::Time;
use uuid::Uuid;

const READERS: usize = 3;

/// The size of a snapshot's part, so that a few records need several parts.
const PART_BYTES: usize = 120;

/// The time per step, longer than every pause of a publisher or follower.
const STEP_DURATION: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
enum Op {
    /// An operator submits a change based on a reader's state.
    Submit { reader: usize, price: u8 },
    /// An append is attempted: it takes effect or not, and is answered or not.
    Publish {
        reader: usize,
        effect: bool,
        answer: bool,
    },
    /// A reader reads at most `max_records` records; with 0 the read fails.
    Read { reader: usize, max_records: usize },
    /// A reader offers its snapshot to another.
    Offer { from: usize, to: usize },
    /// A reader begins to publish a snapshot, or publishes its next part.
    ///
    /// After the last part, retention removes the records that the snapshot covers.
    Snapshot { reader: usize },
    /// A reader restarts without state.
    Restart { reader: usize },
}

fn op() -> impl Strategy<Value = Op> {
    let reader = 0..READERS;
    prop_oneof![
        4 => (reader.clone(), 1..4_u8).prop_map(|(reader, price)| Op::Submit { reader, price }),
        6 => (reader.clone(), any::<bool>(), any::<bool>())
            .prop_map(|(reader, effect, answer)| Op::Publish { reader, effect, answer }),
        6 => (reader.clone(), 0..6_usize).prop_map(|(reader, max_records)| Op::Read { reader, max_records }),
        2 => (reader.clone(), reader.clone()).prop_map(|(from, to)| Op::Offer { from, to }),
        4 => reader.clone().prop_map(|reader| Op::Snapshot { reader }),
        1 => reader.prop_map(|reader| Op::Restart { reader }),
    ]
}

struct Reader {
    fold: Fold,
    follower: Follower,
    publisher: Publisher,
    /// The parts of a snapshot that it has not published yet.
    parts: VecDeque<Body>,
    /// The offset that this snapshot covers.
    covers: usize,
    /// The highest position reached since the last restart.
    seen: (Offset, Revision),
}

struct Harness {
    guards: FoldGuards,
    now: Time,
    first: usize,
    log: Vec<Vec<u8>>,
    reference: Fold,
    ids: u128,
    verdicts: BTreeMap<RecordId, Revision>,
    readers: Vec<Reader>,
}

fn reader(guards: FoldGuards, index: usize) -> Reader {
    Reader {
        fold: Fold::with_guards(guards),
        follower: Follower::new(Topic::config(), Offset(0), index as u64),
        publisher: Publisher::new(Topic::config(), index as u64),
        parts: VecDeque::new(),
        covers: 0,
        seen: (Offset(0), Revision(0)),
    }
}

impl Harness {
    fn new(guards: FoldGuards) -> Self {
        Self {
            guards,
            now: Time::ZERO,
            first: 0,
            log: Vec::new(),
            reference: Fold::with_guards(guards),
            ids: 0,
            verdicts: BTreeMap::new(),
            readers: (0..READERS).map(|i| reader(guards, i)).collect(),
        }
    }

    fn record(&mut self, reader: usize, body: Body) -> Record {
        self.ids += 1;
        Record {
            id: RecordId(Uuid::from_u128(self.ids)),
            author: Author::Operator(format!("operator{reader}").parse().expect("a name")),
            body,
        }
    }

    /// Appends a record and checks its result in the log's order.
    fn append(&mut self, bytes: Vec<u8>) -> Result<(), String> {
        let record = Record::try_from(bytes.as_slice()).expect("own records are well-formed");
        let applied = self.reference.apply(Offset(self.log.len() as u64), &record);
        self.log.push(bytes);
        let Body::ConfigChange { base, .. } = record.body else {
            return Ok(());
        };
        match applied {
            Applied::Accepted { revision } if revision != base.next() => {
                return Err(format!("a change on {base} was accepted as {revision}"));
            }
            Applied::Accepted { revision } => {
                if let Some(first) = self.verdicts.insert(record.id, revision) {
                    return Err(format!("accepted twice: {first} and {revision}"));
                }
            }
            Applied::Lost { .. } | Applied::Invalid(_)
                if self.verdicts.contains_key(&record.id) =>
            {
                return Err("the author of an accepted change is notified that it lost".to_owned());
            }
            _ => {}
        }
        Ok(())
    }

    fn run(&mut self, op: Op) -> Result<(), String> {
        self.now = self.now + STEP_DURATION;
        match op {
            Op::Submit { reader, price } => self.submit(reader, price),
            Op::Publish {
                reader,
                effect,
                answer,
            } => self.publish(reader, effect, answer)?,
            Op::Read {
                reader,
                max_records,
            } => self.read(reader, max_records),
            Op::Offer { from, to } => {
                let snapshot = self.readers[from].fold.snapshot();
                let reader = &mut self.readers[to];
                if reader.fold.adopt(&snapshot) {
                    reader.follower.seek(reader.fold.next());
                }
            }
            Op::Snapshot { reader } => self.snapshot(reader)?,
            Op::Restart { reader: index } => self.readers[index] = reader(self.guards, index),
        }
        self.check()
    }

    /// Publishes a whole snapshot as reader 0, or the next part as another reader.
    fn snapshot(&mut self, reader: usize) -> Result<(), String> {
        if self.readers[reader].parts.is_empty() {
            let snapshot = self.readers[reader].fold.snapshot();
            let parts = snapshot.parts(PART_BYTES).into_iter();
            self.readers[reader].covers = usize::try_from(snapshot.next.0).expect("small");
            self.readers[reader].parts = match reader {
                0 => [Body::Snapshot(snapshot)].into(),
                _ => parts.map(Body::SnapshotPart).collect(),
            };
        }
        let body = self.readers[reader].parts.pop_front();
        let record = self.record(reader, body.expect("a snapshot has a part"));
        self.append(record.encode())?;
        if self.readers[reader].parts.is_empty() {
            self.first = self.first.max(self.readers[reader].covers);
        }
        Ok(())
    }

    fn submit(&mut self, reader: usize, price: u8) {
        let base = self.readers[reader].fold.revision();
        let change = Change::SetPool {
            name: "desk".parse().expect("a name"),
            pool: Pool {
                price: f64::from(price),
                path: None,
            },
        };
        let record = self.record(reader, Body::ConfigChange { base, change });
        self.readers[reader].publisher.submit(&record);
    }

    fn publish(&mut self, reader: usize, effect: bool, answer: bool) -> Result<(), String> {
        let now = self.now;
        let Some(append) = self.readers[reader].publisher.poll(now) else {
            return Ok(());
        };
        let offset = Offset(self.log.len() as u64);
        if effect {
            for bytes in append.records {
                self.append(bytes)?;
            }
        }
        let end = match (answer, effect) {
            (true, true) => AppendEnd::Done { offset },
            (true, false) => AppendEnd::NotDone { retry_after: None },
            (false, _) => AppendEnd::Unanswered,
        };
        self.readers[reader].publisher.on_append_end(now, &end);
        Ok(())
    }

    fn read(&mut self, reader: usize, max_records: usize) {
        let (now, first, log) = (self.now, self.first, &self.log);
        let reader = &mut self.readers[reader];
        let Some(read) = reader.follower.poll(now) else {
            return;
        };
        let from = usize::try_from(read.from.0).expect("small");
        let end = if max_records == 0 {
            ReadEnd::Failed
        } else if from < first {
            ReadEnd::Gone {
                first: Offset(first as u64),
            }
        } else {
            ReadEnd::Records {
                first: Offset(first as u64),
                end: Offset(log.len() as u64),
                records: log.iter().skip(from).take(max_records).cloned().collect(),
            }
        };
        let FollowOutcome::Records { records, .. } = reader.follower.on_read_end(now, end) else {
            return;
        };
        for (offset, bytes) in records {
            if let Applied::Restored { next } = reader.fold.apply_bytes(offset, &bytes) {
                reader.follower.seek(next);
                break;
            }
            if let Ok(record) = Record::try_from(bytes.as_slice()) {
                reader.publisher.on_read_back(record.id);
            }
        }
    }

    fn check(&mut self) -> Result<(), String> {
        for reader in &mut self.readers {
            let at = (reader.fold.next(), reader.fold.revision());
            if at.0 < reader.seen.0 || at.1 < reader.seen.1 {
                return Err(format!(
                    "a reader moved back from {:?} to {at:?}",
                    reader.seen
                ));
            }
            reader.seen = at;
            if at.0 == self.reference.next() && reader.fold.config() != self.reference.config() {
                return Err(format!("two readers at {} differ", at.0));
            }
        }
        Ok(())
    }

    /// Lets every reader read to the end, where all must agree.
    fn settle(&mut self) -> Result<(), String> {
        for index in 0..READERS {
            for _ in 0..8 {
                self.now = self.now + STEP_DURATION;
                self.read(index, 1_000);
            }
        }
        let behind = |r: &Reader| r.fold.next() != self.reference.next();
        if self.readers.iter().any(behind) {
            return Err("a reader did not catch up with the log".to_owned());
        }
        self.check()
    }
}

fn run(ops: &[Op], guards: FoldGuards) -> Result<(), String> {
    let mut harness = Harness::new(guards);
    for op in ops {
        harness.run(*op)?;
    }
    harness.settle()
}

fn runner(cases: u32) -> TestRunner {
    let config = Runs {
        cases,
        failure_persistence: None,
        ..Runs::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn readers_agree_and_never_go_back() {
    // Accepted changes are reverted, or routers end with different states, when
    // operators at 3 routers make concurrent changes, appends or their responses
    // are lost, and routers restart and read from snapshots and from each other.
    let verdict = runner(3_000).run(&vec(op(), 1..80), |ops| {
        prop_assert_eq!(run(&ops, FoldGuards::ON), Ok(()));
        Ok(())
    });
    verdict.expect("readers agree");
}

fn assert_caught(name: &str, guards: FoldGuards) {
    let verdict = runner(3_000).run(&vec(op(), 1..80), |ops| {
        prop_assert_eq!(run(&ops, guards), Ok(()));
        Ok(())
    });
    let fault = verdict.expect_err("the mutation violates an invariant");
    println!("without {name}: {fault}");
}

#[test]
fn needs_each_safeguard_of_the_fold() {
    // Without the base check, two concurrent changes are both accepted; without
    // ids, an author is notified that its accepted change lost; without the order
    // of offsets, a partitioned peer reverts the state of all others.
    assert_caught(
        "base",
        FoldGuards {
            base: false,
            ..FoldGuards::ON
        },
    );
    assert_caught(
        "repeat",
        FoldGuards {
            repeat: false,
            ..FoldGuards::ON
        },
    );
    assert_caught(
        "order",
        FoldGuards {
            order: false,
            ..FoldGuards::ON
        },
    );
}

//! Records in slices: from several holders, with lost responses and newer
//! records.

use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config as Runs;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::replica::Record;
use snipeyoke_lib::serving::replica::Replica;
use snipeyoke_lib::serving::slices::Assembly;
use snipeyoke_lib::serving::slices::RECORD_MAX_BYTES;
use snipeyoke_lib::serving::slices::SLICE_MAX_BYTES;
use snipeyoke_lib::serving::slices::Slice;

/// The number of records of the topic.
const RECORDS: u64 = 12;

/// Returns the topic: two keys, values of none to three slices, some dropped.
fn topic() -> Vec<Record> {
    let record = |offset: u64| {
        let bytes = (offset as usize * 7_919 * 5) % (3 * SLICE_MAX_BYTES);
        let byte = offset as u8;
        let value: Option<Arc<[u8]>> = Some(vec![byte; bytes].into());
        Record {
            key: format!("k{}", offset % 3 / 2),
            value: value.filter(|_| offset % 5 != 4),
            position: Position::new(0, offset),
        }
    };
    (0..RECORDS).map(record).collect()
}

/// Returns the replicas of readers that have read the topic up to each offset.
fn copies(topic: &[Record]) -> Vec<Replica> {
    let copy = |next: u64| {
        let mut replica = Replica::default();
        replica.extend(topic[..next as usize].to_vec(), Position::new(0, next));
        replica
    };
    (0..=RECORDS).map(copy).collect()
}

/// A slice requested from a holder, and whether its response is lost.
#[derive(Debug, Clone, Copy)]
struct Step {
    holder: u64,
    lost: bool,
}

fn step() -> impl Strategy<Value = Step> {
    let lost = prop::bool::weighted(0.2);
    (0..=RECORDS, lost).prop_map(|(holder, lost)| Step { holder, lost })
}

/// Checks that the reader's replica equals that of a reader of the topic
/// itself.
fn check(topic: &[Record], copies: &[Replica], steps: &[Step]) -> Result<(), TestCaseError> {
    let mut reader = Replica::default();
    let mut assembly = Assembly::default();
    for &Step { holder, lost } in steps {
        let slice = copies[holder as usize].slice(assembly.next_request(reader.next(), None));
        let Some(slice) = slice.filter(|_| !lost) else {
            continue;
        };
        prop_assert!(slice.data.len() <= SLICE_MAX_BYTES);
        if let Some(record) = assembly.add(slice) {
            let next = record.position.next();
            reader.extend(vec![record], next);
        }
        for key in ["k0", "k1"] {
            let held = reader.get(key);
            let same = held.map(|h| &topic[h.position.offset.0 as usize]);
            prop_assert_eq!(held, same);
            let newest = copies[RECORDS as usize].get(key);
            let covered = newest.filter(|r| r.position < reader.next());
            prop_assert!(covered.is_none_or(|r| Some(r) == held));
        }
    }
    Ok(())
}

#[test]
fn a_copy_from_several_holders_matches_the_topic() {
    // Holders are complete up to different offsets, responses are lost, and a
    // record is replaced during its transfer. Slices of two records must never
    // mix, and no record may be skipped.
    let runs = Runs {
        cases: 2_000,
        failure_persistence: None,
        ..Runs::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(runs, rng);
    let topic = topic();
    let copies = copies(&topic);
    let result = runner.run(&vec(step(), 1..60), |steps| check(&topic, &copies, &steps));
    result.expect("every schedule holds");
}

#[test]
fn another_holder_continues_where_a_lost_one_stopped() {
    // The first holder fails when half of a large record was received. The rest
    // comes from the second one, and no byte is sent twice.
    let mut holder = Replica::default();
    let value: Arc<[u8]> = (0..4 * SLICE_MAX_BYTES).map(|n| (n % 251) as u8).collect();
    let record = Record {
        key: "config".to_owned(),
        value: Some(value),
        position: Position::new(0, 4),
    };
    holder.extend(vec![record.clone()], Position::new(0, 5));
    let other = holder.clone();
    let mut assembly = Assembly::default();
    let mut received = 0;
    let mut assembled = None;
    for holder in [&holder, &holder, &other, &other] {
        let slice = holder
            .slice(assembly.next_request(Position::new(0, 3), None))
            .expect("it is newer");
        received += slice.data.len();
        assembled = assembly.add(slice);
    }
    assert_eq!(assembled, Some(record));
    assert_eq!(received, 4 * SLICE_MAX_BYTES);
}

#[test]
fn a_record_above_the_maximum_size_is_not_started() {
    // A faulty sender announces a size that would exhaust the reader's memory.
    let mut assembly = Assembly::default();
    let before = assembly.next_request(Position::new(0, 0), None);
    let slice = Slice {
        key: "config".to_owned(),
        position: Position::new(0, 1),
        is_ahead: false,
        at: 0,
        total: Some(RECORD_MAX_BYTES + 1),
        data: vec![0; SLICE_MAX_BYTES],
    };
    assert_eq!(assembly.add(slice), None);
    assert_eq!(assembly.next_request(Position::new(0, 0), None), before);
}

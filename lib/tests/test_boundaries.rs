//! Fuzzes the parsers of external input: queries, answers and log records.
//!
//! Inputs are lines of a committed corpus that are truncated, joined and mutated
//! with a fixed seed; queries are also generated as random text.

use std::fs;
use std::path::Path;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::sample::select;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_lib::config::Fold;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::query::AnswerLine;
use snipeyoke_lib::query::parse;
use snipeyoke_lib::record::Record;

/// The number of generated inputs per parser, in addition to the corpus.
const CASES: u32 = 4_000;

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
}

fn corpus(name: &str) -> Vec<Vec<u8>> {
    let path = Path::new("tests/corpus").join(name);
    let text = fs::read_to_string(path).expect("the corpus is committed");
    text.lines().map(|l| l.as_bytes().to_vec()).collect()
}

/// Returns corpus lines with some bytes replaced, optionally truncated and joined with another.
fn mutated(seeds: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let edits = vec((any::<usize>(), any::<u8>()), 0..6);
    let first = select(seeds.clone());
    (first, select(seeds), edits, any::<usize>(), any::<bool>()).prop_map(
        |(mut bytes, other, edits, cut, join)| {
            for (at, byte) in edits {
                let len = bytes.len().max(1);
                if let Some(found) = bytes.get_mut(at % len) {
                    *found = byte;
                }
            }
            if join {
                bytes.truncate(cut % (bytes.len() + 1));
                bytes.extend_from_slice(&other);
            }
            bytes
        },
    )
}

fn check_language(text: &str) {
    match parse(text) {
        Ok(statements) => {
            for statement in statements {
                let reparsed = parse(&statement.to_string());
                assert_eq!(reparsed, Ok(vec![statement]));
            }
        }
        Err(error) => {
            // The reported location must lie in the text, as operators rely on it.
            let location = &error.location;
            assert!(location.line >= 1 && location.column >= 1, "{error}");
            assert!(
                location.column <= location.text.chars().count() + 1,
                "{error}"
            );
        }
    }
}

#[test]
fn parse_errors_point_into_the_text() {
    // A query from an operator or any holder of a key must not crash a router.
    // Valid queries survive a round trip through their printed form; errors of
    // invalid ones point into the text.
    let seeds = corpus("language");
    for seed in &seeds {
        check_language(std::str::from_utf8(seed).expect("the corpus is text"));
    }
    let inputs = mutated(seeds);
    let outcome = runner().run(&inputs, |bytes| {
        check_language(&String::from_utf8_lossy(&bytes));
        Ok(())
    });
    outcome.expect("every text is parsed or rejected with a location");
    let outcome = runner().run(&"\\PC{0,80}", |text| {
        check_language(&text);
        Ok(())
    });
    outcome.expect("every text is parsed or rejected with a location");
}

#[test]
fn deep_nesting_is_refused() {
    // The parser is recursive: without a limit on open brackets and `not`, deep
    // nesting overflows the stack, which ends the router and all its requests.
    for word in ["(", "not ", "NOT\n", "not(", "not#\n"] {
        let text = format!("show requests where {}late", word.repeat(50_000));
        parse(&text).expect_err("the nesting is too deep");
    }
}

#[test]
fn malformed_records_leave_the_fold_consistent() {
    // The log's topic may hold records of another release or an unknown writer.
    // Each is folded at the next offset; the configuration may change only if the
    // record is accepted, and must stay valid.
    let seeds = corpus("records");
    let inputs = vec(mutated(seeds.clone()), 1..8);
    let outcome = runner().run(&inputs, |records| {
        let mut fold = Fold::new();
        for (offset, bytes) in records.iter().enumerate() {
            let before = fold.revision();
            let applied = fold.apply_bytes(Offset(offset as u64), bytes);
            let moved = fold.revision() != before;
            assert_eq!(moved, applied.is_change(), "{applied:?}");
            assert!(fold.config().check().is_ok(), "{applied:?}");
        }
        Ok(())
    });
    outcome.expect("every record is folded");
    for seed in seeds {
        let record = Record::try_from(seed.as_slice()).expect("the corpus holds records");
        assert_eq!(Record::try_from(record.encode().as_slice()), Ok(record));
    }
}

#[test]
fn malformed_answers_are_read_or_refused() {
    // A router of another release, or another server at its address, may send any
    // answer. Lines that are read survive a round trip through JSON.
    let inputs = mutated(corpus("answers"));
    let outcome = runner().run(&inputs, |bytes| {
        let text = String::from_utf8_lossy(&bytes);
        if let Ok(lines) = AnswerLine::from_json(&text) {
            let reparsed = AnswerLine::from_json(&AnswerLine::to_json(&lines))
                .expect("serialized answers are readable");
            assert_eq!(reparsed, lines);
        }
        Ok(())
    });
    outcome.expect("every answer is read or rejected");
}

//! Bytes from outside: the language, answers and the log's records.
//!
//! Each starts from a committed corpus, whose inputs are cut, joined and
//! changed at random with a fixed seed, and from wholly random text.

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

/// The inputs tried at each boundary, beside the corpus itself.
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

/// A corpus line with some bytes replaced, then cut and joined with another.
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
            // The pointer must lie in the text: an operator looks there.
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
    // A text of an operator, or of one who has a key, must not end a router.
    // Each is parsed; what parses prints back as a text that parses to the same,
    // and what does not names a place within it.
    let seeds = corpus("language");
    for seed in &seeds {
        check_language(std::str::from_utf8(seed).expect("the corpus is text"));
    }
    let inputs = mutated(seeds);
    let outcome = runner().run(&inputs, |bytes| {
        check_language(&String::from_utf8_lossy(&bytes));
        Ok(())
    });
    outcome.expect("every text is parsed or refused with a place");
    let outcome = runner().run(&"\\PC{0,80}", |text| {
        check_language(&text);
        Ok(())
    });
    outcome.expect("every text is parsed or refused with a place");
}

#[test]
fn deep_nesting_is_refused() {
    // The parser descends by recursion: the router's thread would overflow its
    // stack and take every request with it. A bound on open brackets and on
    // 'not' comes first.
    for word in ["(", "not ", "NOT\n", "not(", "not#\n"] {
        let text = format!("show requests where {}late", word.repeat(50_000));
        parse(&text).expect_err("the nesting is too deep");
    }
}

#[test]
fn malformed_records_leave_the_fold_consistent() {
    // The log's topic may hold bytes of another release or of a stranger.
    // Each is folded at the next offset: the position moves on by one, and the
    // configuration changes only if the record was accepted.
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
    // A router of another release, or a stranger at its address, may answer
    // anything. What is read prints back as the same lines.
    let inputs = mutated(corpus("answers"));
    let outcome = runner().run(&inputs, |bytes| {
        let text = String::from_utf8_lossy(&bytes);
        if let Ok(lines) = AnswerLine::from_json(&text) {
            let reparsed = AnswerLine::from_json(&AnswerLine::to_json(&lines))
                .expect("what was written is read");
            assert_eq!(reparsed, lines);
        }
        Ok(())
    });
    outcome.expect("every answer is read or refused");
}

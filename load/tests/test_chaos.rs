//! Tests that the judge of chaos runs sees each broken promise.

use std::collections::BTreeMap;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;

use bytes::Bytes;
use snipeyoke_load::chaos::Operation;
use snipeyoke_load::chaos::Seen;
use snipeyoke_load::chaos::Verdict;

fn judge(tries: &[Seen], effects: u64) -> Verdict {
    let operation = Operation {
        key: "k1".to_owned(),
        tries: tries.to_vec(),
    };
    let effects = BTreeMap::from([("k1".to_owned(), effects)]);
    Verdict::new(&[operation], &effects, BTreeMap::new())
}

fn answer(text: &'static str) -> Seen {
    Seen::Completed(Bytes::from_static(text.as_bytes()))
}

#[test]
fn keeps_what_was_kept() {
    let cases: [(&[Seen], u64); 4] = [
        (&[answer("k1 done"), answer("k1 done")], 1),
        (&[Seen::NotRun, Seen::NotRun], 0),
        (&[Seen::Nothing, Seen::Unknown], 1),
        (&[Seen::Nothing, Seen::Unknown], 0),
    ];
    for (tries, effects) in cases {
        assert!(judge(tries, effects).is_kept(), "{tries:?} {effects}");
    }
}

#[test]
fn sees_each_broken_promise() {
    // A client is invoiced twice, is told "not run" of an approval that ran,
    // hears nothing of one that ran, or gets another client's answer. A judge
    // that misses one of these would call any run good.
    assert_eq!(judge(&[answer("k1 done")], 2).doubled, 1);
    assert_eq!(judge(&[Seen::NotRun, Seen::NotRun], 1).denied, 1);
    assert_eq!(judge(&[Seen::Nothing, Seen::Nothing], 1).lost, 1);
    assert_eq!(judge(&[answer("k2 done")], 1).wrong, 1);
    assert_eq!(judge(&[answer("k1 a"), answer("k1 b")], 1).wrong, 1);
    assert_eq!(judge(&[answer("k1 done")], 0).wrong, 1);
}

/// Guards against a process that ends by itself and is started again unseen.
#[test]
fn sees_a_process_that_ended_by_itself() {
    let mut verdict = judge(&[answer("k1 done")], 1);
    verdict.ended.push(ExitStatus::from_raw(11));
    assert!(!verdict.is_kept());
    assert!(verdict.to_string().contains("signal: 11"), "{verdict}");
}

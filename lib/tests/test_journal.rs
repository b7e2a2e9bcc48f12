//! Property tests of the journal: its memory bound and its recorded outcomes.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_lib::ids::AttemptId;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_lib::journal::Accepted;
use snipeyoke_lib::journal::Choice;
use snipeyoke_lib::journal::Decision;
use snipeyoke_lib::journal::Journal;
use snipeyoke_lib::outcome::AttemptEnd;
use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Bytes;
use uuid::Uuid;

/// The number of generated sequences.
const CASES: u32 = 256;

/// The journal's limit: room for a few dozen requests.
const LIMIT: Bytes = Bytes(64 << 10);

#[derive(Debug, Clone, Copy)]
enum Step {
    Accept(u8),
    Send(u8, u8),
    End(u8, u8),
    Finish(u8, bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..200_u8).prop_map(Step::Accept),
        (0..200_u8, 0..60_u8).prop_map(|(r, a)| Step::Send(r, a)),
        (0..200_u8, 0..60_u8).prop_map(|(r, a)| Step::End(r, a)),
        (0..200_u8, proptest::bool::ANY).prop_map(|(r, done)| Step::Finish(r, done)),
    ]
}

fn id(number: u8) -> RequestId {
    RequestId(Uuid::from_u128(u128::from(number)))
}

fn accepted(number: u8) -> Accepted {
    Accepted {
        id: id(number),
        account: "rangers".parse().expect("a name"),
        kind: "week".parse().expect("a name"),
        pipeline: "brief".parse().expect("a name"),
        deadline: Duration::from_secs(3),
        predicted: None,
    }
}

fn decision(attempt: u8) -> Decision {
    let chosen = Choice {
        endpoint: "copy-1".parse().expect("a name"),
        predicted: Duration::from_millis(20),
        cost: None,
    };
    Decision {
        stage: "write".parse().expect("a name"),
        attempt: AttemptId(u64::from(attempt)),
        others: vec![chosen.clone(); 5],
        chosen,
        hedge: false,
        why: "why ".repeat(100),
    }
}

#[test]
fn keeps_its_bound_and_the_first_outcome() {
    // A flood of requests must not exhaust the router's memory, and an operator
    // must never see a second outcome of a request. Steps come in any order, also
    // twice or without their predecessors.
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&vec(step(), 1..1_500), |steps| {
            check(&steps);
            Ok(())
        })
        .expect("the journal stays bounded and keeps first outcomes");
}

fn check(steps: &[Step]) {
    let mut journal = Journal::new(LIMIT);
    let mut outcomes: BTreeMap<RequestId, Outcome> = BTreeMap::new();
    for (at, step) in steps.iter().enumerate() {
        let now = Time::from_millis(at as u64);
        match *step {
            Step::Accept(number) => {
                // An evicted request may be accepted as a new one.
                if journal.get(id(number)).is_none() {
                    outcomes.remove(&id(number));
                }
                journal.on_accept(now, accepted(number));
            }
            Step::Send(number, attempt) => journal.on_decision(now, id(number), decision(attempt)),
            Step::End(number, attempt) => {
                let attempt = AttemptId(u64::from(attempt));
                journal.on_attempt_end(now, id(number), attempt, &AttemptEnd::Completed);
            }
            Step::Finish(number, done) => {
                let outcome = if done {
                    Outcome::Completed
                } else {
                    Outcome::Unknown
                };
                if journal.get(id(number)).is_some() {
                    outcomes.entry(id(number)).or_insert(outcome);
                }
                journal.on_finish(now, id(number), outcome, None);
            }
        }
        assert!(
            journal.used().0 <= LIMIT.0,
            "{:?} after {step:?}",
            journal.used()
        );
    }
    for request in journal.requests() {
        let recorded = request.finish.map(|f| f.outcome);
        assert_eq!(recorded, outcomes.get(&request.accepted.id).copied());
    }
    let paged: Vec<_> = pages(&journal);
    let whole: Vec<_> = journal.requests().map(|r| r.accepted.id).collect();
    assert_eq!(paged, whole);
}

fn pages(journal: &Journal) -> Vec<RequestId> {
    let mut ids = Vec::new();
    loop {
        let page = journal.page(ids.last().copied(), 7);
        if page.is_empty() {
            return ids;
        }
        ids.extend(page.iter().map(|r| r.accepted.id));
    }
}

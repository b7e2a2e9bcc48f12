//! Tests of the stage plan of a request.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_lib::serving::batching::PlanError;
use snipeyoke_lib::serving::batching::StageInput;
use snipeyoke_lib::serving::batching::StagePlan;
use snipeyoke_lib::serving::batching::StageTimes;
use snipeyoke_lib::serving::catalog::BatchLimits;
use snipeyoke_lib::serving::catalog::Stage;
use snipeyoke_lib::units::Bytes;

fn stages(depends_on: &[&[usize]]) -> Vec<Stage> {
    let stage = |d: &&[usize]| Stage {
        service: "s".parse().expect("a name"),
        depends_on: d.to_vec(),
        result_bytes: Bytes(10),
    };
    depends_on.iter().map(stage).collect()
}

/// Times of stages with equal durations and small results.
fn uniform_times(count: usize) -> StageTimes {
    let stages: Vec<Stage> = (0..count).flat_map(|_| stages(&[&[]])).collect();
    let counts = vec![1; count];
    StageTimes::new(&stages, &counts, Duration::ZERO, |_| Some(limits()))
}

fn limits() -> BatchLimits {
    BatchLimits {
        slots: 1,
        queue: 2,
        max_items: 8,
        call_overhead: Duration::from_millis(150),
        item_time: Duration::from_millis(16),
        result_memory: Bytes(36_000_000),
        result_ttl: Duration::from_secs(4),
    }
}

fn finish(plan: &mut StagePlan, stage: usize, items: u32) {
    for item in 0..items {
        plan.on_result(stage, item, format!("h{stage}.{item}"));
    }
}

#[test]
fn stage_starts_once_its_dependencies_are_done() {
    let mut plan = StagePlan::new(&stages(&[&[], &[0], &[1]]), &[2, 1, 3]).expect("three counts");
    let ready = plan.start_ready(&uniform_times(4));
    assert_eq!((ready.len(), ready[0].items.len()), (1, 2));
    assert_eq!(ready[0].input, StageInput::Key);
    plan.on_result(0, 0, "a".to_owned());
    assert!(
        plan.start_ready(&uniform_times(4)).is_empty(),
        "one result is missing"
    );
    plan.on_result(0, 1, "b".to_owned());
    let inputs = vec!["a".to_owned(), "b".to_owned()];
    assert_eq!(
        plan.start_ready(&uniform_times(4))[0].input,
        StageInput::Results(inputs)
    );
    finish(&mut plan, 1, 1);
    assert_eq!(plan.take_unneeded(), ["a", "b"]);
    plan.start_ready(&uniform_times(4));
    finish(&mut plan, 2, 3);
    assert_eq!(plan.inputs(), ["h2.0", "h2.1", "h2.2"]);
}

#[test]
fn stages_without_items_are_skipped() {
    let mut plan = StagePlan::new(&stages(&[&[], &[0]]), &[0, 2]).expect("two counts");
    assert_eq!(
        plan.start_ready(&uniform_times(4))[0].input,
        StageInput::Key
    );
    let error = StagePlan::new(&stages(&[&[], &[0]]), &[1]).expect_err("a count is missing");
    assert_eq!(
        error,
        PlanError::CountMismatch {
            found: 1,
            expected: 2
        }
    );
}

#[test]
fn repeated_loss_of_results_fails_the_request() {
    let mut plan = StagePlan::new(&stages(&[&[]]), &[1]).expect("a count");
    for _ in 0..2 {
        plan.start_ready(&uniform_times(4));
        finish(&mut plan, 0, 1);
        plan.on_results_gone().expect("twice");
    }
    plan.start_ready(&uniform_times(4));
    finish(&mut plan, 0, 1);
    assert_eq!(
        plan.on_results_gone(),
        Err(PlanError::ResultsLost { stage: 0 })
    );
}

#[test]
fn only_items_of_the_request_are_ordered() {
    // Guards against stage work that no request asked for: items beyond the counts
    // of the request, items that are done or in flight already, or a key where
    // results are due, on random stages whose calls end in any way.
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let schedule = (vec((0..4_u32, any::<u8>()), 1..6), vec(any::<u8>(), 1..60));
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let outcome = TestRunner::new_with_rng(config, rng).run(&schedule, |(graph, ends)| {
        let counts: Vec<u32> = graph.iter().map(|&(count, _)| count).collect();
        let depends_on = graph.iter().enumerate().map(|(stage, &(_, bits))| {
            let earlier = (0..stage).filter(|s| bits & (1 << s) > 0);
            earlier.collect::<Vec<usize>>()
        });
        let depends_on: Vec<Vec<usize>> = depends_on.collect();
        let slices: Vec<&[usize]> = depends_on.iter().map(Vec::as_slice).collect();
        let mut plan = StagePlan::new(&stages(&slices), &counts).expect("a count each");
        let times = uniform_times(counts.len());
        let mut in_flight = BTreeSet::new();
        for end in ends {
            for order in plan.start_ready(&times) {
                let present = |&&d: &&usize| counts[d] > 0;
                let inputs = depends_on[order.stage].iter().filter(present);
                let inputs: u32 = inputs.map(|&d| counts[d]).sum();
                let given = match &order.input {
                    StageInput::Key => 0,
                    StageInput::Results(handles) => handles.len(),
                };
                prop_assert_eq!(given, inputs as usize);
                for item in order.items {
                    prop_assert!(item < counts[order.stage]);
                    prop_assert!(in_flight.insert((order.stage, item)), "it is in flight");
                }
            }
            let Some((stage, item)) = in_flight.pop_first() else {
                break;
            };
            let ended = match end % 4 {
                0 => plan.on_failure(stage, item),
                1 => plan.on_inputs_gone(stage, item),
                _ => {
                    plan.on_result(stage, item, format!("h{stage}.{item}"));
                    Ok(())
                }
            };
            if ended.is_err() {
                break;
            }
        }
        Ok(())
    });
    outcome.expect("every order belongs to the request");
}

//! The stages of one request.

use std::time::Duration;

use snipeyoke_lib::serving::batching::PlanError;
use snipeyoke_lib::serving::batching::StageInput;
use snipeyoke_lib::serving::batching::StagePlan;
use snipeyoke_lib::serving::batching::StageTimes;
use snipeyoke_lib::serving::catalog::BatchLimits;
use snipeyoke_lib::serving::catalog::Stage;
use snipeyoke_lib::units::Bytes;

fn stages(after: &[&[usize]]) -> Vec<Stage> {
    let stage = |a: &&[usize]| Stage {
        service: "s".parse().expect("a name"),
        depends_on: a.to_vec(),
        result_bytes: Bytes(10),
    };
    after.iter().map(stage).collect()
}

/// Times of stages that all take the same time and make small results.
fn even(count: usize) -> StageTimes {
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

fn finish(plan: &mut StagePlan, stage: usize, pieces: u32) {
    for piece in 0..pieces {
        plan.on_result(stage, piece, format!("h{stage}.{piece}"));
    }
}

#[test]
fn a_stage_begins_with_all_results_of_those_before() {
    let mut plan = StagePlan::new(&stages(&[&[], &[0], &[1]]), &[2, 1, 3]).expect("three counts");
    let orders = plan.start_ready(&even(4));
    assert_eq!((orders.len(), orders[0].items.len()), (1, 2));
    assert_eq!(orders[0].input, StageInput::Key);
    plan.on_result(0, 0, "a".to_owned());
    assert!(
        plan.start_ready(&even(4)).is_empty(),
        "one result is missing"
    );
    plan.on_result(0, 1, "b".to_owned());
    let inputs = vec!["a".to_owned(), "b".to_owned()];
    assert_eq!(
        plan.start_ready(&even(4))[0].input,
        StageInput::Results(inputs)
    );
    finish(&mut plan, 1, 1);
    assert_eq!(plan.take_unneeded(), ["a", "b"]);
    plan.start_ready(&even(4));
    finish(&mut plan, 2, 3);
    assert_eq!(plan.inputs(), ["h2.0", "h2.1", "h2.2"]);
}

#[test]
fn stages_without_pieces_are_left_out() {
    let mut plan = StagePlan::new(&stages(&[&[], &[0]]), &[0, 2]).expect("two counts");
    assert_eq!(plan.start_ready(&even(4))[0].input, StageInput::Key);
    let error = StagePlan::new(&stages(&[&[], &[0]]), &[1]).expect_err("a count is missing");
    assert_eq!(
        error,
        PlanError::Counts {
            found: 1,
            wanted: 2
        }
    );
}

#[test]
fn a_stage_that_loses_its_results_again_and_again_ends_the_request() {
    let mut plan = StagePlan::new(&stages(&[&[]]), &[1]).expect("a count");
    for _ in 0..2 {
        plan.start_ready(&even(4));
        finish(&mut plan, 0, 1);
        plan.on_results_gone().expect("twice");
    }
    plan.start_ready(&even(4));
    finish(&mut plan, 0, 1);
    assert_eq!(plan.on_results_gone(), Err(PlanError::Lost { stage: 0 }));
}

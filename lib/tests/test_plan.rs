//! The stages of one request.

use snipeyoke_lib::serving::catalog::Stage;
use snipeyoke_lib::serving::pieces::Plan;
use snipeyoke_lib::serving::pieces::PlanError;
use snipeyoke_lib::serving::pieces::Work;
use snipeyoke_lib::units::Bytes;

fn stages(after: &[&[usize]]) -> Vec<Stage> {
    let stage = |a: &&[usize]| Stage {
        service: "s".parse().expect("a name"),
        after: a.to_vec(),
        bytes: Bytes(10),
    };
    after.iter().map(stage).collect()
}

fn finish(plan: &mut Plan, stage: usize, pieces: u32) {
    for piece in 0..pieces {
        plan.done(stage, piece, format!("h{stage}.{piece}"));
    }
}

#[test]
fn a_stage_begins_with_all_results_of_those_before() {
    let mut plan = Plan::new(&stages(&[&[], &[0], &[1]]), &[2, 1, 3]).expect("three counts");
    let orders = plan.orders();
    assert_eq!((orders.len(), orders[0].pieces.len()), (1, 2));
    assert_eq!(orders[0].work, Work::Key);
    plan.done(0, 0, "a".to_owned());
    assert!(plan.orders().is_empty(), "one result is missing");
    plan.done(0, 1, "b".to_owned());
    let inputs = vec!["a".to_owned(), "b".to_owned()];
    assert_eq!(plan.orders()[0].work, Work::Inputs(inputs));
    finish(&mut plan, 1, 1);
    assert_eq!(plan.unneeded(), ["a", "b"]);
    plan.orders();
    finish(&mut plan, 2, 3);
    assert_eq!(plan.inputs(), ["h2.0", "h2.1", "h2.2"]);
}

#[test]
fn stages_without_pieces_are_left_out() {
    let mut plan = Plan::new(&stages(&[&[], &[0]]), &[0, 2]).expect("two counts");
    assert_eq!(plan.orders()[0].work, Work::Key);
    let error = Plan::new(&stages(&[&[], &[0]]), &[1]).expect_err("a count is missing");
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
    let mut plan = Plan::new(&stages(&[&[]]), &[1]).expect("a count");
    for _ in 0..2 {
        plan.orders();
        finish(&mut plan, 0, 1);
        plan.results_gone().expect("twice");
    }
    plan.orders();
    finish(&mut plan, 0, 1);
    assert_eq!(plan.results_gone(), Err(PlanError::Lost { stage: 0 }));
}

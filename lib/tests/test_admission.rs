//! Admission by whether the stages can meet the deadline.

use std::time::Duration;

use assert_matches::assert_matches;
use snipeyoke_lib::admission::Refusal;
use snipeyoke_lib::admission::admit;
use snipeyoke_lib::chain::RequestSpec;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_lib::routing::LoadReport;
use snipeyoke_lib::routing::PolicyKind;

use crate::chain_world::World;
use crate::chain_world::spec;

fn loaded_world(queued: u32) -> (World, RequestSpec) {
    let mut world = World::new(PolicyKind::Predicted, 1);
    let report = LoadReport {
        slots: 4,
        active: 4,
        queued,
        prefill: 8_000.0,
        decode: 100.0,
        ..LoadReport::default()
    };
    world.add("e1", "enc", "a", LoadReport::default());
    world.add("g1", "gen", "a", report);
    let pool = "gen".parse().expect("a name");
    for _ in 0..200 {
        let work = Duration::from_millis(500);
        world.shared.fleet.observe_work(&pool, 0, work);
    }
    let stages = ["encode.enc".to_owned(), "generate.gen".to_owned()];
    let spec = spec(world.now, &stages, 3_000);
    (world, spec)
}

#[test]
fn admits_while_the_queue_leaves_time() {
    let (mut world, spec) = loaded_world(0);
    let predicted = admit(world.now, &spec, &mut world.shared).expect("it fits");
    assert!(predicted < Duration::from_millis(1_500), "{predicted:?}");
}

#[test]
fn refuses_late_request_at_once_with_retry_after() {
    // The queue is longer than the deadline of three seconds allows. Without a refusal
    // before anything runs, the caller would wait in vain and the generation be wasted.
    let (mut world, spec) = loaded_world(30);
    let refused = admit(world.now, &spec, &mut world.shared);
    assert_matches!(
        refused,
        Err(Refusal { reason: Reason::Overload, retry_after })
            if retry_after > Duration::from_secs(1)
    );
    assert!(
        world
            .shared
            .fleet
            .pools()
            .values()
            .all(|p| { p.endpoints().iter().all(|e| e.outstanding() == 0) })
    );
}

#[test]
fn refuses_a_pool_without_endpoints() {
    let (mut world, spec) = loaded_world(0);
    world
        .shared
        .fleet
        .mark_unreachable(&"e1".parse().expect("a name"));
    let refused = admit(world.now, &spec, &mut world.shared);
    assert_matches!(
        refused,
        Err(Refusal {
            reason: Reason::NoEndpoint,
            ..
        })
    );
}

#[test]
fn flood_of_one_account_does_not_block_others() {
    // One account sends ten times as much as the others, and the queue grows. It must be
    // refused while the queue is still short enough to admit the small account.
    let (mut world, mut flood) = loaded_world(15);
    let mut small = flood.clone();
    small.account = "small".parse().expect("a name");
    flood.account = "flood".parse().expect("a name");
    let now = world.now;
    for _ in 0..10 {
        world.shared.fair.record(now, &flood.account, 1.0, 1.0);
    }
    world.shared.fair.record(now, &small.account, 1.0, 1.0);
    let refused = admit(now, &flood, &mut world.shared);
    assert_matches!(
        refused,
        Err(Refusal {
            reason: Reason::Overload,
            ..
        })
    );
    assert_matches!(admit(now, &small, &mut world.shared), Ok(_));
}

//! What a router keeps of an endpoint.

use std::time::Duration;

use snipeyoke_lib::ids::Incarnation;
use snipeyoke_lib::routing::CacheUpdate;
use snipeyoke_lib::routing::LoadReport;
use snipeyoke_lib::routing::Need;
use snipeyoke_lib::routing::PolicyKind;
use snipeyoke_lib::routing::Why;
use snipeyoke_lib::routing::choose;

use crate::chain_world::World;

fn why(world: &mut World) -> Why {
    let name = "gen".parse().expect("a name");
    let pool = world.shared.fleet.pool_mut(&name).expect("it was made");
    let need = Need {
        prompt: 640,
        output: 10.0,
        prefix: &[1, 2, 3],
        budget: Duration::from_secs(2),
        ..Need::default()
    };
    let policy = world.shared.policy.as_mut();
    let choice = choose(policy, world.now, pool, &need, &mut world.shared.rng);
    choice.expect("an endpoint").why
}

fn world() -> World {
    let mut world = World::new(PolicyKind::Predicted, 3);
    let report = LoadReport {
        prefill: 8_000.0,
        decode: 50.0,
        ..LoadReport::default()
    };
    world.add("g1", "gen", "a", report);
    let update = CacheUpdate {
        epoch: 1,
        added: vec![1, 2, 3],
        ..CacheUpdate::default()
    };
    let id = "g1".parse().expect("a name");
    world.shared.fleet.on_cache(&id, &update);
    world
}

fn back(world: &mut World, incarnation: u64) {
    let id: snipeyoke_lib::ids::EndpointId = "g1".parse().expect("a name");
    world.shared.fleet.gone(&id);
    world.shared.fleet.upsert(
        id.clone(),
        "gen".parse().expect("a name"),
        &"a".parse().expect("a name"),
        &"r".parse().expect("a name"),
        Incarnation(incarnation),
    );
    let report = world.reports[&id].clone();
    world.shared.fleet.on_load(world.now, &id, &report);
}

#[test]
fn a_replaced_link_keeps_what_is_known_of_the_cache() {
    // Prompts with a shared prefix would be read again everywhere.
    // The link to an agent is replaced, the endpoint lives on, and its agent
    // tells only news. So the knowledge stays until a new life or a gap.
    let mut world = world();
    assert_eq!(why(&mut world), Why::Prefix);
    back(&mut world, 1);
    assert_eq!(why(&mut world), Why::Prefix);
}

#[test]
fn a_new_life_starts_with_an_empty_cache() {
    let mut world = world();
    back(&mut world, 2);
    assert_eq!(why(&mut world), Why::Predicted);
}

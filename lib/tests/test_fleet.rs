//! Tests of a router's state of endpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::Incarnation;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::routing::CacheUpdate;
use snipeyoke_lib::routing::Endpoint;
use snipeyoke_lib::routing::Fleet;
use snipeyoke_lib::routing::LoadReport;
use snipeyoke_lib::routing::Need;
use snipeyoke_lib::routing::PolicyKind;
use snipeyoke_lib::routing::RouterLocation;
use snipeyoke_lib::routing::Why;
use snipeyoke_lib::routing::choose;
use snipeyoke_lib::time::Time;

use crate::chain_world::World;

fn choice_reason(world: &mut World) -> Why {
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

fn reconnect(world: &mut World, incarnation: u64) {
    let id: snipeyoke_lib::ids::EndpointId = "g1".parse().expect("a name");
    world.shared.fleet.mark_unreachable(&id);
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
fn a_replaced_link_keeps_the_known_cache() {
    // Guards against repeated prefills of shared prefixes after a link to an
    // agent is replaced. The agent reports only changes, so the known cache
    // content must stay until a new incarnation or a gap.
    let mut world = world();
    assert_eq!(choice_reason(&mut world), Why::Prefix);
    reconnect(&mut world, 1);
    assert_eq!(choice_reason(&mut world), Why::Prefix);
}

#[test]
fn a_new_incarnation_starts_with_an_empty_cache() {
    let mut world = world();
    reconnect(&mut world, 2);
    assert_eq!(choice_reason(&mut world), Why::Predicted);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(0xf1ee7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against calls booked on the wrong endpoint. Endpoints are added,
    // become unreachable, move to another pool and reuse slots while calls are in
    // flight; none may lose its slot while it has calls.
    #[test]
    fn finds_each_endpoint_in_its_slot(
        steps in prop::collection::vec((0..4_u8, 0..6_u8, 0..2_u8), 1..60),
    ) {
        let mut fleet = Fleet::new(RouterLocation {
            domain: "a".parse().expect("a name"),
            region: "r".parse().expect("a name"),
        });
        let domain = "a".parse().expect("a name");
        let region = "r".parse().expect("a name");
        let mut booked = Vec::new();
        let mut last = BTreeMap::new();
        for (step, id, pool) in steps {
            let id: EndpointId = format!("e{id}").parse().expect("a name");
            let pool: PoolName = format!("p{pool}").parse().expect("a name");
            match step {
                0 | 1 => {
                    fleet.upsert(id.clone(), pool.clone(), &domain, &region, Incarnation(1));
                    let held = fleet.pool(&pool).and_then(|p| p.find(&id));
                    prop_assert!(held.is_some(), "{id} is not in {pool}");
                    last.insert(id, pool);
                }
                2 => fleet.mark_unreachable(&id),
                _ => {
                    let slot = fleet.pool(&pool).and_then(|p| p.find(&id));
                    let booking = slot.and_then(|s| fleet.book(Time::ZERO, &pool, s));
                    booked.extend(booking.map(|b| (id, pool, b)));
                }
            }
            for pool in fleet.pools().values() {
                for (slot, endpoint) in pool.endpoints().iter().enumerate() {
                    prop_assert_eq!(pool.find(endpoint.id()), Some(slot));
                }
            }
            for (id, pool) in &last {
                let held = fleet.pool(pool).and_then(|p| p.find(id));
                let named = fleet.endpoint(id).map(Endpoint::id);
                prop_assert_eq!(named, held.map(|_| id));
            }
            for (id, pool, booking) in &booked {
                let held = fleet.pool(pool).and_then(|p| p.find(id));
                prop_assert_eq!(held, Some(booking.slot()));
            }
        }
    }
}

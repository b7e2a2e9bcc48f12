//! The bound on calls to a cold endpoint, over nodes that join, restart, freeze
//! and are cut off.

use std::time::Duration;

use proptest::collection::vec;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::bookings::Shard;
use snipeyoke_lib::serving::cold_start::ADMISSION_LIFETIME;
use snipeyoke_lib::serving::cold_start::Admissions;
use snipeyoke_lib::serving::cold_start::AdmitterRank;
use snipeyoke_lib::serving::cold_start::ColdBound;
use snipeyoke_lib::serving::cold_start::ColdStart;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::MilliCores;

use crate::node_world::Fault;
use crate::node_world::LENGTH;
use crate::node_world::World;
use crate::node_world::address;
use crate::node_world::fault;

const BOUND: ColdBound = ColdBound {
    excess: 1.5,
    slack: 5.0,
};

const START: ColdStart = ColdStart {
    duration: Duration::from_secs(3),
    rate: 8.4,
};

/// The random schedules of the property.
const CASES: u32 = 48;

fn service() -> PoolName {
    "llm".parse().expect("a name")
}

fn endpoint() -> EndpointId {
    "m1".parse().expect("a name")
}

const SHARD: Shard = Shard { index: 0, count: 1 };

/// Nodes with one cold endpoint.
#[derive(Debug)]
struct ColdWorld {
    world: World,
    /// The admissions of each node, and the start of the node that made them.
    admissions: Vec<(u32, Admissions)>,
    /// When calls arrived at the endpoint.
    arrivals: Vec<u64>,
}

impl ColdWorld {
    /// A request of a node for the cold endpoint.
    fn request(&mut self, n: usize) {
        let world = &mut self.world;
        if !world.nodes[n].is_running(world.now) {
            return;
        }
        let Some(owner) = world.reachable_booker(n, &service(), SHARD) else {
            return;
        };
        if world.is_stale(owner) {
            return;
        }
        self.admissions
            .resize_with(world.nodes.len(), Default::default);
        let node = &mut world.nodes[owner];
        let (starts, admissions) = &mut self.admissions[owner];
        if *starts != node.starts {
            (*starts, *admissions) = (node.starts, Admissions::default());
        }
        let then = node.clock(world.now);
        let rank = node.owners.shard_admitter_rank(then, &service(), SHARD);
        let share = rank.map_or(0, |rank| BOUND.share(START, rank));
        if admissions.has_room(then, &endpoint(), share) {
            admissions.record(then, &endpoint());
            let lifetime = ADMISSION_LIFETIME.as_millis() as usize;
            let delay = world.sample() * lifetime / 255;
            self.arrivals.push(world.now + delay as u64);
        }
    }

    /// Returns the most calls that arrived within a second.
    fn peak(&self) -> usize {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_unstable();
        let within = |(n, &at): (usize, &u64)| {
            arrivals[n..]
                .iter()
                .take_while(|&&a| a < at + 1_000)
                .count()
        };
        arrivals
            .iter()
            .enumerate()
            .map(within)
            .max()
            .unwrap_or_default()
    }
}

/// Plays a schedule with three requests from random nodes in each step.
fn play(count: usize, faults: Vec<(u64, Fault)>, samples: Vec<u8>) -> ColdWorld {
    let mut cold = ColdWorld {
        world: World::new(count, samples),
        admissions: Vec::new(),
        arrivals: Vec::new(),
    };
    cold.world.schedule(faults);
    while cold.world.is_playing() {
        let _polls = cold.world.step();
        for _ in 0..3 {
            let n = cold.world.random_node();
            cold.request(n);
        }
    }
    cold
}

#[test]
fn the_bound_holds_on_random_schedules() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let bound = (BOUND.excess * START.rate + BOUND.slack) as usize;
    let schedule = (3..24_usize, vec(fault(), 0..24), vec(0..=255_u8, 16..64));
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let outcome =
        TestRunner::new_with_rng(config, rng).run(&schedule, |(count, faults, samples)| {
            let world = play(count, faults, samples);
            proptest::prop_assert!(world.peak() <= bound, "{} calls in a second", world.peak());
            Ok(())
        });
    outcome.expect("the sum over all nodes stays within the bound");
}

#[test]
fn nodes_that_agree_use_what_a_cold_endpoint_tolerates() {
    // With more demand than the endpoint tolerates, at least 0.8 of it is used,
    // whatever the number of nodes.
    for count in [3, 23, 103, 340] {
        let world = play(count, Vec::new(), vec![3, 50, 180, 90]);
        let rate = world.arrivals.len() as f64 / (LENGTH as f64 / 1e3);
        assert!(
            rate >= 0.8 * START.rate,
            "{count} nodes: {rate} calls a second"
        );
        assert!(rate <= START.rate, "{count} nodes: {rate} calls a second");
    }
}

#[test]
fn the_second_node_takes_over_from_the_first() {
    let first = (0..9).find(|&n| rank_of(9, n) == Some(AdmitterRank::First));
    let first = first.expect("one is first");
    let faults = vec![(0, Fault::Cut(first, LENGTH))];
    let world = play(9, faults, vec![3, 50, 180, 90]);
    let rate = world.arrivals.len() as f64 / (LENGTH as f64 / 1e3);
    assert!(rate >= 0.8 * START.rate, "{rate} calls a second");
}

fn rank_of(count: usize, n: usize) -> Option<AdmitterRank> {
    let world = World::new(count, vec![1]);
    let node = &world.nodes[n];
    node.owners
        .shard_admitter_rank(node.clock(world.now), &service(), SHARD)
}

#[test]
fn two_nodes_at_most_admit_calls() {
    let ranks: Vec<AdmitterRank> = (0..23).filter_map(|n| rank_of(23, n)).collect();
    assert_eq!(ranks.len(), 2);
    assert_ne!(ranks[0], ranks[1]);
}

#[test]
fn shares_add_up_to_the_bound_at_most() {
    for rate in [0.3, 1.0, 2.5, 8.4, 10.0, 64.0, 1_000.0] {
        for (excess, slack) in [(1.0, 0.0), (1.0, 3.0), (1.5, 5.0), (4.0, 40.0)] {
            let start = ColdStart { rate, ..START };
            let bound = ColdBound { excess, slack };
            let first = bound.share(start, AdmitterRank::First);
            let second = bound.share(start, AdmitterRank::Second);
            assert!((first + second) as f64 <= excess * rate + slack);
            assert!(first as f64 <= rate.max(1.0));
        }
    }
}

#[test]
fn a_node_that_others_may_not_know_admits_no_calls() {
    // Two nodes that know it not yet count on the shares of each other.
    let mut owners = Owners::new(address(0), MilliCores(500));
    let rank = |owners: &Owners, s: u64| {
        owners.shard_admitter_rank(Time::from_millis(s * 1_000), &service(), SHARD)
    };
    assert_eq!(rank(&owners, 19), None);
    assert_eq!(rank(&owners, 20), Some(AdmitterRank::First));
    owners.mark_known();
    assert_eq!(rank(&owners, 1), Some(AdmitterRank::First));
    owners.defer_admissions(Time::from_millis(30_000));
    assert_eq!(rank(&owners, 31), None);
    assert_eq!(rank(&owners, 36), Some(AdmitterRank::First));
}

#[test]
fn calls_to_a_warm_endpoint_count_when_it_turns_cold() {
    let mut admissions = Admissions::default();
    let at = Time::from_millis;
    for n in 0..5 {
        admissions.record(at(1_000 + n), &endpoint());
    }
    assert!(!admissions.has_room(at(1_500), &endpoint(), 5));
    assert!(admissions.has_room(at(2_200), &endpoint(), 5));
}

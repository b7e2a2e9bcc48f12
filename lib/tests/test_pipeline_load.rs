//! Tests stage services under loads that fill their batches or result memory.

use std::time::Duration;

use snipeyoke_lib::serving::catalog::BatchLimits;
use snipeyoke_lib::serving::catalog::Stage;
use snipeyoke_lib::units::Bytes;

use crate::pipeline_world::KindSpec;
use crate::pipeline_world::ServiceSpec;
use crate::pipeline_world::Tally;
use crate::pipeline_world::World;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn service(
    name: &'static str,
    endpoints: usize,
    batch: usize,
    item: u64,
    memory: u64,
) -> ServiceSpec {
    let limits = BatchLimits {
        slots: 1,
        queue: 2,
        max_items: batch,
        call_overhead: MS(150),
        item_time: Duration::from_micros(item),
        result_memory: Bytes(memory),
        result_ttl: Duration::from_secs(4),
    };
    ServiceSpec {
        name,
        limits,
        endpoints,
    }
}

fn stage(service: &str, after: &[usize], bytes: u64) -> Stage {
    Stage {
        service: service.parse().expect("a name"),
        depends_on: after.to_vec(),
        result_bytes: Bytes(bytes),
    }
}

/// Returns three services whose result memory holds about three full batches.
fn services() -> Vec<ServiceSpec> {
    vec![
        service("encode", 8, 8, 12_000, 44_000_000),
        service("retrieve", 14, 12, 11_000, 2_200_000),
        service("rerank", 16, 26, 4_900, 450_000),
    ]
}

/// Returns a long request: large results for the model beside a chain of three stages.
fn long(rates: Vec<(u64, f64)>) -> KindSpec {
    KindSpec {
        stages: vec![
            stage("encode", &[], 3_000_000),
            stage("encode", &[], 8_000),
            stage("retrieve", &[1], 60_000),
            stage("rerank", &[2], 6_000),
        ],
        counts: vec![1, 1, 6, 16],
        target: MS(1_900),
        deadline: MS(15_000),
        priority: 0,
        rates,
    }
}

/// Returns a draft request: the chain alone.
fn draft(rates: Vec<(u64, f64)>) -> KindSpec {
    KindSpec {
        stages: vec![
            stage("encode", &[], 8_000),
            stage("retrieve", &[0], 60_000),
            stage("rerank", &[1], 6_000),
        ],
        counts: vec![1, 6, 16],
        target: MS(2_700),
        deadline: MS(8_000),
        priority: 1,
        rates,
    }
}

/// Returns a short request: only large results for the model.
fn short(rates: Vec<(u64, f64)>) -> KindSpec {
    KindSpec {
        stages: vec![stage("encode", &[], 3_000_000)],
        counts: vec![2],
        target: MS(2_600),
        deadline: MS(15_000),
        priority: 2,
        rates,
    }
}

fn on_time_fraction(tally: Tally) -> f64 {
    f64::from(tally.on_time) / f64::from(tally.submitted)
}

#[test]
fn requests_below_capacity_are_on_time() {
    let kinds = vec![
        long(vec![(0, 35.0)]),
        draft(vec![(0, 25.0)]),
        short(vec![(0, 36.0)]),
    ];
    let tallies = World::new(services(), kinds).run(20);
    for tally in tallies {
        assert!(on_time_fraction(tally) > 0.99, "{tally:?}");
    }
}

#[test]
fn a_burst_leaves_most_requests_on_time() {
    // Long requests arrive twice as often for six seconds, about a fifth above
    // the second stage's capacity. Served by target time alone, all of them would
    // be slightly late; the queue must serve those that can still be on time.
    let burst = vec![(0, 35.0), (4_000, 80.0), (10_000, 35.0)];
    let kinds = vec![long(burst), draft(vec![(0, 25.0)]), short(vec![(0, 36.0)])];
    let tallies = World::new(services(), kinds).run(24);
    assert!(on_time_fraction(tallies[0]) > 0.8, "{:?}", tallies[0]);
    assert!(on_time_fraction(tallies[2]) > 0.95, "{:?}", tallies[2]);
}

#[test]
fn requests_bound_to_be_late_do_not_delay_the_rest() {
    // The load exceeds the second stage's capacity by a third for six seconds.
    // Each job seems just feasible until all are late; if a third is passed over
    // early, the others are served on time.
    let burst = vec![(0, 35.0), (4_000, 110.0), (10_000, 35.0)];
    let kinds = vec![long(burst), draft(vec![(0, 25.0)]), short(vec![(0, 36.0)])];
    let tallies = World::new(services(), kinds).run(24);
    assert!(on_time_fraction(tallies[0]) > 0.62, "{:?}", tallies[0]);
    assert!(on_time_fraction(tallies[1]) > 0.62, "{:?}", tallies[1]);
}

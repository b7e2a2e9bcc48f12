//! Measures the choice of an endpoint among as many candidates as the design size has.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::hint::black_box;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::Incarnation;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::routing::CacheUpdate;
use snipeyoke_lib::routing::Fleet;
use snipeyoke_lib::routing::LoadReport;
use snipeyoke_lib::routing::Need;
use snipeyoke_lib::routing::PolicyKind;
use snipeyoke_lib::routing::RouterLocation;
use snipeyoke_lib::routing::choose;
use snipeyoke_lib::time::Time;

/// The number of workers at the design size.
const CANDIDATES: u64 = 680;

/// The number of choices over which allocations are counted.
const COUNTED_CHOICES: u64 = 10_000;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

struct CountingAllocator;

// SAFETY: every call is forwarded unchanged to the system allocator; the counter
// does not affect the memory.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn fleet(now: Time, pool: &PoolName) -> Fleet {
    let region = "r0".parse().expect("a name");
    let mut fleet = Fleet::new(RouterLocation {
        domain: "d0".parse().expect("a name"),
        region: "r0".parse().expect("a name"),
    });
    for index in 0..CANDIDATES {
        let id: EndpointId = format!("gen-{index}").parse().expect("a name");
        let domain = format!("d{}", index % 12).parse().expect("a name");
        fleet.upsert(id.clone(), pool.clone(), &domain, &region, Incarnation(1));
        let report = LoadReport {
            slots: 16,
            active: (index % 17) as u32,
            queued: (index % 5) as u32,
            prefill: 8_000.0,
            decode: 40.0 + (index % 7) as f64,
            ..LoadReport::default()
        };
        fleet.on_load(now, &id, &report);
        // Every engine caches the shared start of the prompts (4 of 24 blocks); three
        // in ten cache half of the prefix and one in ten all of it.
        let blocks = match index % 10 {
            0 => 24,
            1..=3 => 12,
            _ => 4,
        };
        let update = CacheUpdate {
            epoch: 1,
            added: (0..blocks).collect(),
            ..CacheUpdate::default()
        };
        fleet.on_cache(&id, &update);
    }
    fleet
}

fn bench(criterion: &mut Criterion) {
    let now = Time::from_millis(1_000);
    let name: PoolName = "gen".parse().expect("a name");
    let mut fleet = fleet(now, &name);
    let pool = fleet.pool_mut(&name).expect("the pool exists");
    let prefix: Vec<u64> = (0..24).collect();
    let need = Need {
        prompt: 1_600,
        output: 120.0,
        prefix: &prefix,
        budget: Duration::from_secs(2),
        ..Need::default()
    };
    let mut rng = Pcg32::seed_from_u64(1);
    for kind in [
        PolicyKind::Predicted,
        PolicyKind::LeastOutstanding,
        PolicyKind::RoundRobin,
    ] {
        let mut policy = kind.build();
        let mut choose_once = || choose(policy.as_mut(), now, pool, black_box(&need), &mut rng);
        black_box(choose_once());
        let before = ALLOCATIONS.load(Ordering::Relaxed);
        for _ in 0..COUNTED_CHOICES {
            black_box(choose_once());
        }
        let allocations = ALLOCATIONS.load(Ordering::Relaxed) - before;
        println!("{kind}: {allocations} allocations in {COUNTED_CHOICES} choices");
        criterion.bench_function(&format!("choose/{kind}/{CANDIDATES}"), |b| {
            b.iter(&mut choose_once);
        });
    }
}

criterion_group!(benches, bench);
criterion_main!(benches);

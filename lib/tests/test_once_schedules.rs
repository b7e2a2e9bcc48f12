//! At-most-once execution under random schedules of calls and faults.

use proptest::prop_assert_eq;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_testutils::world::Safeguards;
use snipeyoke_testutils::world::Step;
use snipeyoke_testutils::world::Target;
use snipeyoke_testutils::world::World;
use snipeyoke_testutils::world::run;
use snipeyoke_testutils::world::schedule;
use snipeyoke_testutils::world::schedules;

/// The number of schedules in a normal run.
const CASES: u32 = 2_000;

/// The number of schedules in which each mutation must be detected.
const MUTATION_SEEDS: u64 = 2_000;

#[test]
fn no_schedule_doubles_an_effect_or_denies_one() {
    // A caller retries a key at any agent while agents pause, die or are partitioned
    // and the log fails or loses responses. The effect must occur at most once, and
    // never if all attempts were refused; no lease may have two holders.
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let verdict = runner.run(&schedules(), |steps| {
        let broken = run(&steps, steps.len() as u64, Safeguards::ON);
        prop_assert_eq!(broken, None);
        Ok(())
    });
    verdict.expect("every schedule keeps the guarantees");
}

/// Returns the first seed whose schedule violates a guarantee, with the fault.
fn find_fault(guards: Safeguards) -> Option<(u64, String)> {
    let mut seeds = 0..MUTATION_SEEDS;
    seeds.find_map(|seed| run(&schedule(seed), seed, guards).map(|fault| (seed, fault)))
}

fn assert_caught(name: &str, change: impl Fn(&mut Safeguards)) {
    let mut guards = Safeguards::ON;
    change(&mut guards);
    let (seed, fault) = find_fault(guards).expect("the mutation violates a guarantee");
    println!("without {name}: seed {seed}: {fault}");
}

// Each test turns off one safeguard. Some schedule must then show a duplicate
// effect, a false refusal or two holders of one lease.

#[test]
fn needs_lease_expiry() {
    assert_caught("lease.expiry", |g| g.lease.expiry = false);
}

#[test]
fn needs_lease_from_send() {
    assert_caught("lease.from_send", |g| g.lease.from_send = false);
}

#[test]
fn needs_lease_read_back() {
    assert_caught("lease.read_back", |g| g.lease.read_back = false);
}

#[test]
fn needs_lease_wait_out() {
    assert_caught("lease.wait_out", |g| g.lease.wait_out = false);
}

#[test]
fn needs_lease_used() {
    assert_caught("lease.used", |g| g.lease.used = false);
}

#[test]
fn needs_once_lease() {
    assert_caught("once.lease", |g| g.once.lease = false);
}

#[test]
fn needs_once_issue() {
    assert_caught("once.issue", |g| g.once.issue = false);
}

#[test]
fn needs_once_future() {
    assert_caught("once.future", |g| g.once.future = false);
}

#[test]
fn needs_once_floor() {
    assert_caught("once.floor", |g| g.once.floor = false);
}

#[test]
#[ignore = "long run outside CI: SCHEDULES sets the number of schedules, FIRST the first seed"]
fn long_run() {
    let number = |name: &str| std::env::var(name).ok().and_then(|n| n.parse().ok());
    let first = number("FIRST").unwrap_or(MUTATION_SEEDS);
    for seed in first..first + number("SCHEDULES").unwrap_or(100_000) {
        let broken = run(&schedule(seed), seed, Safeguards::ON);
        assert_eq!(broken, None, "seed {seed}");
    }
}

#[test]
fn key_issued_ahead_is_not_run_again_by_successor() {
    // A caller's clock runs 2.8 s ahead, and so does that of the agent, which runs the
    // key and dies. A successor with a clock behind, adding the skew once, would run the
    // key again, so it adds the skew twice. Found by seed 58917 of a long run.
    for seed in 0..300 {
        let mut world = World::new(seed, Safeguards::ON);
        world.step(Step::Wait(6_000 + seed * 7));
        world.step(Step::Call(2_800, Target::Agent(2)));
        world.step(Step::Wait(150));
        world.step(Step::Kill(2));
        for _retry in 0..40 {
            world.step(Step::Wait(100));
            world.step(Step::Retry(0, Target::Owner));
        }
        world.finish();
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

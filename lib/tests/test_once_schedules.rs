//! At most once under random schedules of calls and faults.

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

/// The schedules of an ordinary run.
const CASES: u32 = 2_000;

/// The schedules among which a mutation has to be caught.
const MUTATION_SEEDS: u64 = 2_000;

#[test]
fn no_schedule_doubles_an_effect_or_denies_one() {
    // A caller retries a key through any agent, while agents pause, die and are
    // cut off, and the log goes away or loses answers. Whatever the order, the
    // effect takes place once at most, a key that every try was refused for
    // has none, and no lease has two holders.
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
    verdict.expect("every schedule keeps the promises");
}

/// Returns the first seed whose schedule breaks a promise.
fn find_fault(guards: Safeguards) -> Option<(u64, String)> {
    let mut seeds = 0..MUTATION_SEEDS;
    seeds.find_map(|seed| run(&schedule(seed), seed, guards).map(|fault| (seed, fault)))
}

fn assert_caught(name: &str, change: impl Fn(&mut Safeguards)) {
    let mut guards = Safeguards::ON;
    change(&mut guards);
    let (seed, fault) = find_fault(guards).expect("the mutation breaks a promise");
    println!("without {name}: seed {seed}: {fault}");
}

// Each safeguard is switched off in turn, and some schedule then shows the
// caller a doubled effect, a false refusal or two holders of one lease.

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
#[ignore = "a long run, outside CI: SCHEDULES says how many, FIRST where to begin"]
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
    // A phone's clock runs 2.8 s ahead; its key is taken in by an agent whose
    // own clock runs ahead too, and which dies at once. The successor's clock
    // is behind. Counting the skew once, it takes the key for newer than its
    // claim, and the notice is published twice. Found by seed 58917 of a long
    // run: the skews add up, so the successor counts two.
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
        assert_eq!(world.broken, None, "seed {seed}");
    }
}

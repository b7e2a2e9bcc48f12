//! Random schedules of calls and faults.

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::strategy::ValueTree;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::world::AGENTS;
use crate::world::Safeguards;
use crate::world::Step;
use crate::world::Target;
use crate::world::World;

/// The exclusive upper bound of a schedule's length.
const STEP_LIMIT: usize = 60;

fn target() -> impl Strategy<Value = Target> {
    prop_oneof![
        3 => Just(Target::Owner),
        1 => (0..AGENTS).prop_map(Target::Agent),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (10..800_u64).prop_map(Step::Wait),
        2 => (2_000..6_000_u64).prop_map(Step::Wait),
        6 => (-900..900_i64, target()).prop_map(|(skew, to)| Step::Call(skew, to)),
        2 => (1_100..3_000_i64, target()).prop_map(|(skew, to)| Step::Call(skew, to)),
        1 => (3_000..30_000_i64, target()).prop_map(|(skew, to)| Step::Call(skew, to)),
        8 => (0..8_usize, target()).prop_map(|(back, to)| Step::Retry(back, to)),
        2 => (0..AGENTS, 100..8_000_u64).prop_map(|(index, ms)| Step::Pause(index, ms)),
        1 => (0..AGENTS).prop_map(Step::Kill),
        1 => (0..AGENTS).prop_map(Step::Leave),
        1 => (0..AGENTS, 500..8_000_u64).prop_map(|(index, ms)| Step::Cut(index, ms)),
        1 => Just(Step::Down),
        1 => Just(Step::Mute),
        4 => Just(Step::Up),
        1 => (0..4_000_u64).prop_map(Step::Slow),
        1 => (2_500..9_000_u64).prop_map(Step::Retain),
    ]
}

/// Returns the strategy that generates schedules.
pub fn schedules() -> impl Strategy<Value = Vec<Step>> {
    vec(step(), 10..STEP_LIMIT)
}

/// Returns the schedule that a seed generates.
///
/// # Panics
///
/// Never: the strategy rejects nothing.
#[must_use]
pub fn schedule(seed: u64) -> Vec<Step> {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let tree = schedules().new_tree(&mut runner);
    tree.expect("nothing is rejected").current()
}

/// Runs a schedule after the first leases are claimed and returns the violated
/// invariant, if any.
#[must_use]
pub fn run(steps: &[Step], seed: u64, guards: Safeguards) -> Option<String> {
    let mut world = World::new(seed, guards);
    world.step(Step::Wait(6_000));
    for step in steps {
        world.step(*step);
    }
    world.finish();
    world.violation
}

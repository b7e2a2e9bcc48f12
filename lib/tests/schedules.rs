//! Random schedules that follow from a seed.

use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rapidhash::v3::rapidhash_v3;

/// Numbers that follow from a seed.
pub struct Dice(pub u64);

impl Dice {
    /// Returns a number below `end`.
    pub fn roll(&mut self, end: u64) -> u64 {
        self.0 = rapidhash_v3(&self.0.to_le_bytes());
        self.0 % end
    }
}

/// Runs a test with as many seeds, the same ones each time.
pub fn run_seeds(cases: u32, test: &dyn Fn(u64)) {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&any::<u64>(), |seed| {
        test(seed);
        Ok(())
    });
    result.expect("the property holds for all seeds");
}

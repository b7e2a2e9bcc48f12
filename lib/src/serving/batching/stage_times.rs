//! Expected durations of a request's stages, and the target time and deadline of each stage.

use std::time::Duration;

use crate::ids::PoolName;
use crate::serving::catalog::BatchLimits;
use crate::serving::catalog::Stage;
use crate::time::Time;

/// Ratio of the time of later stages, queueing included, to their expected time.
///
/// Without it a request may spend all its slack at its first stage and be late by the queueing at
/// the others. Half of their time on top leaves each stage some slack.
const QUEUEING_FACTOR: f64 = 1.5;

/// The fraction of their expected time that later stages take at the least.
///
/// Used for deadlines: the full expected time would fail requests that can still be served.
const MIN_TIME_FRACTION: f64 = 0.7;

/// The fraction of an endpoint's memory from which a job's results count as large.
///
/// Results of a twentieth or more leave memory for less than three full calls of other jobs;
/// smaller ones don't justify a delay.
const LARGE_RESULTS_FRACTION: f64 = 0.05;

/// How much earlier than needed a deferred stage starts.
///
/// About the wait for the call in flight, which the longer parallel stage has too.
const EARLY_START: Duration = Duration::from_millis(150);

#[derive(Debug, Clone, Copy, Default)]
struct StageTime {
    present: bool,
    duration: Duration,
    time_after: Duration,
    has_large_results: bool,
}

/// The expected times of one request's stages.
#[derive(Debug, Clone)]
pub struct StageTimes {
    stages: Vec<StageTime>,
}

impl StageTimes {
    /// Computes the times for the number of items of each stage, followed by a model that takes
    /// `first_event` to its first event.
    pub fn new(
        stages: &[Stage],
        counts: &[u32],
        first_event: Duration,
        limits: impl Fn(&PoolName) -> Option<BatchLimits>,
    ) -> Self {
        let times = stages.iter().zip(counts).map(|(stage, &count)| {
            let Some(limits) = limits(&stage.service).filter(|_| count > 0) else {
                return StageTime::default();
            };
            let result_bytes = stage.result_bytes.0 as f64 * f64::from(count);
            StageTime {
                present: true,
                duration: limits.call_overhead
                    + limits.item_time * count.min(limits.max_items as u32),
                time_after: first_event,
                has_large_results: result_bytes
                    >= LARGE_RESULTS_FRACTION * limits.result_memory.0 as f64,
            }
        });
        let mut times = Self {
            stages: times.collect(),
        };
        // Each round propagates one stage further back; dependencies have no cycles.
        for _ in stages {
            times.propagate(stages);
        }
        times
    }

    fn propagate(&mut self, stages: &[Stage]) {
        for (index, stage) in stages.iter().enumerate() {
            let Some(later) = self.stages.get(index).copied().filter(|t| t.present) else {
                continue;
            };
            for &dependency in &stage.depends_on {
                if let Some(earlier) = self.stages.get_mut(dependency) {
                    earlier.time_after = earlier.time_after.max(later.duration + later.time_after);
                }
            }
        }
    }

    /// Returns the time from the start of a stage to the first event.
    #[must_use]
    pub fn remaining(&self, stage: usize) -> Duration {
        let times = self.stages.get(stage).copied().unwrap_or_default();
        times.duration + times.time_after
    }

    /// Returns when a stage should be done for its request to meet its target time.
    #[must_use]
    pub fn target(&self, stage: usize, target: Time) -> Time {
        target - self.time_after(stage).mul_f64(QUEUEING_FACTOR)
    }

    /// Returns when a stage must be done for its request to meet its deadline.
    #[must_use]
    pub fn deadline(&self, stage: usize, deadline: Time) -> Time {
        deadline - self.time_after(stage).mul_f64(MIN_TIME_FRACTION)
    }

    /// Returns whether a stage can be deferred while others take `remaining` to the first event.
    ///
    /// Large results that are produced early and read at the very end would fill the memory of
    /// their endpoints for the whole request.
    #[must_use]
    pub fn can_defer(&self, stage: usize, remaining: Duration) -> bool {
        let times = self.stages.get(stage).copied().unwrap_or_default();
        times.has_large_results && self.remaining(stage) + EARLY_START < remaining
    }

    fn time_after(&self, stage: usize) -> Duration {
        self.stages
            .get(stage)
            .map_or(Duration::ZERO, |t| t.time_after)
    }
}

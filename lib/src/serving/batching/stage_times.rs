//! How long the stages of a request take, and what that leaves to each.

use std::time::Duration;

use crate::ids::PoolName;
use crate::serving::catalog::BatchLimits;
use crate::serving::catalog::Stage;
use crate::time::Time;

/// How much longer later work takes than its own time, in a queue.
///
/// Without it a request may use up all its slack at its first stage, and is
/// late by the waits at the others; with half of their time on top each stage
/// has its share.
const QUEUEING_FACTOR: f64 = 1.5;

/// The part of the expected time that later work takes at the very least.
///
/// Used for the moment after which work is useless, where the expected time
/// would give up requests that still can be served.
const MIN_TIME_FRACTION: f64 = 0.7;

/// The part of an endpoint's memory from which a job's results are large.
///
/// Results of a twentieth and more leave room for less than three full calls'
/// worth of other jobs; smaller ones are not worth any wait.
const LARGE_RESULTS_FRACTION: f64 = 0.05;

/// How much earlier than needed a stage with large results begins.
///
/// About the wait for the call at work: the stage beside it, which takes
/// longer, has such a wait too.
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
    /// Works the times out for `counts` pieces, before a model that takes
    /// `model` to its first event.
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
        // Each round reaches one stage further back; there are no circles.
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

    /// Returns when a stage should be done for its request to meet `goal`.
    #[must_use]
    pub fn target(&self, stage: usize, target: Time) -> Time {
        target - self.time_after(stage).mul_f64(QUEUEING_FACTOR)
    }

    /// Returns when a stage must be done for its request to meet `due`.
    #[must_use]
    pub fn deadline(&self, stage: usize, deadline: Time) -> Time {
        deadline - self.time_after(stage).mul_f64(MIN_TIME_FRACTION)
    }

    /// Tells whether a stage can wait while others, which take `rest` to the
    /// first event, go on.
    ///
    /// Large results that are made at once and read at the very end fill the
    /// memory of their endpoints for all of the request's time, and other
    /// requests find no room.
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

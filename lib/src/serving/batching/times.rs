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
const WAITS: f64 = 1.5;

/// The part of the expected time that later work takes at the very least.
///
/// Used for the moment after which work is useless, where the expected time
/// would give up requests that still can be served.
const LEAST: f64 = 0.7;

/// The part of an endpoint's memory from which a job's results are large.
///
/// Results of a twentieth and more leave room for less than three full calls'
/// worth of other jobs; smaller ones are not worth any wait.
const LARGE: f64 = 0.05;

/// How much earlier than needed a stage with large results begins.
///
/// About the wait for the call at work: the stage beside it, which takes
/// longer, has such a wait too.
const AHEAD: Duration = Duration::from_millis(150);

#[derive(Debug, Clone, Copy, Default)]
struct Times {
    present: bool,
    own: Duration,
    later: Duration,
    large: bool,
}

/// The expected times of one request's stages.
#[derive(Debug, Clone)]
pub struct StageTimes {
    stages: Vec<Times>,
}

impl StageTimes {
    /// Works the times out for `counts` pieces, before a model that takes
    /// `model` to its first event.
    pub fn new(
        stages: &[Stage],
        counts: &[u32],
        model: Duration,
        limits: impl Fn(&PoolName) -> Option<BatchLimits>,
    ) -> Self {
        let each = stages.iter().zip(counts).map(|(stage, &count)| {
            let Some(limits) = limits(&stage.service).filter(|_| count > 0) else {
                return Times::default();
            };
            let results = stage.result_bytes.0 as f64 * f64::from(count);
            Times {
                present: true,
                own: limits.call_overhead + limits.item_time * count.min(limits.max_items as u32),
                later: model,
                large: results >= LARGE * limits.result_memory.0 as f64,
            }
        });
        let mut times = Self {
            stages: each.collect(),
        };
        // Each round reaches one stage further back; there are no circles.
        for _ in stages {
            times.look_back(stages);
        }
        times
    }

    fn look_back(&mut self, stages: &[Stage]) {
        for (index, stage) in stages.iter().enumerate() {
            let Some(follower) = self.stages.get(index).copied().filter(|t| t.present) else {
                continue;
            };
            for &before in &stage.depends_on {
                if let Some(held) = self.stages.get_mut(before) {
                    held.later = held.later.max(follower.own + follower.later);
                }
            }
        }
    }

    /// Returns the time from the start of a stage to the first event.
    #[must_use]
    pub fn remaining(&self, stage: usize) -> Duration {
        let times = self.stages.get(stage).copied().unwrap_or_default();
        times.own + times.later
    }

    /// Returns when a stage should be done for its request to meet `goal`.
    #[must_use]
    pub fn target(&self, stage: usize, goal: Time) -> Time {
        goal - self.later(stage).mul_f64(WAITS)
    }

    /// Returns when a stage must be done for its request to meet `due`.
    #[must_use]
    pub fn deadline(&self, stage: usize, due: Time) -> Time {
        due - self.later(stage).mul_f64(LEAST)
    }

    /// Tells whether a stage can wait while others, which take `rest` to the
    /// first event, go on.
    ///
    /// Large results that are made at once and read at the very end fill the
    /// memory of their endpoints for all of the request's time, and other
    /// requests find no room.
    #[must_use]
    pub fn can_defer(&self, stage: usize, rest: Duration) -> bool {
        let times = self.stages.get(stage).copied().unwrap_or_default();
        times.large && self.remaining(stage) + AHEAD < rest
    }

    fn later(&self, stage: usize) -> Duration {
        self.stages.get(stage).map_or(Duration::ZERO, |t| t.later)
    }
}

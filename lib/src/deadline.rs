//! How much of a deadline each stage needs, learned from answers.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use crate::ids::PipelineName;
use crate::time::Time;

/// The buckets of a histogram.
const BUCKETS: usize = 128;

/// The lower end of the first bucket, in seconds.
const FIRST: f32 = 0.000_5;

/// The ratio between two buckets; all of them reach past the longest deadline.
const GROWTH: f32 = 1.12;

/// The observations after which old ones weigh half as much.
const MEMORY: f32 = 500.0;

/// The age after which the times of a stage say nothing any more.
const STALE: Duration = Duration::from_secs(10);

/// The observations below which a histogram says nothing.
const TRUSTED: f32 = 8.0;

/// A histogram of durations in which old observations fade.
#[derive(Debug, Clone)]
pub struct Quantiles {
    counts: [f32; BUCKETS],
    total: f32,
}

impl Default for Quantiles {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            total: 0.0,
        }
    }
}

impl Quantiles {
    /// Adds an observation.
    pub fn observe(&mut self, took: Duration) {
        if self.total >= MEMORY {
            self.fade();
        }
        let steps = (took.as_secs_f32() / FIRST).max(1.0).ln() / GROWTH.ln();
        let index = (steps as usize).min(BUCKETS - 1);
        self.counts[index] += 1.0;
        self.total += 1.0;
    }

    // Halving now and then costs less than a decay on each observation.
    fn fade(&mut self) {
        for count in &mut self.counts {
            *count *= 0.5;
        }
        self.total *= 0.5;
    }

    /// Returns the duration below which `part` of the observations lie.
    ///
    /// Returns `None` while there are too few of them.
    #[must_use]
    pub fn quantile(&self, part: f32) -> Option<Duration> {
        if self.total < TRUSTED {
            return None;
        }
        let wanted = part * self.total;
        let mut seen = 0.0;
        let mut middle = FIRST * GROWTH.sqrt();
        for &count in &self.counts {
            seen += count;
            if seen >= wanted && count > 0.0 {
                return Some(Duration::from_secs_f32(middle));
            }
            middle *= GROWTH;
        }
        None
    }
}

/// What was learned about one stage of one pipeline.
#[derive(Debug, Clone, Default)]
pub struct StageTime {
    /// The time from choosing an endpoint to the answer.
    pub elapsed: Quantiles,
    /// The time to the first token, or to the answer where there are none.
    pub first_token: Quantiles,
    output: Option<f32>,
    seen: Time,
}

impl StageTime {
    /// Notes that a stage was done now.
    pub const fn mark_seen(&mut self, now: Time) {
        self.seen = now;
    }

    /// Returns the usual number of output tokens, if any were seen.
    #[must_use]
    pub const fn output_tokens(&self) -> Option<f32> {
        self.output
    }

    /// Notes the output tokens of an answer.
    pub fn observe_output(&mut self, tokens: u32) {
        const WEIGHT: f32 = 0.05;
        let tokens = tokens as f32;
        let known = self.output.unwrap_or(tokens);
        self.output = Some(known + WEIGHT * (tokens - known));
    }
}

/// What was learned about the stages of all pipelines.
#[derive(Debug, Clone, Default)]
pub struct StageTimes {
    pipelines: BTreeMap<PipelineName, Vec<StageTime>>,
}

impl StageTimes {
    /// Returns what is known about a stage.
    #[must_use]
    pub fn get(&self, pipeline: &PipelineName, stage: usize) -> Option<&StageTime> {
        self.pipelines.get(pipeline)?.get(stage)
    }

    /// Returns a stage's entry for an update.
    pub fn entry(&mut self, pipeline: &PipelineName, stage: usize) -> &mut StageTime {
        if !self.pipelines.contains_key(pipeline) {
            self.pipelines.insert(pipeline.clone(), Vec::new());
        }
        let Some(stages) = self.pipelines.get_mut(pipeline) else {
            unreachable!("the entry was just made");
        };
        if stages.len() <= stage {
            stages.resize_with(stage + 1, StageTime::default);
        }
        &mut stages[stage]
    }

    /// Sums a quantile over stages.
    ///
    /// A stage counts as zero while too little is known of it, or nothing new.
    /// After an outage the times learned in it would condemn every request, so
    /// that no newer ones could be learned.
    #[must_use]
    pub fn remaining(
        &self,
        now: Time,
        pipeline: &PipelineName,
        stages: Range<usize>,
        part: f32,
    ) -> Duration {
        let known = |stage| {
            let known = self.get(pipeline, stage)?;
            if now.since(known.seen) > STALE {
                return None;
            }
            known.elapsed.quantile(part)
        };
        stages.filter_map(known).sum()
    }
}

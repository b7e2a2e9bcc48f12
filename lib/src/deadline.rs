//! How much of a deadline each stage needs, learned from answers.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use crate::ids::PipelineName;
use crate::time::Time;

/// The buckets of a histogram.
const BUCKET_COUNT: usize = 128;

/// The lower end of the first bucket, in seconds.
const FIRST_BUCKET_SECS: f32 = 0.000_5;

/// The ratio between two buckets; all of them reach past the longest deadline.
const BUCKET_RATIO: f32 = 1.12;

/// The observations after which old ones weigh half as much.
const FADE_COUNT: f32 = 500.0;

/// The age after which the times of a stage say nothing any more.
const STALE_AGE: Duration = Duration::from_secs(10);

/// The observations below which a histogram says nothing.
const MIN_COUNT: f32 = 8.0;

/// A histogram of durations in which old observations fade.
#[derive(Debug, Clone)]
pub struct Quantiles {
    counts: [f32; BUCKET_COUNT],
    total: f32,
}

impl Default for Quantiles {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKET_COUNT],
            total: 0.0,
        }
    }
}

impl Quantiles {
    /// Adds an observation.
    pub fn observe(&mut self, elapsed: Duration) {
        if self.total >= FADE_COUNT {
            self.halve();
        }
        let steps = (elapsed.as_secs_f32() / FIRST_BUCKET_SECS).max(1.0).ln() / BUCKET_RATIO.ln();
        let index = (steps as usize).min(BUCKET_COUNT - 1);
        self.counts[index] += 1.0;
        self.total += 1.0;
    }

    // Halving now and then costs less than a decay on each observation.
    fn halve(&mut self) {
        for count in &mut self.counts {
            *count *= 0.5;
        }
        self.total *= 0.5;
    }

    /// Returns the duration below which `part` of the observations lie.
    ///
    /// Returns `None` while there are too few of them.
    #[must_use]
    pub fn quantile(&self, fraction: f32) -> Option<Duration> {
        if self.total < MIN_COUNT {
            return None;
        }
        let rank = fraction * self.total;
        let mut cumulative = 0.0;
        let mut midpoint = FIRST_BUCKET_SECS * BUCKET_RATIO.sqrt();
        for &count in &self.counts {
            cumulative += count;
            if cumulative >= rank && count > 0.0 {
                return Some(Duration::from_secs_f32(midpoint));
            }
            midpoint *= BUCKET_RATIO;
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
    output_tokens: Option<f32>,
    last_seen: Time,
}

impl StageTime {
    /// Notes that a stage was done now.
    pub const fn mark_seen(&mut self, now: Time) {
        self.last_seen = now;
    }

    /// Returns the usual number of output tokens, if any were seen.
    #[must_use]
    pub const fn output_tokens(&self) -> Option<f32> {
        self.output_tokens
    }

    /// Notes the output tokens of an answer.
    pub fn observe_output(&mut self, tokens: u32) {
        const WEIGHT: f32 = 0.05;
        let tokens = tokens as f32;
        let known = self.output_tokens.unwrap_or(tokens);
        self.output_tokens = Some(known + WEIGHT * (tokens - known));
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
        fraction: f32,
    ) -> Duration {
        let known = |stage| {
            let known = self.get(pipeline, stage)?;
            if now.since(known.last_seen) > STALE_AGE {
                return None;
            }
            known.elapsed.quantile(fraction)
        };
        stages.filter_map(known).sum()
    }
}

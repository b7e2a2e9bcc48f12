//! Estimates of the time that each stage needs, learned from responses.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use crate::ids::PipelineName;
use crate::time::Time;

/// The number of buckets in a histogram.
const BUCKET_COUNT: usize = 128;

/// The lower bound of the first bucket, in seconds.
const FIRST_BUCKET_SECS: f32 = 0.000_5;

/// The ratio of adjacent bounds; the last bucket lies past the longest deadline.
const BUCKET_RATIO: f32 = 1.12;

/// The number of observations at which the weight of all is halved.
const FADE_COUNT: f32 = 500.0;

/// The age after which the observations of a stage are ignored.
const STALE_AGE: Duration = Duration::from_secs(10);

/// The number of observations below which a histogram gives no estimate.
const MIN_COUNT: f32 = 8.0;

/// A histogram of durations in which old observations lose weight.
#[derive(Debug, Clone)]
pub struct DurationHistogram {
    counts: [f32; BUCKET_COUNT],
    total: f32,
}

impl Default for DurationHistogram {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKET_COUNT],
            total: 0.0,
        }
    }
}

impl DurationHistogram {
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

    // Occasional halving is cheaper than decay on each observation.
    fn halve(&mut self) {
        for count in &mut self.counts {
            *count *= 0.5;
        }
        self.total *= 0.5;
    }

    /// Returns the duration below which `fraction` of the observations lie.
    ///
    /// Returns `None` if there are too few observations.
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

/// The observed times of one stage of one pipeline.
#[derive(Debug, Clone, Default)]
pub struct StageTime {
    /// The time from endpoint selection to the response.
    pub elapsed: DurationHistogram,
    /// The time to the first token, or to the response if it has no tokens.
    pub first_token: DurationHistogram,
    output_tokens: Option<f32>,
    last_seen: Time,
}

impl StageTime {
    /// Records that the stage completed now.
    pub const fn mark_seen(&mut self, now: Time) {
        self.last_seen = now;
    }

    /// Returns the average number of output tokens, if any were observed.
    #[must_use]
    pub const fn output_tokens(&self) -> Option<f32> {
        self.output_tokens
    }

    /// Records the output tokens of a response.
    pub fn observe_output(&mut self, tokens: u32) {
        const WEIGHT: f32 = 0.05;
        let tokens = tokens as f32;
        let known = self.output_tokens.unwrap_or(tokens);
        self.output_tokens = Some(known + WEIGHT * (tokens - known));
    }
}

/// The observed times of the stages of all pipelines.
#[derive(Debug, Clone, Default)]
pub struct StageTimes {
    pipelines: BTreeMap<PipelineName, Vec<StageTime>>,
}

impl StageTimes {
    /// Returns the observed times of a stage.
    #[must_use]
    pub fn get(&self, pipeline: &PipelineName, stage: usize) -> Option<&StageTime> {
        self.pipelines.get(pipeline)?.get(stage)
    }

    /// Returns the entry of a stage for an update, creating it if needed.
    pub fn entry(&mut self, pipeline: &PipelineName, stage: usize) -> &mut StageTime {
        if !self.pipelines.contains_key(pipeline) {
            self.pipelines.insert(pipeline.clone(), Vec::new());
        }
        let Some(stages) = self.pipelines.get_mut(pipeline) else {
            unreachable!("the entry was just inserted");
        };
        if stages.len() <= stage {
            stages.resize_with(stage + 1, StageTime::default);
        }
        &mut stages[stage]
    }

    /// Returns the sum of a quantile over stages.
    ///
    /// A stage with too few or only stale observations counts as zero. Times
    /// observed in an outage would otherwise refuse every request after it, so
    /// that no newer times could be observed.
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

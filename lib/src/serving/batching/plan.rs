//! Progress of the stages of one request, and which of them can start.

use std::collections::BTreeMap;

use derive_more::Display;
use derive_more::Error;

use super::stage_times::StageTimes;
use crate::serving::catalog::Stage;

/// The maximum number of restarts of a stage after lost results.
const MAX_RESTARTS: u8 = 2;

/// The input of a stage's items.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StageInput {
    /// The request's key, for a stage without dependencies.
    Key,
    /// The result handles of all items of the stages that it depends on.
    Results(Vec<String>),
}

/// Items of one stage that can start now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadyStage {
    /// The stage.
    pub stage: usize,
    /// The item numbers, from 0.
    pub items: Vec<u32>,
    /// The input of each item.
    pub input: StageInput,
}

/// An error in the stage work of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum PlanError {
    /// The number of item counts differs from the number of stages.
    #[display("{found} counts for {expected} stages: give one count for each stage")]
    CountMismatch {
        /// The number of counts given.
        found: usize,
        /// The number of stages of the route.
        expected: usize,
    },
    /// A stage lost its results too many times.
    #[display("stage {stage} lost its results {MAX_RESTARTS} times: retry later")]
    ResultsLost {
        /// The stage.
        stage: usize,
    },
}

#[derive(Debug, Clone, Default)]
struct StageProgress {
    item_count: u32,
    depends_on: Vec<usize>,
    results: BTreeMap<u32, String>,
    /// Items that were started and have no outcome yet.
    in_flight: Vec<u32>,
    restarts: u8,
    released: bool,
    /// Results of an earlier run of the stage that may still be held.
    superseded: Vec<String>,
}

impl StageProgress {
    fn is_done(&self) -> bool {
        self.results.len() as u32 == self.item_count
    }
}

/// The stage work of one request.
#[derive(Debug, Clone)]
pub struct StagePlan {
    stages: Vec<StageProgress>,
}

impl StagePlan {
    /// Plans a number of items for each stage; 0 skips the stage.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError::CountMismatch`] unless there is one count for each stage.
    pub fn new(stages: &[Stage], item_counts: &[u32]) -> Result<Self, PlanError> {
        if stages.len() != item_counts.len() {
            return Err(PlanError::CountMismatch {
                found: item_counts.len(),
                expected: stages.len(),
            });
        }
        let present = |&i: &usize| item_counts.get(i).is_some_and(|&c| c > 0);
        let progress = stages
            .iter()
            .zip(item_counts)
            .map(|(stage, &count)| StageProgress {
                item_count: count,
                depends_on: stage.depends_on.iter().copied().filter(present).collect(),
                ..StageProgress::default()
            });
        Ok(Self {
            stages: progress.collect(),
        })
    }

    /// Returns the items that can start and marks them as in flight.
    ///
    /// A stage with large results is deferred while others take longer anyway. The longest one is
    /// never deferred, so some stage always makes progress.
    pub fn start_ready(&mut self, times: &StageTimes) -> Vec<ReadyStage> {
        let mut ready = Vec::new();
        let missing = (0..self.stages.len()).filter(|&s| !self.stages[s].is_done());
        let longest = missing
            .map(|s| times.remaining(s))
            .max()
            .unwrap_or_default();
        for stage in 0..self.stages.len() {
            let progress = &self.stages[stage];
            if progress.is_done()
                || !progress
                    .depends_on
                    .iter()
                    .all(|&d| self.stages[d].is_done())
            {
                continue;
            }
            if times.can_defer(stage, longest) {
                continue;
            }
            let missing = (0..progress.item_count).filter(|i| !progress.results.contains_key(i));
            let items: Vec<u32> = missing
                .filter(|i| !progress.in_flight.contains(i))
                .collect();
            if items.is_empty() {
                continue;
            }
            let input = if progress.depends_on.is_empty() {
                StageInput::Key
            } else {
                StageInput::Results(self.results(&progress.depends_on))
            };
            self.stages[stage].in_flight.extend(&items);
            ready.push(ReadyStage {
                stage,
                items,
                input,
            });
        }
        ready
    }

    /// Handles the result of an item.
    pub fn on_result(&mut self, stage: usize, item: u32, handle: String) {
        let Some(progress) = self.stages.get_mut(stage) else {
            return;
        };
        progress.in_flight.retain(|&i| i != item);
        if item < progress.item_count && !progress.results.contains_key(&item) {
            progress.results.insert(item, handle);
        } else {
            progress.superseded.push(handle);
        }
    }

    /// Handles the failure of an item, which must be retried.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError::ResultsLost`] after too many restarts of a stage.
    pub fn on_failure(&mut self, stage: usize, item: u32) -> Result<(), PlanError> {
        let Some(progress) = self.stages.get_mut(stage) else {
            return Ok(());
        };
        progress.in_flight.retain(|&i| i != item);
        Self::count_restart(progress, stage)
    }

    /// Marks an item as no longer in flight.
    pub fn on_cancelled(&mut self, stage: usize, item: u32) {
        if let Some(progress) = self.stages.get_mut(stage) {
            progress.in_flight.retain(|&i| i != item);
        }
    }

    /// Handles an item that found an input gone.
    ///
    /// All dependencies are restarted, since the response doesn't say which result is missing.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError::ResultsLost`] after too many restarts of a stage.
    pub fn on_inputs_gone(&mut self, stage: usize, item: u32) -> Result<(), PlanError> {
        self.on_failure(stage, item)?;
        let dependencies = self
            .stages
            .get(stage)
            .map_or_else(Vec::new, |s| s.depends_on.clone());
        for stage in dependencies {
            self.restart(stage)?;
        }
        Ok(())
    }

    /// Handles a request that found one of the final results gone.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError::ResultsLost`] after too many restarts of a stage.
    pub fn on_results_gone(&mut self) -> Result<(), PlanError> {
        for stage in self.last_stages() {
            self.restart(stage)?;
        }
        Ok(())
    }

    fn restart(&mut self, stage: usize) -> Result<(), PlanError> {
        let progress = &mut self.stages[stage];
        if !progress.is_done() {
            return Ok(());
        }
        let results = std::mem::take(&mut progress.results);
        if !progress.released {
            progress.superseded.extend(results.into_values());
        }
        progress.released = false;
        Self::count_restart(progress, stage)?;
        // Its own inputs may have been released when it was done.
        let dependencies = self.stages[stage].depends_on.clone();
        for earlier in dependencies {
            if self.stages[earlier].released {
                self.restart(earlier)?;
            }
        }
        Ok(())
    }

    const fn count_restart(progress: &mut StageProgress, stage: usize) -> Result<(), PlanError> {
        if progress.restarts >= MAX_RESTARTS {
            return Err(PlanError::ResultsLost { stage });
        }
        progress.restarts += 1;
        Ok(())
    }

    /// Returns whether every stage is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.stages.iter().all(StageProgress::is_done)
    }

    /// Returns the final results, which are the inputs of the request itself.
    #[must_use]
    pub fn inputs(&self) -> Vec<String> {
        self.results(&self.last_stages())
    }

    /// Takes the results that no stage needs any more, each once.
    pub fn take_unneeded(&mut self) -> Vec<String> {
        let mut handles = Vec::new();
        for stage in 0..self.stages.len() {
            let mut dependents = self.stages.iter().filter(|s| s.depends_on.contains(&stage));
            let progress = &self.stages[stage];
            let has_dependents = progress.item_count > 0 && dependents.clone().next().is_some();
            if progress.released || !has_dependents || !dependents.all(StageProgress::is_done) {
                continue;
            }
            handles.extend(progress.results.values().cloned());
            self.stages[stage].released = true;
        }
        handles
    }

    /// Takes the results that were produced again, each once.
    ///
    /// While a stage that reads them still runs they are kept: items of it that are retried read
    /// the inputs with which they started.
    pub fn take_superseded(&mut self) -> Vec<String> {
        let mut handles = Vec::new();
        for stage in 0..self.stages.len() {
            let is_reader = |s: &&StageProgress| s.depends_on.contains(&stage);
            let mut readers = self.stages.iter().filter(is_reader);
            if readers.all(|s| s.in_flight.is_empty()) {
                handles.append(&mut self.stages[stage].superseded);
            }
        }
        handles
    }

    /// Returns whether any final results were released.
    #[must_use]
    pub fn is_released(&self) -> bool {
        let last = self.last_stages();
        last.iter().any(|&stage| self.stages[stage].released)
    }

    /// Takes all results that were not released yet.
    pub fn take_remaining(&mut self) -> Vec<String> {
        let mut handles = Vec::new();
        for progress in &mut self.stages {
            if !progress.released {
                handles.extend(progress.results.values().cloned());
                progress.released = true;
            }
        }
        handles
    }

    /// Returns whether a stage has all its results.
    #[must_use]
    pub fn is_stage_done(&self, stage: usize) -> bool {
        self.stages.get(stage).is_some_and(StageProgress::is_done)
    }

    /// Returns the number of items of each stage.
    #[must_use]
    pub fn item_counts(&self) -> Vec<u32> {
        self.stages.iter().map(|s| s.item_count).collect()
    }

    fn last_stages(&self) -> Vec<usize> {
        let has_dependents = |i: &usize| {
            self.stages
                .iter()
                .any(|s| s.item_count > 0 && s.depends_on.contains(i))
        };
        (0..self.stages.len())
            .filter(|i| !has_dependents(i))
            .collect()
    }

    fn results(&self, stages: &[usize]) -> Vec<String> {
        let results = stages.iter().flat_map(|&i| self.stages[i].results.values());
        results.cloned().collect()
    }
}

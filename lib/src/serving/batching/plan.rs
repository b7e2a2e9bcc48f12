//! The stages of one request: what is done, and what may begin.

use std::collections::BTreeMap;

use derive_more::Display;
use derive_more::Error;

use super::times::StageTimes;
use crate::serving::catalog::Stage;

/// The most times that one stage is done again for lost results.
const AGAIN_MAX: u8 = 2;

/// What the pieces of a stage start from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StageInput {
    /// The request's own key: for a stage that comes after no other.
    Key,
    /// The results of all pieces of the stages before.
    Results(Vec<String>),
}

/// Pieces of one stage that may begin now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadyStage {
    /// The stage.
    pub stage: usize,
    /// The pieces, from 0.
    pub items: Vec<u32>,
    /// What they start from.
    pub input: StageInput,
}

/// Why stage work can't go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum PlanError {
    /// The number of counts is not the number of stages.
    #[display("{found} counts for {wanted} stages: give one count for each stage")]
    Counts {
        /// The counts given.
        found: usize,
        /// The stages of the route.
        wanted: usize,
    },
    /// A stage lost its results too often.
    #[display("stage {stage} lost its results {AGAIN_MAX} times: come back later")]
    Lost {
        /// The stage.
        stage: usize,
    },
}

#[derive(Debug, Clone, Default)]
struct Progress {
    count: u32,
    after: Vec<usize>,
    results: BTreeMap<u32, String>,
    /// Pieces that were given out and have not come back.
    open: Vec<u32>,
    again: u8,
    freed: bool,
}

impl Progress {
    fn is_done(&self) -> bool {
        self.results.len() as u32 == self.count
    }
}

/// The stage work of one request.
#[derive(Debug, Clone)]
pub struct StagePlan {
    stages: Vec<Progress>,
}

impl StagePlan {
    /// Plans `counts` pieces for each stage; 0 leaves a stage out.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError::Counts`] if the counts don't fit the stages.
    pub fn new(stages: &[Stage], counts: &[u32]) -> Result<Self, PlanError> {
        if stages.len() != counts.len() {
            return Err(PlanError::Counts {
                found: counts.len(),
                wanted: stages.len(),
            });
        }
        let present = |&i: &usize| counts.get(i).is_some_and(|&c| c > 0);
        let progress = stages.iter().zip(counts).map(|(stage, &count)| Progress {
            count,
            after: stage.depends_on.iter().copied().filter(present).collect(),
            ..Progress::default()
        });
        Ok(Self {
            stages: progress.collect(),
        })
    }

    /// Returns the pieces that may begin, and takes them as begun.
    ///
    /// A stage with large results waits while others take longer anyway. The
    /// one that takes longest never waits, so there is always one under way.
    pub fn start_ready(&mut self, times: &StageTimes) -> Vec<ReadyStage> {
        let mut orders = Vec::new();
        let missing = (0..self.stages.len()).filter(|&s| !self.stages[s].is_done());
        let rest = missing
            .map(|s| times.remaining(s))
            .max()
            .unwrap_or_default();
        for stage in 0..self.stages.len() {
            let held = &self.stages[stage];
            if held.is_done() || !held.after.iter().all(|&a| self.stages[a].is_done()) {
                continue;
            }
            if times.can_defer(stage, rest) {
                continue;
            }
            let missing = (0..held.count).filter(|p| !held.results.contains_key(p));
            let pieces: Vec<u32> = missing.filter(|p| !held.open.contains(p)).collect();
            if pieces.is_empty() {
                continue;
            }
            let work = if held.after.is_empty() {
                StageInput::Key
            } else {
                StageInput::Results(self.results(&held.after))
            };
            self.stages[stage].open.extend(&pieces);
            orders.push(ReadyStage {
                stage,
                items: pieces,
                input: work,
            });
        }
        orders
    }

    /// Notes the result of a piece.
    pub fn on_result(&mut self, stage: usize, piece: u32, handle: String) {
        let Some(held) = self.stages.get_mut(stage) else {
            return;
        };
        held.open.retain(|&p| p != piece);
        if piece < held.count {
            held.results.entry(piece).or_insert(handle);
        }
    }

    /// Notes that a piece has to be done again.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError::Lost`] if this happened too often.
    pub fn on_failure(&mut self, stage: usize, piece: u32) -> Result<(), PlanError> {
        let Some(held) = self.stages.get_mut(stage) else {
            return Ok(());
        };
        held.open.retain(|&p| p != piece);
        Self::again(held, stage)
    }

    /// Notes that a piece is not under way any more.
    pub fn on_cancelled(&mut self, stage: usize, piece: u32) {
        if let Some(held) = self.stages.get_mut(stage) {
            held.open.retain(|&p| p != piece);
        }
    }

    /// Notes that a piece found an input gone: the stages before it are done
    /// again, since the answer does not say which result is missing.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError::Lost`] if this happened too often.
    pub fn on_inputs_gone(&mut self, stage: usize, piece: u32) -> Result<(), PlanError> {
        self.on_failure(stage, piece)?;
        let before = self
            .stages
            .get(stage)
            .map_or_else(Vec::new, |s| s.after.clone());
        for stage in before {
            self.restart(stage)?;
        }
        Ok(())
    }

    /// Notes that the request itself found a result gone.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError::Lost`] if this happened too often.
    pub fn on_results_gone(&mut self) -> Result<(), PlanError> {
        for stage in self.last_stages() {
            self.restart(stage)?;
        }
        Ok(())
    }

    fn restart(&mut self, stage: usize) -> Result<(), PlanError> {
        let held = &mut self.stages[stage];
        if !held.is_done() {
            return Ok(());
        }
        held.results.clear();
        held.freed = false;
        Self::again(held, stage)?;
        // Its own inputs may have been given back when it was done.
        let before = self.stages[stage].after.clone();
        for earlier in before {
            if self.stages[earlier].freed {
                self.restart(earlier)?;
            }
        }
        Ok(())
    }

    const fn again(held: &mut Progress, stage: usize) -> Result<(), PlanError> {
        if held.again >= AGAIN_MAX {
            return Err(PlanError::Lost { stage });
        }
        held.again += 1;
        Ok(())
    }

    /// Tells whether every stage is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.stages.iter().all(Progress::is_done)
    }

    /// Returns the results that the request itself needs.
    #[must_use]
    pub fn inputs(&self) -> Vec<String> {
        self.results(&self.last_stages())
    }

    /// Returns results that no stage needs any more, each once.
    pub fn take_unneeded(&mut self) -> Vec<String> {
        let mut handles = Vec::new();
        for stage in 0..self.stages.len() {
            let mut followers = self.stages.iter().filter(|s| s.after.contains(&stage));
            let held = &self.stages[stage];
            let followed = held.count > 0 && followers.clone().next().is_some();
            if held.freed || !followed || !followers.all(Progress::is_done) {
                continue;
            }
            handles.extend(held.results.values().cloned());
            self.stages[stage].freed = true;
        }
        handles
    }

    /// Tells whether results that the request itself needs were given back.
    #[must_use]
    pub fn is_released(&self) -> bool {
        let last = self.last_stages();
        last.iter().any(|&stage| self.stages[stage].freed)
    }

    /// Returns all results that were not given back yet.
    pub fn take_remaining(&mut self) -> Vec<String> {
        let mut handles = Vec::new();
        for held in &mut self.stages {
            if !held.freed {
                handles.extend(held.results.values().cloned());
                held.freed = true;
            }
        }
        handles
    }

    /// Returns the number of pieces from a stage on, by stage.
    #[must_use]
    pub fn item_counts(&self) -> Vec<u32> {
        self.stages.iter().map(|s| s.count).collect()
    }

    fn last_stages(&self) -> Vec<usize> {
        let followed = |i: &usize| {
            self.stages
                .iter()
                .any(|s| s.count > 0 && s.after.contains(i))
        };
        (0..self.stages.len()).filter(|i| !followed(i)).collect()
    }

    fn results(&self, stages: &[usize]) -> Vec<String> {
        let results = stages.iter().flat_map(|&i| self.stages[i].results.values());
        results.cloned().collect()
    }
}

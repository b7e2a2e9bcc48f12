//! The goals of requests whose callers come back.
//!
//! A caller that was refused sends its request again, and its answer is still
//! due from the first time on. Taken for new, it is served before others that
//! can be on time, and is late all the same. On a heavy day one request in five
//! is such a second one. The request's own key stays the same, so whoever saw
//! its work before knows when it is due.

use std::collections::BTreeMap;
use std::time::Duration;

use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

use super::queue::Job;
use crate::time::Time;

/// The time between two looks for goals that nobody comes back for.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

const SECRETS: RapidSecrets = RapidSecrets::seed(0);

#[derive(Debug, Clone, Copy)]
struct First {
    goal: Time,
    /// When its caller has given up for good.
    until: Time,
}

/// The first goal of each request that a queue saw lately.
#[derive(Debug, Clone, Default)]
pub(super) struct FirstGoals {
    goals: BTreeMap<u64, First>,
    swept: Time,
}

impl FirstGoals {
    /// Returns the goal of a job: that of the first one for the same work, if
    /// there was one.
    pub(super) fn goal(&mut self, job: &Job) -> Time {
        if job.key.is_empty() {
            return job.target;
        }
        let text = format!("{} {}", job.stage, job.key);
        let id = rapidhash_v3_seeded(text.as_bytes(), &SECRETS);
        let new = First {
            goal: job.target,
            until: job.deadline,
        };
        let first = self.goals.entry(id).or_insert(new);
        first.goal = first.goal.min(job.target);
        first.until = first.until.max(job.deadline);
        first.goal
    }

    /// Forgets the goals that nobody comes back for.
    pub(super) fn sweep(&mut self, now: Time) {
        if now.since(self.swept) < SWEEP_EVERY {
            return;
        }
        self.swept = now;
        self.goals.retain(|_, first| first.until > now);
    }
}

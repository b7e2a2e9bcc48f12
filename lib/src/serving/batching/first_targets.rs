//! Remembers the target times of requests whose callers retry.
//!
//! The target time of a retried request counts from its first attempt. Treated as new, it would
//! go before others that can be on time and still be late. Under heavy load one request in five
//! is a retry. Its key stays the same, so the first target time can be looked up by it.

use std::collections::BTreeMap;
use std::time::Duration;

use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

use super::queue::Job;
use crate::time::Time;

/// The interval at which expired entries are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

const SECRETS: RapidSecrets = RapidSecrets::seed(0);

#[derive(Debug, Clone, Copy)]
struct FirstAttempt {
    target: Time,
    /// The latest deadline of its attempts.
    expires_at: Time,
}

/// The first target time of each recent request of a queue.
#[derive(Debug, Clone, Default)]
pub(super) struct FirstTargets {
    attempts: BTreeMap<u64, FirstAttempt>,
    last_sweep: Time,
}

impl FirstTargets {
    /// Returns the target time of the first attempt at a job, which may be this one.
    pub(super) fn target(&mut self, job: &Job) -> Time {
        if job.key.is_empty() {
            return job.target;
        }
        let text = format!("{} {}", job.stage, job.key);
        let id = rapidhash_v3_seeded(text.as_bytes(), &SECRETS);
        let attempt = FirstAttempt {
            target: job.target,
            expires_at: job.deadline,
        };
        let first = self.attempts.entry(id).or_insert(attempt);
        first.target = first.target.min(job.target);
        first.expires_at = first.expires_at.max(job.deadline);
        first.target
    }

    /// Removes entries whose deadline has passed.
    pub(super) fn sweep(&mut self, now: Time) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.attempts.retain(|_, first| first.expires_at > now);
    }
}

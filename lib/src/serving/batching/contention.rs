//! The order of jobs where callers compete for insufficient capacity.

use std::time::Duration;

use super::queue::BatchQueue;
use super::queue::JobId;
use super::queue::JobState;
use crate::ids::ClientAccount;
use crate::serving::admission::FairShares;
use crate::serving::admission::LoadReport;
use crate::serving::admission::PRIORITIES;
use crate::serving::admission::REFUSALS_MAX;
use crate::serving::admission::Work;
use crate::serving::admission::start_limit;
use crate::time::Time;

/// The full calls that may still be done before the deadline of a job that goes first.
///
/// One may be in flight at each endpoint, and the next one has the job's items.
const LAST_CALLS: u32 = 2;

/// The rank of a job in the send order; smaller ones go first, and jobs of equal rank may be
/// reordered to fill calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SendRank {
    /// Whether it has time for more than the last calls before its deadline.
    can_wait: bool,
    priority: u8,
    may_yield: bool,
    late: bool,
    standing: u8,
}

impl SendRank {
    /// Returns the rank of a job where callers do not compete.
    pub(super) const fn of_late(late: bool) -> Self {
        Self {
            can_wait: false,
            priority: 0,
            may_yield: false,
            late,
            standing: 0,
        }
    }
}

impl BatchQueue {
    /// Orders jobs by the fair shares of their accounts when capacity is insufficient.
    pub fn enable_fair_shares(&mut self) {
        self.shares.get_or_insert_default();
    }

    /// Records that a request of an account needs items, whether it is accepted or not.
    pub fn record_demand(&mut self, now: Time, account: Option<&ClientAccount>, items: usize) {
        if let Some(shares) = &mut self.shares {
            shares.record_demand(now, account, items as f64);
        }
    }

    /// Returns whether an account got more than its share of this queue's items.
    #[must_use]
    pub fn is_over_share(&self, account: Option<&ClientAccount>) -> bool {
        let shares = self.shares.as_ref();
        shares.is_some_and(|s: &FairShares| s.is_over(account))
    }

    /// Marks the jobs of accounts that got more than their share.
    pub(super) fn mark_over_share(&mut self, now: Time) {
        let Some(shares) = &mut self.shares else {
            return;
        };
        shares.update(now);
        for job_state in self.jobs.values_mut() {
            let chain = job_state.job.chain.as_ref();
            job_state.over_share = chain.is_some_and(|c| shares.is_over(c.account.as_ref()));
        }
    }

    /// Returns what waits, for the owners of first stages.
    #[must_use]
    pub fn load_report(&self, now: Time) -> LoadReport {
        let mut work = Work::default();
        for job_state in self.jobs.values() {
            let items = job_state.waiting_items();
            if items > 0 {
                let job = &job_state.job;
                let due = start_limit(now, job.target, job.deadline);
                work.add(due, job.priority, items as f64);
            }
        }
        LoadReport {
            at: now,
            rate: self.service_rate(now),
            work,
        }
    }

    /// Returns the standing of a job's request among others of its priority, where callers
    /// compete; larger ones yield first.
    pub(super) fn standing(&self, job_state: &JobState) -> Option<u8> {
        self.shares.as_ref()?;
        let chain = job_state.job.chain.as_ref()?;
        if chain.refusals >= REFUSALS_MAX {
            return Some(0);
        }
        let is_new = chain.refusals == 0;
        Some(1 + 2 * u8::from(job_state.over_share) + u8::from(is_new))
    }

    /// Returns the jobs with waiting items by rank and target time, if callers compete and
    /// not all jobs can be on time.
    pub(super) fn contended_order(&self, now: Time) -> Option<Vec<(SendRank, JobId)>> {
        self.shares.as_ref()?;
        let waiting = self.jobs.iter().filter(|(_, j)| j.waiting_items() > 0);
        if !waiting.clone().any(|(_, j)| j.late) {
            return None;
        }
        let last_calls = self.expected_time(self.limits.max_items) * LAST_CALLS;
        let ranked = waiting.map(|(&id, job_state)| {
            let rank = self.send_rank(now, job_state, last_calls);
            (rank, job_state.job.target, id)
        });
        let mut order: Vec<(SendRank, Time, JobId)> = ranked.collect();
        order.sort();
        let order = order.into_iter();
        Some(order.map(|(rank, _, id)| (rank, id)).collect())
    }

    fn send_rank(&self, now: Time, job_state: &JobState, last_calls: Duration) -> SendRank {
        let job = &job_state.job;
        let standing = self.standing(job_state).unwrap_or(u8::MAX);
        let can_wait = !job_state.is_accepted() || job.deadline.since(now) > last_calls;
        SendRank {
            can_wait,
            priority: job.priority.min(PRIORITIES as u8 - 1),
            may_yield: standing > 0,
            late: job_state.late,
            standing,
        }
    }
}

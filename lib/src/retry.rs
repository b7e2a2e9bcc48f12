//! Budgets that keep retries a small part of the traffic.

use std::collections::BTreeMap;

use crate::ids::PoolName;

/// The retries earned by each first attempt.
///
/// A tenth covers the loss of one endpoint in ten while retries can't more
/// than add a tenth to an overloaded pool, so that a retry storm dies out.
const RATIO: f64 = 0.1;

/// The most retries that a pool may save up.
const SAVED_MAX: f64 = 20.0;

/// The retries of a pool that has seen no traffic yet.
const SAVED_FIRST: f64 = 5.0;

/// A retry budget for each pool, filled by first attempts.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    saved: BTreeMap<PoolName, f64>,
}

impl RetryBudget {
    /// Notes a first attempt, which earns a part of a retry.
    pub fn earn(&mut self, pool: &PoolName) {
        if let Some(saved) = self.saved.get_mut(pool) {
            *saved = (*saved + RATIO).min(SAVED_MAX);
            return;
        }
        self.saved.insert(pool.clone(), SAVED_FIRST + RATIO);
    }

    /// Takes one retry out, if there is one.
    pub fn try_spend(&mut self, pool: &PoolName) -> bool {
        match self.saved.get_mut(pool) {
            Some(saved) if *saved >= 1.0 => {
                *saved -= 1.0;
                true
            }
            _ => false,
        }
    }
}

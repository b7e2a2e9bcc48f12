//! Budgets that limit retries to a small fraction of the traffic.

use std::collections::BTreeMap;

use crate::ids::PoolName;

/// The retries earned by each first attempt.
///
/// One in ten covers the loss of one endpoint in ten. An overloaded pool gets
/// at most a tenth more load from retries, so that a retry storm dies out.
const RETRIES_PER_ATTEMPT: f64 = 0.1;

/// The maximum number of unspent retries per pool.
const BALANCE_MAX: f64 = 20.0;

/// The initial number of retries of a pool without traffic.
const INITIAL_BALANCE: f64 = 5.0;

/// A retry budget for each pool, filled by first attempts.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    balances: BTreeMap<PoolName, f64>,
}

impl RetryBudget {
    /// Records a first attempt, which earns a fraction of a retry.
    pub fn earn(&mut self, pool: &PoolName) {
        if let Some(balance) = self.balances.get_mut(pool) {
            *balance = (*balance + RETRIES_PER_ATTEMPT).min(BALANCE_MAX);
            return;
        }
        self.balances
            .insert(pool.clone(), INITIAL_BALANCE + RETRIES_PER_ATTEMPT);
    }

    /// Spends one retry of the pool and returns whether there was one.
    pub fn try_spend(&mut self, pool: &PoolName) -> bool {
        match self.balances.get_mut(pool) {
            Some(balance) if *balance >= 1.0 => {
                *balance -= 1.0;
                true
            }
            _ => false,
        }
    }
}

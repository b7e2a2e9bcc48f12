//! Budgets that keep retries a small part of the traffic.

use std::collections::BTreeMap;

use crate::ids::PoolName;

/// The retries earned by each first attempt.
///
/// A tenth covers the loss of one endpoint in ten while retries can't more
/// than add a tenth to an overloaded pool, so that a retry storm dies out.
const RETRIES_PER_ATTEMPT: f64 = 0.1;

/// The most retries that a pool may save up.
const BALANCE_MAX: f64 = 20.0;

/// The retries of a pool that has seen no traffic yet.
const INITIAL_BALANCE: f64 = 5.0;

/// A retry budget for each pool, filled by first attempts.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    balances: BTreeMap<PoolName, f64>,
}

impl RetryBudget {
    /// Notes a first attempt, which earns a part of a retry.
    pub fn earn(&mut self, pool: &PoolName) {
        if let Some(balance) = self.balances.get_mut(pool) {
            *balance = (*balance + RETRIES_PER_ATTEMPT).min(BALANCE_MAX);
            return;
        }
        self.balances
            .insert(pool.clone(), INITIAL_BALANCE + RETRIES_PER_ATTEMPT);
    }

    /// Takes one retry out, if there is one.
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

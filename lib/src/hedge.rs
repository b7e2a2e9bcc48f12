//! The budget that keeps hedges a small part of the calls.

/// The hedges earned by each first attempt; the users' bound is 5% of calls.
const HEDGES_PER_ATTEMPT: f64 = 0.04;

/// The most hedges that may be saved up.
const BALANCE_MAX: f64 = 10.0;

/// The hedges of a router that has seen no traffic yet.
const INITIAL_BALANCE: f64 = 1.0;

/// A hedge budget, filled by first attempts.
#[derive(Debug, Clone)]
pub struct HedgeBudget {
    balance: f64,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self {
            balance: INITIAL_BALANCE,
        }
    }
}

impl HedgeBudget {
    /// Notes a first attempt, which earns a part of a hedge.
    pub const fn earn(&mut self) {
        self.balance = (self.balance + HEDGES_PER_ATTEMPT).min(BALANCE_MAX);
    }

    /// Takes one hedge out, if there is one.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

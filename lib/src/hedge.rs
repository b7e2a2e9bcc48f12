//! A budget that limits hedges to a small fraction of the calls.

/// The hedges earned by each first attempt; the requirement is at most 5% of calls.
const HEDGES_PER_ATTEMPT: f64 = 0.04;

/// The maximum number of unspent hedges.
const BALANCE_MAX: f64 = 10.0;

/// The initial number of hedges of a router without traffic.
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
    /// Records a first attempt, which earns a fraction of a hedge.
    pub const fn earn(&mut self) {
        self.balance = (self.balance + HEDGES_PER_ATTEMPT).min(BALANCE_MAX);
    }

    /// Spends one hedge and returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

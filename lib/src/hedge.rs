//! The budget that keeps hedges a small part of the calls.

/// The hedges earned by each first attempt; the users' bound is 5% of calls.
const RATIO: f64 = 0.04;

/// The most hedges that may be saved up.
const SAVED_MAX: f64 = 10.0;

/// The hedges of a router that has seen no traffic yet.
const SAVED_FIRST: f64 = 1.0;

/// A hedge budget, filled by first attempts.
#[derive(Debug, Clone)]
pub struct HedgeBudget {
    saved: f64,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self { saved: SAVED_FIRST }
    }
}

impl HedgeBudget {
    /// Notes a first attempt, which earns a part of a hedge.
    pub const fn earn(&mut self) {
        self.saved = (self.saved + RATIO).min(SAVED_MAX);
    }

    /// Takes one hedge out, if there is one.
    pub fn try_spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

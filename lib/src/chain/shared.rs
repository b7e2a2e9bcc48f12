//! The state that all chains of a router share.

use std::collections::BTreeMap;
use std::fmt;

use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::deadline::StageTimes;
use crate::hedge::HedgeBudget;
use crate::ids::ClientAccount;
use crate::limits::Fairness;
use crate::retry::RetryBudget;
use crate::routing::Fleet;
use crate::routing::Policy;
use crate::routing::RouterLocation;

/// The router-wide state that all chains use for their decisions.
pub struct Shared {
    /// This router's view of the endpoints.
    pub fleet: Fleet,
    /// The observed durations of stages.
    pub times: StageTimes,
    /// The budget for retries.
    pub retry: RetryBudget,
    /// The budget for hedges.
    pub hedge: HedgeBudget,
    /// Fair sharing between client accounts.
    pub fair: Fairness,
    /// The shares of client accounts under contention.
    pub shares: BTreeMap<ClientAccount, f64>,
    /// The random generator for ties and jitter.
    pub rng: Pcg32,
    /// The policy for the choice of endpoints.
    pub policy: Box<dyn Policy>,
}

impl Shared {
    /// Builds the initial state of a router.
    #[must_use]
    pub fn new(home: RouterLocation, policy: Box<dyn Policy>, seed: u64) -> Self {
        Self {
            fleet: Fleet::new(home),
            times: StageTimes::default(),
            retry: RetryBudget::default(),
            hedge: HedgeBudget::default(),
            fair: Fairness::default(),
            shares: BTreeMap::new(),
            rng: Pcg32::seed_from_u64(seed),
            policy,
        }
    }

    /// Returns an account's share under contention.
    #[must_use]
    pub fn share(&self, account: &ClientAccount) -> f64 {
        self.shares.get(account).copied().unwrap_or(1.0)
    }
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared")
            .field("policy", &self.policy.name())
            .finish_non_exhaustive()
    }
}

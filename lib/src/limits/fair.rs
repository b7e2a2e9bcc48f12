//! Fairness between client accounts under contention for endpoints.

use std::collections::BTreeMap;

use crate::ids::ClientAccount;
use crate::time::Time;

/// The time constant of the decaying average of use, in seconds.
const USE_WINDOW_SECS: f64 = 5.0;

/// The use below which an account is removed.
const USE_MIN: f64 = 1e-3;

/// The fraction of its time budget for an account far above its share.
const BUDGET_FRACTION_MIN: f64 = 0.8;

/// The recent use of endpoints by each client account.
#[derive(Debug, Clone, Default)]
pub struct Fairness {
    uses: BTreeMap<ClientAccount, Use>,
}

#[derive(Debug, Clone, Copy)]
struct Use {
    share: f64,
    work: f64,
    updated_at: Time,
}

impl Use {
    fn work(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.work * (-elapsed / USE_WINDOW_SECS).exp()
    }
}

impl Fairness {
    /// Records work admitted for an account with its share under contention.
    pub fn record(&mut self, now: Time, account: &ClientAccount, share: f64, work: f64) {
        self.uses.retain(|_, u| u.work(now) > USE_MIN);
        let known = self.uses.get(account).map_or(0.0, |u| u.work(now));
        let entry = Use {
            share,
            work: known + work,
            updated_at: now,
        };
        self.uses.insert(account.clone(), entry);
    }

    /// Returns the fraction of the time to the deadline that an account may use.
    ///
    /// An account above its share is refused at a shorter queue, so that it can't
    /// fill the queue up to where accounts below their share are refused.
    #[must_use]
    pub fn budget_fraction(&self, now: Time, account: &ClientAccount) -> f64 {
        let Some(own) = self.uses.get(account) else {
            return 1.0;
        };
        let shares: f64 = self.uses.values().map(|u| u.share).sum();
        let works: f64 = self.uses.values().map(|u| u.work(now)).sum();
        if works <= 0.0 || shares <= 0.0 {
            return 1.0;
        }
        let fair = own.share / shares;
        let excess = own.work(now) / works / fair - 1.0;
        1.0 - (1.0 - BUDGET_FRACTION_MIN) * excess.clamp(0.0, 1.0)
    }
}

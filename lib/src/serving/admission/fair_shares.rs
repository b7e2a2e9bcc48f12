//! Max-min fair shares of a service's items between client accounts.
//!
//! An account that gets more than its share yields to the others while there is
//! more demand than capacity. Without unmet demand nobody yields.

use std::collections::BTreeMap;

use super::window::Window;
use crate::ids::ClientAccount;
use crate::time::Time;

/// The most accounts that are remembered; the one idle for longest is evicted first.
const ACCOUNTS_MAX: usize = 2_000;

/// The ratio of demand to served items from which demand counts as unmet.
///
/// Items that were just submitted are always a few hundredths ahead of those served.
const UNMET_RATIO: f64 = 1.05;

#[derive(Debug, Clone, Default)]
struct Usage {
    served: Window,
    demanded: Window,
    last_seen: Time,
    is_over: bool,
}

/// The items that each account demanded and got in the last 5 s.
#[derive(Debug, Clone, Default)]
pub struct FairShares {
    /// Requests without a key count as one account.
    accounts: BTreeMap<Option<ClientAccount>, Usage>,
}

impl FairShares {
    /// Records that an account's request needs items, whether it is accepted or not.
    pub fn record_demand(&mut self, now: Time, account: Option<&ClientAccount>, items: f64) {
        self.usage(now, account).demanded.add(now, items);
    }

    /// Records that items of an account were sent.
    pub fn record_served(&mut self, now: Time, account: Option<&ClientAccount>, items: f64) {
        self.usage(now, account).served.add(now, items);
    }

    /// Returns whether an account got more than its share, as of the last update.
    #[must_use]
    pub fn is_over(&self, account: Option<&ClientAccount>) -> bool {
        let usage = self.accounts.get(&account.cloned());
        usage.is_some_and(|u| u.is_over)
    }

    /// Returns the number of accounts that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no account is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Determines the accounts that got more than their share.
    pub fn update(&mut self, now: Time) {
        let mut demands = Vec::with_capacity(self.accounts.len());
        let mut served_total = 0.0;
        for usage in self.accounts.values_mut() {
            let served = usage.served.total(now);
            served_total += served;
            demands.push(served.max(usage.demanded.total(now)));
        }
        let demand_total: f64 = demands.iter().sum();
        let share = if demand_total > served_total * UNMET_RATIO {
            fair_share(&mut demands, served_total)
        } else {
            f64::INFINITY
        };
        for usage in self.accounts.values_mut() {
            usage.is_over = usage.served.total(now) > share;
        }
    }

    fn usage(&mut self, now: Time, account: Option<&ClientAccount>) -> &mut Usage {
        let key = account.cloned();
        if !self.accounts.contains_key(&key) && self.accounts.len() >= ACCOUNTS_MAX {
            let oldest = self.accounts.iter().min_by_key(|(_, u)| u.last_seen);
            let oldest = oldest.map(|(a, _)| a.clone());
            if let Some(oldest) = oldest {
                self.accounts.remove(&oldest);
            }
        }
        let usage = self.accounts.entry(key).or_default();
        usage.last_seen = now;
        usage
    }
}

/// Returns the max-min fair share of a capacity: what no demand exceeds that is not
/// met in full.
fn fair_share(demands: &mut [f64], capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut remaining = capacity;
    for (index, &demand) in demands.iter().enumerate() {
        let share = remaining / (demands.len() - index) as f64;
        if demand > share {
            return share;
        }
        remaining -= demand;
    }
    f64::INFINITY
}

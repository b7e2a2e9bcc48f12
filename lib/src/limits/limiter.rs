//! One router's shares of the limits of all accounts.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use super::Bucket;
use super::peers::Peers;
use super::peers::REPORTED_ACCOUNTS_MAX;
use crate::config::Account;
use crate::config::Limits;
use crate::ids::ClientAccount;
use crate::ids::NodeId;
use crate::time::Time;
use crate::units::Tokens;

/// The fraction of a limit that is split evenly, regardless of demand.
///
/// It lets a router without previous demand admit the first requests at once.
const EVEN_FRACTION: f64 = 0.1;

/// The burst, in seconds at the full rate of the router's share.
const BURST_SECS: f64 = 1.0;

/// The time constant of the decaying average of demand, in seconds.
const DEMAND_WINDOW_SECS: f64 = 2.0;

/// The time after which a router without reports loses its share.
///
/// The other routers then take over the share. Each side of a partition in two
/// then admits up to the full limit, which bounds the overshoot.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// The demand below which an account is not reported, in requests per second.
const IDLE_RATE: f64 = 0.01;

/// The demand on one router from one account.
///
/// The values are rates and levels, not counts since the last report. So the
/// next report corrects a lost, duplicate or reordered one.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountDemand {
    /// The account.
    pub account: ClientAccount,
    /// The requests per second, including refused ones.
    pub requests: f64,
    /// The tokens per second, including those of refused requests.
    pub tokens: f64,
    /// The requests in flight.
    pub active: u32,
}

/// The reason why a request is over a limit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum LimitError {
    /// The configuration has no such account.
    #[display("the configuration has no account {account}: create it first")]
    NoAccount {
        /// The account.
        account: ClientAccount,
    },
    /// Too many requests or tokens per second.
    #[display(
        "the account is over its rate limit: retry after {} ms or raise its limits",
        after.as_millis()
    )]
    Rate {
        /// The delay until the rate allows the request.
        after: Duration,
    },
    /// Too many requests in flight.
    #[display("the account has {active} requests in flight: wait for one or raise its limits")]
    Concurrency {
        /// The requests in flight at this router.
        active: u32,
    },
}

impl LimitError {
    /// Returns the delay after which a retry may succeed.
    #[must_use]
    pub const fn retry_after(&self) -> Duration {
        match self {
            Self::Rate { after } => *after,
            Self::NoAccount { .. } | Self::Concurrency { .. } => Duration::from_secs(1),
        }
    }
}

#[derive(Debug, Clone)]
struct AccountState {
    limits: Limits,
    requests: Bucket,
    tokens: Bucket,
    request_demand: DecayingRate,
    token_demand: DecayingRate,
    active: u32,
    share: f64,
}

/// One router's shares of the limits of all accounts.
#[derive(Debug, Clone, Default)]
pub struct Limiter {
    accounts: BTreeMap<ClientAccount, AccountState>,
    peers: Peers,
    expected_routers: usize,
    started_at: Time,
}

impl Limiter {
    /// Creates the limiter of a router that starts now, one of `routers`.
    ///
    /// It uses an even share until reports of the others arrive or time out.
    /// Otherwise a restarted router would admit up to the whole limit before it
    /// receives the first report.
    #[must_use]
    pub const fn new(now: Time, routers: usize) -> Self {
        Self {
            accounts: BTreeMap::new(),
            peers: Peers::new(),
            expected_routers: routers,
            started_at: now,
        }
    }

    fn router_count(&self, now: Time) -> usize {
        let known = self.peers.count() + 1;
        if now.since(self.started_at) < PEER_TIMEOUT {
            return known.max(self.expected_routers);
        }
        known
    }

    /// Applies the accounts of the active configuration.
    pub fn set_accounts(&mut self, now: Time, accounts: &BTreeMap<ClientAccount, Account>) {
        self.accounts.retain(|name, _| accounts.contains_key(name));
        for (name, account) in accounts {
            if let Some(state) = self.accounts.get_mut(name) {
                state.limits = account.limits;
                continue;
            }
            let state = AccountState::new(now, account.limits, self.router_count(now));
            self.accounts.insert(name.clone(), state);
        }
    }

    /// Handles a peer's report of its demand.
    pub fn on_report(&mut self, now: Time, peer: &NodeId, seq: u64, demands: Vec<AccountDemand>) {
        self.peers.on_report(now, peer, seq, demands);
    }

    /// Recomputes the shares and returns the report for the other routers.
    ///
    /// An account that this router does not report counts as without demand here.
    /// So the shares of the routers that report it, plus the even shares, still
    /// add up to one.
    pub fn tick(&mut self, now: Time) -> Vec<AccountDemand> {
        self.peers.drop_silent(now);
        let routers = self.router_count(now);
        let complete = routers == self.peers.count() + 1;
        let report_max = (REPORTED_ACCOUNTS_MAX / routers).max(1);
        let (threshold, mut ties) = self.report_threshold(now, report_max);
        let even = 1.0 / routers as f64;
        let mut peer_demand = self.peers.demand();
        let mut report = Vec::new();
        for (name, state) in &mut self.accounts {
            let reported = state.limit_fraction(now).is_some_and(|fraction| {
                match fraction.total_cmp(&threshold) {
                    Ordering::Less => false,
                    Ordering::Equal => {
                        let has_room = ties > 0;
                        ties = ties.saturating_sub(1);
                        has_room
                    }
                    Ordering::Greater => true,
                }
            });
            let own = if reported {
                state.request_demand.rate(now)
            } else {
                0.0
            };
            let share = if complete {
                share(own, own + peer_demand.next_for(name), even)
            } else {
                even
            };
            state.set_share(now, share);
            if reported {
                report.push(state.demand(now, name));
            }
        }
        report
    }

    // Returns the smallest of the `report_max` largest ratios of demand to limit,
    // and how many accounts with exactly that ratio are reported.
    fn report_threshold(&self, now: Time, report_max: usize) -> (f64, usize) {
        if self.accounts.len() <= report_max {
            return (0.0, report_max);
        }
        let states = self.accounts.values();
        let mut fractions: Vec<f64> = states.filter_map(|s| s.limit_fraction(now)).collect();
        if fractions.len() <= report_max {
            return (0.0, report_max);
        }
        let (above, threshold, _) =
            fractions.select_nth_unstable_by(report_max - 1, |a, b| b.total_cmp(a));
        let above = above
            .iter()
            .filter(|fraction| **fraction > *threshold)
            .count();
        (*threshold, report_max - above)
    }

    /// Admits a request that is expected to use `tokens`.
    ///
    /// # Errors
    ///
    /// Returns [`LimitError`] if the account is unknown or over this router's share.
    pub fn admit(
        &mut self,
        now: Time,
        account: &ClientAccount,
        tokens: Tokens,
    ) -> Result<(), LimitError> {
        let Some(state) = self.accounts.get_mut(account) else {
            let account = account.clone();
            return Err(LimitError::NoAccount { account });
        };
        let tokens = f64::from(tokens.0);
        state.request_demand.add(now, 1.0);
        state.token_demand.add(now, tokens);
        let active = state.active;
        if active >= state.concurrency() {
            return Err(LimitError::Concurrency { active });
        }
        let wait = state.requests.wait_time(now, 1.0);
        let after = wait.max(state.tokens.wait_time(now, tokens));
        if after > Duration::ZERO {
            return Err(LimitError::Rate { after });
        }
        state.requests.spend(now, 1.0);
        state.tokens.spend(now, tokens);
        state.active += 1;
        Ok(())
    }

    /// Records the end of an admitted request and its actual token use.
    pub fn done(&mut self, now: Time, account: &ClientAccount, expected: Tokens, used: Tokens) {
        let Some(state) = self.accounts.get_mut(account) else {
            return;
        };
        state.active = state.active.saturating_sub(1);
        let excess = f64::from(used.0) - f64::from(expected.0);
        state.tokens.spend(now, excess);
    }

    /// Returns this router's current share of an account's limits, from 0 to 1.
    #[must_use]
    pub fn share(&self, account: &ClientAccount) -> Option<f64> {
        Some(self.accounts.get(account)?.share)
    }
}

// The shares of all routers that see each other add up to one, so that the
// limits hold without a message per request.
fn share(own: f64, all: f64, even: f64) -> f64 {
    if all <= IDLE_RATE {
        return even;
    }
    EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * own / all
}

impl AccountState {
    fn new(now: Time, limits: Limits, routers: usize) -> Self {
        let share = 1.0 / routers as f64;
        Self {
            limits,
            requests: Bucket::new(now, limits.requests.0 * share, request_burst(limits, share)),
            tokens: Bucket::new(
                now,
                limits.tokens.0 * share,
                limits.tokens.0 * share * BURST_SECS,
            ),
            request_demand: DecayingRate::new(now),
            token_demand: DecayingRate::new(now),
            active: 0,
            share,
        }
    }

    fn set_share(&mut self, now: Time, share: f64) {
        self.share = share;
        let rate = self.limits.requests.0 * share;
        self.requests
            .set_rate(now, rate, request_burst(self.limits, share));
        let rate = self.limits.tokens.0 * share;
        self.tokens.set_rate(now, rate, rate * BURST_SECS);
    }

    // Returns the demand here as a fraction of the account's limit, or `None` if
    // the account is idle.
    fn limit_fraction(&self, now: Time) -> Option<f64> {
        let own = self.request_demand.rate(now);
        let busy = own > IDLE_RATE || self.active > 0;
        busy.then(|| own / self.limits.requests.0.max(IDLE_RATE))
    }

    fn demand(&self, now: Time, name: &ClientAccount) -> AccountDemand {
        AccountDemand {
            account: name.clone(),
            requests: self.request_demand.rate(now),
            tokens: self.token_demand.rate(now),
            active: self.active,
        }
    }

    // With a share below one request, a router with little demand for an account
    // would refuse it entirely. A minimum of one overshoots by one per router.
    fn concurrency(&self) -> u32 {
        let allowed = f64::from(self.limits.concurrency) * self.share;
        (allowed.ceil() as u32).max(1)
    }
}

fn request_burst(limits: Limits, share: f64) -> f64 {
    (limits.requests.0 * share * BURST_SECS).max(1.0)
}

/// A rate of events with exponential decay.
#[derive(Debug, Clone, Copy)]
struct DecayingRate {
    weight: f64,
    updated_at: Time,
}

impl DecayingRate {
    const fn new(now: Time) -> Self {
        Self {
            weight: 0.0,
            updated_at: now,
        }
    }

    fn add(&mut self, now: Time, amount: f64) {
        self.weight = self.rate(now) * DEMAND_WINDOW_SECS + amount;
        self.updated_at = now;
    }

    fn rate(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.weight / DEMAND_WINDOW_SECS * (-elapsed / DEMAND_WINDOW_SECS).exp()
    }
}

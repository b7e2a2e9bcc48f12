//! The shares of one router in the limits of all accounts.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use super::Bucket;
use super::peers::PAIRS_MAX;
use super::peers::Peers;
use crate::config::Account;
use crate::config::Limits;
use crate::ids::ClientAccount;
use crate::ids::NodeId;
use crate::time::Time;
use crate::units::Tokens;

/// The part of a limit that is split evenly whatever the demand.
///
/// It lets a router that had no demand admit the first requests at once.
const EVEN: f64 = 0.1;

/// The burst, as seconds at the full rate of the router's share.
const BURST: f64 = 1.0;

/// The seconds over which demand is averaged.
const AVERAGE: f64 = 2.0;

/// How long a silent router keeps its share.
///
/// After it the others take over what it had. Two sides of a partition then
/// admit a full limit each, which is the bound on the overshoot.
pub(super) const SILENT: Duration = Duration::from_secs(5);

/// The demand below which an account is not reported.
const IDLE: f64 = 0.01;

/// What one router is asked for on behalf of one account.
///
/// These are rates and levels, not counts since the last report: a report that
/// is lost, doubled or overtaken does no harm once the next one comes.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountDemand {
    /// The account.
    pub account: ClientAccount,
    /// The requests a second asked for, refused ones included.
    pub requests: f64,
    /// The tokens a second asked for, refused ones included.
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
    /// Too many requests or tokens a second.
    #[display(
        "the account is over its rate: come back in {} ms or raise its limits",
        after.as_millis()
    )]
    Rate {
        /// When there is room again.
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
    /// Returns when asking again may help.
    #[must_use]
    pub const fn retry_after(&self) -> Duration {
        match self {
            Self::Rate { after } => *after,
            Self::NoAccount { .. } | Self::Concurrency { .. } => Duration::from_secs(1),
        }
    }
}

#[derive(Debug, Clone)]
struct State {
    limits: Limits,
    requests: Bucket,
    tokens: Bucket,
    asked: Average,
    asked_tokens: Average,
    active: u32,
    share: f64,
}

/// The shares of one router in the limits of all accounts.
#[derive(Debug, Clone, Default)]
pub struct Limiter {
    accounts: BTreeMap<ClientAccount, State>,
    peers: Peers,
    expected: usize,
    began: Time,
}

impl Limiter {
    /// Begins at a router that starts now among `routers` in all.
    ///
    /// Until it has heard of them, or of none for a while, it takes an even
    /// share. A restart would otherwise admit a whole limit before its first
    /// news of the others.
    #[must_use]
    pub const fn new(now: Time, routers: usize) -> Self {
        Self {
            accounts: BTreeMap::new(),
            peers: Peers::new(),
            expected: routers,
            began: now,
        }
    }

    fn routers(&self, now: Time) -> usize {
        let heard = self.peers.count() + 1;
        if now.since(self.began) < SILENT {
            return heard.max(self.expected);
        }
        heard
    }

    /// Takes over the accounts of the configuration in force.
    pub fn set_accounts(&mut self, now: Time, accounts: &BTreeMap<ClientAccount, Account>) {
        self.accounts.retain(|name, _| accounts.contains_key(name));
        for (name, account) in accounts {
            if let Some(state) = self.accounts.get_mut(name) {
                state.limits = account.limits;
                continue;
            }
            let state = State::new(now, account.limits, self.routers(now));
            self.accounts.insert(name.clone(), state);
        }
    }

    /// Takes in what another router is asked for.
    pub fn on_report(&mut self, now: Time, peer: &NodeId, seq: u64, uses: Vec<AccountDemand>) {
        self.peers.hear(now, peer, seq, uses);
    }

    /// Recomputes the shares and returns what to tell the other routers.
    ///
    /// An account that is not told counts as not asked for: the shares of those
    /// that tell of it then still add up to one, with the even parts.
    pub fn tick(&mut self, now: Time) -> Vec<AccountDemand> {
        self.peers.forget(now);
        let routers = self.routers(now);
        let complete = routers == self.peers.count() + 1;
        let most = (PAIRS_MAX / routers).max(1);
        let (line, mut level) = self.line(now, most);
        let even = 1.0 / routers as f64;
        let mut asked = self.peers.asked();
        let mut report = Vec::new();
        for (name, state) in &mut self.accounts {
            let told = state
                .part(now)
                .is_some_and(|part| match part.total_cmp(&line) {
                    Ordering::Less => false,
                    Ordering::Equal => {
                        let room = level > 0;
                        level = level.saturating_sub(1);
                        room
                    }
                    Ordering::Greater => true,
                });
            let own = if told { state.asked.rate(now) } else { 0.0 };
            let share = if complete {
                share(own, own + asked.of(name), even)
            } else {
                even
            };
            state.set_share(now, share);
            if told {
                report.push(state.told(now, name));
            }
        }
        report
    }

    // Returns the part of its limit that an account must be asked for here to
    // be among the `most` that are told, and how many with just that part are.
    fn line(&self, now: Time, most: usize) -> (f64, usize) {
        if self.accounts.len() <= most {
            return (0.0, most);
        }
        let states = self.accounts.values();
        let mut parts: Vec<f64> = states.filter_map(|s| s.part(now)).collect();
        if parts.len() <= most {
            return (0.0, most);
        }
        let (above, line, _) = parts.select_nth_unstable_by(most - 1, |a, b| b.total_cmp(a));
        let above = above.iter().filter(|part| **part > *line).count();
        (*line, most - above)
    }

    /// Admits a request that is expected to use `tokens`.
    ///
    /// # Errors
    ///
    /// Returns [`LimitError`] if the account is over this router's share.
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
        state.asked.add(now, 1.0);
        state.asked_tokens.add(now, tokens);
        let active = state.active;
        if active >= state.concurrency() {
            return Err(LimitError::Concurrency { active });
        }
        let wait = state.requests.wait(now, 1.0);
        let after = wait.max(state.tokens.wait(now, tokens));
        if after > Duration::ZERO {
            return Err(LimitError::Rate { after });
        }
        state.requests.spend(now, 1.0);
        state.tokens.spend(now, tokens);
        state.active += 1;
        Ok(())
    }

    /// Notes the end of an admitted request and what it really used.
    pub fn done(&mut self, now: Time, account: &ClientAccount, expected: Tokens, used: Tokens) {
        let Some(state) = self.accounts.get_mut(account) else {
            return;
        };
        state.active = state.active.saturating_sub(1);
        let more = f64::from(used.0) - f64::from(expected.0);
        state.tokens.spend(now, more);
    }

    /// Returns this router's present share of an account's limits, from 0 to 1.
    #[must_use]
    pub fn share(&self, account: &ClientAccount) -> Option<f64> {
        Some(self.accounts.get(account)?.share)
    }
}

// Over all routers that see each other the shares add up to one, so that the
// limits hold without a message per request.
fn share(own: f64, all: f64, even: f64) -> f64 {
    if all <= IDLE {
        return even;
    }
    EVEN * even + (1.0 - EVEN) * own / all
}

impl State {
    fn new(now: Time, limits: Limits, routers: usize) -> Self {
        let share = 1.0 / routers as f64;
        Self {
            limits,
            requests: Bucket::new(now, limits.requests.0 * share, request_burst(limits, share)),
            tokens: Bucket::new(
                now,
                limits.tokens.0 * share,
                limits.tokens.0 * share * BURST,
            ),
            asked: Average::new(now),
            asked_tokens: Average::new(now),
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
        self.tokens.set_rate(now, rate, rate * BURST);
    }

    // Returns the part of its limit that the account is asked for here, or `None`
    // if it is idle.
    fn part(&self, now: Time) -> Option<f64> {
        let own = self.asked.rate(now);
        let busy = own > IDLE || self.active > 0;
        busy.then(|| own / self.limits.requests.0.max(IDLE))
    }

    fn told(&self, now: Time, name: &ClientAccount) -> AccountDemand {
        AccountDemand {
            account: name.clone(),
            requests: self.asked.rate(now),
            tokens: self.asked_tokens.rate(now),
            active: self.active,
        }
    }

    // A share below one request would shut out an account at a router that has
    // seen little of it; with one each, the overshoot is one a router.
    fn concurrency(&self) -> u32 {
        let allowed = f64::from(self.limits.concurrency) * self.share;
        (allowed.ceil() as u32).max(1)
    }
}

fn request_burst(limits: Limits, share: f64) -> f64 {
    (limits.requests.0 * share * BURST).max(1.0)
}

/// A rate of events, averaged exponentially.
#[derive(Debug, Clone, Copy)]
struct Average {
    weight: f64,
    seen: Time,
}

impl Average {
    const fn new(now: Time) -> Self {
        Self {
            weight: 0.0,
            seen: now,
        }
    }

    fn add(&mut self, now: Time, amount: f64) {
        self.weight = self.rate(now) * AVERAGE + amount;
        self.seen = now;
    }

    fn rate(&self, now: Time) -> f64 {
        let passed = now.since(self.seen).as_secs_f64();
        self.weight / AVERAGE * (-passed / AVERAGE).exp()
    }
}

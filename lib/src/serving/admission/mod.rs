//! Admission of requests with stage work, over all services that they need.
//!
//! The owner of the service of a request's first stage decides when the job arrives. It knows
//! its own queue and the reports of the owners of the later services, and adds what it
//! accepted since. A request is accepted if the work at each service can be done by the time
//! when it should be; otherwise it is refused before any work, with the time after which its
//! place is free. If a load is unknown, the service does not count.

mod fair_shares;
mod load;
mod promises;
mod relayed;
mod window;

use std::collections::BTreeMap;
use std::time::Duration;

pub use self::fair_shares::FairShares;
pub use self::load::GROUPS_MAX;
pub use self::load::LoadReport;
pub use self::load::PRIORITIES;
pub use self::load::REPORT_AGE_MAX;
pub use self::load::Work;
pub use self::promises::GRACE;
pub use self::promises::PROMISES_MAX;
pub use self::promises::Promise;
pub use self::relayed::HANDED_MAX;
pub use self::relayed::RelayedPromises;

use self::load::Demand;
use self::load::ServiceLoad;
use self::promises::EARLY_TOLERANCE;
use self::promises::Promises;
use self::window::WINDOW;
use self::window::Window;
use crate::ids::ClientAccount;
use crate::ids::PoolName;
use crate::time::Time;

/// The interval between two reports of a load that changes.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The interval at which an unchanged load is reported.
pub const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The fraction of its remaining time after which a late request may begin.
///
/// A queue drops late work whose backlog takes longer, since more urgent work arrives
/// meanwhile; after a refusal the caller still has two thirds of its time.
const START_FRACTION: f64 = 0.33;

/// The least fraction of a service's rate that a request may count on.
///
/// More urgent work to come is expected from that of the last 5 s. Without a floor, low
/// priorities would get nothing under a constant overload of urgent work.
const RATE_FRACTION_MIN: f64 = 0.25;

/// The minimum retry delay: about one stage call, before which nothing has changed.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(250);

/// The maximum retry delay; no caller waits for longer.
const RETRY_DELAY_MAX: Duration = Duration::from_mins(1);

/// The refusals after which a request goes first within its priority.
pub const REFUSALS_MAX: u32 = 2;

/// The most accepted requests that are tracked; later ones count once they are reported.
const ENTRIES_MAX: usize = 10_000;

/// The interval at which requests past their deadline are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Identifies a request across the attempts of its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
#[derive(derive_more::Display)]
#[display("{_0:016x}")]
pub struct RequestKey(pub u64);

/// The work of a request at one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ChainPart {
    /// The service.
    pub service: PoolName,
    /// The items, or the prompt tokens of a model.
    pub amount: u32,
    /// When it should be done for the request to be on time.
    pub target: Time,
    /// When it must be done for the request to be served.
    pub deadline: Time,
}

impl ChainPart {
    /// Returns when the work should be done, if it arrives now.
    #[must_use]
    pub fn due(&self, now: Time) -> Time {
        start_limit(now, self.target, self.deadline)
    }
}

/// Returns when work should be done: in time, or soon enough before its deadline.
#[must_use]
pub fn start_limit(now: Time, target: Time, deadline: Time) -> Time {
    let start = now + deadline.since(now).mul_f64(START_FRACTION);
    target.max(start).min(deadline)
}

/// The chain of a request, which its first jobs carry.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RequestChain {
    /// Identifies the request across attempts.
    pub key: RequestKey,
    /// The account of the caller.
    pub account: Option<ClientAccount>,
    /// The work at each service, in the order of the chain; empty for jobs of later stages.
    pub parts: Vec<ChainPart>,
    /// Whether the request is accepted.
    pub accepted: bool,
    /// How often the request was refused before it was accepted.
    pub refusals: u32,
}

impl RequestChain {
    /// Returns whether the owner has to decide on the request.
    #[must_use]
    pub const fn needs_decision(&self) -> bool {
        !self.accepted && !self.parts.is_empty()
    }
}

/// A request that asks for a place.
#[derive(Debug, Clone, Copy)]
pub struct Applicant<'a> {
    /// The id of the attempt.
    pub attempt: &'a str,
    /// Its chain.
    pub chain: &'a RequestChain,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether its account got more than its share.
    pub is_over_share: bool,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalKind {
    /// There is no place for it.
    NoPlace,
    /// It returned before its time.
    Early,
    /// Another job of the attempt was refused.
    SameAttempt,
}

/// A refusal.
#[derive(Debug, Clone, PartialEq)]
pub struct Refused {
    /// Why.
    pub kind: RefusalKind,
    /// The time after which its place is free.
    pub delay: Duration,
    /// The service that has no place.
    pub bottleneck: PoolName,
    /// The promise, for the node that relays it to the caller.
    pub promise: Promise,
}

/// The decision on a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// It has a place.
    Accepted {
        /// How often it was refused before.
        refusals: u32,
        /// Whether it returned in the time of its promise.
        returned: bool,
    },
    /// It has none.
    Refused(Box<Refused>),
}

#[derive(Debug, Clone)]
struct Entry {
    /// Its unfinished jobs at this owner.
    jobs: u32,
    accepted_at: Time,
    /// When the jobs at this owner were done.
    left_at: Option<Time>,
    priority: u8,
    deadline: Time,
    /// The parts, when they were due on acceptance, and whether they still count here.
    parts: Vec<(ChainPart, Time, bool)>,
}

/// The places that the owner of a first stage has given and reserved.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    loads: BTreeMap<PoolName, ServiceLoad>,
    /// New demand by service, priority and whether the account was over its share.
    demands: BTreeMap<PoolName, [[Window; 2]; PRIORITIES]>,
    /// Accepted requests that not all reports contain yet, by attempt.
    entries: BTreeMap<String, Entry>,
    promises: Promises,
    last_sweep: Time,
}

impl Admission {
    /// Decides on a request.
    pub fn decide(&mut self, now: Time, applicant: Applicant<'_>) -> Decision {
        self.expire(now);
        let Applicant { attempt, chain, .. } = applicant;
        if let Some(entry) = self.entries.get_mut(attempt) {
            entry.jobs += 1;
            return Decision::Accepted {
                refusals: chain.refusals,
                returned: false,
            };
        }
        let prior = self.promises.get(chain.key).cloned();
        if prior.is_none() {
            self.record_demand(now, applicant);
        }
        let is_early = prior
            .as_ref()
            .is_some_and(|p| now + EARLY_TOLERANCE < p.due);
        // The first jobs of an attempt arrive together.
        let is_same = |p: &&Promise| is_early && p.attempt == attempt;
        if let Some(prior) = prior.as_ref().filter(is_same) {
            return refused(now, RefusalKind::SameAttempt, prior, chain);
        }
        let refusals = prior.as_ref().map_or(0, |p| p.refusals);
        let is_kept = prior.as_ref().is_some_and(|p| now <= p.ends_at());
        let returned = !is_early && (is_kept || refusals >= REFUSALS_MAX);
        // Its own place must not stand in its way.
        if let Some(prior) = &prior {
            self.unreserve(prior.priority, &prior.parts);
        }
        let parts = chain.parts.iter();
        let demands = parts.map(|part| (part, self.demand(now, applicant, part, returned)));
        let demands: Vec<(&ChainPart, Demand)> = demands.collect();
        let fits = |(part, demand): &&(&ChainPart, Demand)| {
            let load = self.loads.get(&part.service);
            load.is_none_or(|load| load.fits(now, *demand))
        };
        let lacking = demands.iter().find(|d| !fits(d));
        let Some((lacking, _)) = lacking else {
            self.promises.remove(chain.key);
            self.add_entry(now, applicant);
            return Decision::Accepted { refusals, returned };
        };
        if let Some(prior) = prior.as_ref().filter(|_| is_early) {
            self.reserve(prior.priority, &prior.parts);
            return refused(now, RefusalKind::Early, prior, chain);
        }
        let bottleneck = lacking.service.clone();
        let delay = self.delay(now, &demands);
        let promise = self.promise(now, applicant, delay, refusals + 1);
        Decision::Refused(Box::new(Refused {
            kind: RefusalKind::NoPlace,
            delay,
            bottleneck,
            promise,
        }))
    }

    /// Applies the report of a service, also that of this owner's own queue.
    pub fn on_report(&mut self, service: &PoolName, report: LoadReport) {
        let at = report.at;
        let load = self.loads.entry(service.clone()).or_default();
        if load.report.as_ref().is_some_and(|known| known.at > at) {
            return;
        }
        load.report = Some(report);
        for entry in self.entries.values_mut() {
            for index in 0..entry.parts.len() {
                let is_reported = reported_from(entry, index).is_some_and(|from| from < at);
                let (part, due, counts) = &mut entry.parts[index];
                if *counts && part.service == *service && is_reported {
                    *counts = false;
                    load.recent
                        .remove(*due, entry.priority, f64::from(part.amount));
                }
            }
        }
        self.entries
            .retain(|_, e| e.jobs > 0 || e.parts.iter().any(|(.., counts)| *counts));
    }

    /// Handles the end of a job of an accepted request at this owner.
    pub fn on_job_ended(&mut self, now: Time, attempt: &str, is_done: bool) {
        let Some(entry) = self.entries.get_mut(attempt) else {
            return;
        };
        entry.jobs = entry.jobs.saturating_sub(1);
        if !is_done {
            self.remove_entry(attempt);
        } else if entry.jobs == 0 {
            entry.left_at = Some(now);
        }
    }

    /// Frees the place of a request whose caller is gone.
    pub fn cancel(&mut self, attempt: &str) {
        self.remove_entry(attempt);
    }

    /// Takes over a promise of the previous owner.
    pub fn adopt(&mut self, now: Time, promise: Promise) {
        if promise.forgotten_at() > now && self.promises.get(promise.key).is_none() {
            self.add_promise(now, promise);
        }
    }

    /// Returns the promise to a request, if it is remembered.
    #[must_use]
    pub fn promise_of(&self, key: RequestKey) -> Option<&Promise> {
        self.promises.get(key)
    }

    /// Returns the number of requests that were refused and are remembered.
    #[must_use]
    pub fn promise_count(&self) -> usize {
        self.promises.len()
    }

    /// Returns the number of accepted requests that are tracked.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Gives up the places whose time is over.
    pub fn expire(&mut self, now: Time) {
        for (priority, parts) in self.promises.expire(now) {
            self.unreserve(priority, &parts);
        }
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            let over = self.entries.iter().filter(|(_, e)| e.deadline <= now);
            let over: Vec<String> = over.map(|(attempt, _)| attempt.clone()).collect();
            for attempt in over {
                self.remove_entry(&attempt);
            }
        }
    }

    fn demand(
        &mut self,
        now: Time,
        applicant: Applicant<'_>,
        part: &ChainPart,
        returned: bool,
    ) -> Demand {
        // A request that returns in time is served if any order can serve it.
        let (due, rate_fraction) = if returned {
            (part.deadline, 1.0)
        } else {
            (part.due(now), self.rate_fraction(now, applicant, part))
        };
        Demand {
            amount: f64::from(part.amount),
            due,
            priority: class(applicant.priority) as u8,
            rate_fraction,
            after_reserved: !returned,
        }
    }

    /// Returns the part of a service's rate that more urgent work to come leaves.
    fn rate_fraction(&mut self, now: Time, applicant: Applicant<'_>, part: &ChainPart) -> f64 {
        let report = self
            .loads
            .get(&part.service)
            .and_then(|l| l.report.as_ref());
        let Some(rate) = report.map(|r| r.rate).filter(|&r| r > 0.0) else {
            return 1.0;
        };
        let Some(windows) = self.demands.get_mut(&part.service) else {
            return 1.0;
        };
        let own = class(applicant.priority);
        let mut ahead = 0.0;
        for windows in &mut windows[..own] {
            ahead += windows.iter_mut().map(|w| w.total(now)).sum::<f64>();
        }
        if applicant.is_over_share {
            ahead += windows[own][0].total(now);
        }
        let ahead_rate = ahead / WINDOW.as_secs_f64();
        (1.0 - ahead_rate / rate).clamp(RATE_FRACTION_MIN, 1.0)
    }

    fn record_demand(&mut self, now: Time, applicant: Applicant<'_>) {
        let share = usize::from(applicant.is_over_share);
        for part in &applicant.chain.parts {
            let windows = self.demands.entry(part.service.clone()).or_default();
            windows[class(applicant.priority)][share].add(now, f64::from(part.amount));
        }
    }

    /// Returns the time until the requests ahead are done through the whole chain.
    fn delay(&self, now: Time, demands: &[(&ChainPart, Demand)]) -> Duration {
        let delays = demands.iter().filter_map(|(part, demand)| {
            let load = self.loads.get(&part.service)?;
            let (waiting, reserved) = load.drain_time(now, *demand);
            // Reserved places stagger the callers that are refused together.
            Some(waiting.max(RETRY_DELAY_MIN) + reserved)
        });
        let delay = delays.max().unwrap_or(RETRY_DELAY_MIN);
        delay.min(RETRY_DELAY_MAX)
    }

    /// Makes a promise, and reserves a place if its caller can still be served then.
    fn promise(
        &mut self,
        now: Time,
        applicant: Applicant<'_>,
        delay: Duration,
        refusals: u32,
    ) -> Promise {
        let chain = applicant.chain;
        let due = now + delay;
        let first = chain.parts.first().map_or(due, |p| p.deadline);
        let mut parts = Vec::new();
        if due < first {
            parts.clone_from(&chain.parts);
            for part in &mut parts {
                part.target = due + GRACE + part.deadline.since(first);
            }
        }
        let promise = Promise {
            key: chain.key,
            account: chain.account.clone(),
            priority: applicant.priority,
            due,
            deadline: chain.parts.last().map_or(due, |p| p.deadline),
            refusals,
            attempt: applicant.attempt.to_owned(),
            parts,
        };
        // The place of the earlier promise is free already.
        if let Some(mut earlier) = self.promises.remove(chain.key) {
            earlier.parts.clear();
        }
        self.add_promise(now, promise.clone());
        promise
    }

    fn add_promise(&mut self, now: Time, promise: Promise) {
        self.reserve(promise.priority, &promise.parts);
        for removed in self.promises.insert(now, promise) {
            self.unreserve(removed.priority, &removed.parts);
        }
    }

    fn reserve(&mut self, priority: u8, parts: &[ChainPart]) {
        for part in parts {
            let load = self.loads.entry(part.service.clone()).or_default();
            let amount = f64::from(part.amount);
            load.reserved.add(part.target, priority, amount);
        }
    }

    fn unreserve(&mut self, priority: u8, parts: &[ChainPart]) {
        for part in parts {
            if let Some(load) = self.loads.get_mut(&part.service) {
                let amount = f64::from(part.amount);
                load.reserved.remove(part.target, priority, amount);
            }
        }
    }

    fn add_entry(&mut self, now: Time, applicant: Applicant<'_>) {
        if self.entries.len() >= ENTRIES_MAX {
            return;
        }
        let parts = applicant.chain.parts.iter();
        let parts: Vec<_> = parts.map(|p| (p.clone(), p.due(now), true)).collect();
        for (part, due, _) in &parts {
            let load = self.loads.entry(part.service.clone()).or_default();
            let amount = f64::from(part.amount);
            load.recent.add(*due, applicant.priority, amount);
        }
        let entry = Entry {
            jobs: 1,
            accepted_at: now,
            left_at: None,
            priority: applicant.priority,
            deadline: parts.last().map_or(now, |(part, ..)| part.deadline),
            parts,
        };
        self.entries.insert(applicant.attempt.to_owned(), entry);
    }

    fn remove_entry(&mut self, attempt: &str) {
        let Some(entry) = self.entries.remove(attempt) else {
            return;
        };
        for (part, due, counts) in entry.parts {
            if counts && let Some(load) = self.loads.get_mut(&part.service) {
                let amount = f64::from(part.amount);
                load.recent.remove(due, entry.priority, amount);
            }
        }
    }
}

/// Returns from when on reports contain a part of an accepted request.
///
/// Work is at a later service once the preceding one is done; until then only this owner
/// knows of it.
fn reported_from(entry: &Entry, index: usize) -> Option<Time> {
    let Some(before) = index.checked_sub(1) else {
        return Some(entry.accepted_at);
    };
    let (first, before) = (&entry.parts[0].0, &entry.parts[before].0);
    let usual = before.deadline.since(first.deadline);
    let left_at = entry.left_at?;
    Some(left_at + usual + REPORT_INTERVAL)
}

fn refused(now: Time, kind: RefusalKind, promise: &Promise, chain: &RequestChain) -> Decision {
    let first = chain.parts.first().or(promise.parts.first());
    let Some(first) = first else {
        return Decision::Accepted {
            refusals: promise.refusals,
            returned: false,
        };
    };
    Decision::Refused(Box::new(Refused {
        kind,
        delay: promise.due.since(now),
        bottleneck: first.service.clone(),
        promise: promise.clone(),
    }))
}

fn class(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

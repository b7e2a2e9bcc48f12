//! Reservations for requests that were refused and whose callers will retry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::ChainPart;
use super::RequestKey;
use crate::ids::ClientAccount;
use crate::time::Time;

/// The most promises that are remembered; the oldest are evicted first.
pub const PROMISES_MAX: usize = 10_000;

/// How long after its time a reserved place stays free for its caller.
pub const GRACE: Duration = Duration::from_millis(300);

/// How much before its time a caller may return.
///
/// Covers the rounding of the retry delay to hundredths of a second, and differences
/// of the clocks over some seconds.
pub(super) const EARLY_TOLERANCE: Duration = Duration::from_millis(20);

/// A place reserved for a refused request.
#[derive(Debug, Clone, PartialEq)]
pub struct Promise {
    /// The request.
    pub key: RequestKey,
    /// The account of its caller.
    pub account: Option<ClientAccount>,
    /// Its priority.
    pub priority: u8,
    /// When its place is free.
    pub due: Time,
    /// When nobody waits for the request any more.
    pub deadline: Time,
    /// How often it was refused; retries that came too early do not count.
    pub refusals: u32,
    /// The attempt that was refused last.
    pub attempt: String,
    /// The work of its chain, if a place is reserved.
    pub parts: Vec<ChainPart>,
}

impl Promise {
    /// Returns when the reserved place is given up.
    #[must_use]
    pub fn ends_at(&self) -> Time {
        self.due + GRACE
    }

    /// Returns when the request is forgotten.
    pub(super) fn forgotten_at(&self) -> Time {
        self.ends_at().max(self.deadline)
    }
}

/// Promises by request, and what happens to them next.
#[derive(Debug, Clone, Default)]
pub(super) struct Promises {
    all: BTreeMap<RequestKey, Promise>,
    /// When each ends or is forgotten.
    timers: BTreeSet<(Time, RequestKey)>,
    /// When each was given.
    ages: BTreeSet<(Time, RequestKey)>,
    given: BTreeMap<RequestKey, (Time, Time)>,
}

impl Promises {
    pub(super) fn get(&self, key: RequestKey) -> Option<&Promise> {
        self.all.get(&key)
    }

    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    /// Adds a promise. Returns those that it replaces or evicts.
    pub(super) fn insert(&mut self, now: Time, promise: Promise) -> Vec<Promise> {
        let key = promise.key;
        let mut removed = Vec::new();
        removed.extend(self.remove(key));
        if self.all.len() >= PROMISES_MAX
            && let Some(&(_, oldest)) = self.ages.first()
        {
            removed.extend(self.remove(oldest));
        }
        let timer = promise.ends_at();
        self.timers.insert((timer, key));
        self.ages.insert((now, key));
        self.given.insert(key, (now, timer));
        self.all.insert(key, promise);
        removed
    }

    pub(super) fn remove(&mut self, key: RequestKey) -> Option<Promise> {
        let promise = self.all.remove(&key)?;
        if let Some((given_at, timer)) = self.given.remove(&key) {
            self.ages.remove(&(given_at, key));
            self.timers.remove(&(timer, key));
        }
        Some(promise)
    }

    /// Returns the parts of the places that are given up now.
    pub(super) fn expire(&mut self, now: Time) -> Vec<(u8, Vec<ChainPart>)> {
        let mut freed = Vec::new();
        while let Some(&(timer, key)) = self.timers.first() {
            if timer > now {
                break;
            }
            let Some(promise) = self.all.get_mut(&key) else {
                self.timers.pop_first();
                continue;
            };
            freed.push((promise.priority, std::mem::take(&mut promise.parts)));
            let next = promise.forgotten_at();
            if next <= now {
                self.remove(key);
                continue;
            }
            self.timers.pop_first();
            self.timers.insert((next, key));
            if let Some(given) = self.given.get_mut(&key) {
                given.1 = next;
            }
        }
        freed
    }
}

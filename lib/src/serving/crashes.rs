//! Quarantine of requests that crash endpoints.
//!
//! Each node reports the loss of an endpoint under a request to the nodes that
//! count for this request. After the third loss the request is quarantined: the
//! node that detects this notifies all others. See
//! `docs/design/crashing-requests.md`.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;

use super::endpoint_loss::Incarnation;
use crate::time::Time;

/// The number of lost endpoints after which a request is quarantined.
///
/// A failing host or rack takes down one or two endpoints of a request.
const END_THRESHOLD: usize = 3;

/// How long a lost endpoint counts, and how long an expired quarantine is
/// remembered.
///
/// This is long compared to the retry interval of callers.
const RETENTION: Duration = Duration::from_mins(10);

/// The shortest and the longest quarantine.
///
/// A quarantine lasts three times as long as the request has been losing
/// endpoints: a harmless request is soon retried, a harmful one rarely.
const QUARANTINE_RANGE: [Duration; 2] = [Duration::from_mins(1), Duration::from_hours(1)];

/// How long a trial after a quarantine may take before the next one may start.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum number of trials of a request until it is answered or forgotten.
const TRIALS_MAX: u32 = 3;

/// The factor by which the wait grows after each trial without a verdict.
const TRIAL_GROWTH: u32 = 4;

/// The remaining time that is reported for an expired quarantine.
const EXPIRED_REMAINING: Duration = Duration::from_millis(1);

/// The smallest extension of a quarantine that counts as a change.
///
/// Each node that forwards a verdict adds the transit time.
const EXTENSION_MIN: Duration = Duration::from_secs(5);

/// The tolerance for the first loss of a verdict appearing too late.
///
/// Its age is what is sent, and each hop between nodes makes the loss appear
/// more recent.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(500);

/// The maximum number of requests whose lost endpoints are counted.
const SUSPECTS_MAX: usize = 2_048;

/// The maximum number of requests with a current or past quarantine that are
/// remembered.
const RECORDS_MAX: usize = 1_024;

/// The maximum number of answered requests that are remembered.
const ANSWERED_MAX: usize = 4_096;

/// The hash that identifies a request across attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
#[display("{_0:032x}")]
pub struct Fingerprint(pub u128);

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// The quarantine state of a request, as nodes send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// The request.
    pub request: Fingerprint,
    /// The version of the verdict on this request; the highest takes effect.
    pub version: u32,
    /// The remaining time of the quarantine; zero if it was lifted.
    pub remaining: Duration,
    /// The time since the first loss that led to the verdict.
    pub first_end_age: Duration,
}

/// The effect of a verdict received from another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerdictOutcome {
    /// The verdict was already known.
    Known,
    /// The verdict is new and now in effect.
    New,
    /// The request was answered after its first loss: the lifting verdict has
    /// to be sent to all nodes.
    Overruled(Verdict),
}

#[derive(Debug, Clone)]
struct End {
    at: Time,
    incarnation: Incarnation,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    version: u32,
    /// `None` if the quarantine was lifted.
    until: Option<Time>,
    first_end: Time,
    /// When the record last changed, and the number of that change.
    at: Time,
    last_change: u64,
    /// When this node may start the next trial after the quarantine has
    /// expired.
    next_trial: Time,
    /// The trials known to this node.
    trials: u32,
}

/// Tracks the requests under which endpoints are lost, as known to one node.
#[derive(Debug, Clone, Default)]
pub struct CrashTracker {
    suspects: BTreeMap<Fingerprint, Vec<End>>,
    records: BTreeMap<Fingerprint, Record>,
    answered: BTreeMap<Fingerprint, Time>,
    answer_order: VecDeque<(Time, Fingerprint)>,
    last_change: u64,
}

impl CrashTracker {
    /// Records that an endpoint has just ended under a request.
    ///
    /// Returns a verdict to be sent to all other nodes.
    pub fn on_end(
        &mut self,
        now: Time,
        request: Fingerprint,
        incarnation: &Incarnation,
    ) -> Option<Verdict> {
        self.on_reported_end(now, now, request, incarnation)
    }

    /// Records a reported loss of an endpoint under a request at `at`.
    ///
    /// Returns a verdict to be sent to all other nodes.
    pub fn on_reported_end(
        &mut self,
        now: Time,
        at: Time,
        request: Fingerprint,
        incarnation: &Incarnation,
    ) -> Option<Verdict> {
        self.sweep(now);
        if now.since(at) >= RETENTION || self.is_cleared(at, request) {
            return None;
        }
        if let Some(record) = self.records.get(&request).copied()
            && let Some(until) = record.until
        {
            // The request was in flight when it was quarantined, or was retried
            // later.
            let is_retry = until <= at;
            let extended = until.max(at + quarantine_duration(at, record.first_end));
            if extended == until {
                return None;
            }
            let version = record.version + u32::from(is_retry);
            let verdict = self.set_record(now, request, version, Some(extended), record.first_end);
            return is_retry.then_some(verdict);
        }
        let ends = self.suspects.entry(request).or_default();
        ends.retain(|e| now.since(e.at) < RETENTION);
        if ends.iter().all(|e| e.incarnation != *incarnation) {
            let incarnation = incarnation.clone();
            ends.push(End { at, incarnation });
        }
        if ends.len() < END_THRESHOLD {
            self.bound_suspects();
            return None;
        }
        let first_end = ends.iter().map(|e| e.at).min().unwrap_or(at);
        let version = self.records.get(&request).map_or(1, |r| r.version + 1);
        let until = now + quarantine_duration(now, first_end);
        Some(self.set_record(now, request, version, Some(until), first_end))
    }

    /// Returns whether a request got a complete response after a loss at `at`,
    /// here or as reported by other nodes.
    fn is_cleared(&self, at: Time, request: Fingerprint) -> bool {
        let answered = self.answered.get(&request).copied();
        let lifted = self.records.get(&request).filter(|r| r.until.is_none());
        answered.max(lifted.map(|r| r.at)).is_some_and(|a| a > at)
    }

    /// Records that a request got a complete response.
    ///
    /// Returns a verdict to be sent to all other nodes.
    pub fn on_answered(&mut self, now: Time, request: Fingerprint) -> Option<Verdict> {
        self.suspects.remove(&request);
        self.answered.insert(request, now);
        self.answer_order.push_back((now, request));
        if self.answer_order.len() > ANSWERED_MAX
            && let Some((at, oldest)) = self.answer_order.pop_front()
            && self.answered.get(&oldest) == Some(&at)
        {
            self.answered.remove(&oldest);
        }
        let record = self.records.get(&request).filter(|r| r.until.is_some())?;
        let version = record.version + 1;
        Some(self.set_record(now, request, version, None, now))
    }

    /// Applies a verdict that was received from another node.
    pub fn apply_verdict(&mut self, now: Time, received: Verdict) -> VerdictOutcome {
        self.sweep(now);
        let request = received.request;
        let remaining = received.remaining.min(QUARANTINE_RANGE[1]);
        let until = (!remaining.is_zero()).then(|| now + remaining);
        let held = self.records.get(&request);
        let (version, held_until) = held.map_or((0, None), |r| (r.version, r.until));
        // Verdicts with the same version were reached by several nodes at the
        // same time.
        let threshold = held_until.map(|u| u + EXTENSION_MIN);
        if (received.version, until) <= (version, threshold) {
            return VerdictOutcome::Known;
        }
        let known = received.version == version && held_until.is_some();
        let first_end = now - received.first_end_age;
        let answered = self.answered.get(&request);
        let answered = answered.is_some_and(|&at| at + TRANSIT_ALLOWANCE > first_end);
        if until.is_some() && answered {
            let lifted = self.set_record(now, request, received.version + 1, None, now);
            return VerdictOutcome::Overruled(lifted);
        }
        let was_trial = held_until.is_some() && !known;
        self.set_record(now, request, received.version, until, first_end);
        if was_trial && let Some(record) = self.records.get_mut(&request) {
            // A trial on the other node ended an endpoint.
            record.trials += 1;
        }
        if known {
            VerdictOutcome::Known
        } else {
            VerdictOutcome::New
        }
    }

    /// Returns for how much longer a request is refused.
    ///
    /// After the quarantine has expired, the request is refused until a trial
    /// was answered.
    #[must_use]
    pub fn quarantine_remaining(&self, now: Time, request: Fingerprint) -> Option<Duration> {
        let record = self.records.get(&request)?;
        let until = record.until?;
        if now.since(until) >= RETENTION {
            return None;
        }
        let remaining = until.since(now);
        Some(match remaining {
            Duration::ZERO if record.trials < TRIALS_MAX => TRIAL_TIMEOUT,
            Duration::ZERO => (until + RETENTION).since(now),
            _ => remaining,
        })
    }

    /// Starts a trial of a request whose quarantine has expired; returns
    /// whether it may be sent.
    ///
    /// Call this on one node only, once for each request that arrives.
    pub fn try_start_trial(&mut self, now: Time, request: Fingerprint) -> bool {
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        let expired = record.until.is_some_and(|u| u <= now);
        let allowed = expired && record.next_trial <= now && record.trials < TRIALS_MAX;
        if allowed {
            record.next_trial = now + TRIAL_TIMEOUT * TRIAL_GROWTH.pow(record.trials);
            record.trials += 1;
        }
        allowed
    }

    /// Returns whether a request in flight may continue, including a trial.
    #[must_use]
    pub fn may_continue(&self, now: Time, request: Fingerprint) -> bool {
        let until = self.records.get(&request).and_then(|r| r.until);
        until.is_none_or(|u| u <= now)
    }

    /// Returns the endpoints lost under a request that is not quarantined.
    pub fn lost_endpoints(&self, request: Fingerprint) -> impl Iterator<Item = &Incarnation> {
        self.suspects
            .get(&request)
            .into_iter()
            .flatten()
            .map(|e| &e.incarnation)
    }

    /// Returns the verdicts since the change numbered `since`, oldest first and
    /// at most `most`, and the number from which to continue.
    #[must_use]
    pub fn changes_since(&self, now: Time, since: u64, most: usize) -> (Vec<Verdict>, u64) {
        if since >= self.last_change {
            return (Vec::new(), self.last_change);
        }
        let changed = self.records.iter().filter(|(_, r)| r.last_change > since);
        let mut changed: Vec<(&Fingerprint, &Record)> = changed.collect();
        changed.sort_unstable_by_key(|(_, r)| r.last_change);
        let more = changed.len() > most;
        changed.truncate(most);
        let last = changed
            .last()
            .map_or(self.last_change, |(_, r)| r.last_change);
        let verdicts = changed
            .iter()
            .map(|(request, r)| verdict(now, **request, r));
        (
            verdicts.collect(),
            if more { last } else { self.last_change },
        )
    }

    /// Returns the latest verdicts, at most `most`.
    #[must_use]
    pub fn latest(&self, now: Time, most: usize) -> Vec<Verdict> {
        let mut changes: Vec<u64> = self.records.values().map(|r| r.last_change).collect();
        changes.sort_unstable_by(|a, b| b.cmp(a));
        let since = changes.get(most).copied().unwrap_or_default();
        self.changes_since(now, since, most).0
    }

    /// Returns the number of quarantined requests, and of requests whose lost
    /// endpoints are counted.
    #[must_use]
    pub fn counts(&self, now: Time) -> (usize, usize) {
        let active = |r: &&Record| r.until.is_some_and(|u| u > now);
        let quarantined = self.records.values().filter(active).count();
        (quarantined, self.suspects.len())
    }

    fn set_record(
        &mut self,
        now: Time,
        request: Fingerprint,
        version: u32,
        until: Option<Time>,
        first_end: Time,
    ) -> Verdict {
        self.suspects.remove(&request);
        self.last_change += 1;
        let held = self.records.get(&request).filter(|r| r.until.is_some());
        let trials = held.map_or(0, |r| r.trials);
        let record = Record {
            version,
            until,
            first_end,
            at: now,
            last_change: self.last_change,
            next_trial: Time::ZERO,
            trials,
        };
        self.records.insert(request, record);
        if self.records.len() > RECORDS_MAX {
            let oldest = self.records.iter().min_by_key(|(_, r)| r.at);
            if let Some((&oldest, _)) = oldest {
                self.records.remove(&oldest);
            }
        }
        verdict(now, request, &record)
    }

    /// Removes records that expired long ago. Until then one more loss restores
    /// the quarantine.
    fn sweep(&mut self, now: Time) {
        self.records
            .retain(|_, r| now.since(r.until.unwrap_or(r.at)) < RETENTION);
    }

    fn bound_suspects(&mut self) {
        if self.suspects.len() <= SUSPECTS_MAX {
            return;
        }
        let last = |ends: &[End]| ends.last().map(|e| e.at);
        let oldest = self.suspects.iter().min_by_key(|(_, ends)| last(ends));
        if let Some((&oldest, _)) = oldest {
            self.suspects.remove(&oldest);
        }
    }
}

/// Returns the duration of a quarantine whose first loss was at `first_end`.
fn quarantine_duration(now: Time, first_end: Time) -> Duration {
    let [shortest, longest] = QUARANTINE_RANGE;
    now.since(first_end)
        .saturating_mul(3)
        .clamp(shortest, longest)
}

fn verdict(now: Time, request: Fingerprint, record: &Record) -> Verdict {
    Verdict {
        request,
        version: record.version,
        // An expired quarantine still refuses all but trials: it is not lifted.
        remaining: record
            .until
            .map_or(Duration::ZERO, |u| u.since(now).max(EXPIRED_REMAINING)),
        first_end_age: now.since(record.first_end),
    }
}

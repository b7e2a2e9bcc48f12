//! Verdicts on suspects, as known to one node.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::ends::END_THRESHOLD;
use super::ends::EndLog;
use super::ends::EndReport;
use super::ends::RETENTION;
use super::ends::SETTLE_TIME;
use super::evidence::Clearance;
use super::evidence::Evidence;
use super::evidence::Inquiry;
use super::evidence::RunNumber;
use super::suspect::Casualty;
use super::suspect::Fingerprint;
use super::suspect::PartId;
use super::suspect::Suspect;
use super::suspect::suspects;
use crate::query::QuarantineFact;
use crate::serving::endpoint_loss::Incarnation;
use crate::time::Time;

/// The shortest and the longest quarantine.
///
/// A quarantine lasts three times as long as the suspect has been losing
/// endpoints: a harmless request is soon retried, a harmful one rarely.
const QUARANTINE_RANGE: [Duration; 2] = [Duration::from_mins(1), Duration::from_hours(1)];

/// How long a trial after a quarantine may take before the next one may start.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum number of trials of a suspect until it is answered or forgotten.
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

/// The number of ends from which all nodes are asked for answers that clear a suspect.
const INQUIRY_THRESHOLD: usize = END_THRESHOLD - 1;

/// The time within which the nodes answer a question.
const INQUIRY_WAIT: Duration = Duration::from_millis(200);

/// The shortest time between two questions to all nodes.
const INQUIRY_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of suspects in one question.
const INQUIRY_SUSPECTS_MAX: usize = 128;

/// How long a question counts as answered by all nodes.
///
/// They look for answers that long.
const INQUIRY_VALIDITY: Duration = Duration::from_secs(25);

/// The maximum number of suspects whose questions are remembered.
const ASKED_MAX: usize = 4_096;

/// How long after its start a node decides nothing.
///
/// Nodes that start together know only some of the others, and report to different
/// nodes. Each of these would take what it has seen for all there is.
const START_WAIT: Duration = Duration::from_secs(1);

/// How long a node that has become one of those that count gathers reports.
const GATHER_TIME: Duration = Duration::from_millis(500);

/// How long after a report there may be something to decide.
const ACTIVE_TIME: Duration = Duration::from_secs(3);

/// The maximum number of suspects with a current or past quarantine that are
/// remembered.
const RECORDS_MAX: usize = 1_024;

/// The quarantine state of a suspect, as nodes send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// The suspect.
    pub suspect: Suspect,
    /// The version of the verdict on this suspect; the highest takes effect.
    pub version: u32,
    /// The remaining time of the quarantine; zero if it was lifted.
    pub remaining: Duration,
    /// The time since the first loss that led to the verdict.
    pub first_end_age: Duration,
    /// The trials so far.
    pub trials: u32,
}

/// The effect of a verdict received from another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerdictOutcome {
    /// The verdict was already known.
    Known,
    /// The verdict is new and now in effect.
    New,
    /// The suspect was cleared after its first loss: the lifting verdict has to
    /// be sent to all nodes.
    Overruled(Verdict),
}

/// What a node that counts has to send to all nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    /// Questions for answers that clear suspects.
    pub inquiries: Vec<Inquiry>,
    /// New verdicts.
    pub verdicts: Vec<Verdict>,
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
    /// The requests that this node refused.
    refusals: u64,
}

/// Tracks the suspects under which endpoints are lost, as known to one node.
#[derive(Debug, Clone, Default)]
pub struct CrashTracker {
    log: EndLog,
    evidence: Evidence,
    /// When all nodes were asked about a suspect, by this node or another one that counts.
    asked: BTreeMap<Suspect, Time>,
    last_inquiry: Time,
    last_report: Time,
    /// When the node started.
    started: Time,
    /// Since when the node has been one of those that count.
    counting_since: Option<Time>,
    records: BTreeMap<Suspect, Record>,
    last_change: u64,
}

impl CrashTracker {
    /// Creates the tracker of a node that starts now.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            started: now,
            ..Self::default()
        }
    }

    /// Records a reported end, on a node that counts.
    ///
    /// Returns verdicts to be sent to all other nodes: trials have failed. Other
    /// verdicts follow from [`poll`](Self::poll).
    pub fn on_end(&mut self, now: Time, report: &EndReport) -> Vec<Verdict> {
        self.sweep(now);
        if now.since(report.at) >= RETENTION {
            return Vec::new();
        }
        for casualty in &report.casualties {
            for suspect in casualty.cleared() {
                let at = report.at;
                self.evidence.record(at, suspect);
                self.clear(Clearance { suspect, at });
            }
        }
        let cleared: Vec<Suspect> = report
            .casualties
            .iter()
            .flat_map(Casualty::suspects)
            .filter(|&s| self.is_cleared(report.at, s))
            .collect();
        self.log.record(report, |s| cleared.contains(&s));
        self.last_report = now;
        let involved = report.casualties.iter();
        let involved = involved.flat_map(|c| c.suspects().map(|s| (s, c.sent)));
        let involved: Vec<(Suspect, Time)> = involved.collect();
        let mut verdicts = Vec::new();
        for (suspect, sent) in involved {
            let Some(record) = self.records.get(&suspect).copied() else {
                continue;
            };
            if let Some(until) = record.until {
                self.log.explain(suspect);
                verdicts.extend(self.extend(now, (suspect, report.at, sent), record, until));
            }
        }
        verdicts
    }

    /// Extends the quarantine of a suspect that has lost another endpoint.
    ///
    /// Returns the verdict if that was after the quarantine: a trial has failed.
    fn extend(
        &mut self,
        now: Time,
        (suspect, at, sent): (Suspect, Time, Time),
        record: Record,
        until: Time,
    ) -> Option<Verdict> {
        // Otherwise the request was in flight when it was quarantined.
        let is_retry = until <= at && until <= sent + SETTLE_TIME;
        let extended = until.max(at + quarantine_duration(at, record.first_end));
        if extended == until {
            return None;
        }
        let version = record.version + u32::from(is_retry);
        let verdict = self.set_record(now, suspect, version, Some(extended), record.first_end);
        is_retry.then_some(verdict)
    }

    /// Returns whether a suspect was cleared after a loss at `at`, here or as
    /// reported by other nodes.
    fn is_cleared(&self, at: Time, suspect: Suspect) -> bool {
        let lifted = self.records.get(&suspect).filter(|r| r.until.is_none());
        let cleared = self.evidence.cleared_until(suspect);
        cleared.max(lifted.map(|r| r.at)).is_some_and(|c| c >= at)
    }

    /// Returns what follows from the ends so far.
    ///
    /// `rank` is the rank of the node among those that count, if it is one: the
    /// second one leaves the first one time to decide.
    pub fn poll(&mut self, now: Time, rank: Option<u32>) -> Findings {
        let Some(rank) = rank else {
            self.counting_since = None;
            return Findings::default();
        };
        let since = *self.counting_since.get_or_insert(now);
        let decides_from = (since + GATHER_TIME).max(self.started + START_WAIT + GATHER_TIME);
        if self.wake(now) == Time::NEVER || now < decides_from {
            return Findings::default();
        }
        let patience = SETTLE_TIME * rank;
        let inquiries = self.inquire_due(now, patience);
        let settled = now - (SETTLE_TIME + patience);
        let mut verdicts = Vec::new();
        loop {
            let is_eligible = |suspect: Suspect| {
                let asked = self.asked.get(&suspect);
                let was_answered = |&at: &Time| now.since(at) >= INQUIRY_WAIT;
                asked.is_some_and(was_answered) && !self.is_quarantined(suspect)
            };
            let Some(culprit) = self.log.culprit(settled, is_eligible) else {
                break;
            };
            let first_end = self.log.first_end(culprit).unwrap_or(now);
            self.log.explain(culprit);
            let version = self.records.get(&culprit).map_or(1, |r| r.version + 1);
            let until = now + quarantine_duration(now, first_end);
            verdicts.push(self.set_record(now, culprit, version, Some(until), first_end));
        }
        Findings {
            inquiries,
            verdicts,
        }
    }

    /// Returns when [`poll`](Self::poll) is due next.
    #[must_use]
    pub fn wake(&self, now: Time) -> Time {
        if self.log.is_empty() || now.since(self.last_report) > ACTIVE_TIME {
            Time::NEVER
        } else {
            now + INQUIRY_INTERVAL
        }
    }

    /// Asks about suspects with enough ends that no node has been asked about.
    fn inquire_due(&mut self, now: Time, patience: Duration) -> Vec<Inquiry> {
        if now.since(self.last_inquiry) < INQUIRY_INTERVAL {
            return Vec::new();
        }
        self.asked.retain(|_, at| now.since(*at) < INQUIRY_VALIDITY);
        let is_open = |s: Suspect| !self.asked.contains_key(&s) && !self.is_quarantined(s);
        let mut due = self.log.with_ends(INQUIRY_THRESHOLD, is_open);
        due.sort_unstable_by(|a, b| b.cmp(a));
        due.truncate(INQUIRY_SUSPECTS_MAX);
        let mut inquiries = Vec::new();
        for (_, suspect) in due {
            let Some(first_end) = self.log.first_end(suspect) else {
                continue;
            };
            if now.since(first_end) < patience {
                continue;
            }
            self.mark_asked(now, suspect);
            let inquiry = Inquiry { suspect, first_end };
            match self.evidence.inquire(now, inquiry) {
                Some(clearance) => self.clear(clearance),
                None => inquiries.push(inquiry),
            }
        }
        if !inquiries.is_empty() {
            self.last_inquiry = now;
        }
        inquiries
    }

    fn mark_asked(&mut self, now: Time, suspect: Suspect) {
        if self.asked.len() < ASKED_MAX {
            self.asked.entry(suspect).or_insert(now);
        }
    }

    /// Handles the question of a node that counts.
    ///
    /// Returns the clearance to be sent to the nodes that count, if there is one
    /// already.
    pub fn on_inquiry(&mut self, now: Time, inquiry: Inquiry) -> Option<Clearance> {
        self.mark_asked(now, inquiry.suspect);
        let clearance = self.evidence.inquire(now, inquiry)?;
        self.clear(clearance);
        Some(clearance)
    }

    /// Handles the clearance of another node.
    ///
    /// Returns a verdict to be sent to all other nodes: a quarantine was lifted.
    pub fn on_clearance(&mut self, now: Time, clearance: Clearance) -> Option<Verdict> {
        let Clearance { suspect, at } = clearance;
        self.evidence.record(at, suspect);
        self.clear(clearance);
        let record = self.records.get(&suspect).copied()?;
        let is_overruled = record.until.is_some() && at + TRANSIT_ALLOWANCE > record.first_end;
        is_overruled.then(|| self.set_record(now, suspect, record.version + 1, None, now))
    }

    fn clear(&mut self, clearance: Clearance) {
        self.log.clear(clearance.suspect, clearance.at);
        self.asked.remove(&clearance.suspect);
    }

    /// Records that a request got a complete response.
    ///
    /// Returns verdicts to be sent to all other nodes, and clearances to be sent
    /// to the nodes that count.
    pub fn on_answered(
        &mut self,
        now: Time,
        request: Fingerprint,
        parts: &[PartId],
    ) -> (Vec<Verdict>, Vec<Clearance>) {
        let clearances = self.evidence.on_answered(now, request, parts);
        let mut verdicts = Vec::new();
        for suspect in suspects(request, parts) {
            self.clear(Clearance { suspect, at: now });
            verdicts.extend(self.lift(now, suspect));
        }
        (verdicts, clearances)
    }

    /// Records that an answer to a prompt has begun.
    pub fn on_answer_began(&mut self, now: Time, run: RunNumber, parts: Arc<[PartId]>) {
        self.evidence.on_answer_began(now, run, parts);
    }

    /// Records that an answer has ended or was given up.
    pub fn on_run_ended(&mut self, run: RunNumber) {
        self.evidence.on_run_ended(run);
    }

    /// Returns the clearances that follow from answers in progress, to be sent to
    /// the nodes that count.
    pub fn take_clearances(&mut self, now: Time) -> Vec<Clearance> {
        let found = self.evidence.take_clearances(now);
        for clearance in &found {
            self.clear(*clearance);
        }
        found
    }

    /// Lifts the quarantine of a suspect.
    ///
    /// Returns a verdict to be sent to all other nodes.
    pub fn lift(&mut self, now: Time, suspect: Suspect) -> Option<Verdict> {
        let record = self.records.get(&suspect).filter(|r| r.until.is_some())?;
        let version = record.version + 1;
        self.clear(Clearance { suspect, at: now });
        Some(self.set_record(now, suspect, version, None, now))
    }

    /// Applies a verdict that was received from another node.
    pub fn apply_verdict(&mut self, now: Time, received: Verdict) -> VerdictOutcome {
        self.sweep(now);
        let suspect = received.suspect;
        let remaining = received.remaining.min(QUARANTINE_RANGE[1]);
        let until = (!remaining.is_zero()).then(|| now + remaining);
        let held = self.records.get(&suspect);
        let (version, held_until) = held.map_or((0, None), |r| (r.version, r.until));
        if let Some(held) = self.records.get_mut(&suspect)
            && received.version == version
            && held.trials < received.trials
        {
            held.trials = received.trials;
            self.last_change += 1;
            held.last_change = self.last_change;
        }
        // Verdicts with the same version were reached by several nodes at the
        // same time.
        let threshold = held_until.map(|u| u + EXTENSION_MIN);
        if (received.version, until) <= (version, threshold) {
            return VerdictOutcome::Known;
        }
        let known = received.version == version && held_until.is_some();
        let first_end = now - received.first_end_age;
        let inquiry = Inquiry {
            suspect,
            first_end: first_end - TRANSIT_ALLOWANCE,
        };
        if until.is_some() && self.evidence.inquire(now, inquiry).is_some() {
            let lifted = self.set_record(now, suspect, received.version + 1, None, now);
            return VerdictOutcome::Overruled(lifted);
        }
        self.set_record(now, suspect, received.version, until, first_end);
        if let Some(record) = self.records.get_mut(&suspect) {
            record.trials = record.trials.max(received.trials);
        }
        if until.is_some() {
            self.log.explain(suspect);
        } else {
            self.clear(Clearance { suspect, at: now });
        }
        if known {
            VerdictOutcome::Known
        } else {
            VerdictOutcome::New
        }
    }

    /// Returns for how much longer a suspect is refused.
    ///
    /// After the quarantine has expired, it is refused until a trial was
    /// answered.
    #[must_use]
    pub fn quarantine_remaining(&self, now: Time, suspect: Suspect) -> Option<Duration> {
        let record = self.records.get(&suspect)?;
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

    /// Returns the suspects among a request and the parts of its prompt that are
    /// refused, and for how much longer.
    #[must_use]
    pub fn quarantined(
        &self,
        now: Time,
        request: Fingerprint,
        parts: &[PartId],
    ) -> Vec<(Suspect, Duration)> {
        if self.records.is_empty() {
            return Vec::new();
        }
        let refused = suspects(request, parts);
        let refused = refused.filter_map(|s| Some((s, self.quarantine_remaining(now, s)?)));
        refused.collect()
    }

    /// Counts a request that was refused because of a suspect.
    pub fn record_refusal(&mut self, suspect: Suspect) {
        if let Some(record) = self.records.get_mut(&suspect) {
            record.refusals += 1;
        }
    }

    /// Returns the current and past quarantines.
    #[must_use]
    pub fn quarantines(&self, now: Time) -> Vec<QuarantineFact> {
        let facts = self.records.iter().map(|(&suspect, record)| {
            let endpoints = self.lost_endpoints(suspect).map(ToString::to_string);
            QuarantineFact {
                suspect,
                left: record
                    .until
                    .map_or(Duration::ZERO, |until| until.since(now)),
                refused: record.until.is_some(),
                age: now.since(record.first_end),
                trials: record.trials,
                refusals: record.refusals,
                endpoints: endpoints.collect(),
            }
        });
        facts.collect()
    }

    fn is_quarantined(&self, suspect: Suspect) -> bool {
        let record = self.records.get(&suspect);
        record.is_some_and(|r| r.until.is_some())
    }

    /// Starts a trial of a suspect whose quarantine has expired; returns the
    /// verdict to be sent to all other nodes if the request may be sent.
    ///
    /// Call this on one node only, once for each request that arrives.
    pub fn try_start_trial(&mut self, now: Time, suspect: Suspect) -> Option<Verdict> {
        let record = self.records.get_mut(&suspect)?;
        let expired = record.until.is_some_and(|u| u <= now);
        if !expired || record.next_trial > now || record.trials >= TRIALS_MAX {
            return None;
        }
        record.next_trial = now + TRIAL_TIMEOUT * TRIAL_GROWTH.pow(record.trials);
        record.trials += 1;
        self.last_change += 1;
        record.last_change = self.last_change;
        Some(verdict(now, suspect, record))
    }

    /// Returns whether requests in flight may continue, including a trial.
    #[must_use]
    pub fn may_continue(&self, now: Time, suspect: Suspect) -> bool {
        let until = self.records.get(&suspect).and_then(|r| r.until);
        until.is_none_or(|u| u <= now)
    }

    /// Returns the endpoints lost under a suspect, as far as this node counted
    /// them.
    pub fn lost_endpoints(&self, suspect: Suspect) -> impl Iterator<Item = &Incarnation> {
        self.log.endpoints(suspect)
    }

    /// Returns the verdicts since the change numbered `since`, oldest first and
    /// at most `most`, and the number from which to continue.
    #[must_use]
    pub fn changes_since(&self, now: Time, since: u64, most: usize) -> (Vec<Verdict>, u64) {
        if since >= self.last_change {
            return (Vec::new(), self.last_change);
        }
        let changed = self.records.iter().filter(|(_, r)| r.last_change > since);
        let mut changed: Vec<(&Suspect, &Record)> = changed.collect();
        changed.sort_unstable_by_key(|(_, r)| r.last_change);
        let more = changed.len() > most;
        changed.truncate(most);
        let last = changed
            .last()
            .map_or(self.last_change, |(_, r)| r.last_change);
        let verdicts = changed
            .iter()
            .map(|(suspect, r)| verdict(now, **suspect, r));
        (
            verdicts.collect(),
            if more { last } else { self.last_change },
        )
    }

    /// Returns the number of the last change to a verdict.
    #[must_use]
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Applies a verdict that was recorded `age` ago.
    ///
    /// An old record may hold a quarantine that has long been forgotten.
    pub fn apply_recorded(
        &mut self,
        now: Time,
        recorded: Verdict,
        age: Duration,
    ) -> VerdictOutcome {
        if age >= recorded.remaining + RETENTION {
            return VerdictOutcome::Known;
        }
        let is_lifted = recorded.remaining.is_zero();
        let remaining = recorded.remaining.saturating_sub(age);
        let verdict = Verdict {
            remaining: if is_lifted {
                Duration::ZERO
            } else {
                remaining.max(EXPIRED_REMAINING)
            },
            first_end_age: recorded.first_end_age + age,
            ..recorded
        };
        self.apply_verdict(now, verdict)
    }

    /// Returns the latest verdicts, at most `most`.
    #[must_use]
    pub fn latest(&self, now: Time, most: usize) -> Vec<Verdict> {
        let mut changes: Vec<u64> = self.records.values().map(|r| r.last_change).collect();
        changes.sort_unstable_by(|a, b| b.cmp(a));
        let since = changes.get(most).copied().unwrap_or_default();
        self.changes_since(now, since, most).0
    }

    /// Returns the number of quarantined suspects, and of suspects whose lost
    /// endpoints are counted.
    #[must_use]
    pub fn counts(&self, now: Time) -> (usize, usize) {
        let active = |r: &&Record| r.until.is_some_and(|u| u > now);
        let quarantined = self.records.values().filter(active).count();
        (quarantined, self.log.suspect_count())
    }

    fn set_record(
        &mut self,
        now: Time,
        suspect: Suspect,
        version: u32,
        until: Option<Time>,
        first_end: Time,
    ) -> Verdict {
        self.asked.remove(&suspect);
        self.last_change += 1;
        let held = self.records.get(&suspect).filter(|r| r.until.is_some());
        let (trials, refusals) = held.map_or((0, 0), |r| (r.trials, r.refusals));
        let record = Record {
            version,
            until,
            first_end,
            at: now,
            last_change: self.last_change,
            next_trial: Time::ZERO,
            trials,
            refusals,
        };
        self.records.insert(suspect, record);
        if self.records.len() > RECORDS_MAX {
            // Verdicts in force yield last.
            let oldest = self.records.iter();
            let oldest = oldest.min_by_key(|(_, r)| (r.until.is_some_and(|u| u > now), r.at));
            if let Some((&oldest, _)) = oldest {
                self.records.remove(&oldest);
            }
        }
        verdict(now, suspect, &record)
    }

    /// Removes what happened long ago. Until then one more loss restores a
    /// quarantine that has expired.
    fn sweep(&mut self, now: Time) {
        self.records
            .retain(|_, r| now.since(r.until.unwrap_or(r.at)) < RETENTION);
        self.log.sweep(now);
    }
}

/// Returns the duration of a quarantine whose first loss was at `first_end`.
fn quarantine_duration(now: Time, first_end: Time) -> Duration {
    let [shortest, longest] = QUARANTINE_RANGE;
    now.since(first_end)
        .saturating_mul(3)
        .clamp(shortest, longest)
}

fn verdict(now: Time, suspect: Suspect, record: &Record) -> Verdict {
    Verdict {
        suspect,
        version: record.version,
        // An expired quarantine still refuses all but trials: it is not lifted.
        remaining: record
            .until
            .map_or(Duration::ZERO, |u| u.since(now).max(EXPIRED_REMAINING)),
        first_end_age: now.since(record.first_end),
        trials: record.trials,
    }
}

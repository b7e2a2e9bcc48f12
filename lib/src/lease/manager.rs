//! Claims, renews, checks and releases leases for one process.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::FencingNumber;
use crate::ids::Offset;
use crate::lease::LeaseFold;
use crate::lease::LeaseHolder;
use crate::lease::LeaseName;
use crate::lease::LeaseRecord;
use crate::lease::LeaseTerm;
use crate::log::AppendEnd;
use crate::log::Backoff;
use crate::record::Body;
use crate::record::Record;
use crate::record::RecordId;
use crate::time::Time;
use crate::time::WallTime;

/// Renewals per term: two may fail before the lease expires.
pub(super) const RENEWALS_PER_TERM: u32 = 3;

/// The maximum number of appended records tracked until they are read back.
const TRACKED_APPENDS_MAX: usize = 16;

/// Safeguards of a manager; only tests that prove their need turn them off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each switch is independent")]
pub struct LeaseGuards {
    /// Checks the expiry of a lease against the clock.
    pub expiry: bool,
    /// Counts the term from the time at which the record was sent.
    pub from_send: bool,
    /// Applies a claim or renewal only after it was read back from the log.
    pub read_back: bool,
    /// Makes a successor wait for the term plus the clock drift.
    pub wait_out: bool,
    /// Includes the newest accepted key's issue time in a release.
    pub used: bool,
}

impl LeaseGuards {
    /// All safeguards on.
    pub const ON: Self = Self {
        expiry: true,
        from_send: true,
        read_back: true,
        wait_out: true,
        used: true,
    };
}

/// A lease that the process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing number: the offset of the claim.
    pub fence: FencingNumber,
    /// Earlier holders can have accepted only keys issued up to this time.
    pub issue_floor: WallTime,
    /// When the lease expires, on this process's clock.
    pub expires_at: Time,
}

#[derive(Debug, Clone)]
struct SentRecord {
    record: LeaseRecord,
    sent_at: Time,
    /// The future [`HeldLease::issue_floor`] of each lease of a claim.
    issue_floors: BTreeMap<LeaseName, WallTime>,
}

/// The leases that one incarnation of a process holds and wants.
#[derive(Debug, Clone)]
pub struct LeaseManager {
    pub(super) me: LeaseHolder,
    pub(super) term: LeaseTerm,
    guards: LeaseGuards,
    pub(super) fold: LeaseFold,
    pub(super) wanted: BTreeSet<LeaseName>,
    pub(super) held: BTreeMap<LeaseName, HeldLease>,
    /// The newest issue time of a key accepted under each held lease.
    pub(super) newest_issues: BTreeMap<LeaseName, WallTime>,
    sent: BTreeMap<RecordId, SentRecord>,
    in_flight: Option<RecordId>,
    pub(super) renewed_at: Time,
    retry_at: Time,
    backoff: Backoff,
}

impl LeaseManager {
    /// Creates a manager without leases that reads the log from an offset.
    #[must_use]
    pub fn new(me: LeaseHolder, term: LeaseTerm, start: Offset, seed: u64) -> Self {
        Self::with_guards(me, term, start, seed, LeaseGuards::ON)
    }

    /// Creates a manager with the given safeguards, for tests that prove their need.
    #[must_use]
    pub fn with_guards(
        me: LeaseHolder,
        term: LeaseTerm,
        start: Offset,
        seed: u64,
        guards: LeaseGuards,
    ) -> Self {
        Self {
            me,
            term,
            guards,
            fold: LeaseFold::new(start),
            wanted: BTreeSet::new(),
            held: BTreeMap::new(),
            newest_issues: BTreeMap::new(),
            sent: BTreeMap::new(),
            in_flight: None,
            renewed_at: Time::ZERO,
            retry_at: Time::ZERO,
            backoff: Backoff::new(seed),
        }
    }

    /// Returns the known state of all leases.
    #[must_use]
    pub const fn fold(&self) -> &LeaseFold {
        &self.fold
    }

    /// Returns the identity under which leases are held.
    #[must_use]
    pub const fn me(&self) -> &LeaseHolder {
        &self.me
    }

    /// Sets the leases to hold; all others are released.
    ///
    /// A lease that is no longer wanted counts as not held at once, before its
    /// release is sent, so that it is never used after a successor's claim.
    pub fn set_wanted(&mut self, wanted: BTreeSet<LeaseName>) {
        self.wanted = wanted;
    }

    /// Returns the lease if it is held now; to be called right before an effect.
    ///
    /// When a paused process resumes, its lease may have expired and a successor
    /// may be active. Its clock ran on during the pause, so this check detects
    /// it, provided that nothing happens between the check and the effect.
    #[must_use]
    pub fn held(&self, now: Time, lease: &LeaseName) -> Option<HeldLease> {
        let held = self.held.get(lease)?;
        let wanted = self.wanted.contains(lease);
        let valid = now < held.expires_at || !self.guards.expiry;
        (wanted && valid).then_some(*held)
    }

    /// Returns whether a lease was won and not lost since; it may have expired.
    #[must_use]
    pub fn has(&self, lease: &LeaseName) -> bool {
        self.held.contains_key(lease)
    }

    /// Returns all leases that are held now.
    pub fn all_held(&self, now: Time) -> impl Iterator<Item = (&LeaseName, HeldLease)> {
        let names = self.held.keys();
        names.filter_map(move |lease| Some((lease, self.held(now, lease)?)))
    }

    /// Applies the record at an offset of the log.
    pub fn apply(&mut self, now: Time, offset: Offset, record: Option<&Record>) {
        let step = record.and_then(|r| match &r.body {
            Body::Lease(step) => Some(step),
            _ => None,
        });
        if !self.fold.apply(now, offset, step) {
            return;
        }
        self.drop_lost();
        if let Some(record) = record {
            self.apply_own(now, record.id);
        }
    }

    /// Resets the state after retention removed unread records before `first`.
    ///
    /// They may include a successor's claim. All held leases expired long before,
    /// since retention is longer than any term.
    pub fn reset(&mut self, first: Offset) {
        self.fold = LeaseFold::new(first);
        self.held.clear();
        self.sent.clear();
        self.in_flight = None;
    }

    fn drop_lost(&mut self) {
        let fold = &self.fold;
        self.held.retain(|lease, held| {
            let tenure = fold.tenure(lease);
            tenure.is_some_and(|t| t.fence == held.fence)
        });
    }

    fn apply_own(&mut self, now: Time, id: RecordId) {
        let Some(sent) = self.sent.remove(&id) else {
            return;
        };
        if self.in_flight == Some(id) {
            self.in_flight = None;
            self.backoff.succeeded();
            self.retry_at = now;
        }
        self.apply_sent(now, &sent, Offset(self.fold.next().0 - 1));
    }

    fn apply_sent(&mut self, now: Time, sent: &SentRecord, offset: Offset) {
        // The term counts from the send. If the process was paused, the record may
        // have been in the log, with a successor already waiting, long before the
        // response or the read arrived.
        let start = if self.guards.from_send {
            sent.sent_at
        } else {
            now
        };
        let expires_at = start + self.term.term();
        match &sent.record {
            LeaseRecord::Claim { leases, .. } => {
                if self.held.is_empty() {
                    self.renewed_at = sent.sent_at;
                }
                for claimed in leases {
                    self.apply_claim(&claimed.lease, sent, offset, expires_at);
                }
            }
            LeaseRecord::Renew { leases, .. } => {
                for hold in leases {
                    let held = self.held.get_mut(&hold.lease);
                    if let Some(held) = held.filter(|h| h.fence == hold.fence) {
                        held.expires_at = held.expires_at.max(expires_at);
                    }
                }
                self.renewed_at = self.renewed_at.max(sent.sent_at);
            }
            LeaseRecord::Release { .. } => {}
        }
    }

    fn apply_claim(
        &mut self,
        lease: &LeaseName,
        sent: &SentRecord,
        offset: Offset,
        expires_at: Time,
    ) {
        let fence = FencingNumber(offset.0);
        let tenure = self.fold.tenure(lease);
        let won = tenure.is_some_and(|t| t.fence == fence && t.holder == self.me);
        if won || !self.guards.read_back {
            let issue_floor = sent.issue_floors.get(lease).copied();
            let held = HeldLease {
                fence,
                issue_floor: issue_floor.unwrap_or(WallTime::from_millis(u64::MAX)),
                expires_at,
            };
            self.newest_issues.remove(lease);
            self.held.insert(lease.clone(), held);
        }
    }

    /// Returns when [`Self::poll`] may next return a record.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        if self.in_flight.is_some() {
            return Time::NEVER;
        }
        let renewal = if self.held.is_empty() {
            Time::NEVER
        } else {
            self.renewed_at + self.term.term() / RENEWALS_PER_TERM
        };
        let surplus = self.held.keys().any(|lease| !self.wanted.contains(lease));
        let release = if surplus { Time::ZERO } else { Time::NEVER };
        let missing = self.wanted.iter().filter(|l| !self.held.contains_key(*l));
        let claim = missing.map(|lease| self.claim_at(lease)).min();
        let next = renewal.min(release).min(claim.unwrap_or(Time::NEVER));
        next.max(self.retry_at)
    }

    /// Returns the time from which a lease can be claimed, on this process's clock.
    #[must_use]
    pub fn claim_at(&self, lease: &LeaseName) -> Time {
        if self.guards.wait_out {
            self.fold.free_at(lease)
        } else {
            Time::ZERO
        }
    }

    /// Returns the next record to append under the given id, if it is time for one.
    ///
    /// The caller sends it once. A record without a response isn't retried: the
    /// next one uses the records read since, and its term counts from its send.
    pub fn poll(&mut self, now: Time, wall: WallTime, id: RecordId) -> Option<Record> {
        if self.next_wake() > now {
            return None;
        }
        let step = self.release_record();
        let step = step.or_else(|| self.renewal_record(now));
        let step = step.or_else(|| self.claim_record(now))?;
        let sent = SentRecord {
            record: step.clone(),
            sent_at: now,
            issue_floors: self.issue_floors(&step, wall),
        };
        self.sent.insert(id, sent);
        if self.sent.len() > TRACKED_APPENDS_MAX {
            self.forget_oldest();
        }
        self.in_flight = Some(id);
        Some(Record {
            id,
            author: crate::record::Author::Node(self.me.node.clone()),
            body: Body::Lease(step),
        })
    }

    /// Records the issue time of a key accepted under a held lease.
    pub fn record_key(&mut self, lease: &LeaseName, issued: WallTime) {
        if self.guards.used {
            let newest = self.newest_issues.entry(lease.clone()).or_default();
            *newest = issued.max(*newest);
        }
    }

    /// Returns whether an append was sent and its record not read back yet.
    #[must_use]
    pub const fn has_append_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns whether all wanted leases are held now.
    #[must_use]
    pub fn is_complete(&self, now: Time) -> bool {
        self.wanted
            .iter()
            .all(|lease| self.held(now, lease).is_some())
    }

    fn forget_oldest(&mut self) {
        let oldest = self.sent.iter().min_by_key(|(_, s)| s.sent_at);
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.sent.remove(&id);
        }
    }

    /// Handles the result of the append of a record.
    ///
    /// [`AppendEnd::Done`] doesn't prove a lease, since another claim may precede
    /// it in the log. The record takes effect in [`Self::apply`].
    pub fn on_append_end(&mut self, now: Time, id: RecordId, end: &AppendEnd) {
        if self.in_flight != Some(id) {
            return;
        }
        match end {
            AppendEnd::Done { offset } => {
                if let (false, Some(sent)) = (self.guards.read_back, self.sent.get(&id).cloned()) {
                    self.apply_sent(now, &sent, *offset);
                }
            }
            AppendEnd::NotDone { retry_after } => {
                self.sent.remove(&id);
                self.in_flight = None;
                let pause = self.backoff.failed();
                self.retry_at = now + retry_after.map_or(pause, |requested| requested.max(pause));
            }
            AppendEnd::Unanswered => {
                self.in_flight = None;
                self.retry_at = now + self.backoff.failed();
            }
        }
    }
}

//! Claims, renews, checks and gives up leases for one process.

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

/// Renewals that fit in one term: two may fail before the lease runs out.
pub(super) const RENEWALS_PER_TERM: u32 = 3;

/// The records under way that are remembered until they are read back.
const TRACKED_APPENDS_MAX: usize = 16;

/// Safeguards of a holder, all on but in tests that show their worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each is a switch of its own")]
pub struct LeaseGuards {
    /// A lease is checked against the clock.
    pub expiry: bool,
    /// The term counts from before the record was sent.
    pub from_send: bool,
    /// A claim or renewal counts once it was read back.
    pub read_back: bool,
    /// A successor waits the term and the drift out.
    pub wait_out: bool,
    /// A release tells the newest key that was taken in.
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

/// A lease that is held at this moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing number: the offset of the claim.
    pub fence: FencingNumber,
    /// No key issued later can have been taken in by an earlier holder.
    pub issue_floor: WallTime,
    /// When the lease runs out on this process's clock.
    pub expires_at: Time,
}

#[derive(Debug, Clone)]
struct SentRecord {
    record: LeaseRecord,
    sent_at: Time,
    /// For each lease of a claim, what [`HeldLease::issue_floor`] will be.
    issue_floors: BTreeMap<LeaseName, WallTime>,
}

/// The leases of one incarnation of a process.
#[derive(Debug, Clone)]
pub struct LeaseManager {
    pub(super) me: LeaseHolder,
    pub(super) term: LeaseTerm,
    guards: LeaseGuards,
    pub(super) fold: LeaseFold,
    pub(super) wanted: BTreeSet<LeaseName>,
    pub(super) held: BTreeMap<LeaseName, HeldLease>,
    /// The newest issue of a key taken in under each lease held.
    pub(super) newest_issues: BTreeMap<LeaseName, WallTime>,
    sent: BTreeMap<RecordId, SentRecord>,
    in_flight: Option<RecordId>,
    pub(super) renewed_at: Time,
    retry_at: Time,
    backoff: Backoff,
}

impl LeaseManager {
    /// Starts without a lease, reading the log from an offset.
    #[must_use]
    pub fn new(me: LeaseHolder, term: LeaseTerm, start: Offset, seed: u64) -> Self {
        Self::with_guards(me, term, start, seed, LeaseGuards::ON)
    }

    /// Starts with some safeguards off, for tests that show their worth.
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

    /// Returns what is known of all leases.
    #[must_use]
    pub const fn fold(&self) -> &LeaseFold {
        &self.fold
    }

    /// Returns who this holder is.
    #[must_use]
    pub const fn me(&self) -> &LeaseHolder {
        &self.me
    }

    /// Sets the leases to hold; others are given up.
    ///
    /// A lease that is no longer wanted stops being held at once, before its
    /// release is even sent, so a successor finds it unused.
    pub fn set_wanted(&mut self, wanted: BTreeSet<LeaseName>) {
        self.wanted = wanted;
    }

    /// Returns the lease if it is held at this moment: ask right before an effect.
    ///
    /// A holder that was paused wakes up with its lease run out and a successor
    /// at work. Its clock went on meanwhile, so this check finds out, as long
    /// as nothing comes between it and the effect.
    #[must_use]
    pub fn held(&self, now: Time, lease: &LeaseName) -> Option<HeldLease> {
        let held = self.held.get(lease)?;
        let wanted = self.wanted.contains(lease);
        let valid = now < held.expires_at || !self.guards.expiry;
        (wanted && valid).then_some(*held)
    }

    /// Tells whether a lease was won and not lost since; it may have run out.
    #[must_use]
    pub fn has(&self, lease: &LeaseName) -> bool {
        self.held.contains_key(lease)
    }

    /// Returns all leases that are held at this moment.
    pub fn all_held(&self, now: Time) -> impl Iterator<Item = (&LeaseName, HeldLease)> {
        let names = self.held.keys();
        names.filter_map(move |lease| Some((lease, self.held(now, lease)?)))
    }

    /// Takes what was read at an offset of the log.
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

    /// Forgets everything, because retention took records unread.
    ///
    /// A claim of a successor may be among them. What was held has run out long
    /// before, since retention is longer than any term.
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
        // The term counts from before the send: the record may have stood in
        // the log, and a successor may have begun to wait, long before the
        // answer or the read came back to a holder that was paused.
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

    /// Returns when [`Self::poll`] may next have a record.
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

    /// Returns when a lease can be claimed, on this process's clock.
    #[must_use]
    pub fn claim_at(&self, lease: &LeaseName) -> Time {
        if self.guards.wait_out {
            self.fold.free_at(lease)
        } else {
            Time::ZERO
        }
    }

    /// Returns the next record to append under the given id, if one is due.
    ///
    /// The caller sends it once. A record without an answer isn't repeated: the
    /// next one is built on what was read since, and counts from its own send.
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

    /// Notes that a key is taken in under a lease that is held.
    pub fn record_key(&mut self, lease: &LeaseName, issued: WallTime) {
        if self.guards.used {
            let newest = self.newest_issues.entry(lease.clone()).or_default();
            *newest = issued.max(*newest);
        }
    }

    /// Tells whether an append was sent and its record not read back yet.
    #[must_use]
    pub const fn has_append_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Tells whether every wanted lease is held at this moment.
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

    /// Takes the end of the append of a record.
    ///
    /// [`AppendEnd::Done`] proves no lease: another claim may stand before it.
    /// The record counts when [`Self::apply`] sees it.
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

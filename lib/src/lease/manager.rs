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
pub(super) const RENEWALS: u32 = 3;

/// The records under way that are remembered until they are read back.
const SENT_MAX: usize = 16;

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
    pub before: WallTime,
    /// When the lease runs out on this process's clock.
    pub until: Time,
}

#[derive(Debug, Clone)]
struct Sent {
    record: LeaseRecord,
    at: Time,
    /// For each lease of a claim, what [`HeldLease::before`] will be.
    before: BTreeMap<LeaseName, WallTime>,
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
    pub(super) used: BTreeMap<LeaseName, WallTime>,
    sent: BTreeMap<RecordId, Sent>,
    flying: Option<RecordId>,
    pub(super) renewed: Time,
    resume: Time,
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
            used: BTreeMap::new(),
            sent: BTreeMap::new(),
            flying: None,
            renewed: Time::ZERO,
            resume: Time::ZERO,
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
        let valid = now < held.until || !self.guards.expiry;
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
            self.read_own(now, record.id);
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
        self.flying = None;
    }

    fn drop_lost(&mut self) {
        let fold = &self.fold;
        self.held.retain(|lease, held| {
            let tenure = fold.tenure(lease);
            tenure.is_some_and(|t| t.fence == held.fence)
        });
    }

    fn read_own(&mut self, now: Time, id: RecordId) {
        let Some(sent) = self.sent.remove(&id) else {
            return;
        };
        if self.flying == Some(id) {
            self.flying = None;
            self.backoff.succeeded();
            self.resume = now;
        }
        self.take(now, &sent, Offset(self.fold.next().0 - 1));
    }

    fn take(&mut self, now: Time, sent: &Sent, offset: Offset) {
        // The term counts from before the send: the record may have stood in
        // the log, and a successor may have begun to wait, long before the
        // answer or the read came back to a holder that was paused.
        let from = if self.guards.from_send { sent.at } else { now };
        let until = from + self.term.term();
        match &sent.record {
            LeaseRecord::Claim { leases, .. } => {
                if self.held.is_empty() {
                    self.renewed = sent.at;
                }
                for claimed in leases {
                    self.take_claimed(&claimed.lease, sent, offset, until);
                }
            }
            LeaseRecord::Renew { leases, .. } => {
                for hold in leases {
                    let held = self.held.get_mut(&hold.lease);
                    if let Some(held) = held.filter(|h| h.fence == hold.fence) {
                        held.until = held.until.max(until);
                    }
                }
                self.renewed = self.renewed.max(sent.at);
            }
            LeaseRecord::Release { .. } => {}
        }
    }

    fn take_claimed(&mut self, lease: &LeaseName, sent: &Sent, offset: Offset, until: Time) {
        let fence = FencingNumber(offset.0);
        let tenure = self.fold.tenure(lease);
        let won = tenure.is_some_and(|t| t.fence == fence && t.holder == self.me);
        if won || !self.guards.read_back {
            let before = sent.before.get(lease).copied();
            let held = HeldLease {
                fence,
                before: before.unwrap_or(WallTime::from_millis(u64::MAX)),
                until,
            };
            self.used.remove(lease);
            self.held.insert(lease.clone(), held);
        }
    }

    /// Returns when [`Self::poll`] may next have a record.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        if self.flying.is_some() {
            return Time::NEVER;
        }
        let renewal = if self.held.is_empty() {
            Time::NEVER
        } else {
            self.renewed + self.term.term() / RENEWALS
        };
        let surplus = self.held.keys().any(|lease| !self.wanted.contains(lease));
        let release = if surplus { Time::ZERO } else { Time::NEVER };
        let missing = self.wanted.iter().filter(|l| !self.held.contains_key(*l));
        let claim = missing.map(|lease| self.claim_at(lease)).min();
        let due = renewal.min(release).min(claim.unwrap_or(Time::NEVER));
        due.max(self.resume)
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
        let step = self.release();
        let step = step.or_else(|| self.renewal(now));
        let step = step.or_else(|| self.claim(now))?;
        let sent = Sent {
            record: step.clone(),
            at: now,
            before: self.bounds(&step, wall),
        };
        self.sent.insert(id, sent);
        if self.sent.len() > SENT_MAX {
            self.forget_oldest();
        }
        self.flying = Some(id);
        Some(Record {
            id,
            author: crate::record::Author::Node(self.me.node.clone()),
            body: Body::Lease(step),
        })
    }

    /// Notes that a key is taken in under a lease that is held.
    pub fn record_key(&mut self, lease: &LeaseName, issued: WallTime) {
        if self.guards.used {
            let newest = self.used.entry(lease.clone()).or_default();
            *newest = issued.max(*newest);
        }
    }

    /// Tells whether an append was sent and its record not read back yet.
    #[must_use]
    pub const fn is_waiting(&self) -> bool {
        self.flying.is_some()
    }

    /// Tells whether every wanted lease is held at this moment.
    #[must_use]
    pub fn is_complete(&self, now: Time) -> bool {
        self.wanted
            .iter()
            .all(|lease| self.held(now, lease).is_some())
    }

    fn forget_oldest(&mut self) {
        let oldest = self.sent.iter().min_by_key(|(_, s)| s.at);
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.sent.remove(&id);
        }
    }

    /// Takes the end of the append of a record.
    ///
    /// [`AppendEnd::Done`] proves no lease: another claim may stand before it.
    /// The record counts when [`Self::apply`] sees it.
    pub fn on_append_end(&mut self, now: Time, id: RecordId, end: &AppendEnd) {
        if self.flying != Some(id) {
            return;
        }
        match end {
            AppendEnd::Done { offset } => {
                if let (false, Some(sent)) = (self.guards.read_back, self.sent.get(&id).cloned()) {
                    self.take(now, &sent, *offset);
                }
            }
            AppendEnd::NotDone { retry_after } => {
                self.sent.remove(&id);
                self.flying = None;
                let pause = self.backoff.failed();
                self.resume = now + retry_after.map_or(pause, |asked| asked.max(pause));
            }
            AppendEnd::Unanswered => {
                self.flying = None;
                self.resume = now + self.backoff.failed();
            }
        }
    }
}

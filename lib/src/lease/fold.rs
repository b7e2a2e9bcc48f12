//! The state of leases as a fold over the log's records.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::FencingNumber;
use crate::ids::Offset;
use crate::lease::LeaseClaim;
use crate::lease::LeaseHolder;
use crate::lease::LeaseName;
use crate::lease::LeaseRecord;
use crate::lease::LeaseRelease;
use crate::lease::record::takeover_wait;
use crate::time::Time;
use crate::time::WallTime;

/// How long a lease that ran out is remembered.
const EXPIRED_RETENTION: Duration = Duration::from_hours(1);

/// Who holds a lease, by the log's order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenure {
    /// The holder.
    pub holder: LeaseHolder,
    /// The offset of its claim.
    pub fence: FencingNumber,
}

#[derive(Debug, Clone)]
struct LeaseState {
    tenure: Option<Tenure>,
    last_offset: Offset,
    free_at: Time,
    /// What the last holder said when it gave the lease up.
    newest_issue: Option<WallTime>,
}

/// The leases as far as one reader knows them.
///
/// A claim names an offset, and wins if no record names the lease from there
/// up to the claim. That depends on the records in between alone, so readers
/// who began at different offsets, or lost records to retention, agree on it.
#[derive(Debug, Clone)]
pub struct LeaseFold {
    start: Offset,
    next: Offset,
    leases: BTreeMap<LeaseName, LeaseState>,
    swept_at: Time,
    swept_any: bool,
}

impl LeaseFold {
    /// Starts to read at an offset.
    #[must_use]
    pub const fn new(start: Offset) -> Self {
        Self {
            start,
            next: start,
            leases: BTreeMap::new(),
            swept_at: Time::ZERO,
            swept_any: false,
        }
    }

    /// Returns the next offset to read.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Returns who holds a lease, if it is known; the tenure may have run out.
    #[must_use]
    pub fn tenure(&self, lease: &LeaseName) -> Option<&Tenure> {
        self.leases.get(lease)?.tenure.as_ref()
    }

    /// Returns when a lease can be claimed, on this reader's clock.
    ///
    /// A lease that no record names is free: retention is hours, a term at
    /// most one, so whoever held it before has run out.
    #[must_use]
    pub fn free_at(&self, lease: &LeaseName) -> Time {
        self.leases.get(lease).map_or(Time::ZERO, |s| s.free_at)
    }

    /// Tells whether no record has ever named a lease.
    ///
    /// Known only to a reader who has seen the log from its first record on.
    #[must_use]
    pub fn is_new(&self, lease: &LeaseName) -> bool {
        self.start == Offset(0) && !self.swept_any && !self.leases.contains_key(lease)
    }

    /// Returns the newest issue of a key under a lease that was given up.
    ///
    /// `None` if the lease is held, ran out, or was never held.
    #[must_use]
    pub fn newest_issue(&self, lease: &LeaseName) -> Option<WallTime> {
        self.leases.get(lease)?.newest_issue
    }

    /// Returns the leases under a prefix that are not free.
    pub fn occupied<'a>(
        &'a self,
        prefix: &'a str,
        now: Time,
    ) -> impl Iterator<Item = (&'a LeaseName, Option<&'a Tenure>)> {
        let named = self
            .leases
            .iter()
            .filter(move |(l, _)| l.as_str().starts_with(prefix));
        let occupied = named.filter(move |(_, s)| s.free_at > now);
        occupied.map(|(lease, state)| (lease, state.tenure.as_ref()))
    }

    /// Applies what was read at an offset; `None` for a record of another kind.
    ///
    /// Returns whether the record was the next one.
    pub fn apply(&mut self, now: Time, offset: Offset, record: Option<&LeaseRecord>) -> bool {
        if offset != self.next {
            return false;
        }
        self.next = offset.next();
        match record {
            Some(LeaseRecord::Claim {
                holder,
                leases,
                term_ms,
            }) => {
                let free_at = now + takeover_wait(Duration::from_millis(*term_ms));
                for claimed in leases {
                    self.claim(offset, holder, claimed, free_at);
                }
            }
            Some(LeaseRecord::Renew {
                leases, term_ms, ..
            }) => {
                let free_at = now + takeover_wait(Duration::from_millis(*term_ms));
                for hold in leases {
                    self.touch(&hold.lease, offset, free_at);
                }
            }
            Some(LeaseRecord::Release { leases, .. }) => {
                for released in leases {
                    self.release(offset, released);
                }
            }
            None => {}
        }
        self.sweep(now);
        true
    }

    fn claim(&mut self, offset: Offset, holder: &LeaseHolder, claimed: &LeaseClaim, free_at: Time) {
        let last_offset = self.leases.get(&claimed.lease).map(|s| s.last_offset);
        let is_known = claimed.after >= self.start;
        let won = is_known && last_offset.is_none_or(|n| n < claimed.after);
        let state = self.touch(&claimed.lease, offset, free_at);
        if won {
            state.tenure = Some(Tenure {
                holder: holder.clone(),
                fence: FencingNumber(offset.0),
            });
        } else if !is_known {
            state.tenure = None;
        }
    }

    /// Notes that a record names a lease, whether or not it has an effect.
    ///
    /// A successor waits out every such record. Counting only those with an
    /// effect would need the whole history, and a reader that lacks it would
    /// take a lease from a holder that others still see.
    fn touch(&mut self, lease: &LeaseName, offset: Offset, free_at: Time) -> &mut LeaseState {
        let state = self.leases.entry(lease.clone()).or_insert(LeaseState {
            tenure: None,
            last_offset: offset,
            free_at,
            newest_issue: None,
        });
        state.last_offset = offset;
        state.newest_issue = None;
        state.free_at = state.free_at.max(free_at);
        state
    }

    fn release(&mut self, offset: Offset, released: &LeaseRelease) {
        let state = self.touch(&released.lease, offset, Time::ZERO);
        // A former holder that wakes up may release what is no longer its own.
        if state
            .tenure
            .as_ref()
            .is_some_and(|t| t.fence == released.fence)
        {
            state.tenure = None;
            state.free_at = Time::ZERO;
            state.newest_issue = Some(released.used);
        }
    }

    fn sweep(&mut self, now: Time) {
        if now.since(self.swept_at) > EXPIRED_RETENTION {
            self.swept_at = now;
            self.swept_any = true;
            self.leases
                .retain(|_, state| state.free_at + EXPIRED_RETENTION > now);
        }
    }
}

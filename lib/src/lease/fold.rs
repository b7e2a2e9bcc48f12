//! The state of all leases as a fold over the log's records.

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

/// The time for which an expired lease is kept.
const EXPIRED_RETENTION: Duration = Duration::from_hours(1);

/// The holder of a lease, as determined by the log's order.
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
    /// The newest issue time that the last holder reported on release.
    newest_issue: Option<WallTime>,
}

/// The state of the leases, as known to one reader of the log.
///
/// A claim contains an offset, and wins if no record between that offset and
/// the claim names the lease. The result depends only on these records, so
/// readers that started at different offsets, or lost records to retention,
/// agree on it.
#[derive(Debug, Clone)]
pub struct LeaseFold {
    start: Offset,
    next: Offset,
    leases: BTreeMap<LeaseName, LeaseState>,
    swept_at: Time,
    swept_any: bool,
}

impl LeaseFold {
    /// Creates an empty fold that reads from an offset.
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

    /// Returns the holder of a lease, if known; the tenure may have expired.
    #[must_use]
    pub fn tenure(&self, lease: &LeaseName) -> Option<&Tenure> {
        self.leases.get(lease)?.tenure.as_ref()
    }

    /// Returns the time from which a lease can be claimed, on this reader's clock.
    ///
    /// A lease that no record names is free: retention lasts hours and a term at
    /// most one, so the lease of any earlier holder has expired.
    #[must_use]
    pub fn free_at(&self, lease: &LeaseName) -> Time {
        self.leases.get(lease).map_or(Time::ZERO, |s| s.free_at)
    }

    /// Returns whether no record has ever named a lease.
    ///
    /// Only a reader that has read the log from its first record knows this.
    #[must_use]
    pub fn is_new(&self, lease: &LeaseName) -> bool {
        self.start == Offset(0) && !self.swept_any && !self.leases.contains_key(lease)
    }

    /// Returns the newest issue time of a key under a lease that was released.
    ///
    /// Returns `None` if the lease is held, has expired, or was never held.
    #[must_use]
    pub fn newest_issue(&self, lease: &LeaseName) -> Option<WallTime> {
        self.leases.get(lease)?.newest_issue
    }

    /// Returns the leases with a name prefix that can't be claimed yet.
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

    /// Applies the record at an offset; `None` stands for a record of another kind.
    ///
    /// Returns whether the offset was the next one.
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

    /// Records that a record names a lease, whether or not it has an effect.
    ///
    /// A successor waits for the term of each such record to expire. Counting
    /// only records with an effect would require the whole history: a reader
    /// without it would claim a lease that others still see as held.
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
        // A former holder that resumes may release a lease that it has lost.
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

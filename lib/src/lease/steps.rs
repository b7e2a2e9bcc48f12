//! The records that a holder appends.

use std::collections::BTreeMap;

use super::manager::HeldLease;
use super::manager::LeaseManager;
use super::manager::RENEWALS;
use crate::lease::LeaseClaim;
use crate::lease::LeaseHold;
use crate::lease::LeaseName;
use crate::lease::LeaseRecord;
use crate::lease::LeaseRelease;
use crate::once::after_skew;
use crate::time::Time;
use crate::time::WallTime;

impl LeaseManager {
    pub(super) fn release(&mut self) -> Option<LeaseRecord> {
        let wanted = &self.wanted;
        let surplus = self
            .held
            .iter()
            .filter(|(lease, _)| !wanted.contains(*lease));
        let leases: Vec<_> = surplus.map(|entry| self.released(entry)).collect();
        if leases.is_empty() {
            return None;
        }
        self.held.retain(|lease, _| wanted.contains(lease));
        Some(LeaseRecord::Release {
            holder: self.me.clone(),
            leases,
        })
    }

    pub(super) fn released(&self, (lease, held): (&LeaseName, &HeldLease)) -> LeaseRelease {
        let used = self.used.get(lease).copied().unwrap_or_default();
        LeaseRelease {
            lease: lease.clone(),
            fence: held.fence,
            used: used.max(held.before),
        }
    }

    pub(super) fn renewal(&self, now: Time) -> Option<LeaseRecord> {
        let due = self.renewed + self.term.term() / RENEWALS <= now;
        (due && !self.held.is_empty()).then(|| LeaseRecord::Renew {
            holder: self.me.clone(),
            leases: self.held.iter().map(hold).collect(),
            term_ms: self.term_ms(),
        })
    }

    pub(super) fn claim(&self, now: Time) -> Option<LeaseRecord> {
        let missing = self.wanted.iter().filter(|l| !self.held.contains_key(*l));
        let free = missing.filter(|lease| self.claim_at(lease) <= now);
        let leases: Vec<_> = free
            .map(|lease| LeaseClaim {
                lease: lease.clone(),
                after: self.fold.next(),
            })
            .collect();
        (!leases.is_empty()).then(|| LeaseRecord::Claim {
            holder: self.me.clone(),
            leases,
            term_ms: self.term_ms(),
        })
    }

    pub(super) fn term_ms(&self) -> u64 {
        u64::try_from(self.term.term().as_millis()).unwrap_or(u64::MAX)
    }

    pub(super) fn bounds(
        &self,
        step: &LeaseRecord,
        wall: WallTime,
    ) -> BTreeMap<LeaseName, WallTime> {
        let LeaseRecord::Claim { leases, .. } = step else {
            return BTreeMap::new();
        };
        let names = leases.iter().map(|claimed| &claimed.lease);
        let bounds = names.map(|lease| (lease.clone(), self.bound(lease, wall)));
        bounds.collect()
    }

    /// Returns the newest issue that a key of an earlier holder can have.
    ///
    /// A holder that gave the lease up has said so. One that just ran out took
    /// keys in until then, before this claim is sent: the clock of day tells.
    /// The skew counts twice: that holder took keys of up to one skew ahead of
    /// its own clock, which may be one skew ahead of this one. Counted once, a
    /// key of a caller whose clock runs ahead would run at both. A lease that
    /// never was had no holder.
    fn bound(&self, lease: &LeaseName, wall: WallTime) -> WallTime {
        if self.fold.is_new(lease) {
            return WallTime::default();
        }
        self.fold
            .used(lease)
            .unwrap_or_else(|| after_skew(after_skew(wall)))
    }
}

fn hold((lease, held): (&LeaseName, &HeldLease)) -> LeaseHold {
    LeaseHold {
        lease: lease.clone(),
        fence: held.fence,
    }
}

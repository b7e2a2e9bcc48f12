//! Builds the lease records that a manager appends.

use std::collections::BTreeMap;

use super::manager::HeldLease;
use super::manager::LeaseManager;
use super::manager::RENEWALS_PER_TERM;
use crate::lease::LeaseClaim;
use crate::lease::LeaseHold;
use crate::lease::LeaseName;
use crate::lease::LeaseRecord;
use crate::lease::LeaseRelease;
use crate::once::add_skew;
use crate::time::Time;
use crate::time::WallTime;

impl LeaseManager {
    pub(super) fn release_record(&mut self) -> Option<LeaseRecord> {
        let wanted = &self.wanted;
        let surplus = self
            .held
            .iter()
            .filter(|(lease, _)| !wanted.contains(*lease));
        let leases: Vec<_> = surplus.map(|entry| self.to_release(entry)).collect();
        if leases.is_empty() {
            return None;
        }
        self.held.retain(|lease, _| wanted.contains(lease));
        Some(LeaseRecord::Release {
            holder: self.me.clone(),
            leases,
        })
    }

    pub(super) fn to_release(&self, (lease, held): (&LeaseName, &HeldLease)) -> LeaseRelease {
        let newest = self.newest_issues.get(lease).copied().unwrap_or_default();
        LeaseRelease {
            lease: lease.clone(),
            fence: held.fence,
            used: newest.max(held.issue_floor),
        }
    }

    pub(super) fn renewal_record(&self, now: Time) -> Option<LeaseRecord> {
        let is_due = self.renewed_at + self.term.term() / RENEWALS_PER_TERM <= now;
        (is_due && !self.held.is_empty()).then(|| LeaseRecord::Renew {
            holder: self.me.clone(),
            leases: self.held.iter().map(hold).collect(),
            term_ms: self.term_ms(),
        })
    }

    pub(super) fn claim_record(&self, now: Time) -> Option<LeaseRecord> {
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

    pub(super) fn issue_floors(
        &self,
        step: &LeaseRecord,
        wall: WallTime,
    ) -> BTreeMap<LeaseName, WallTime> {
        let LeaseRecord::Claim { leases, .. } = step else {
            return BTreeMap::new();
        };
        let names = leases.iter().map(|claimed| &claimed.lease);
        let floors = names.map(|lease| (lease.clone(), self.issue_floor(lease, wall)));
        floors.collect()
    }

    /// Returns the newest possible issue time of a key of an earlier holder.
    ///
    /// A release contains that time, and a lease without records had no holder.
    /// A holder whose lease expired stopped before this claim is sent. It accepted
    /// keys up to one skew ahead of its clock, which may be one skew ahead of this
    /// one. So the skew counts twice; with one, a key from a caller whose clock
    /// runs ahead would run at both holders.
    fn issue_floor(&self, lease: &LeaseName, wall: WallTime) -> WallTime {
        if self.fold.is_new(lease) {
            return WallTime::default();
        }
        self.fold
            .newest_issue(lease)
            .unwrap_or_else(|| add_skew(add_skew(wall)))
    }
}

fn hold((lease, held): (&LeaseName, &HeldLease)) -> LeaseHold {
    LeaseHold {
        lease: lease.clone(),
        fence: held.fence,
    }
}

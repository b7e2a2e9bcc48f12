//! Decides which key slots an agent tries to own.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rapidhash::v3::rapidhash_v3;

use crate::ids::FencingNumber;
use crate::ids::PoolName;
use crate::lease::LeaseHolder;
use crate::lease::LeaseManager;
use crate::lease::LeaseName;
use crate::once::KeySlot;
use crate::time::Time;

/// The delay between the claim of the seat and the first claims of slots.
///
/// Agents that start together see each other's seats in this time. Otherwise
/// the first one would claim all slots and release most of them soon after.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// One agent's share of a pool's key slots.
///
/// Each incarnation holds a seat: a lease that marks it as a member of the pool
/// and that no one else claims, so that a restarted agent need not wait for the
/// old one to expire. The slots are divided evenly by the number of unexpired
/// seats, which every agent can read from the log.
#[derive(Debug, Clone)]
pub struct SlotShare {
    pool: PoolName,
    seat: LeaseName,
    seat_prefix: String,
    seated_at: Option<Time>,
    lacks_slots: bool,
    slots: BTreeMap<KeySlot, LeaseName>,
    claim_order: Vec<LeaseName>,
}

impl SlotShare {
    /// Creates the share of an agent in all slots of a pool.
    #[must_use]
    pub fn new(pool: &PoolName, me: &LeaseHolder) -> Self {
        Self::from_slots(KeySlot::all(), pool, me)
    }

    /// Creates the share of an agent in some slots of a pool.
    #[must_use]
    pub fn from_slots(
        slots: impl Iterator<Item = KeySlot>,
        pool: &PoolName,
        me: &LeaseHolder,
    ) -> Self {
        // Each agent claims free slots in a different order, so that agents that
        // start together seldom claim the same slots.
        let mut claim_order: Vec<_> = slots.collect();
        claim_order.sort_by_key(|slot| rapidhash_v3(format!("{me}/{slot}").as_bytes()));
        Self {
            pool: pool.clone(),
            seat: LeaseName::join(&[
                "seat",
                pool.as_str(),
                me.node.as_str(),
                &me.incarnation.to_string(),
            ]),
            seat_prefix: format!("seat/{pool}/"),
            seated_at: None,
            lacks_slots: true,
            slots: claim_order.iter().map(|s| (*s, s.lease(pool))).collect(),
            claim_order: claim_order
                .into_iter()
                .map(|slot| slot.lease(pool))
                .collect(),
        }
    }

    /// Returns the pool.
    #[must_use]
    pub const fn pool(&self) -> &PoolName {
        &self.pool
    }

    /// Returns the leases that the agent should hold now.
    ///
    /// Until the agent has held its seat for the settle time, it claims no slots:
    /// the other agents see the seat and release slots first.
    #[must_use]
    pub fn wanted_leases(&mut self, manager: &LeaseManager, now: Time) -> BTreeSet<LeaseName> {
        let owned: Vec<_> = self.claim_order.iter().filter(|l| manager.has(l)).collect();
        let mut wanted = BTreeSet::from([self.seat.clone()]);
        if manager.held(now, &self.seat).is_none() {
            // The seat expires if the log is unavailable. Held slots stay wanted,
            // so that their leases are renewed instead of claimed again.
            wanted.extend(owned.into_iter().cloned());
            return wanted;
        }
        let seated_at = *self.seated_at.get_or_insert(now);
        let members = manager
            .fold()
            .occupied(&self.seat_prefix, now)
            .count()
            .max(1);
        let target = self.claim_order.len().div_ceil(members);
        let mut slots: Vec<_> = owned.into_iter().take(target).collect();
        if now.since(seated_at) >= SETTLE_TIME {
            let free = self.claim_order.iter().filter(|l| !manager.has(l));
            let free = free.filter(|l| manager.claim_at(l) <= now);
            slots.extend(free.take(target - slots.len()));
        }
        self.lacks_slots = slots.len() < self.claim_order.len() / members;
        wanted.extend(slots.into_iter().cloned());
        wanted
    }

    /// Returns whether the agent owns fewer slots than its share.
    #[must_use]
    pub const fn lacks_slots(&self) -> bool {
        self.lacks_slots
    }

    /// Returns the slots that are held now, with their fencing numbers.
    #[must_use]
    pub fn owned(&self, manager: &LeaseManager, now: Time) -> BTreeMap<KeySlot, FencingNumber> {
        let held = self.slots.iter().filter_map(|(slot, lease)| {
            let held = manager.held(now, lease)?;
            Some((*slot, held.fence))
        });
        held.collect()
    }
}

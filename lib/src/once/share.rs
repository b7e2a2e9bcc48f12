//! Which slots an agent tries to own.

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

/// The time between the seat and the first slots.
///
/// Agents that start together see each other's seats in it, so that the first
/// one doesn't take all slots only to give most of them up again.
const SETTLE: Duration = Duration::from_secs(1);

/// The share of a pool's slots that falls to one agent.
///
/// Every incarnation holds a seat of its own, a lease that nobody else claims,
/// so that a restarted agent need not wait for its former self. The
/// seats that have not run out are the agents among which the slots are
/// divided, so the log alone says how many there are.
#[derive(Debug, Clone)]
pub struct SlotShare {
    pool: PoolName,
    seat: LeaseName,
    seats: String,
    seated: Option<Time>,
    short: bool,
    slots: BTreeMap<KeySlot, LeaseName>,
    order: Vec<LeaseName>,
}

impl SlotShare {
    /// Describes the share of an agent in a pool.
    #[must_use]
    pub fn new(pool: &PoolName, me: &LeaseHolder) -> Self {
        Self::from_slots(KeySlot::all(), pool, me)
    }

    /// Describes the share of an agent in some slots of a pool.
    #[must_use]
    pub fn from_slots(
        slots: impl Iterator<Item = KeySlot>,
        pool: &PoolName,
        me: &LeaseHolder,
    ) -> Self {
        // Each agent looks for free slots in an order of its own, so that
        // agents that start together seldom claim the same.
        let mut order: Vec<_> = slots.collect();
        order.sort_by_key(|slot| rapidhash_v3(format!("{me}/{slot}").as_bytes()));
        Self {
            pool: pool.clone(),
            seat: LeaseName::join(&[
                "seat",
                pool.as_str(),
                me.node.as_str(),
                &me.incarnation.to_string(),
            ]),
            seats: format!("seat/{pool}/"),
            seated: None,
            short: true,
            slots: order.iter().map(|s| (*s, s.lease(pool))).collect(),
            order: order.into_iter().map(|slot| slot.lease(pool)).collect(),
        }
    }

    /// Returns the pool.
    #[must_use]
    pub const fn pool(&self) -> &PoolName {
        &self.pool
    }

    /// Returns the leases to hold now.
    ///
    /// Until the agent has held its seat for a moment it wants no more than
    /// that: others see the seat and make room first.
    #[must_use]
    pub fn wanted_leases(&mut self, holder: &LeaseManager, now: Time) -> BTreeSet<LeaseName> {
        let own: Vec<_> = self.order.iter().filter(|l| holder.has(l)).collect();
        let mut wanted = BTreeSet::from([self.seat.clone()]);
        if holder.held(now, &self.seat).is_none() {
            // A lapsed seat means that the log is away. What was held stays
            // wanted, so that it is renewed rather than claimed anew.
            wanted.extend(own.into_iter().cloned());
            return wanted;
        }
        let seated = *self.seated.get_or_insert(now);
        let members = holder.fold().taken(&self.seats, now).count().max(1);
        let target = self.order.len().div_ceil(members);
        let mut slots: Vec<_> = own.into_iter().take(target).collect();
        if now.since(seated) >= SETTLE {
            let free = self.order.iter().filter(|l| !holder.has(l));
            let free = free.filter(|l| holder.claim_at(l) <= now);
            slots.extend(free.take(target - slots.len()));
        }
        self.short = slots.len() < self.order.len() / members;
        wanted.extend(slots.into_iter().cloned());
        wanted
    }

    /// Tells whether the agent still waits for slots that are its due.
    #[must_use]
    pub const fn lacks_slots(&self) -> bool {
        self.short
    }

    /// Returns the slots that are held at this moment, with their claims.
    #[must_use]
    pub fn owned(&self, holder: &LeaseManager, now: Time) -> BTreeMap<KeySlot, FencingNumber> {
        let held = self.slots.iter().filter_map(|(slot, lease)| {
            let held = holder.held(now, lease)?;
            Some((*slot, held.fence))
        });
        held.collect()
    }
}

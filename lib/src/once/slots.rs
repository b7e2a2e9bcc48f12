//! A router's map of key slots to the agents that own them.

use std::collections::BTreeMap;

use crate::ids::EndpointId;
use crate::ids::FencingNumber;
use crate::ids::PoolName;
use crate::once::KeySlot;

/// The owner of a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotOwner {
    /// The endpoint whose agent owns the slot.
    pub endpoint: EndpointId,
    /// The fencing number of its claim.
    pub fence: FencingNumber,
}

/// The owners of the key slots, as reported by the agents.
///
/// The map is a hint that saves a round trip; the agent's gate decides. So a
/// router need not read the lease records in the log.
#[derive(Debug, Clone, Default)]
pub struct SlotMap {
    pools: BTreeMap<PoolName, BTreeMap<KeySlot, SlotOwner>>,
}

impl SlotMap {
    /// Applies an agent's report of all slots that it owns; the highest fence wins.
    ///
    /// Returns whether the agent released slots since its last report.
    pub fn report(
        &mut self,
        pool: &PoolName,
        endpoint: &EndpointId,
        slots: &BTreeMap<KeySlot, FencingNumber>,
    ) -> bool {
        let owners = self.pools.entry(pool.clone()).or_default();
        let before = owners.len();
        owners.retain(|slot, owner| owner.endpoint != *endpoint || slots.contains_key(slot));
        let freed = owners.len() < before;
        for (slot, fence) in slots {
            let known = owners.get(slot);
            if known.is_none_or(|k| k.fence <= *fence) {
                let owner = SlotOwner {
                    endpoint: endpoint.clone(),
                    fence: *fence,
                };
                owners.insert(*slot, owner);
            }
        }
        freed
    }

    /// Removes an endpoint that is no longer reachable.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        for owners in self.pools.values_mut() {
            owners.retain(|_, owner| owner.endpoint != *endpoint);
        }
    }

    /// Returns the owner of a slot, if one is known.
    #[must_use]
    pub fn owner(&self, pool: &PoolName, slot: KeySlot) -> Option<&SlotOwner> {
        self.pools.get(pool)?.get(&slot)
    }
}

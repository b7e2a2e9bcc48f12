//! A router's view of all endpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use super::CacheUpdate;
use super::Endpoint;
use super::LoadReport;
use super::Pool;
use super::RouterLocation;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::ids::Incarnation;
use crate::ids::PoolName;
use crate::ids::Region;
use crate::time::Time;

/// The network overhead of a call within a failure domain, between failure
/// domains of a region, and between regions. The requirements state 1 to 3 ms
/// for the first two; the last is a typical figure between regions.
const OVERHEAD_LOCAL_SECS: f32 = 0.001;
const OVERHEAD_CROSS_DOMAIN_SECS: f32 = 0.004;
const OVERHEAD_CROSS_REGION_SECS: f32 = 0.040;

/// A call booked on an endpoint, to be released exactly once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Booking {
    slot: usize,
    instance: u64,
    sent: Time,
}

impl Booking {
    /// Returns the slot of the booked endpoint.
    #[must_use]
    pub const fn slot(&self) -> usize {
        self.slot
    }
}

/// A router's view of all endpoints.
#[derive(Debug, Clone)]
pub struct Fleet {
    location: RouterLocation,
    pools: BTreeMap<PoolName, Pool>,
    endpoint_pools: BTreeMap<EndpointId, PoolName>,
    domains: Vec<FailureDomain>,
    instances: u64,
}

impl Fleet {
    /// Builds an empty fleet for a router at `location`.
    #[must_use]
    pub const fn new(location: RouterLocation) -> Self {
        Self {
            location,
            pools: BTreeMap::new(),
            endpoint_pools: BTreeMap::new(),
            domains: Vec::new(),
            instances: 0,
        }
    }

    /// Adds an endpoint or a new incarnation of one.
    ///
    /// It receives no work before its first load report.
    pub fn upsert(
        &mut self,
        endpoint: EndpointId,
        pool: PoolName,
        domain: &FailureDomain,
        region: &Region,
        incarnation: Incarnation,
    ) {
        if self
            .endpoint_pools
            .get(&endpoint)
            .is_some_and(|old| *old != pool)
        {
            self.mark_unreachable(&endpoint);
        }
        let index = self.domain_index(domain);
        let overhead = self.overhead(domain, region);
        self.instances += 1;
        let instance = self.instances;
        let members = self.pools.entry(pool.clone()).or_default();
        let Some(inserted) = members.insert(&endpoint, incarnation, instance) else {
            return;
        };
        members.endpoints[inserted.slot].set_location(index, overhead);
        // The evicted endpoint may have moved to another pool since; its entry
        // there must stay.
        if let Some(old) = inserted.evicted
            && self.endpoint_pools.get(&old) == Some(&pool)
        {
            self.endpoint_pools.remove(&old);
        }
        self.endpoint_pools.insert(endpoint, pool);
    }

    /// Applies a load report.
    pub fn on_load(&mut self, now: Time, endpoint: &EndpointId, report: &LoadReport) {
        let Some((pool, slot)) = self.find_mut(endpoint) else {
            return;
        };
        let models = pool.model_mask(&report.models);
        pool.endpoints[slot].apply_load(now, report, models);
    }

    /// Applies a change of an endpoint's prefix cache.
    pub fn on_cache(&mut self, endpoint: &EndpointId, update: &CacheUpdate) {
        let Some((pool, slot)) = self.find_mut(endpoint) else {
            return;
        };
        pool.apply_cache(slot, update);
    }

    /// Marks an endpoint as unreachable.
    ///
    /// Its known cache content is kept for reconnection: links are replaced more
    /// often than caches are lost, and agents report only changes.
    pub fn mark_unreachable(&mut self, endpoint: &EndpointId) {
        if let Some((pool, slot)) = self.find_mut(endpoint) {
            pool.mark_absent(slot);
        }
    }

    /// Marks an endpoint as draining, so that it receives no new work.
    pub fn mark_draining(&mut self, endpoint: &EndpointId) {
        if let Some((pool, slot)) = self.find_mut(endpoint) {
            pool.endpoints[slot].draining = true;
        }
    }

    /// Sets the cost of a second of service time at a pool's endpoints.
    pub fn set_price(&mut self, pool: &PoolName, price: f64) {
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), Pool::default());
        }
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.price = price as f32;
        }
    }

    /// Returns a pool.
    #[must_use]
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.pools.get(name)
    }

    /// Returns all pools.
    #[must_use]
    pub const fn pools(&self) -> &BTreeMap<PoolName, Pool> {
        &self.pools
    }

    /// Returns a pool for the choice of an endpoint.
    pub fn pool_mut(&mut self, name: &PoolName) -> Option<&mut Pool> {
        self.pools.get_mut(name)
    }

    /// Returns an endpoint.
    #[must_use]
    pub fn endpoint(&self, id: &EndpointId) -> Option<&Endpoint> {
        let pool = self.pools.get(self.endpoint_pools.get(id)?)?;
        pool.endpoints.get(pool.find(id)?)
    }

    /// Returns the failure domain with the given index.
    #[must_use]
    pub fn domain_name(&self, index: u16) -> Option<&FailureDomain> {
        self.domains.get(usize::from(index))
    }

    /// Books a call that is sent at `now`.
    pub fn book(&mut self, now: Time, pool: &PoolName, slot: usize) -> Option<Booking> {
        let endpoint = self.pools.get_mut(pool)?.endpoints.get_mut(slot)?;
        endpoint.on_send(now);
        Some(Booking {
            slot,
            instance: endpoint.instance,
            sent: now,
        })
    }

    /// Releases a booking; returns the endpoint if its slot still holds the
    /// instance that was booked.
    pub fn release(&mut self, pool: &PoolName, booking: Booking) -> Option<&mut Endpoint> {
        let endpoint = self.pools.get_mut(pool)?.endpoints.get_mut(booking.slot)?;
        if endpoint.instance != booking.instance {
            return None;
        }
        endpoint.on_release(booking.sent);
        Some(endpoint)
    }

    /// Returns the endpoint at a slot if it still has the given id.
    pub fn endpoint_at(
        &mut self,
        pool: &PoolName,
        slot: usize,
        id: &EndpointId,
    ) -> Option<&mut Endpoint> {
        let endpoint = self.pools.get_mut(pool)?.endpoints.get_mut(slot)?;
        (endpoint.id == *id).then_some(endpoint)
    }

    /// Records the time of a generation as a multiple of the time predicted for
    /// an idle endpoint, with the occupancy of its batch.
    pub fn observe_batch_slowdown(&mut self, pool: &PoolName, occupancy: f32, ratio: f32) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.observe_batch_slowdown(occupancy, ratio);
        }
    }

    /// Records the time of a generation as a multiple of the predicted time.
    pub fn observe_overrun(&mut self, pool: &PoolName, ratio: f32) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.observe_overrun(ratio);
        }
    }

    /// Records the service time of a completed call.
    pub fn observe_work(&mut self, pool: &PoolName, slot: usize, work: Duration) {
        if let Some(pool) = self.pools.get_mut(pool)
            && slot < pool.endpoints.len()
        {
            pool.observe_work(slot, work.as_secs_f32());
        }
    }

    fn find_mut(&mut self, endpoint: &EndpointId) -> Option<(&mut Pool, usize)> {
        let pool = self.pools.get_mut(self.endpoint_pools.get(endpoint)?)?;
        let slot = pool.find(endpoint)?;
        Some((pool, slot))
    }

    fn domain_index(&mut self, domain: &FailureDomain) -> u16 {
        let known = self.domains.iter().position(|d| d == domain);
        let index = known.unwrap_or_else(|| {
            self.domains.push(domain.clone());
            self.domains.len() - 1
        });
        index as u16
    }

    fn overhead(&self, domain: &FailureDomain, region: &Region) -> f32 {
        if *region != self.location.region {
            OVERHEAD_CROSS_REGION_SECS
        } else if *domain != self.location.domain {
            OVERHEAD_CROSS_DOMAIN_SECS
        } else {
            OVERHEAD_LOCAL_SECS
        }
    }
}

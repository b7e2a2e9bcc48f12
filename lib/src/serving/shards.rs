//! The split of a service's endpoints among the nodes that book them.

use super::directory::rank;
use crate::ids::EndpointId;

/// The minimum number of endpoints per shard when the bookings of a service are
/// split.
///
/// Among 32 endpoints some are idle at any load that the service can sustain.
/// Without the split one node would place all requests of the largest service.
const SHARD_ENDPOINTS: usize = 32;

/// A subset of a service's endpoints that is booked at one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shard {
    /// The index of the shard, from 0.
    pub index: u32,
    /// The number of shards.
    pub count: u32,
}

impl Shard {
    /// Returns the number of shards for a number of endpoints.
    ///
    /// It is a power of two, so that it changes at few numbers of endpoints.
    #[must_use]
    pub fn count(endpoints: usize) -> u32 {
        let shards = (endpoints / SHARD_ENDPOINTS).max(1);
        1 << shards.ilog2()
    }

    /// Returns the shard of an endpoint.
    #[must_use]
    pub fn of(id: &EndpointId, count: u32) -> Self {
        let index = rank(0, id) % u64::from(count.max(1));
        Self {
            index: index as u32,
            count,
        }
    }
}

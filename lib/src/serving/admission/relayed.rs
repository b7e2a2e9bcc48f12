//! The promises that a node relayed to its callers, for the next owner of their service.
//!
//! Promises live in the memory of an owner, which may be lost. The nodes that relayed them
//! hand them to the next owner, so that no other store is needed.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use super::Promise;
use crate::ids::PoolName;
use crate::time::Time;

/// The most promises that a node hands over for a service.
///
/// One frame of about 64 kB.
pub const HANDED_MAX: usize = 256;

#[derive(Debug, Clone)]
struct Relayed {
    holder: SocketAddr,
    promises: VecDeque<Promise>,
}

/// The promises relayed by a node that have not ended, by first service.
#[derive(Debug, Clone, Default)]
pub struct RelayedPromises(BTreeMap<PoolName, Relayed>);

impl RelayedPromises {
    /// Records a promise that the owner of a service gave.
    pub fn record(&mut self, now: Time, service: &PoolName, owner: SocketAddr, promise: Promise) {
        let relayed = self.0.entry(service.clone()).or_insert_with(|| Relayed {
            holder: owner,
            promises: VecDeque::new(),
        });
        relayed
            .promises
            .retain(|p| p.key != promise.key && p.ends_at() > now);
        if relayed.promises.len() >= HANDED_MAX {
            relayed.promises.pop_front();
        }
        relayed.promises.push_back(promise);
    }

    /// Returns the services whose promises another node than their owner may hold.
    pub fn services(&self) -> impl Iterator<Item = &PoolName> {
        self.0.keys()
    }

    /// Returns the promises that an owner of a service may lack; none if it has them.
    #[must_use]
    pub fn lacking(&self, now: Time, service: &PoolName, owner: SocketAddr) -> Vec<Promise> {
        let relayed = self.0.get(service).filter(|r| r.holder != owner);
        let promises = relayed.into_iter().flat_map(|r| &r.promises);
        promises.filter(|p| p.ends_at() > now).cloned().collect()
    }

    /// Records that the owner of a service got the promises.
    pub fn on_handed(&mut self, now: Time, service: &PoolName, owner: SocketAddr) {
        if let Some(relayed) = self.0.get_mut(service) {
            relayed.holder = owner;
            relayed.promises.retain(|p| p.ends_at() > now);
            if relayed.promises.is_empty() {
                self.0.remove(service);
            }
        }
    }
}

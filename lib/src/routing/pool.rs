//! The endpoints of one pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::CacheUpdate;
use super::Endpoint;
use super::Need;
use super::PrefixIndex;
use super::endpoint::Forecast;
use super::endpoint::PoolAverages;
use super::endpoint::initial_work;
use super::slowdown::SlowdownModel;
use crate::ids::EndpointId;
use crate::ids::Incarnation;
use crate::ids::ModelName;
use crate::time::Time;

/// The most distinct models of a pool; each is a bit of a `u64`.
const MODELS_MAX: usize = 64;

/// The tokens of one prefix block.
const BLOCK_TOKENS: u32 = 64;

/// The weight of a new observation of the pool's mean service time.
const WORK_WEIGHT: f32 = 0.02;

/// The slot assigned to an endpoint, and the absent endpoint evicted from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Inserted {
    pub(super) slot: usize,
    pub(super) evicted: Option<EndpointId>,
}

/// The endpoints of one pool, each in a fixed slot.
#[derive(Debug, Clone)]
pub struct Pool {
    pub(super) endpoints: Vec<Endpoint>,
    pub(super) prefix_index: PrefixIndex,
    pub(super) price: f32,
    pub(super) mean_busy: f32,
    slots: BTreeMap<EndpointId, usize>,
    absent: BTreeSet<usize>,
    models: Vec<ModelName>,
    mean_work: f32,
    slowdown: SlowdownModel,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            endpoints: Vec::new(),
            prefix_index: PrefixIndex::default(),
            price: 1.0,
            mean_busy: 0.0,
            slots: BTreeMap::new(),
            absent: BTreeSet::new(),
            models: Vec::new(),
            mean_work: initial_work(),
            slowdown: SlowdownModel::default(),
        }
    }
}

impl Pool {
    /// Returns the endpoints, by slot.
    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Returns the slot of an endpoint.
    #[must_use]
    pub fn find(&self, id: &EndpointId) -> Option<usize> {
        self.slots.get(id).copied()
    }

    /// Returns the busy calls per slot of an endpoint; above 1.0, calls are queued.
    #[must_use]
    pub fn occupancy(&self, slot: usize) -> f32 {
        self.endpoints[slot].occupancy()
    }

    /// Returns the relative slowdown of a call in a full batch.
    #[must_use]
    pub const fn batch_slowdown(&self) -> f32 {
        self.slowdown.slope()
    }

    /// Predicts the seconds to the response for average work at a slot.
    #[must_use]
    pub fn predict(&self, now: Time, slot: usize) -> f32 {
        let need = Need::default();
        self.forecast_with(now, slot, &need, 0).total
    }

    /// Predicts the seconds to the response at the best endpoint, if one qualifies.
    pub fn best_predicted(&mut self, now: Time, need: &Need<'_>) -> Option<f32> {
        self.prefix_index
            .match_prefix(need.prefix, self.endpoints.len());
        (0..self.endpoints.len())
            .filter(|&slot| self.allows(now, slot, need))
            .map(|slot| self.forecast(now, slot, need).total)
            .reduce(f32::min)
    }

    /// Returns whether any endpoint may receive new work.
    #[must_use]
    pub fn is_usable(&self, now: Time) -> bool {
        self.endpoints.iter().any(|e| e.is_usable(now))
    }

    /// Returns the bit of a model, or `None` if no endpoint has it.
    #[must_use]
    pub fn model_bit(&self, name: &ModelName) -> Option<u64> {
        let index = self.models.iter().position(|m| m == name)?;
        Some(1 << index)
    }

    /// Returns whether any endpoint of the pool reports models.
    #[must_use]
    pub fn has_models(&self) -> bool {
        !self.models.is_empty()
    }

    pub(super) fn model_mask(&mut self, names: &[ModelName]) -> u64 {
        let mut mask = 0;
        for name in names {
            if !self.models.contains(name) && self.models.len() < MODELS_MAX {
                self.models.push(name.clone());
            }
            mask |= self.model_bit(name).unwrap_or(0);
        }
        mask
    }

    /// Finds or assigns the slot of an endpoint; `None` for an old incarnation.
    pub(super) fn insert(
        &mut self,
        id: &EndpointId,
        incarnation: Incarnation,
        instance: u64,
    ) -> Option<Inserted> {
        let Some(slot) = self.find(id) else {
            return Some(self.assign_slot(Endpoint::new(id.clone(), incarnation, instance)));
        };
        let old = &mut self.endpoints[slot];
        if incarnation < old.incarnation {
            return None;
        }
        if incarnation > old.incarnation {
            self.prefix_index.clear(slot);
            self.endpoints[slot] = Endpoint::new(id.clone(), incarnation, instance);
        } else {
            old.reachable = true;
        }
        self.absent.remove(&slot);
        Some(Inserted {
            slot,
            evicted: None,
        })
    }

    /// Marks the endpoint at a slot as unreachable.
    pub(super) fn mark_absent(&mut self, slot: usize) {
        self.endpoints[slot].reachable = false;
        self.absent.insert(slot);
    }

    // Replaced hosts bring new endpoint ids every day. Absent slots are reused,
    // or the pool and the cost of each choice would grow without bound.
    fn assign_slot(&mut self, endpoint: Endpoint) -> Inserted {
        let idle = |slot: &usize| self.endpoints[*slot].outstanding == 0;
        let free = self.absent.iter().copied().find(idle);
        let slot = free.unwrap_or(self.endpoints.len());
        self.slots.insert(endpoint.id.clone(), slot);
        if free.is_none() {
            self.endpoints.push(endpoint);
            return Inserted {
                slot,
                evicted: None,
            };
        }
        self.absent.remove(&slot);
        self.prefix_index.clear(slot);
        let old = std::mem::replace(&mut self.endpoints[slot], endpoint);
        self.slots.remove(&old.id);
        Inserted {
            slot,
            evicted: Some(old.id),
        }
    }

    pub(super) fn apply_cache(&mut self, slot: usize, update: &CacheUpdate) {
        let endpoint = &mut self.endpoints[slot];
        let restarted = update.epoch > endpoint.cache_epoch;
        let skipped = update.first > endpoint.cache_next;
        let applied = !restarted && update.first < endpoint.cache_next;
        if update.epoch < endpoint.cache_epoch || applied {
            return;
        }
        endpoint.cache_epoch = update.epoch;
        let count = (update.added.len() + update.dropped.len()) as u64;
        endpoint.cache_next = update.first + count;
        // A gap may hide evictions, and the endpoint would attract prompts for
        // blocks that it no longer holds. Clearing costs a few repeated prefills.
        if restarted || update.gap || skipped {
            self.prefix_index.clear(slot);
        }
        for &block in &update.added {
            self.prefix_index.add(slot, block);
        }
        for &block in &update.dropped {
            self.prefix_index.remove(slot, block);
        }
    }

    pub(super) fn observe_work(&mut self, slot: usize, seconds: f32) {
        self.mean_work += WORK_WEIGHT * (seconds - self.mean_work);
        self.endpoints[slot].observe_work(seconds);
    }

    /// Records how much a batch slows its calls down.
    ///
    /// `ratio` is the measured time over the time predicted for an idle endpoint.
    pub(super) const fn observe_batch_slowdown(&mut self, occupancy: f32, ratio: f32) {
        self.slowdown.observe(occupancy, ratio);
    }

    /// Records a response time as a multiple of the predicted time.
    pub(super) fn observe_overrun(&mut self, ratio: f32) {
        self.slowdown.observe_overrun(ratio);
    }

    /// Returns the factor by which responses of all endpoints exceed predictions.
    #[must_use]
    pub const fn shared_slowdown(&self) -> f32 {
        self.slowdown.shared_slowdown()
    }

    fn averages(&self) -> PoolAverages {
        PoolAverages {
            work: self.mean_work,
            slope: self.slowdown.slope(),
        }
    }

    /// Returns whether a slot meets the requirements.
    pub(super) fn allows(&self, now: Time, slot: usize, need: &Need<'_>) -> bool {
        let endpoint = &self.endpoints[slot];
        endpoint.is_usable(now)
            && endpoint.models & need.model == need.model
            && need.domain != Some(endpoint.domain)
            && !need.avoid.contains(&slot)
    }

    pub(super) fn cached_tokens(&self, slot: usize) -> u32 {
        u32::from(self.prefix_index.leading_blocks(slot)) * BLOCK_TOKENS
    }

    pub(super) fn forecast(&self, now: Time, slot: usize, need: &Need<'_>) -> Forecast {
        self.forecast_with(now, slot, need, self.cached_tokens(slot))
    }

    pub(super) fn forecast_with(
        &self,
        now: Time,
        slot: usize,
        need: &Need<'_>,
        cached: u32,
    ) -> Forecast {
        self.endpoints[slot].forecast(now, need, cached, self.averages())
    }
}

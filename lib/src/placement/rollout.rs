//! The rollout state of one model: wanted, ready, loading and outdated copies.

use std::collections::BTreeMap;

use super::order::Build;
use super::order::Decision;
use super::order::Order;
use super::order::Why;
use super::planner::DesiredModel;
use super::planner::Engine;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::ids::ModelName;
use crate::units::Bytes;

/// The copies of one model compared with its desired state.
#[derive(Debug, Clone)]
pub(super) struct ModelRollout {
    pub(super) build: Build,
    pub(super) size: Bytes,
    /// The ready copies in any version, on usable engines.
    ready: usize,
    /// The ready copies in another version.
    outdated: usize,
    /// The copies of the desired build, ready or loading.
    assigned: usize,
    /// The ready copies of the desired build.
    current: usize,
    wanted: usize,
    /// The copies needed to carry the demand, without headroom.
    needed: usize,
    min_copies: usize,
}

impl ModelRollout {
    pub(super) fn new(
        model: &ModelName,
        desired: &DesiredModel,
        demand: f64,
        target: f64,
        projected: &BTreeMap<EndpointId, Engine>,
    ) -> Self {
        let build = Build {
            model: model.clone(),
            version: desired.version.clone(),
            adapter: desired.adapter.clone(),
        };
        let usable = || projected.values().filter(|e| e.usable);
        let serves = |e: &&Engine| e.builds.keys().any(|b| b.model == *model && e.is_ready(b));
        let ready = usable().filter(serves).count();
        let current = usable().filter(|e| e.is_ready(&build)).count();
        let wanted = ((demand / target).ceil() as usize).max(desired.min_copies);
        Self {
            size: desired.size,
            ready,
            current,
            outdated: ready - current.min(ready),
            assigned: usable().filter(|e| e.builds.contains_key(&build)).count(),
            wanted,
            needed: (demand.ceil() as usize).max(desired.min_copies.min(1)),
            min_copies: desired.min_copies,
            build,
        }
    }

    /// Returns the fraction of the wanted copies that is missing.
    pub(super) fn shortfall(&self) -> f64 {
        let missing = self.wanted.saturating_sub(self.ready) as f64;
        missing / self.wanted.max(1) as f64
    }

    pub(super) const fn missing(&self) -> usize {
        self.wanted.saturating_sub(self.assigned)
    }

    /// Requires at least two extra copies as hysteresis: with one, the count would
    /// flap around the threshold.
    pub(super) const fn has_surplus(&self) -> bool {
        self.current > self.wanted + 1
    }

    pub(super) const fn why_load(&self) -> Why {
        if self.outdated > 0 {
            return Why::RollOut;
        }
        if self.ready < self.min_copies {
            return Why::TooFewCopies;
        }
        Why::Demand
    }

    /// Chooses an engine with room, in the failure domain with the fewest copies.
    pub(super) fn pick_engine(
        &self,
        projected: &BTreeMap<EndpointId, Engine>,
        is_free: impl Fn(&EndpointId) -> bool,
    ) -> Option<EndpointId> {
        let mut copies: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
        for engine in projected
            .values()
            .filter(|e| e.usable && e.builds.contains_key(&self.build))
        {
            *copies.entry(&engine.domain).or_default() += 1;
        }
        let open =
            |e: &Engine| e.usable && !e.builds.contains_key(&self.build) && e.fits(self.size);
        projected
            .iter()
            .filter(|(id, e)| open(e) && is_free(id))
            .min_by_key(|(_, e)| {
                (
                    copies.get(&e.domain).copied(),
                    e.has_model(&self.build.model),
                    e.builds.len(),
                )
            })
            .map(|(id, _)| id.clone())
    }

    /// Chooses a copy to unload: replaced, blocking the new build, or surplus.
    ///
    /// During a rollout an outdated copy is unloaded only if the other ready
    /// copies still carry the demand. One copy is unloaded at a time; the next plan
    /// no longer counts it.
    pub(super) fn pick_unload(
        &self,
        projected: &BTreeMap<EndpointId, Engine>,
        unplaced: bool,
        surplus: bool,
        is_free: impl Fn(&EndpointId) -> bool,
    ) -> Option<(EndpointId, Build, Why)> {
        let outdated = |b: &Build| b.model == self.build.model && *b != self.build;
        let replaced = self.current >= self.wanted;
        let makes_room = unplaced && self.ready > self.needed;
        if replaced {
            let found = find_copy(projected, &is_free, |_, b| outdated(b));
            if let Some((endpoint, build)) = found {
                return Some((endpoint, build, Why::Replaced));
            }
        }
        if makes_room {
            let found = find_copy(projected, &is_free, |e, b| {
                outdated(b) && e.fits_without(b, self.size)
            });
            if let Some((endpoint, build)) = found {
                return Some((endpoint, build, Why::RollOut));
            }
        }
        if !surplus {
            return None;
        }
        let (endpoint, build) = find_copy(projected, &is_free, |_, b| *b == self.build)?;
        Some((endpoint, build, Why::Surplus))
    }

    pub(super) fn decision(&self, order: Option<Order>, why: Why) -> Decision {
        Decision {
            order,
            build: Some(self.build.clone()),
            why,
            ready: self.ready,
            wanted: self.wanted,
        }
    }
}

fn find_copy(
    projected: &BTreeMap<EndpointId, Engine>,
    is_free: &impl Fn(&EndpointId) -> bool,
    matches: impl Fn(&Engine, &Build) -> bool,
) -> Option<(EndpointId, Build)> {
    projected
        .iter()
        .filter(|(id, e)| e.usable && is_free(id))
        .find_map(|(id, e)| {
            let build = e.builds.keys().find(|b| matches(e, b))?;
            Some((id.clone(), build.clone()))
        })
}

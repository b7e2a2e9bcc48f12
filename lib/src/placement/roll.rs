//! The copies of one model: wanted, there, on the way, to be replaced.

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

/// One model's copies against what is wished for.
#[derive(Debug, Clone)]
pub(super) struct Rolls {
    pub(super) build: Build,
    pub(super) size: Bytes,
    /// Copies that serve, in any version, on usable engines.
    ready: usize,
    /// Copies that serve in another version.
    old: usize,
    /// Copies of the wished build, ready or on the way.
    coming: usize,
    /// Copies of the wished build that serve.
    new: usize,
    wanted: usize,
    /// Copies that demand can't do without, with no headroom.
    needed: usize,
    least: usize,
}

impl Rolls {
    pub(super) fn new(
        model: &ModelName,
        wish: &DesiredModel,
        demand: f64,
        target: f64,
        board: &BTreeMap<EndpointId, Engine>,
    ) -> Self {
        let build = Build {
            model: model.clone(),
            version: wish.version.clone(),
            adapter: wish.adapter.clone(),
        };
        let usable = || board.values().filter(|e| e.usable);
        let serves = |e: &&Engine| e.builds.keys().any(|b| b.model == *model && e.is_ready(b));
        let ready = usable().filter(serves).count();
        let new = usable().filter(|e| e.is_ready(&build)).count();
        let wanted = ((demand / target).ceil() as usize).max(wish.least);
        Self {
            size: wish.size,
            ready,
            new,
            old: ready - new.min(ready),
            coming: usable().filter(|e| e.builds.contains_key(&build)).count(),
            wanted,
            needed: (demand.ceil() as usize).max(wish.least.min(1)),
            least: wish.least,
            build,
        }
    }

    /// Returns the share of the wanted copies that is missing.
    pub(super) fn shortfall(&self) -> f64 {
        let lacking = self.wanted.saturating_sub(self.ready) as f64;
        lacking / self.wanted.max(1) as f64
    }

    pub(super) const fn missing(&self) -> usize {
        self.wanted.saturating_sub(self.coming)
    }

    /// Two copies too many at least: one would flap around the threshold.
    pub(super) const fn has_surplus(&self) -> bool {
        self.new > self.wanted + 1
    }

    pub(super) const fn why_load(&self) -> Why {
        if self.old > 0 {
            return Why::RollOut;
        }
        if self.ready < self.least {
            return Why::TooFewCopies;
        }
        Why::Demand
    }

    /// Picks an engine with room, in the failure domain with the fewest copies.
    pub(super) fn spot(
        &self,
        board: &BTreeMap<EndpointId, Engine>,
        is_free: impl Fn(&EndpointId) -> bool,
    ) -> Option<EndpointId> {
        let mut copies: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
        for engine in board
            .values()
            .filter(|e| e.usable && e.builds.contains_key(&self.build))
        {
            *copies.entry(&engine.domain).or_default() += 1;
        }
        let open =
            |e: &Engine| e.usable && !e.builds.contains_key(&self.build) && e.fits(self.size);
        board
            .iter()
            .filter(|(id, e)| open(e) && is_free(id))
            .min_by_key(|(_, e)| {
                (
                    copies.get(&e.domain).copied(),
                    e.has(&self.build.model),
                    e.builds.len(),
                )
            })
            .map(|(id, _)| id.clone())
    }

    /// Picks a copy to unload: replaced, in the way of the new build, or surplus.
    ///
    /// While a version rolls out, an old copy goes only if the copies that
    /// serve without it still carry the demand. One goes at a time, since the
    /// next plan sees it gone.
    pub(super) fn retirable(
        &self,
        board: &BTreeMap<EndpointId, Engine>,
        wanting: bool,
        surplus: bool,
        is_free: impl Fn(&EndpointId) -> bool,
    ) -> Option<(EndpointId, Build, Why)> {
        let old = |b: &Build| b.model == self.build.model && *b != self.build;
        let replaced = self.new >= self.wanted;
        let makes_room = wanting && self.ready > self.needed;
        if replaced {
            let found = find(board, &is_free, |_, b| old(b));
            if let Some((endpoint, build)) = found {
                return Some((endpoint, build, Why::Replaced));
            }
        }
        if makes_room {
            let found = find(board, &is_free, |e, b| {
                old(b) && e.fits_without(b, self.size)
            });
            if let Some((endpoint, build)) = found {
                return Some((endpoint, build, Why::RollOut));
            }
        }
        if !surplus {
            return None;
        }
        let (endpoint, build) = find(board, &is_free, |_, b| *b == self.build)?;
        Some((endpoint, build, Why::Surplus))
    }

    pub(super) fn decide(&self, order: Option<Order>, why: Why) -> Decision {
        Decision {
            order,
            build: Some(self.build.clone()),
            why,
            ready: self.ready,
            wanted: self.wanted,
        }
    }
}

fn find(
    board: &BTreeMap<EndpointId, Engine>,
    is_free: &impl Fn(&EndpointId) -> bool,
    matches: impl Fn(&Engine, &Build) -> bool,
) -> Option<(EndpointId, Build)> {
    board
        .iter()
        .filter(|(id, e)| e.usable && is_free(id))
        .find_map(|(id, e)| {
            let build = e.builds.keys().find(|b| matches(e, b))?;
            Some((id.clone(), build.clone()))
        })
}

//! Subsetting: a bounded, stable choice of peers spread over failure domains.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

use crate::ids::FailureDomain;
use crate::ids::NodeId;
use crate::ids::Region;
use crate::time::Time;

/// The hash seed of ranks; fixed, so that all releases choose the same peers.
const RANK_SEED: RapidSecrets = RapidSecrets::seed(0x6d65_6d62_6572);

/// The minimum number of links to one pool, so that some survive the loss of a failure domain.
pub const DEGREE_MIN: usize = 3;

/// The expected number of links from routers to one agent.
pub const IN_DEGREE: usize = 32;

/// The location of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeLocation {
    /// The node.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: Region,
}

/// A candidate for the subset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its location.
    pub location: NodeLocation,
    /// Whether it accepts a new link now.
    pub usable: bool,
}

/// Returns how many of `pool` agents a router links to.
///
/// With few routers, this is the whole pool. With more, an agent has
/// `IN_DEGREE` links in expectation, except in pools so small that
/// `DEGREE_MIN` applies; there the heartbeat pace bounds the bytes instead.
#[must_use]
pub fn degree(pool: usize, routers: usize) -> usize {
    let wanted = (pool * IN_DEGREE).div_ceil(routers.max(1));
    wanted.max(DEGREE_MIN).min(pool)
}

/// Returns the nodes to which `me` should be linked.
///
/// Ranks by rendezvous hashing: nodes of the same region first, then by a hash
/// of the pair. No failure domain gets more than half while others have
/// candidates. A node that joins or leaves changes only the subsets in which it
/// ranks.
#[must_use]
pub fn choose_peers(
    me: &NodeLocation,
    candidates: &[Candidate],
    degree: usize,
) -> BTreeSet<NodeId> {
    let mut ranked: Vec<&NodeLocation> = usable(candidates).collect();
    ranked.sort_by_cached_key(|p| (p.region != me.region, rank(&me.node, &p.node)));
    let domain_max = degree.div_ceil(2);
    let mut per_domain: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    let mut chosen = BTreeSet::new();
    let mut skipped = Vec::new();
    for location in ranked {
        if chosen.len() == degree {
            return chosen;
        }
        let count = per_domain.entry(&location.domain).or_default();
        if *count == domain_max {
            skipped.push(location);
            continue;
        }
        *count += 1;
        chosen.insert(location.node.clone());
    }
    let missing = degree - chosen.len().min(degree);
    chosen.extend(skipped.iter().take(missing).map(|p| p.node.clone()));
    chosen
}

fn usable(candidates: &[Candidate]) -> impl Iterator<Item = &NodeLocation> {
    candidates.iter().filter(|c| c.usable).map(|c| &c.location)
}

fn rank(from: &NodeId, to: &NodeId) -> u64 {
    let pair = format!("{from}\n{to}");
    rapidhash_v3_seeded(pair.as_bytes(), &RANK_SEED)
}

/// One step towards the chosen subset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubsetChange {
    /// Link to the node.
    Add(NodeId),
    /// Drop the link once its calls have finished.
    Drop(NodeId),
}

/// The links of one node to one group, rebalanced gradually.
#[derive(Debug, Clone, Default)]
pub struct Subset {
    links: BTreeSet<NodeId>,
    last_shift: Time,
}

impl Subset {
    /// Returns the linked nodes.
    #[must_use]
    pub const fn links(&self) -> &BTreeSet<NodeId> {
        &self.links
    }

    /// Returns the changes due now and applies them.
    ///
    /// Lost links are replaced immediately. A working link that is no longer
    /// chosen is dropped only after its successor is added, one per `period`:
    /// otherwise a new rack would make every router redial at the same time and
    /// lose its prefix-cache affinity.
    pub fn plan(
        &mut self,
        now: Time,
        me: &NodeLocation,
        candidates: &[Candidate],
        degree: usize,
        period: Duration,
    ) -> Vec<SubsetChange> {
        let target = choose_peers(me, candidates, degree);
        let usable: BTreeSet<&NodeId> = usable(candidates).map(|p| &p.node).collect();
        let lost: Vec<NodeId> = self
            .links
            .iter()
            .filter(|n| !usable.contains(n))
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for node in lost {
            self.links.remove(&node);
            changes.push(SubsetChange::Drop(node));
        }
        let missing: Vec<NodeId> = target.difference(&self.links).cloned().collect();
        let room = target.len().saturating_sub(self.links.len());
        for node in missing.iter().take(room) {
            self.links.insert(node.clone());
            changes.push(SubsetChange::Add(node.clone()));
        }
        if now.since(self.last_shift) >= period
            && self.shift(&missing[room.min(missing.len())..], &target, &mut changes)
        {
            self.last_shift = now;
        }
        changes
    }

    fn shift(
        &mut self,
        missing: &[NodeId],
        target: &BTreeSet<NodeId>,
        changes: &mut Vec<SubsetChange>,
    ) -> bool {
        let surplus = self.links.difference(target).next().cloned();
        let Some(old) = surplus else {
            return false;
        };
        if let Some(new) = missing.first() {
            self.links.insert(new.clone());
            changes.push(SubsetChange::Add(new.clone()));
        }
        self.links.remove(&old);
        changes.push(SubsetChange::Drop(old));
        true
    }
}

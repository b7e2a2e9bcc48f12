//! Who talks to whom: a bounded, stable choice spread over failure domains.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

use crate::ids::FailureDomain;
use crate::ids::NodeId;
use crate::ids::Region;
use crate::time::Time;

/// Seeds the ranks; fixed, so that all releases choose alike.
const RANK_SEED: RapidSecrets = RapidSecrets::seed(0x6d65_6d62_6572);

/// The fewest links to one pool, so that losing a failure domain leaves some.
pub const DEGREE_MIN: usize = 3;

/// The links from routers that an agent should have, in expectation.
pub const IN_DEGREE: usize = 32;

/// Where a node stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeLocation {
    /// The node.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: Region,
}

/// A node that may be chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Where it stands.
    pub location: NodeLocation,
    /// Whether it may get a new link now.
    pub usable: bool,
}

/// Returns how many of `pool` agents a router links to.
///
/// All, while routers are few. With more routers the links of an agent stay at
/// `IN_DEGREE` in expectation, but for pools so small that `DEGREE_MIN`
/// binds; there the heartbeat pace bounds the bytes instead.
#[must_use]
pub fn degree(pool: usize, routers: usize) -> usize {
    let wanted = (pool * IN_DEGREE).div_ceil(routers.max(1));
    wanted.max(DEGREE_MIN).min(pool)
}

/// Returns the nodes that `me` should be linked to.
///
/// Ranks by rendezvous hashing: nodes of the own region first, and within it a
/// hash of the pair. No failure domain gets more than half while others have
/// candidates. A node that comes or goes changes only the sets in which it
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

/// One step towards the chosen set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubsetChange {
    /// Link to the node.
    Add(NodeId),
    /// Drop the link, once its calls are done.
    Drop(NodeId),
}

/// The links of one node to one group, moved gradually.
#[derive(Debug, Clone, Default)]
pub struct Subset {
    links: BTreeSet<NodeId>,
    last_shift: Time,
}

impl Subset {
    /// Returns the nodes linked to.
    #[must_use]
    pub const fn links(&self) -> &BTreeSet<NodeId> {
        &self.links
    }

    /// Returns the changes due now and applies them.
    ///
    /// Lost links are replaced at once. A link that still works but is no
    /// longer chosen goes only after its successor was added, one each `period`:
    /// otherwise a new rack would make every router redial at once and empty
    /// every prefix cache's affinity together.
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

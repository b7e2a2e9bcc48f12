//! The demand reported by the other routers.

use std::collections::BTreeMap;
use std::collections::btree_map::Iter;
use std::iter::Peekable;

use super::AccountDemand;
use super::limiter::PEER_TIMEOUT;
use crate::ids::ClientAccount;
use crate::ids::NodeId;
use crate::time::Time;

/// The maximum number of accounts that all routers together report per tick.
///
/// Each router reports an equal fraction of them. With all accounts of all peers,
/// a router would spend more time on reports than on requests.
pub(super) const REPORTED_ACCOUNTS_MAX: usize = 20_000;

/// The units of demand per request per second.
const UNITS_PER_REQUEST: f64 = 1e6;

/// The maximum accepted demand, in requests per second.
///
/// The sum of the longest reports of 900 peers, all for one account, fits.
const DEMAND_MAX: f64 = 1e6;

/// A demand in millionths of a request per second.
///
/// It is an integer because sums are updated by addition and subtraction for
/// days; the rounding errors of floats would add up to a false demand.
type Demand = u64;

type PeerDemand = (ClientAccount, Demand);

#[derive(Debug, Clone)]
struct Peer {
    reported_at: Time,
    seq: u64,
    demands: Vec<PeerDemand>,
}

/// The demand reported by the other routers, and its sum per account.
#[derive(Debug, Clone, Default)]
pub(super) struct Peers {
    peers: BTreeMap<NodeId, Peer>,
    sums: BTreeMap<ClientAccount, Demand>,
}

impl Peers {
    pub(super) const fn new() -> Self {
        Self {
            peers: BTreeMap::new(),
            sums: BTreeMap::new(),
        }
    }

    pub(super) fn count(&self) -> usize {
        self.peers.len()
    }

    /// Handles the report of a peer, unless it is outdated.
    pub(super) fn on_report(
        &mut self,
        now: Time,
        peer: &NodeId,
        seq: u64,
        demands: Vec<AccountDemand>,
    ) {
        if let Some(known) = self.peers.get(peer)
            && seq <= known.seq
            && now.since(known.reported_at) < PEER_TIMEOUT
        {
            return;
        }
        let demands = demands.into_iter().take(REPORTED_ACCOUNTS_MAX);
        let mut demands: Vec<_> = demands.map(|d| (d.account, demand(d.requests))).collect();
        demands.sort_by(|a, b| a.0.cmp(&b.0));
        demands.dedup_by(|a, b| a.0 == b.0);
        let old = self.peers.remove(peer);
        self.update_sums(old.as_ref().map_or(&[], |p| &p.demands), &demands);
        let report = Peer {
            reported_at: now,
            seq,
            demands,
        };
        self.peers.insert(peer.clone(), report);
    }

    /// Removes the peers without a recent report.
    pub(super) fn drop_silent(&mut self, now: Time) {
        let silent = |_: &NodeId, peer: &mut Peer| now.since(peer.reported_at) >= PEER_TIMEOUT;
        let gone: Vec<Peer> = self.peers.extract_if(.., silent).map(|(_, p)| p).collect();
        for peer in gone {
            self.update_sums(&peer.demands, &[]);
        }
    }

    /// Returns a cursor over the sums, in the order of the accounts.
    pub(super) fn demand(&self) -> DemandCursor<'_> {
        DemandCursor {
            sums: self.sums.iter().peekable(),
        }
    }

    // Both slices are sorted by account. Most accounts are in both, so that one
    // lookup of the sum is enough to replace the old demand with the new.
    fn update_sums(&mut self, old: &[PeerDemand], new: &[PeerDemand]) {
        let mut old = old.iter().peekable();
        for (account, demand) in new {
            while let Some((gone, previous)) = old.next_if(|(name, _)| name < account) {
                self.update_sum(gone, *previous, 0);
            }
            let same = old.next_if(|(name, _)| name == account);
            self.update_sum(account, same.map_or(0, |(_, previous)| *previous), *demand);
        }
        for (gone, previous) in old {
            self.update_sum(gone, *previous, 0);
        }
    }

    fn update_sum(&mut self, account: &ClientAccount, previous: Demand, demand: Demand) {
        if previous == demand {
            return;
        }
        let Some(sum) = self.sums.get_mut(account) else {
            self.sums.insert(account.clone(), demand);
            return;
        };
        *sum = *sum - previous + demand;
        if *sum == 0 {
            self.sums.remove(account);
        }
    }
}

/// A cursor over the sums per account, for a merge with sorted accounts.
#[derive(Debug)]
pub(super) struct DemandCursor<'a> {
    sums: Peekable<Iter<'a, ClientAccount, Demand>>,
}

impl DemandCursor<'_> {
    /// Returns the demand of an account; calls must be in the order of accounts.
    pub(super) fn next_for(&mut self, account: &ClientAccount) -> f64 {
        while self.sums.next_if(|(name, _)| *name < account).is_some() {}
        let sum = self.sums.next_if(|(name, _)| *name == account);
        sum.map_or(0.0, |(_, sum)| *sum as f64 / UNITS_PER_REQUEST)
    }
}

fn demand(requests: f64) -> Demand {
    (requests.clamp(0.0, DEMAND_MAX) * UNITS_PER_REQUEST).round() as Demand
}

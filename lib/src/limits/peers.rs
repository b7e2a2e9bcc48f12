//! What the other routers are asked for.

use std::collections::BTreeMap;
use std::collections::btree_map::Iter;
use std::iter::Peekable;

use super::AccountDemand;
use super::limiter::PEER_TIMEOUT;
use crate::ids::ClientAccount;
use crate::ids::NodeId;
use crate::time::Time;

/// The most accounts that all routers together tell about in a tick.
///
/// Each tells its part of them. One that held all accounts of all peers would
/// spend more on their reports than on its requests.
pub(super) const REPORTED_ACCOUNTS_MAX: usize = 20_000;

/// The units of a demand of one request a second.
const UNITS_PER_REQUEST: f64 = 1e6;

/// The largest demand that is believed, in requests a second.
///
/// The sum of the longest reports of 900 peers, all for one account, fits.
const DEMAND_MAX: f64 = 1e6;

/// A demand in millionths of a request a second.
///
/// Whole numbers, because sums of these are kept for days by adding and taking
/// away, and the errors of floats would add up to a demand that nobody has.
type Demand = u64;

type PeerDemand = (ClientAccount, Demand);

#[derive(Debug, Clone)]
struct Peer {
    reported_at: Time,
    seq: u64,
    demands: Vec<PeerDemand>,
}

/// What the other routers are asked for, and its sum by account.
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

    /// Takes in the report of a peer, unless it is an old one.
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

    /// Forgets the peers that were not heard for long.
    pub(super) fn drop_silent(&mut self, now: Time) {
        let silent = |_: &NodeId, peer: &mut Peer| now.since(peer.reported_at) >= PEER_TIMEOUT;
        let gone: Vec<Peer> = self.peers.extract_if(.., silent).map(|(_, p)| p).collect();
        for peer in gone {
            self.update_sums(&peer.demands, &[]);
        }
    }

    /// Returns the sums, to be asked for in the order of the accounts.
    pub(super) fn demand(&self) -> DemandCursor<'_> {
        DemandCursor {
            sums: self.sums.iter().peekable(),
        }
    }

    // Both are in the order of the accounts. Most accounts of a report were in
    // the one before, so one look-up is enough for what left and what came.
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

/// The sums by account, walked beside the accounts.
#[derive(Debug)]
pub(super) struct DemandCursor<'a> {
    sums: Peekable<Iter<'a, ClientAccount, Demand>>,
}

impl DemandCursor<'_> {
    /// Returns the demand on an account that comes after those asked for before.
    pub(super) fn next_for(&mut self, account: &ClientAccount) -> f64 {
        while self.sums.next_if(|(name, _)| *name < account).is_some() {}
        let sum = self.sums.next_if(|(name, _)| *name == account);
        sum.map_or(0.0, |(_, sum)| *sum as f64 / UNITS_PER_REQUEST)
    }
}

fn demand(requests: f64) -> Demand {
    (requests.clamp(0.0, DEMAND_MAX) * UNITS_PER_REQUEST).round() as Demand
}

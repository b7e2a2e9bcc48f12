//! What the other routers are asked for.

use std::collections::BTreeMap;
use std::collections::btree_map::Iter;
use std::iter::Peekable;

use super::AccountDemand;
use super::limiter::SILENT;
use crate::ids::ClientAccount;
use crate::ids::NodeId;
use crate::time::Time;

/// The most accounts that all routers together tell about in a tick.
///
/// Each tells its part of them. One that held all accounts of all peers would
/// spend more on their reports than on its requests.
pub(super) const PAIRS_MAX: usize = 20_000;

/// The units of a demand of one request a second.
const UNITS: f64 = 1e6;

/// The largest demand that is believed, in requests a second.
///
/// The sum of the longest reports of 900 peers, all for one account, fits.
const DEMAND_MAX: f64 = 1e6;

/// A demand in millionths of a request a second.
///
/// Whole numbers, because sums of these are kept for days by adding and taking
/// away, and the errors of floats would add up to a demand that nobody has.
type Demand = u64;

type Told = (ClientAccount, Demand);

#[derive(Debug, Clone)]
struct Peer {
    heard: Time,
    seq: u64,
    uses: Vec<Told>,
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
    pub(super) fn hear(&mut self, now: Time, peer: &NodeId, seq: u64, uses: Vec<AccountDemand>) {
        if let Some(known) = self.peers.get(peer)
            && seq <= known.seq
            && now.since(known.heard) < SILENT
        {
            return;
        }
        let uses = uses.into_iter().take(PAIRS_MAX);
        let mut uses: Vec<_> = uses.map(|u| (u.account, demand(u.requests))).collect();
        uses.sort_by(|a, b| a.0.cmp(&b.0));
        uses.dedup_by(|a, b| a.0 == b.0);
        let old = self.peers.remove(peer);
        self.change(old.as_ref().map_or(&[], |p| &p.uses), &uses);
        let news = Peer {
            heard: now,
            seq,
            uses,
        };
        self.peers.insert(peer.clone(), news);
    }

    /// Forgets the peers that were not heard for long.
    pub(super) fn forget(&mut self, now: Time) {
        let silent = |_: &NodeId, peer: &mut Peer| now.since(peer.heard) >= SILENT;
        let gone: Vec<Peer> = self.peers.extract_if(.., silent).map(|(_, p)| p).collect();
        for peer in gone {
            self.change(&peer.uses, &[]);
        }
    }

    /// Returns the sums, to be asked for in the order of the accounts.
    pub(super) fn asked(&self) -> Asked<'_> {
        Asked {
            sums: self.sums.iter().peekable(),
        }
    }

    // Both are in the order of the accounts. Most accounts of a report were in
    // the one before, so one look-up is enough for what left and what came.
    fn change(&mut self, old: &[Told], new: &[Told]) {
        let mut old = old.iter().peekable();
        for (account, demand) in new {
            while let Some((gone, was)) = old.next_if(|(name, _)| name < account) {
                self.set(gone, *was, 0);
            }
            let same = old.next_if(|(name, _)| name == account);
            self.set(account, same.map_or(0, |(_, was)| *was), *demand);
        }
        for (gone, was) in old {
            self.set(gone, *was, 0);
        }
    }

    fn set(&mut self, account: &ClientAccount, was: Demand, demand: Demand) {
        if was == demand {
            return;
        }
        let Some(sum) = self.sums.get_mut(account) else {
            self.sums.insert(account.clone(), demand);
            return;
        };
        *sum = *sum - was + demand;
        if *sum == 0 {
            self.sums.remove(account);
        }
    }
}

/// The sums by account, walked beside the accounts.
#[derive(Debug)]
pub(super) struct Asked<'a> {
    sums: Peekable<Iter<'a, ClientAccount, Demand>>,
}

impl Asked<'_> {
    /// Returns the demand on an account that comes after those asked for before.
    pub(super) fn of(&mut self, account: &ClientAccount) -> f64 {
        while self.sums.next_if(|(name, _)| *name < account).is_some() {}
        let sum = self.sums.next_if(|(name, _)| *name == account);
        sum.map_or(0.0, |(_, sum)| *sum as f64 / UNITS)
    }
}

fn demand(requests: f64) -> Demand {
    (requests.clamp(0.0, DEMAND_MAX) * UNITS).round() as Demand
}

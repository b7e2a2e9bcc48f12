//! The links that this node opened, and what comes over them.

use std::net::SocketAddr;
use std::time::Duration;

use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::serving::registry_polling::ReplicaStatus;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::MilliCores;
use snipeyoke_wire::KnownNode;
use snipeyoke_wire::SyncReply;
use snipeyoke_wire::SyncRequest;
use snipeyoke_wire::frame::Body;

use super::JobNumber;
use super::convert;
use super::run::Peer;
use super::run::PendingJob;
use super::run::Place;
use super::run::State;
use crate::registry::Topic;

/// The time between two looks at some other node.
///
/// A neighbour may know a newer configuration when the registry does not
/// answer this node; two looks a second bring it well within two seconds.
const SYNC_ANY: Duration = Duration::from_millis(500);

/// How long a node that was asked may be silent.
///
/// Looks are answered within milliseconds, and within some hundred on a slow
/// host. Beyond this its jobs go to the next owner.
const SILENCE_MAX: Duration = Duration::from_millis(750);

impl State {
    pub(super) fn answered(&mut self, peer: SocketAddr, body: Body) {
        let now = self.shared.now();
        if let Some(known) = self.peers.get_mut(&peer) {
            known.asked = None;
        }
        self.shared.owners().mark_heard(now, peer);
        match body {
            Body::PieceJobEnd(end) => {
                let held = self.pending.get(&JobNumber(end.job));
                if held.is_some_and(|t| t.place == Place::At(peer)) {
                    self.done(convert::done_of(end));
                }
            }
            Body::SyncReply(seen) => self.take_sync(peer, seen),
            Body::RecordSlice(slice) => self.take_slice(peer, slice),
            Body::Quarantine(frame) => self.told_verdict(&frame),
            Body::Placed(placed) => self.answered_place(&placed),
            _ => {
                log::warn!(event = "frame-unexpected", peer = peer.to_string().as_str(), remedy = "run the same release on all nodes"; "");
            }
        }
    }

    pub(super) fn take_sync(&mut self, peer: SocketAddr, mut seen: SyncReply) {
        let now = self.shared.now();
        let mut owners = self.shared.owners();
        owners.set_peer_leaving(peer, seen.leaving);
        for known in &seen.known {
            learn(&mut owners, now, known);
        }
        let count = owners.count();
        drop(owners);
        for frame in &seen.quarantines {
            self.told_verdict(frame);
        }
        self.shared.budget().set_nodes(count);
        let next = Offset(seen.config_next);
        self.shared.on_peer_config(peer, next, seen.config_bytes);
        if self.endpoints_asked.is_some_and(|(node, _)| node == peer) {
            self.endpoints_asked = None;
        }
        let has_endpoints = self.take_endpoints(peer, &mut seen);
        if seen.stamp == 0 {
            return;
        }
        let has_config = self.shared.replicas().config.next() >= next;
        let age = |micros: Option<u64>| micros.map(Duration::from_micros);
        let told = ReplicaStatus {
            cannot_read: seen.unread,
            config_age: age(seen.config_age_us).filter(|_| has_config),
            endpoints_age: age(seen.endpoints_age_us).filter(|_| has_endpoints),
        };
        let sent = Time::from_micros(seen.stamp);
        let mut upkeep = self.shared.registry_polling();
        upkeep.apply_status(now, &mut self.shared.owners(), (peer, sent), told);
    }

    /// Takes in a neighbour's endpoints; tells whether this node has all of them.
    fn take_endpoints(&self, peer: SocketAddr, seen: &mut SyncReply) -> bool {
        let next = Offset(seen.endpoints_next);
        if next == Offset(0) {
            return false;
        }
        // An older neighbour has nothing that this node lacks.
        if next > self.shared.replicas().endpoints.next() {
            let records = std::mem::take(&mut seen.endpoints);
            let records = records.into_iter().map(convert::record_of).collect();
            let source = peer.to_string();
            self.shared.extend(Topic::Endpoints, records, next, &source);
        }
        let replicas = self.shared.replicas();
        let same = replicas.endpoints.next() == next;
        let sum = self.shared.directory().checksum();
        drop(replicas);
        // Two copies that are complete up to the same record hold the same. If
        // they don't, the registry knows which one is wrong.
        if same && sum != seen.endpoints_sum {
            log::warn!(event = "endpoints-differ", node = peer.to_string().as_str(), next = next.0; "");
            self.shared.on_endpoints_differ();
            return false;
        }
        true
    }

    /// Looks at the node that reads the registry for all, if it is time.
    pub(super) fn look_at_reader(&mut self, now: Time) {
        let mut upkeep = self.shared.registry_polling();
        let reader = upkeep.poll_target(now, &mut self.shared.owners());
        drop(upkeep);
        if let Some(reader) = reader {
            self.look(reader, true);
        }
    }

    /// Returns when to look at the node that reads for all.
    pub(super) fn look_at(&self) -> Time {
        self.shared.registry_polling().next_poll(self.shared.now())
    }

    /// Looks at the nodes that hold jobs, and at some other one.
    pub(super) fn sync_around(&mut self, now: Time) {
        let mut busy: Vec<SocketAddr> = Vec::new();
        for ticket in self.pending.values() {
            if let Place::At(owner) = ticket.place
                && !busy.contains(&owner)
            {
                busy.push(owner);
            }
        }
        let silent = |p: &Peer| p.asked.is_some_and(|at| now.since(at) > SILENCE_MAX);
        let found = self.peers.iter().filter(|(_, p)| silent(p));
        let lost: Vec<SocketAddr> = found.map(|(&peer, _)| peer).collect();
        for peer in lost {
            self.lost(peer, "silent");
        }
        for &peer in &busy {
            self.sync(peer);
        }
        let owners = self.shared.owners();
        let live: Vec<SocketAddr> = owners.live(now).map(|(a, _)| a).collect();
        drop(owners);
        if live.is_empty() {
            return;
        }
        self.turn = (self.turn + 1) % live.len();
        let peer = live[self.turn];
        let due = self
            .peers
            .get(&peer)
            .is_none_or(|p| now.since(p.synced) >= SYNC_ANY);
        if due && !busy.contains(&peer) {
            self.sync(peer);
        }
    }

    pub(super) fn sync(&mut self, peer: SocketAddr) {
        self.look(peer, false);
    }

    fn look(&mut self, peer: SocketAddr, brief: bool) {
        let now = self.shared.now();
        let replicas = self.shared.replicas();
        let look = SyncRequest {
            address: self.shared.settings.listen.peers.to_string(),
            config_next: replicas.config.next().0,
            endpoints_next: replicas.endpoints.next().0,
            stale: false,
            power: self.shared.settings.power.0,
            brief,
            stamp: now.as_micros(),
        };
        drop(replicas);
        let stale = !brief && self.shared.lacks_endpoints() && self.may_ask_endpoints(now);
        if stale {
            self.endpoints_asked = Some((peer, now));
        }
        self.send(peer, Body::SyncRequest(SyncRequest { stale, ..look }));
        if let Some(known) = self.peers.get_mut(&peer) {
            if !brief {
                known.synced = now;
            }
            known.asked.get_or_insert(now);
        }
    }

    /// Tells whether no neighbour's answer about endpoints is on its way.
    ///
    /// Hundreds of endpoints fill a frame of a hundred kilobytes. Asked of all
    /// neighbours in turn before the first answer is there, they fill the link.
    fn may_ask_endpoints(&self, now: Time) -> bool {
        let waits = |(_, at): (SocketAddr, Time)| now.since(at) < SILENCE_MAX;
        !self.endpoints_asked.is_some_and(waits)
    }

    /// Takes the end of a link: of one that was up another one is tried first.
    ///
    /// A connection that is reset says nothing about the node behind it. Passed
    /// over at once by some nodes and not by others, each service would have
    /// several owners, whose calls get in each other's way.
    pub(super) fn broken(&mut self, peer: SocketAddr) {
        self.lost_booker(peer);
        let was_up = self.peers.get(&peer).is_some_and(|p| p.sender.is_some());
        if !was_up {
            self.lost(peer, "no-link");
            return;
        }
        self.peers.remove(&peer);
        let holds = |t: &PendingJob| t.place == Place::At(peer);
        let jobs = self.pending.values().filter(|t| holds(t)).count();
        log::info!(event = "link-lost", peer = peer.to_string().as_str(), jobs; "");
        if jobs > 0 {
            self.begin(peer);
        }
    }

    /// Gives up a link; its jobs go to the next owner.
    pub(super) fn lost(&mut self, peer: SocketAddr, why: &str) {
        let now = self.shared.now();
        if let Some(known) = self.peers.remove(&peer)
            && let Some(sender) = known.sender
        {
            sender.close();
        }
        self.shared.owners().mark_silent(now, peer);
        self.shared.registry_polling().on_peer_lost(peer);
        self.lost_booker(peer);
        self.shared.catch_up().forget_holder(peer);
        if self.endpoints_asked.is_some_and(|(node, _)| node == peer) {
            self.endpoints_asked = None;
        }
        let held = self
            .pending
            .iter()
            .filter(|(_, t)| t.place == Place::At(peer));
        let numbers: Vec<JobNumber> = held.map(|(&n, _)| n).collect();
        log::info!(event = "node-lost", peer = peer.to_string().as_str(), why, jobs = numbers.len(); "");
        self.give_back_missed(peer);
        self.report_again();
        for number in numbers {
            if let Some(ticket) = self.pending.remove(&number) {
                self.submit(number, ticket.service, ticket.job, ticket.reply);
            }
        }
    }
}

/// Takes in a node that another one knows.
pub(super) fn learn(owners: &mut Owners, now: Time, known: &KnownNode) {
    let Ok(address) = known.address.parse() else {
        return;
    };
    owners.discover(now, address);
    if known.power > 0 {
        owners.set_power(address, MilliCores(known.power));
    }
}

//! Peers: polls, responses, and the links that this node opened.

use std::net::SocketAddr;
use std::time::Duration;

use snipeyoke_lib::serving::catch_up::ConfigMark;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::registry_polling::ReplicaStatus;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::MilliCores;
use snipeyoke_wire::EndpointRate;
use snipeyoke_wire::KnownNode;
use snipeyoke_wire::SyncReply;
use snipeyoke_wire::SyncRequest;
use snipeyoke_wire::frame::Body;

use super::JobNumber;
use super::admission::mark_accepted;
use super::convert;
use super::run::JobOwner;
use super::run::Peer;
use super::run::PendingJob;
use super::run::State;
use crate::registry::Topic;

/// The interval between two polls of a node that holds no jobs of this node.
///
/// A peer may have a newer configuration when the registry does not respond to
/// this node; two polls a second fetch it well within two seconds.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How long a polled node may be silent.
///
/// Polls are answered within milliseconds, and within a few hundred on a slow
/// host. After this its jobs go to the next owner.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(750);

impl State {
    pub(super) fn handle_response(&mut self, peer: SocketAddr, body: Body) {
        let now = self.shared.now();
        if let Some(link) = self.peers.get_mut(&peer) {
            link.unanswered_since = None;
        }
        self.shared.owners().mark_heard(now, peer);
        match body {
            Body::PieceJobEnd(end) => {
                let pending = self.pending.get(&JobNumber(end.job));
                let pending = pending.filter(|p| p.owner == JobOwner::Remote(peer));
                if let Some(service) = pending.map(|p| p.service.clone()) {
                    let result = convert::job_result_of(now, end);
                    self.relay_promise(&service, peer, &result);
                    self.finish_job(result);
                }
            }
            Body::SyncReply(reply) => self.handle_sync_reply(peer, reply),
            Body::RecordSlice(slice) => self.handle_slice(peer, slice),
            Body::Quarantine(frame) => self.handle_verdict(&frame),
            Body::SuspectAsk(frame) => self.handle_inquiry(&frame),
            Body::Placed(placed) => self.handle_placed(peer, &placed),
            Body::OriginReply(frame) => self.handle_origin_reply(frame),
            _ => {
                log::warn!(event = "frame-unexpected", peer = peer.to_string().as_str(), remedy = "run the same release on all nodes"; "");
            }
        }
    }

    pub(super) fn handle_sync_reply(&mut self, peer: SocketAddr, mut reply: SyncReply) {
        let now = self.shared.now();
        let mut owners = self.shared.owners();
        owners.set_peer_leaving(peer, reply.leaving);
        for known in &reply.known {
            learn_node(&mut owners, now, known);
        }
        let count = owners.count();
        drop(owners);
        self.shared.on_rate_news(&reply.rates, peer);
        self.shared.on_leave_news(&reply.leaves, peer);
        for frame in &reply.quarantines {
            self.handle_verdict(frame);
        }
        self.shared.budget().set_nodes(count);
        let mark = ConfigMark {
            next: Position::new(reply.config_era, reply.config_next),
            rank: convert::rank_of(reply.config_version),
        };
        self.shared.on_peer_config(peer, mark, reply.config_bytes);
        if self.endpoints_request.is_some_and(|(node, _)| node == peer) {
            self.endpoints_request = None;
        }
        let has_endpoints = self.apply_endpoints(peer, &mut reply);
        if reply.stamp == 0 {
            return;
        }
        let has_config = !mark.is_ahead_of(&self.shared.config_mark());
        let age = |micros: Option<u64>| micros.map(Duration::from_micros);
        let status = ReplicaStatus {
            cannot_read: reply.unread,
            config_age: age(reply.config_age_us).filter(|_| has_config),
            endpoints_age: age(reply.endpoints_age_us).filter(|_| has_endpoints),
        };
        let sent = Time::from_micros(reply.stamp);
        let mut polling = self.shared.registry_polling();
        polling.apply_status(now, &mut self.shared.owners(), (peer, sent), status);
        drop(polling);
        self.shared.record_confirmed_endpoints();
    }

    /// Applies a peer's endpoints; returns whether this node has all of them.
    fn apply_endpoints(&self, peer: SocketAddr, reply: &mut SyncReply) -> bool {
        let next = Position::new(reply.endpoints_era, reply.endpoints_next);
        if next == Position::default() {
            return false;
        }
        // A peer that is behind has no records that this node lacks.
        if next > self.shared.replicas().endpoints.next() {
            let records = std::mem::take(&mut reply.endpoints);
            let records = records.into_iter().map(convert::record_of).collect();
            let source = peer.to_string();
            self.shared.extend(Topic::Endpoints, records, next, &source);
        }
        let replicas = self.shared.replicas();
        let same = replicas.endpoints.next() == next;
        let sum = self.shared.directory().checksum();
        drop(replicas);
        // Two replicas at the same offset must be equal. If they differ, the
        // registry decides which one is wrong.
        if same && sum != reply.endpoints_sum {
            log::warn!(event = "endpoints-differ", node = peer.to_string().as_str(), next = next.to_string().as_str(); "");
            self.shared.on_endpoints_differ();
            return false;
        }
        true
    }

    /// Polls the registry reader, if its poll is due.
    pub(super) fn poll_reader(&mut self, now: Time) {
        let mut polling = self.shared.registry_polling();
        let reader = polling.poll_target(now, &mut self.shared.owners());
        drop(polling);
        if let Some(reader) = reader {
            self.send_poll(reader, true);
        }
    }

    /// Returns the time of the next poll of the registry reader.
    pub(super) fn reader_poll_at(&self) -> Time {
        self.shared.registry_polling().next_poll(self.shared.now())
    }

    /// Polls the nodes that hold jobs, and one other node in turn.
    pub(super) fn poll_peers(&mut self, now: Time) {
        let mut busy: Vec<SocketAddr> = Vec::new();
        for pending in self.pending.values() {
            if let JobOwner::Remote(owner) = pending.owner
                && !busy.contains(&owner)
            {
                busy.push(owner);
            }
        }
        let silent = |p: &Peer| {
            p.unanswered_since
                .is_some_and(|at| now.since(at) > RESPONSE_TIMEOUT)
        };
        let found = self.peers.iter().filter(|(_, p)| silent(p));
        let silent_peers: Vec<SocketAddr> = found.map(|(&peer, _)| peer).collect();
        for peer in silent_peers {
            self.drop_peer(peer, "silent");
        }
        for &peer in &busy {
            self.poll(peer);
        }
        let owners = self.shared.owners();
        let live: Vec<SocketAddr> = owners.live(now).map(|(a, _)| a).collect();
        drop(owners);
        if live.is_empty() {
            return;
        }
        self.poll_index = (self.poll_index + 1) % live.len();
        let peer = live[self.poll_index];
        let is_due = self
            .peers
            .get(&peer)
            .is_none_or(|p| now.since(p.polled_at) >= IDLE_POLL_INTERVAL);
        if is_due && !busy.contains(&peer) {
            self.poll(peer);
        }
    }

    pub(super) fn poll(&mut self, peer: SocketAddr) {
        self.send_poll(peer, false);
    }

    fn send_poll(&mut self, peer: SocketAddr, brief: bool) {
        let now = self.shared.now();
        let replicas = self.shared.replicas();
        let request = SyncRequest {
            address: self.shared.settings.listen.peers.to_string(),
            config_next: replicas.config.next().offset.0,
            config_era: replicas.config.next().era.0,
            config_version: convert::version_of(replicas.config.rank()),
            endpoints_next: replicas.endpoints.next().offset.0,
            endpoints_era: replicas.endpoints.next().era.0,
            stale: false,
            power: self.shared.settings.power.0,
            brief,
            stamp: now.as_micros(),
            rates: self.rate_news(brief),
            leaves: self.shared.recent_leaves(),
        };
        drop(replicas);
        let stale = !brief && self.shared.lacks_endpoints() && self.can_request_endpoints(now);
        if stale {
            self.endpoints_request = Some((peer, now));
        }
        self.send(peer, Body::SyncRequest(SyncRequest { stale, ..request }));
        if let Some(link) = self.peers.get_mut(&peer) {
            if !brief {
                link.polled_at = now;
            }
            link.unanswered_since.get_or_insert(now);
        }
    }

    /// Returns the recent rates of endpoints for a poll or its reply.
    ///
    /// They spread with the polls between all nodes. Polls of the reader are
    /// brief: it would send them to hundreds of nodes several times a second.
    pub(super) fn rate_news(&self, brief: bool) -> Vec<EndpointRate> {
        if brief {
            Vec::new()
        } else {
            self.shared.recent_rates()
        }
    }

    /// Returns whether no request for the full list of endpoints is in flight.
    ///
    /// Hundreds of endpoints fill a frame of a hundred kilobytes. Responses from
    /// all peers at once would saturate the link.
    fn can_request_endpoints(&self, now: Time) -> bool {
        let in_flight = |(_, at): (SocketAddr, Time)| now.since(at) < RESPONSE_TIMEOUT;
        !self.endpoints_request.is_some_and(in_flight)
    }

    /// Handles a closed link; one that was up is reopened before the peer is
    /// dropped.
    ///
    /// A reset connection does not show that the node failed. If only some nodes
    /// dropped it at once, a service would have several owners, whose calls
    /// conflict.
    pub(super) fn handle_outbound_closed(&mut self, peer: SocketAddr) {
        self.decline_placements(peer);
        let was_up = self.peers.get(&peer).is_some_and(|p| p.sender.is_some());
        if !was_up {
            self.drop_peer(peer, "no-link");
            return;
        }
        self.peers.remove(&peer);
        let holds = |p: &PendingJob| p.owner == JobOwner::Remote(peer);
        let jobs = self.pending.values().filter(|p| holds(p)).count();
        log::info!(event = "link-lost", peer = peer.to_string().as_str(), jobs; "");
        if jobs > 0 {
            self.open_link(peer);
        }
        self.handle_keeper_lost(peer);
    }

    /// Drops a peer and submits its jobs to the next owner.
    pub(super) fn drop_peer(&mut self, peer: SocketAddr, why: &str) {
        let now = self.shared.now();
        let mut unanswered_since = None;
        if let Some(link) = self.peers.remove(&peer) {
            unanswered_since = link.unanswered_since;
            if let Some(sender) = link.sender {
                sender.close();
            }
        }
        self.shared.owners().mark_silent(now, peer);
        self.shared.registry_polling().on_peer_lost(peer);
        self.decline_placements(peer);
        self.shared.catch_up().forget_holder(peer);
        if self.endpoints_request.is_some_and(|(node, _)| node == peer) {
            self.endpoints_request = None;
        }
        let held = self
            .pending
            .iter()
            .filter(|(_, p)| p.owner == JobOwner::Remote(peer));
        let numbers: Vec<JobNumber> = held.map(|(&n, _)| n).collect();
        log::info!(event = "node-lost", peer = peer.to_string().as_str(), why, jobs = numbers.len(); "");
        self.release_missed(peer);
        self.handle_keeper_lost(peer);
        for number in numbers {
            if let Some(mut pending) = self.pending.remove(&number) {
                // What it did not refuse before it fell silent, it accepted.
                let was_sent = pending.sent_at.zip(unanswered_since);
                if was_sent.is_some_and(|(sent, silent)| sent <= silent) {
                    mark_accepted(&mut pending.job);
                }
                self.submit(number, pending.service, pending.job, pending.reply);
            }
        }
    }
}

/// Records a node that another node knows.
pub(super) fn learn_node(owners: &mut Owners, now: Time, known: &KnownNode) {
    let Ok(address) = known.address.parse() else {
        return;
    };
    owners.discover(now, address);
    if known.power > 0 {
        owners.set_power(address, MilliCores(known.power));
    }
}

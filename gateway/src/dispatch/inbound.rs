//! Requests from other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::batching::Job;
use snipeyoke_lib::serving::batching::JobId;
use snipeyoke_lib::serving::catch_up::ConfigMark;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::serving::replica::Record;
use snipeyoke_lib::time::Time;
use snipeyoke_wire::KnownNode;
use snipeyoke_wire::PieceJob;
use snipeyoke_wire::PieceUnneeded;
use snipeyoke_wire::SyncReply;
use snipeyoke_wire::SyncRequest;
use snipeyoke_wire::frame::Body;

use super::JobFailure;
use super::JobNumber;
use super::JobResult;
use super::ReportedWaits;
use super::convert;
use super::messages::LinkNumber;
use super::peers::learn_node;
use super::run::Delivered;
use super::run::Origin;
use super::run::State;
use super::run::UnacceptedJob;
use crate::shared::Shared;

/// How long a node may be without a link before it counts as departed.
///
/// A link that was reset is reopened within the connect time-out of 400 ms.
const DEPARTED_AFTER: Duration = Duration::from_millis(800);

/// How long a node without a configuration holds the jobs of other nodes.
///
/// It has one within a tenth of a second of its start, unless registry and
/// peers are unreachable; then the jobs are refused.
const UNACCEPTED_WAIT_MAX: Duration = Duration::from_millis(400);

/// The most changed endpoints sent to a node that did not request the full list.
///
/// Covers the changes between two polls, also while a service is replaced. A
/// full list of hundreds occupies the link for a tenth of a second.
const CHANGES_MAX: usize = 64;

/// The most verdicts in a response; the next response has more.
const VERDICTS_MAX: usize = 64;

impl State {
    pub(super) fn handle_request(&mut self, link: LinkNumber, body: Body) {
        match body {
            Body::PieceJob(frame) => self.handle_job(link, frame),
            Body::PieceCancel(cancel) => self.handle_cancel(link, cancel.job),
            Body::PieceUnneeded(unneeded) => self.handle_unneeded(unneeded),
            Body::SyncRequest(poll) => self.handle_sync_request(link, &poll),
            Body::RecordAsk(request) => self.handle_record_request(link, &request),
            Body::PlaceAsk(request) => self.handle_place_request(link, &request),
            Body::EndpointEnd(end) => self.handle_endpoint_end(&end),
            Body::Quarantine(frame) => self.handle_verdict(&frame),
            Body::SuspectAsk(frame) => self.handle_inquiry(&frame),
            Body::SuspectsCleared(frame) => self.handle_clearances(&frame),
            Body::PlaceNote(note) => self.handle_place_note(link, &note),
            Body::StreamsBegun(frame) => self.handle_streams_begun(&frame),
            Body::VersionsRecorded(frame) => self.handle_recorded_versions(&frame),
            Body::OriginAsk(frame) => self.handle_origin_ask(link, &frame),
            _ => {
                log::warn!(event = "frame-unexpected", remedy = "run the same release on all nodes"; "");
            }
        }
    }

    pub(super) fn handle_job(&mut self, link: LinkNumber, frame: PieceJob) {
        let number = frame.job;
        let now = self.shared.now();
        let service = frame.service.parse::<PoolName>();
        let job = convert::job_of(now, frame);
        let Ok(service) = service else {
            log::warn!(event = "job-unreadable", remedy = "run the same release on all nodes"; "");
            self.refuse_job(link, number);
            return;
        };
        // A starting node may count as the owner before it knows the service.
        // Refusing the job at once would fail it at its submitter.
        if self.shared.catalog.get().is_none() {
            let received_at = now;
            self.unaccepted.push(UnacceptedJob {
                link,
                number,
                service,
                job,
                received_at,
            });
            return;
        }
        self.accept_job(link, number, &service, job);
    }

    fn accept_job(&mut self, link: LinkNumber, number: u64, service: &PoolName, job: Job) {
        let origin = Origin::Peer { link, job: number };
        if self.enqueue(service, job, origin).is_none() {
            self.refuse_job(link, number);
        }
    }

    /// Accepts the jobs that waited for this node's configuration.
    pub(super) fn retry_unaccepted(&mut self) {
        if self.unaccepted.is_empty() {
            return;
        }
        let now = self.shared.now();
        let configured = self.shared.catalog.get().is_some();
        for waiting in std::mem::take(&mut self.unaccepted) {
            if configured {
                self.accept_job(waiting.link, waiting.number, &waiting.service, waiting.job);
            } else if now.since(waiting.received_at) < UNACCEPTED_WAIT_MAX {
                self.unaccepted.push(waiting);
            } else {
                self.refuse_job(waiting.link, waiting.number);
            }
        }
    }

    fn refuse_job(&self, link: LinkNumber, number: u64) {
        let Some(inbound) = self.inbound.get(&link) else {
            return;
        };
        let refused = JobResult {
            number: JobNumber(number),
            results: Vec::new(),
            failure: Some(JobFailure::Failed),
            backlog: Duration::ZERO,
            waits: ReportedWaits::default(),
        };
        let _full = inbound
            .sender
            .send(Body::PieceJobEnd(convert::job_end_frame(&refused)));
    }

    pub(super) fn handle_cancel(&mut self, link: LinkNumber, job: u64) {
        self.unaccepted
            .retain(|waiting| (waiting.link, waiting.number) != (link, job));
        self.cancel_jobs(
            |origin| matches!(origin, Origin::Peer { link: l, job: j } if *l == link && *j == job),
        );
    }

    pub(super) fn handle_inbound_closed(&mut self, link: LinkNumber) {
        let node = self.inbound.remove(&link).and_then(|l| l.node);
        let unlinked = |node: &SocketAddr| self.inbound.values().all(|l| l.node != Some(*node));
        if let Some(node) = node.filter(unlinked) {
            self.departed.insert(node, self.shared.now());
        }
        self.cancel_jobs(|origin| matches!(origin, Origin::Peer { link: l, .. } if *l == link));
        self.unaccepted.retain(|waiting| waiting.link != link);
        for bookings in self.bookings.values_mut() {
            bookings.end_link(link.0 + 1);
        }
    }

    /// Releases the results of nodes that have departed.
    ///
    /// A killed node releases nothing: its results would occupy the endpoints'
    /// memory until they expire, and leave no room for the nodes that are alive.
    /// A node whose link was reset reconnects at once and still needs them.
    pub(super) fn release_departed(&mut self, now: Time) {
        let expired = |_: &SocketAddr, at: &mut Time| now.since(*at) > DEPARTED_AFTER;
        let departed: Vec<SocketAddr> = self
            .departed
            .extract_if(.., expired)
            .map(|(n, _)| n)
            .collect();
        if departed.is_empty() {
            return;
        }
        for owned in self.queues.values_mut() {
            let orphaned = |_: &String, d: &mut Delivered| departed.contains(&d.node);
            let found: Vec<_> = owned.delivered.extract_if(.., orphaned).collect();
            for (handle, delivered) in found {
                owned.queue.release(now, &delivered.endpoint, handle);
            }
        }
    }

    pub(super) fn cancel_jobs(&mut self, wanted: impl Fn(&Origin) -> bool) {
        let now = self.shared.now();
        for owned in self.queues.values_mut() {
            let found = owned.origins.iter().filter(|(_, o)| wanted(o));
            let ids: Vec<JobId> = found.map(|(&id, _)| id).collect();
            for id in ids {
                owned.origins.remove(&id);
                owned.queue.cancel(now, id);
            }
        }
    }

    pub(super) fn handle_unneeded(&mut self, frame: PieceUnneeded) {
        let Ok(service) = frame.service.parse::<PoolName>() else {
            return;
        };
        let now = self.shared.now();
        if let Some(owned) = self.open_queue(&service) {
            for result in frame.results {
                owned.delivered.remove(&result.handle);
                if let Ok(endpoint) = result.endpoint.parse() {
                    owned.queue.release(now, &endpoint, result.handle);
                }
            }
        }
    }

    pub(super) fn handle_sync_request(&mut self, link: LinkNumber, poll: &SyncRequest) {
        let now = self.shared.now();
        if let Ok(address) = poll.address.parse() {
            let known = KnownNode {
                address: poll.address.clone(),
                power: poll.power,
            };
            learn_node(&mut self.shared.owners(), now, &known);
            self.departed.remove(&address);
            let mark = ConfigMark {
                next: Position::new(poll.config_era, poll.config_next),
                rank: convert::rank_of(poll.config_version),
            };
            self.shared.on_peer_config(address, mark, 0);
            if let Some(inbound) = self.inbound.get_mut(&link) {
                inbound.node = Some(address);
            }
            self.shared.on_rate_news(&poll.rates, address);
            self.shared.on_leave_news(&poll.leaves, address);
        }
        if poll.brief {
            self.shared.registry_polling().on_polled(now);
        }
        let mut reply = self.sync_reply(Some(poll));
        reply.rates = self.rate_news(poll.brief);
        reply.leaves = self.shared.recent_leaves();
        let Some(inbound) = self.inbound.get_mut(&link) else {
            return;
        };
        let crashes = self.shared.crashes();
        let (verdicts, last) = crashes.changes_since(now, inbound.sent_verdicts, VERDICTS_MAX);
        drop(crashes);
        reply.quarantines = verdicts.iter().map(convert::quarantine_frame).collect();
        if !poll.brief {
            let owners = self.shared.owners();
            reply.known = known_nodes(&self.shared, &owners, now, inbound.sent_changes);
            let changes = owners.last_change();
            drop(owners);
            // The queue is full only if the node is silent; its next link starts
            // over.
            if inbound.sender.send(Body::SyncReply(reply)).is_ok() {
                inbound.sent_changes = changes;
                inbound.sent_verdicts = last;
            }
            return;
        }
        if inbound.sender.send(Body::SyncReply(reply)).is_ok() {
            inbound.sent_verdicts = last;
        }
    }

    /// Returns this node's own state, without what it knows of other nodes.
    fn sync_reply(&self, poll: Option<&SyncRequest>) -> SyncReply {
        let now = self.shared.now();
        let micros = |age: Duration| age.as_micros() as u64;
        let polling = *self.shared.registry_polling();
        let mut reply = SyncReply {
            leaving: self.shared.out_of_rotation.is_set(),
            unread: polling.cannot_read(now),
            config_age_us: polling.freshness(ReplicaKind::Config).age(now).map(micros),
            stamp: poll.map_or(0, |p| p.stamp),
            ..SyncReply::default()
        };
        let replicas = self.shared.replicas();
        reply.config_next = replicas.config.next().offset.0;
        reply.config_era = replicas.config.next().era.0;
        reply.config_version = convert::version_of(replicas.config.rank());
        reply.config_bytes = replicas.config.value_bytes() as u64;
        let Some(poll) = poll else {
            return reply;
        };
        let from = Position::new(poll.endpoints_era, poll.endpoints_next);
        let changes = replicas.endpoints.changes_since(from);
        let is_known = from != Position::default();
        let is_small = |all: &Vec<Record>| all.len() <= CHANGES_MAX && is_known;
        if let Some(changes) = changes.filter(|all| poll.stale || is_small(all)) {
            reply.endpoints = changes.into_iter().map(convert::record_frame).collect();
            reply.endpoints_next = replicas.endpoints.next().offset.0;
            reply.endpoints_era = replicas.endpoints.next().era.0;
            reply.endpoints_age_us = polling
                .freshness(ReplicaKind::Endpoints)
                .age(now)
                .map(micros);
            reply.endpoints_sum = self.shared.directory().checksum();
        }
        reply
    }

    /// Announces this node's own state to all nodes that poll it.
    pub(super) fn announce_state(&self) {
        let reply = self.sync_reply(None);
        for inbound in self.inbound.values() {
            let _full = inbound.sender.send(Body::SyncReply(reply.clone()));
        }
    }
}

/// Returns this node and the nodes that changed since the change `sent`.
fn known_nodes(shared: &Shared, owners: &Owners, now: Time, sent: u64) -> Vec<KnownNode> {
    let own = (shared.settings.listen.peers, Some(shared.settings.power));
    let all = owners.changes_since(now, sent).chain([own]);
    let known = all.map(|(address, power)| KnownNode {
        address: address.to_string(),
        power: power.map_or(0, |p| p.0),
    });
    known.collect()
}

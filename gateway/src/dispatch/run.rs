//! The dispatcher's task.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::batching::BatchQueue;
use snipeyoke_lib::serving::batching::Job;
use snipeyoke_lib::serving::batching::JobId;
use snipeyoke_lib::serving::bookings::Bookings;
use snipeyoke_lib::serving::bookings::Shard;
use snipeyoke_lib::serving::endpoint_loss::EndpointLoss;
use snipeyoke_lib::serving::releases::HeldResults;
use snipeyoke_lib::serving::releases::RecentReleases;
use snipeyoke_lib::serving::slices::Assembly;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::link::LinkSender;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_wire::PieceCancel;
use snipeyoke_wire::PieceJob;
use snipeyoke_wire::PieceUnneeded;
use snipeyoke_wire::frame::Body;

use super::JobNumber;
use super::JobResult;
use super::admission::AdmissionState;
use super::admission::mark_accepted;
use super::convert;
use super::crashes::CrashReports;
use super::links;
use super::messages::LinkNumber;
use super::messages::Message;
use super::origins::OriginState;
use super::placement;
use crate::shared::Shared;

/// The interval between two polls of a node that holds jobs of this node.
pub(super) const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The interval at which a starting node checks whether it knows the owners.
const OWNERS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The most messages handled before the work queues are processed.
const MESSAGES_MAX: usize = 64;

/// The submitter of a job.
#[derive(Debug, Clone, Copy)]
pub(super) enum Origin {
    Own(JobNumber),
    Peer { link: LinkNumber, job: u64 },
}

/// The work queue of a service that this node owns.
#[derive(Debug)]
pub(super) struct ServiceQueue {
    pub(super) queue: BatchQueue,
    pub(super) origins: BTreeMap<JobId, Origin>,
    /// Results delivered to other nodes and not yet released, by handle.
    pub(super) delivered: BTreeMap<String, Delivered>,
}

/// A job submitted by a request of this node.
#[derive(Debug)]
pub(super) struct PendingJob {
    pub(super) service: PoolName,
    pub(super) job: Job,
    pub(super) reply: Sender<JobResult>,
    pub(super) owner: JobOwner,
    /// When it was first sent to its owner over a link that was up.
    pub(super) sent_at: Option<Time>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobOwner {
    Local(JobId),
    Remote(SocketAddr),
}

/// A link that another node opened.
#[derive(Debug)]
pub(super) struct InboundLink {
    pub(super) sender: LinkSender,
    /// The node's listen address, once it has sent it.
    pub(super) node: Option<SocketAddr>,
    /// The number of the last change to the known nodes that was sent.
    pub(super) sent_changes: u64,
    /// The number of the last verdict that was sent.
    pub(super) sent_verdicts: u64,
}

/// A result that was delivered to another node.
#[derive(Debug)]
pub(super) struct Delivered {
    /// The node's listen address, which outlives its links.
    pub(super) node: SocketAddr,
    pub(super) endpoint: EndpointId,
    pub(super) expires_at: Time,
}

/// Another node's job that waits until this node has a configuration.
#[derive(Debug)]
pub(super) struct UnacceptedJob {
    pub(super) link: LinkNumber,
    pub(super) number: u64,
    pub(super) service: PoolName,
    pub(super) job: Job,
    pub(super) received_at: Time,
}

/// A link to another node.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) sender: Option<LinkSender>,
    /// When the oldest poll was sent since the last frame arrived.
    pub(super) unanswered_since: Option<Time>,
    pub(super) polled_at: Time,
}

/// Runs the dispatcher until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, messages: Receiver<Message>, scope: Scope) {
    let mut state = State {
        inbox: shared.dispatcher.inbox.clone(),
        shared,
        scope,
        queues: BTreeMap::new(),
        pending: BTreeMap::new(),
        unrouted: Vec::new(),
        unaccepted: Vec::new(),
        peers: BTreeMap::new(),
        inbound: BTreeMap::new(),
        departed: BTreeMap::new(),
        polled_at: Time::ZERO,
        poll_index: 0,
        released: RecentReleases::default(),
        placements: BTreeMap::new(),
        bookings: BTreeMap::new(),
        last_bookers: BTreeMap::new(),
        assembly: Assembly::default(),
        endpoints_request: None,
        endpoint_loss: EndpointLoss::default(),
        crash_reports: CrashReports::default(),
        origins: OriginState::default(),
        admission: AdmissionState::default(),
    };
    loop {
        let wake = state.wake();
        let remaining = wake.since(state.shared.now());
        let message = async { messages.recv().await.ok() };
        let timer = async {
            Timer::after(remaining).await;
            None
        };
        if let Some(message) = message.or(timer).await {
            state.handle_message(message);
        }
        for _ in 0..MESSAGES_MAX {
            let Ok(message) = messages.try_recv() else {
                break;
            };
            state.handle_message(message);
        }
        state.process_due();
    }
}

pub(super) struct State {
    pub(super) shared: Arc<Shared>,
    pub(super) inbox: Sender<Message>,
    pub(super) scope: Scope,
    pub(super) queues: BTreeMap<PoolName, ServiceQueue>,
    pub(super) pending: BTreeMap<JobNumber, PendingJob>,
    pub(super) peers: BTreeMap<SocketAddr, Peer>,
    pub(super) inbound: BTreeMap<LinkNumber, InboundLink>,
    /// Jobs submitted before this node knew the owners of services.
    pub(super) unrouted: Vec<(JobNumber, PoolName, Job, Sender<JobResult>)>,
    /// Other nodes' jobs received before this node had a configuration.
    pub(super) unaccepted: Vec<UnacceptedJob>,
    /// Nodes whose last inbound link closed, and when.
    pub(super) departed: BTreeMap<SocketAddr, Time>,
    pub(super) polled_at: Time,
    pub(super) poll_index: usize,
    /// Placements of this node's requests, by number.
    pub(super) placements: BTreeMap<u64, placement::Placement>,
    /// Bookings of the shards that this node owns.
    pub(super) bookings: BTreeMap<(PoolName, Shard), Bookings>,
    /// The node that last booked each shard, and when this node asked it.
    pub(super) last_bookers: BTreeMap<(PoolName, Shard), (SocketAddr, Time)>,
    /// Released results that their owners may have missed.
    pub(super) released: RecentReleases,
    /// The configuration record being received in slices from a peer.
    pub(super) assembly: Assembly,
    /// The peer that the full list of endpoints was requested from, and when.
    pub(super) endpoints_request: Option<(SocketAddr, Time)>,
    /// Endpoints whose connections broke recently.
    pub(super) endpoint_loss: EndpointLoss,
    /// The ends of endpoints that this node reported recently.
    pub(super) crash_reports: CrashReports,
    /// Questions about the origins of streams, and what is saved of them.
    pub(super) origins: OriginState,
    /// Admission of requests whose first stage this node owns.
    pub(super) admission: AdmissionState,
}

impl State {
    pub(super) fn wake(&self) -> Time {
        let now = self.shared.now();
        let queues = self.queues.values().map(|q| q.queue.wake(now));
        let next_poll = self.polled_at + BUSY_POLL_INTERVAL;
        let next_request = self.shared.catch_up().wake();
        let waits_for_owners = !self.unrouted.is_empty() || self.origins.has_unasked();
        let next_check = if waits_for_owners || !self.unaccepted.is_empty() {
            now + OWNERS_CHECK_INTERVAL
        } else {
            Time::NEVER
        };
        let next_origins = self.origins.wake(&self.shared);
        let next_crashes = self.shared.crashes().wake(now);
        let next_report = if self.shared.settings.has_pressure() {
            self.admission.wake()
        } else {
            Time::NEVER
        };
        let deadline = next_poll
            .min(next_report)
            .min(next_request)
            .min(self.reader_poll_at())
            .min(next_origins)
            .min(next_crashes)
            .min(next_check);
        queues.fold(deadline, Time::min)
    }

    pub(super) fn handle_message(&mut self, message: Message) {
        match message {
            Message::Submit {
                number,
                service,
                job,
                reply,
            } => self.submit(number, service, job, reply),
            Message::Cancel { number } => self.cancel(number),
            Message::ReleaseResults { service, results } => self.release_results(&service, results),
            Message::RequestPlacement {
                number,
                service,
                request,
                reply,
            } => self.request_placement(number, service, request, reply),
            Message::BookingEvent { number, event } => self.handle_booking_event(number, event),
            Message::FindOrigin {
                number,
                service,
                stream,
                reply,
            } => self.find_origin(number, (service, stream), reply),
            Message::StreamBegun => self.report_streams(),
            Message::OriginsLoaded(read) => self.handle_origins_loaded(read),
            Message::OriginsSaved { streams, saved } => self.handle_origins_saved(streams, saved),
            Message::VersionsRecorded { sets, recorded } => {
                self.handle_versions_recorded(sets, recorded);
            }
            Message::ConnectionBroke {
                incarnation,
                address,
                request,
            } => self.handle_connection_broke(incarnation, address, request),
            Message::RequestAbandoned {
                incarnation,
                request,
            } => {
                let now = self.shared.now();
                self.endpoint_loss
                    .on_request_abandoned(now, &incarnation, request);
            }
            Message::ConnectionRefused {
                incarnation,
                address,
            } => self.handle_connection_refused(incarnation, address),
            Message::Probed { incarnation, ended } => self.handle_probe(&incarnation, ended),
            Message::Verdict(verdict) => self.announce_verdict(verdict, "answered"),
            Message::Lifted(verdict) => self.announce_verdict(verdict, "operator"),
            Message::QuarantinesRead(value) => self.handle_recorded_quarantines(&value),
            Message::QuarantinesRecorded { change, recorded } => {
                self.crash_reports.on_recorded(change, recorded);
            }
            Message::Clearances(clearances) => self.send_clearances(&clearances),
            Message::RegistryReturned => {
                // What this node wrote may be lost.
                self.shared.origins().mark_unrecorded();
                self.crash_reports.mark_unrecorded();
            }
            Message::EndpointsChanged => {
                self.update_endpoints();
                self.record_versions(self.shared.now());
            }
            Message::ConfigChanged | Message::Leaving => self.announce_state(),
            Message::CallEnded {
                service,
                call,
                result,
            } => {
                self.update_speeds();
                if let Some(owned) = self.queues.get_mut(&service) {
                    owned.queue.on_call_ended(self.shared.now(), call, result);
                    for call in owned.queue.take_call_times() {
                        self.shared.on_call_time(&call);
                    }
                }
            }
            Message::ResultsReleased {
                service,
                endpoint,
                handles,
            } => {
                if let Some(owned) = self.queues.get_mut(&service) {
                    owned.queue.on_released(&endpoint, &handles);
                }
            }
            Message::InboundOpened { link, sender } => {
                let inbound = InboundLink {
                    sender,
                    node: None,
                    sent_changes: 0,
                    sent_verdicts: 0,
                };
                self.inbound.insert(link, inbound);
            }
            Message::InboundFrame { link, body } => self.handle_request(link, body),
            Message::InboundClosed { link } => self.handle_inbound_closed(link),
            Message::OutboundOpened { peer, sender } => self.handle_connected(peer, sender),
            Message::OutboundFrame { peer, body } => self.handle_response(peer, body),
            Message::OutboundClosed { peer } => self.handle_outbound_closed(peer),
        }
    }

    pub(super) fn submit(
        &mut self,
        number: JobNumber,
        service: PoolName,
        job: Job,
        reply: Sender<JobResult>,
    ) {
        if !self.shared.knows_owners() {
            self.unrouted.push((number, service, job, reply));
            return;
        }
        let owner = self.shared.owners().owner(self.shared.now(), &service);
        self.hand_promises(&service, owner);
        let job_owner = if owner == self.shared.settings.listen.peers {
            match self.enqueue(&service, job.clone(), Origin::Own(number)) {
                Ok(id) => JobOwner::Local(id),
                Err(rejection) => {
                    let result = rejection.result(number);
                    self.relay_promise(&service, owner, &result);
                    let _gone = reply.try_send(result);
                    return;
                }
            }
        } else {
            JobOwner::Remote(owner)
        };
        let mut pending = PendingJob {
            service,
            job,
            reply,
            owner: job_owner,
            sent_at: None,
        };
        if job_owner == JobOwner::Remote(owner) {
            self.send_job(owner, number, &mut pending);
        }
        self.pending.insert(number, pending);
    }

    pub(super) fn send_job(
        &mut self,
        owner: SocketAddr,
        number: JobNumber,
        pending: &mut PendingJob,
    ) {
        let now = self.shared.now();
        let frame = convert::job_frame(now, number, pending.service.as_str(), &pending.job);
        log::debug!(event = "pieces-handed-over", request = pending.job.request.as_str(), stage = pending.job.stage, owner = owner.to_string().as_str(); "");
        let is_up = self.peers.get(&owner).is_some_and(|p| p.sender.is_some());
        pending.sent_at = is_up.then_some(now);
        // If the link is not up yet, `handle_connected` sends the job.
        self.send(owner, Body::PieceJob(frame));
        let polled_at = self.peers.get(&owner).map_or(now, |p| p.polled_at);
        if now.since(polled_at) >= BUSY_POLL_INTERVAL {
            self.poll(owner);
        }
    }

    /// Sends a frame to a node if the link is up; opens a link if there is none.
    pub(super) fn send(&mut self, peer: SocketAddr, body: Body) {
        if let Some(link) = self.peers.get(&peer) {
            if let Some(sender) = &link.sender {
                // The queue is full only if the peer is silent; the response
                // time-out handles that.
                let _full = sender.send(body);
            }
            return;
        }
        self.open_link(peer);
    }

    /// Starts to open a link to a node.
    pub(super) fn open_link(&mut self, peer: SocketAddr) {
        let now = self.shared.now();
        let link = Peer {
            sender: None,
            unanswered_since: Some(now),
            polled_at: now,
        };
        self.peers.insert(peer, link);
        let dial = links::dial(peer, self.inbox.clone(), self.scope.clone());
        self.scope.spawn(dial);
    }

    pub(super) fn handle_connected(&mut self, peer: SocketAddr, sender: LinkSender) {
        let now = self.shared.now();
        let Some(link) = self.peers.get_mut(&peer) else {
            sender.close();
            return;
        };
        link.sender = Some(sender);
        link.unanswered_since = None;
        self.hand_all_promises();
        let held = self.pending.iter_mut();
        let held = held.filter(|(_, p)| p.owner == JobOwner::Remote(peer));
        let frames: Vec<PieceJob> = held
            .map(|(&n, p)| {
                // The link was lost; what the owner did not refuse, it accepted.
                if p.sent_at.is_some() {
                    mark_accepted(&mut p.job);
                }
                p.sent_at.get_or_insert(now);
                convert::job_frame(now, n, p.service.as_str(), &p.job)
            })
            .collect();
        for frame in frames {
            self.send(peer, Body::PieceJob(frame));
        }
        self.release_missed(peer);
        self.poll(peer);
        self.retry_config_request(peer);
        self.send_recent(peer);
        self.ask_again(peer);
        self.report_streams();
    }

    /// Submits the jobs that waited until the owners were known.
    pub(super) fn submit_unrouted(&mut self) {
        if !self.unrouted.is_empty() && self.shared.knows_owners() {
            for (number, service, job, reply) in std::mem::take(&mut self.unrouted) {
                self.submit(number, service, job, reply);
            }
        }
    }

    pub(super) fn cancel(&mut self, number: JobNumber) {
        self.unrouted.retain(|(unrouted, ..)| *unrouted != number);
        let Some(pending) = self.pending.remove(&number) else {
            return;
        };
        let now = self.shared.now();
        match pending.owner {
            JobOwner::Local(id) => {
                if let Some(owned) = self.queues.get_mut(&pending.service) {
                    owned.origins.remove(&id);
                    owned.queue.cancel(now, id);
                }
                self.on_admitted_ended(&pending.service, id, false);
            }
            JobOwner::Remote(owner) => {
                let job = number.0;
                self.send(owner, Body::PieceCancel(PieceCancel { job }));
            }
        }
    }

    pub(super) fn release_results(&mut self, service: &PoolName, results: HeldResults) {
        let now = self.shared.now();
        let owner = self.shared.owners().owner(now, service);
        if owner == self.shared.settings.listen.peers {
            if let Some(owned) = self.open_queue(service) {
                for (endpoint, handle) in results {
                    owned.queue.release(now, &endpoint, handle);
                }
            }
            return;
        }
        self.released.record(now, owner, service, &results);
        let results = results
            .into_iter()
            .map(|(endpoint, handle)| snipeyoke_wire::PieceResult {
                piece: 0,
                handle,
                endpoint: endpoint.to_string(),
            });
        let frame = PieceUnneeded {
            service: service.to_string(),
            results: results.collect(),
        };
        self.send(owner, Body::PieceUnneeded(frame));
    }

    /// Releases results once more that a node may have missed, at the current owner.
    pub(super) fn release_missed(&mut self, peer: SocketAddr) {
        let now = self.shared.now();
        let heard_at = self.shared.owners().last_heard(peer);
        let missed = self.released.take_missed(now, peer, heard_at);
        for (service, results) in missed {
            log::info!(event = "results-given-back-again", peer = peer.to_string().as_str(), service = service.as_str(), results = results.len(); "");
            self.release_results(&service, results);
        }
    }

    pub(super) fn finish_job(&mut self, result: JobResult) {
        if let Some(pending) = self.pending.remove(&result.number) {
            let _gone = pending.reply.try_send(result);
        }
    }
}

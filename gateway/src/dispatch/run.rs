//! The dispatcher's task.

use std::collections::BTreeMap;
use std::collections::VecDeque;
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

use super::JobFailure;
use super::JobNumber;
use super::JobResult;
use super::convert;
use super::crashes::Report;
use super::links;
use super::messages::LinkNumber;
use super::messages::Message;
use super::places;
use crate::shared::Shared;

/// The time between two looks at a node that holds this node's jobs.
pub(super) const SYNC_BUSY: Duration = Duration::from_millis(250);

/// The pause between two looks whether the owners are known, at a start.
const EARLY_PAUSE: Duration = Duration::from_millis(10);

/// The most messages that are taken before the queues are synced at.
const BURST: usize = 64;

/// Where a job came from.
#[derive(Debug, Clone, Copy)]
pub(super) enum Origin {
    Own(JobNumber),
    Peer { link: LinkNumber, job: u64 },
}

/// The queue of a service whose pieces meet here.
#[derive(Debug)]
pub(super) struct ServiceQueue {
    pub(super) queue: BatchQueue,
    pub(super) origins: BTreeMap<JobId, Origin>,
    /// Results that other nodes have not given back, by handle.
    pub(super) delivered: BTreeMap<String, Delivered>,
}

/// A job of one of this node's requests.
#[derive(Debug)]
pub(super) struct PendingJob {
    pub(super) service: PoolName,
    pub(super) job: Job,
    pub(super) reply: Sender<JobResult>,
    pub(super) place: Place,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Place {
    Here(JobId),
    At(SocketAddr),
}

/// A link that another node opened.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) sender: LinkSender,
    /// The address on which the node is reached, once it told it.
    pub(super) node: Option<SocketAddr>,
    /// The last news of other nodes that it was told.
    pub(super) told: u64,
    /// The last news of requests that it was told.
    pub(super) verdicts: u64,
}

/// A result that was handed to another node.
#[derive(Debug)]
pub(super) struct Delivered {
    /// The node's own address, which outlives its links.
    pub(super) node: SocketAddr,
    pub(super) endpoint: EndpointId,
    pub(super) until: Time,
}

/// Another node's job that waits for this node's configuration.
#[derive(Debug)]
pub(super) struct EarlyAsked {
    pub(super) link: LinkNumber,
    pub(super) number: u64,
    pub(super) service: PoolName,
    pub(super) job: Job,
    pub(super) since: Time,
}

/// A link to another node.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) sender: Option<LinkSender>,
    /// When the first look was sent that no frame has followed.
    pub(super) asked: Option<Time>,
    pub(super) synced: Time,
}

/// Runs the dispatcher until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, messages: Receiver<Message>, scope: Scope) {
    let mut state = State {
        inbox: shared.dispatcher.inbox.clone(),
        shared,
        scope,
        queues: BTreeMap::new(),
        pending: BTreeMap::new(),
        early: Vec::new(),
        early_asked: Vec::new(),
        peers: BTreeMap::new(),
        callers: BTreeMap::new(),
        departed: BTreeMap::new(),
        synced: Time::ZERO,
        turn: 0,
        returned: RecentReleases::default(),
        places: BTreeMap::new(),
        bookings: BTreeMap::new(),
        assembly: Assembly::default(),
        endpoints_asked: None,
        ends: EndpointLoss::default(),
        reports: VecDeque::new(),
    };
    loop {
        let wake = state.wake();
        let left = wake.since(state.shared.now());
        let message = async { messages.recv().await.ok() };
        let timer = async {
            Timer::after(left).await;
            None
        };
        if let Some(message) = message.or(timer).await {
            state.take(message);
        }
        for _ in 0..BURST {
            let Ok(message) = messages.try_recv() else {
                break;
            };
            state.take(message);
        }
        state.turn();
    }
}

pub(super) struct State {
    pub(super) shared: Arc<Shared>,
    pub(super) inbox: Sender<Message>,
    pub(super) scope: Scope,
    pub(super) queues: BTreeMap<PoolName, ServiceQueue>,
    pub(super) pending: BTreeMap<JobNumber, PendingJob>,
    pub(super) peers: BTreeMap<SocketAddr, Peer>,
    pub(super) callers: BTreeMap<LinkNumber, Caller>,
    /// Jobs from before this node could tell who owns their service.
    pub(super) early: Vec<(JobNumber, PoolName, Job, Sender<JobResult>)>,
    /// Other nodes' jobs from before this node had a configuration.
    pub(super) early_asked: Vec<EarlyAsked>,
    /// Nodes whose last link ended, and when.
    pub(super) departed: BTreeMap<SocketAddr, Time>,
    pub(super) synced: Time,
    pub(super) turn: usize,
    /// This node's requests that are booked at some node.
    pub(super) places: BTreeMap<u64, places::Place>,
    /// The bookings that meet here.
    pub(super) bookings: BTreeMap<(PoolName, Shard), Bookings>,
    /// What owners may not have heard of yet.
    pub(super) returned: RecentReleases,
    /// The record that comes in slices from a neighbour.
    pub(super) assembly: Assembly,
    /// The neighbour that was asked for what it knows of endpoints, and when.
    pub(super) endpoints_asked: Option<(SocketAddr, Time)>,
    /// The endpoints whose connections broke of late.
    pub(super) ends: EndpointLoss,
    /// What this node told of the ends of endpoints of late.
    pub(super) reports: VecDeque<Report>,
}

impl State {
    pub(super) fn wake(&self) -> Time {
        let now = self.shared.now();
        let queues = self.queues.values().map(|c| c.queue.wake(now));
        let look = self.synced + SYNC_BUSY;
        let copy = self.shared.catch_up().wake();
        let early = if self.early.is_empty() && self.early_asked.is_empty() {
            Time::NEVER
        } else {
            now + EARLY_PAUSE
        };
        let due = look.min(copy).min(self.look_at()).min(early);
        queues.fold(due, Time::min)
    }

    pub(super) fn take(&mut self, message: Message) {
        match message {
            Message::Submit {
                number,
                service,
                job,
                reply,
            } => self.submit(number, service, job, reply),
            Message::Cancel { number } => self.cancel(number),
            Message::GiveBack { service, results } => self.give_back(&service, results),
            Message::Place {
                number,
                service,
                wish,
                reply,
            } => self.place(number, service, wish, reply),
            Message::Noted { number, note } => self.noted(number, note),
            Message::Broke {
                run,
                address,
                request,
            } => self.broke(run, address, request),
            Message::GivenUp { run, request } => {
                let now = self.shared.now();
                self.ends.on_request_abandoned(now, &run, request);
            }
            Message::Refused { run, address } => self.refused(run, address),
            Message::Looked { run, ended } => self.looked(&run, ended),
            Message::Verdict(verdict) => self.tell_all(verdict),
            Message::EndpointsChanged => self.set_endpoints(),
            Message::ConfigGrew | Message::Leaving => self.tell_callers(),
            Message::CallEnded {
                service,
                call,
                result,
            } => {
                if let Some(owned) = self.queues.get_mut(&service) {
                    owned.queue.on_call_ended(self.shared.now(), call, result);
                }
            }
            Message::Dropped {
                service,
                endpoint,
                handles,
            } => {
                if let Some(owned) = self.queues.get_mut(&service) {
                    owned.queue.on_released(&endpoint, &handles);
                }
            }
            Message::Accepted { link, sender } => {
                let caller = Caller {
                    sender,
                    node: None,
                    told: 0,
                    verdicts: 0,
                };
                self.callers.insert(link, caller);
            }
            Message::Asked { link, body } => self.asked(link, body),
            Message::Hung { link } => self.hung(link),
            Message::Connected { peer, sender } => self.connected(peer, sender),
            Message::Answered { peer, body } => self.answered(peer, body),
            Message::Lost { peer } => self.broken(peer),
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
            self.early.push((number, service, job, reply));
            return;
        }
        let owner = self.shared.owners().owner(self.shared.now(), &service);
        let place = if owner == self.shared.settings.listen.peers {
            let Some(id) = self.queue(&service, job.clone(), Origin::Own(number)) else {
                let failure = Some(JobFailure::Failed);
                let results = Vec::new();
                let _gone = reply.try_send(JobResult {
                    number,
                    results,
                    failure,
                    backlog: Duration::ZERO,
                });
                return;
            };
            Place::Here(id)
        } else {
            Place::At(owner)
        };
        let ticket = PendingJob {
            service,
            job,
            reply,
            place,
        };
        if place == Place::At(owner) {
            self.send_job(owner, number, &ticket);
        }
        self.pending.insert(number, ticket);
    }

    pub(super) fn send_job(&mut self, owner: SocketAddr, number: JobNumber, ticket: &PendingJob) {
        let now = self.shared.now();
        let frame = convert::job_frame(now, number, ticket.service.as_str(), &ticket.job);
        log::debug!(event = "pieces-handed-over", request = ticket.job.request.as_str(), stage = ticket.job.stage, owner = owner.to_string().as_str(); "");
        // Without a link yet, the job goes out once it is there.
        self.send(owner, Body::PieceJob(frame));
        let synced = self.peers.get(&owner).map_or(now, |p| p.synced);
        if now.since(synced) >= SYNC_BUSY {
            self.sync(owner);
        }
    }

    /// Sends a frame to a node, if the link to it is up; begins one if not.
    pub(super) fn send(&mut self, peer: SocketAddr, body: Body) {
        if let Some(known) = self.peers.get(&peer) {
            if let Some(sender) = &known.sender {
                // A full queue means a silent peer, which is found by its
                // silence.
                let _full = sender.send(body);
            }
            return;
        }
        self.begin(peer);
    }

    /// Begins a link to a node.
    pub(super) fn begin(&mut self, peer: SocketAddr) {
        let now = self.shared.now();
        let begun = Peer {
            sender: None,
            asked: Some(now),
            synced: now,
        };
        self.peers.insert(peer, begun);
        let dial = links::dial(peer, self.inbox.clone(), self.scope.clone());
        self.scope.spawn(dial);
    }

    pub(super) fn connected(&mut self, peer: SocketAddr, sender: LinkSender) {
        let now = self.shared.now();
        let Some(known) = self.peers.get_mut(&peer) else {
            sender.close();
            return;
        };
        known.sender = Some(sender);
        known.asked = None;
        let waiting = self
            .pending
            .iter()
            .filter(|(_, t)| t.place == Place::At(peer));
        let frames: Vec<PieceJob> = waiting
            .map(|(&n, t)| convert::job_frame(now, n, t.service.as_str(), &t.job))
            .collect();
        for frame in frames {
            self.send(peer, Body::PieceJob(frame));
        }
        self.give_back_missed(peer);
        self.sync(peer);
        self.ask_once_connected(peer);
        self.report_connected(peer);
    }

    /// Hands in the jobs that waited until the owners are known.
    pub(super) fn submit_early(&mut self) {
        if !self.early.is_empty() && self.shared.knows_owners() {
            for (number, service, job, reply) in std::mem::take(&mut self.early) {
                self.submit(number, service, job, reply);
            }
        }
    }

    pub(super) fn cancel(&mut self, number: JobNumber) {
        self.early.retain(|(early, ..)| *early != number);
        let Some(ticket) = self.pending.remove(&number) else {
            return;
        };
        let now = self.shared.now();
        match ticket.place {
            Place::Here(id) => {
                if let Some(owned) = self.queues.get_mut(&ticket.service) {
                    owned.origins.remove(&id);
                    owned.queue.cancel(now, id);
                }
            }
            Place::At(owner) => {
                let job = number.0;
                self.send(owner, Body::PieceCancel(PieceCancel { job }));
            }
        }
    }

    pub(super) fn give_back(&mut self, service: &PoolName, results: HeldResults) {
        let now = self.shared.now();
        let owner = self.shared.owners().owner(now, service);
        if owner == self.shared.settings.listen.peers {
            if let Some(owned) = self.open(service) {
                for (endpoint, handle) in results {
                    owned.queue.release(now, &endpoint, handle);
                }
            }
            return;
        }
        self.returned.record(now, owner, service, &results);
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

    /// Gives back once more what a node may have missed, to whoever owns it now.
    pub(super) fn give_back_missed(&mut self, peer: SocketAddr) {
        let now = self.shared.now();
        let heard = self.shared.owners().last_heard(peer);
        let missed = self.returned.take_missed(now, peer, heard);
        for (service, results) in missed {
            log::info!(event = "results-given-back-again", peer = peer.to_string().as_str(), service = service.as_str(), results = results.len(); "");
            self.give_back(&service, results);
        }
    }

    pub(super) fn done(&mut self, done: JobResult) {
        if let Some(ticket) = self.pending.remove(&done.number) {
            let _gone = ticket.reply.try_send(done);
        }
    }
}

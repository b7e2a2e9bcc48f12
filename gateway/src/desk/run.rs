//! The desk's task.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::pieces::Job;
use snipeyoke_lib::serving::pieces::JobEnd;
use snipeyoke_lib::serving::pieces::JobId;
use snipeyoke_lib::serving::pieces::Outcome;
use snipeyoke_lib::serving::pieces::PieceQueue;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::link::LinkSender;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_wire::Look;
use snipeyoke_wire::PieceCancel;
use snipeyoke_wire::PieceJob;
use snipeyoke_wire::PieceUnneeded;
use snipeyoke_wire::Seen;
use snipeyoke_wire::frame::Body;

use super::Done;
use super::Failure;
use super::JobNumber;
use super::Made;
use super::books;
use super::calls;
use super::links;
use super::messages::LinkNumber;
use super::messages::Message;
use crate::registry::Topic;
use crate::shared::Shared;

/// The time between two looks at a node that holds this node's jobs.
const LOOK_BUSY: Duration = Duration::from_millis(250);

/// The time between two looks at some other node.
///
/// A neighbour may know a newer configuration when the registry does not
/// answer this node; two looks a second bring it well within two seconds.
const LOOK_ANY: Duration = Duration::from_millis(500);

/// How long a node that holds jobs may be silent.
///
/// Looks are answered within milliseconds, and within some hundred on a slow
/// host. Beyond this its jobs go to the next owner.
const SILENCE_MAX: Duration = Duration::from_millis(750);

/// The most messages that are taken before the queues are looked at.
const BURST: usize = 64;

/// Where a job came from.
#[derive(Debug)]
enum Origin {
    Own(JobNumber),
    Peer { link: LinkNumber, job: u64 },
}

/// The queue of a service whose pieces meet here.
#[derive(Debug)]
struct Counter {
    queue: PieceQueue,
    origins: BTreeMap<JobId, Origin>,
}

/// A job of one of this node's requests.
#[derive(Debug)]
struct Ticket {
    service: PoolName,
    job: Job,
    reply: Sender<Done>,
    place: Place,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    Here(JobId),
    At(SocketAddr),
}

/// A link to another node.
#[derive(Debug)]
struct Peer {
    sender: Option<LinkSender>,
    /// When the first look was sent that no frame has followed.
    asked: Option<Time>,
    looked: Time,
}

/// Runs the desk until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, messages: Receiver<Message>, scope: Scope) {
    let mut state = State {
        inbox: shared.desk.inbox.clone(),
        shared,
        scope,
        counters: BTreeMap::new(),
        tickets: BTreeMap::new(),
        peers: BTreeMap::new(),
        callers: BTreeMap::new(),
        looked: Time::ZERO,
        turn: 0,
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

struct State {
    shared: Arc<Shared>,
    inbox: Sender<Message>,
    scope: Scope,
    counters: BTreeMap<PoolName, Counter>,
    tickets: BTreeMap<JobNumber, Ticket>,
    peers: BTreeMap<SocketAddr, Peer>,
    callers: BTreeMap<LinkNumber, LinkSender>,
    looked: Time,
    turn: usize,
}

impl State {
    fn wake(&self) -> Time {
        let queues = self.counters.values().map(|c| c.queue.wake());
        let look = self.looked + LOOK_BUSY;
        queues.fold(look, Time::min)
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Submit {
                number,
                service,
                job,
                reply,
            } => self.submit(number, service, job, reply),
            Message::Cancel { number } => self.cancel(number),
            Message::GiveBack { service, results } => self.give_back(&service, results),
            Message::EndpointsChanged => self.set_endpoints(),
            Message::Leaving => self.tell_leaving(),
            Message::CallEnded {
                service,
                call,
                result,
            } => {
                if let Some(counter) = self.counters.get_mut(&service) {
                    counter.queue.ended(self.shared.now(), call, result);
                }
            }
            Message::Accepted { link, sender } => {
                self.callers.insert(link, sender);
            }
            Message::Asked { link, body } => self.asked(link, body),
            Message::Hung { link } => self.hung(link),
            Message::Connected { peer, sender } => self.connected(peer, sender),
            Message::Answered { peer, body } => self.answered(peer, body),
            Message::Lost { peer } => self.lost(peer, "link-lost"),
        }
    }

    // ---- jobs of this node's requests

    fn submit(&mut self, number: JobNumber, service: PoolName, job: Job, reply: Sender<Done>) {
        let owner = self.shared.owners().owner(self.shared.now(), &service);
        let place = if owner == self.shared.settings.listen.peers {
            let Some(id) = self.queue(&service, job.clone(), Origin::Own(number)) else {
                let failure = Some(Failure::Failed);
                let made = Vec::new();
                let _gone = reply.try_send(Done {
                    number,
                    made,
                    failure,
                });
                return;
            };
            Place::Here(id)
        } else {
            Place::At(owner)
        };
        let ticket = Ticket {
            service,
            job,
            reply,
            place,
        };
        if place == Place::At(owner) {
            self.send_job(owner, number, &ticket);
        }
        self.tickets.insert(number, ticket);
    }

    fn send_job(&mut self, owner: SocketAddr, number: JobNumber, ticket: &Ticket) {
        let now = self.shared.now();
        let frame = books::job_frame(now, number, ticket.service.as_str(), &ticket.job);
        log::debug!(event = "pieces-handed-over", request = ticket.job.request.as_str(), stage = ticket.job.stage, owner = owner.to_string().as_str(); "");
        // Without a link yet, the job goes out once it is there.
        self.send(owner, Body::PieceJob(frame));
        let looked = self.peers.get(&owner).map_or(now, |p| p.looked);
        if now.since(looked) >= LOOK_BUSY {
            self.look(owner);
        }
    }

    /// Sends a frame to a node, if the link to it is up; begins one if not.
    fn send(&mut self, peer: SocketAddr, body: Body) {
        let now = self.shared.now();
        if let Some(known) = self.peers.get(&peer) {
            if let Some(sender) = &known.sender {
                // A full queue means a silent peer, which is found by its
                // silence.
                let _full = sender.send(body);
            }
            return;
        }
        let begun = Peer {
            sender: None,
            asked: Some(now),
            looked: now,
        };
        self.peers.insert(peer, begun);
        let dial = links::dial(peer, self.inbox.clone(), self.scope.clone());
        self.scope.spawn(dial);
    }

    fn connected(&mut self, peer: SocketAddr, sender: LinkSender) {
        let now = self.shared.now();
        let Some(known) = self.peers.get_mut(&peer) else {
            sender.close();
            return;
        };
        known.sender = Some(sender);
        known.asked = None;
        let waiting = self
            .tickets
            .iter()
            .filter(|(_, t)| t.place == Place::At(peer));
        let frames: Vec<PieceJob> = waiting
            .map(|(&n, t)| books::job_frame(now, n, t.service.as_str(), &t.job))
            .collect();
        for frame in frames {
            self.send(peer, Body::PieceJob(frame));
        }
        self.look(peer);
    }

    fn cancel(&mut self, number: JobNumber) {
        let Some(ticket) = self.tickets.remove(&number) else {
            return;
        };
        match ticket.place {
            Place::Here(id) => {
                if let Some(counter) = self.counters.get_mut(&ticket.service) {
                    counter.origins.remove(&id);
                    counter.queue.cancel(id);
                }
            }
            Place::At(owner) => {
                let job = number.0;
                self.send(owner, Body::PieceCancel(PieceCancel { job }));
            }
        }
    }

    fn give_back(&mut self, service: &PoolName, results: Vec<(EndpointId, String)>) {
        let owner = self.shared.owners().owner(self.shared.now(), service);
        if owner == self.shared.settings.listen.peers {
            if let Some(counter) = self.counters.get_mut(service) {
                for (endpoint, handle) in results {
                    counter.queue.give_back(&endpoint, handle);
                }
            }
            return;
        }
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

    fn done(&mut self, done: Done) {
        if let Some(ticket) = self.tickets.remove(&done.number) {
            let _gone = ticket.reply.try_send(done);
        }
    }

    // ---- queues of services owned here

    fn queue(&mut self, service: &PoolName, job: Job, origin: Origin) -> Option<JobId> {
        if !self.counters.contains_key(service) {
            let catalog = self.shared.catalog.get();
            let found = catalog.as_ref().as_ref()?.service(service)?.pieces.clone();
            let mut queue = PieceQueue::new(found?);
            set_endpoints(&self.shared, service, &mut queue);
            log::info!(event = "service-owned", service = service.as_str(); "");
            let counter = Counter {
                queue,
                origins: BTreeMap::new(),
            };
            self.counters.insert(service.clone(), counter);
        }
        let counter = self.counters.get_mut(service)?;
        let id = counter.queue.submit(job);
        counter.origins.insert(id, origin);
        Some(id)
    }

    fn set_endpoints(&mut self) {
        let catalog = self.shared.catalog.get();
        for (service, counter) in &mut self.counters {
            let found = catalog.as_ref().as_ref().and_then(|c| c.service(service));
            if let Some(limits) = found.and_then(|s| s.pieces.clone()) {
                counter.queue.set_limits(limits);
            }
            set_endpoints(&self.shared, service, &mut counter.queue);
        }
    }

    /// Makes the calls that are due and passes on the jobs that ended.
    fn turn(&mut self) {
        let now = self.shared.now();
        let mut ends = Vec::new();
        for (service, counter) in &mut self.counters {
            for send in counter.queue.poll(now) {
                start(&self.shared, &self.inbox, &self.scope, service, send);
            }
            for (entry, handles) in counter.queue.take_unneeded(now) {
                let told = calls::give_back(Arc::clone(&self.shared), entry, handles);
                self.scope.spawn(told);
            }
            for end in counter.queue.take_ends() {
                if let Some(origin) = counter.origins.remove(&end.job) {
                    ends.push((origin, end));
                }
            }
        }
        for (origin, end) in ends {
            self.ended(origin, end);
        }
        if now.since(self.looked) >= LOOK_BUSY {
            self.looked = now;
            self.look_around(now);
        }
    }

    fn ended(&mut self, origin: Origin, end: JobEnd) {
        let made = end.made.into_iter();
        let made = made.map(|(piece, handle, endpoint)| Made {
            piece,
            handle,
            endpoint,
        });
        let number = match origin {
            Origin::Own(number) => number,
            Origin::Peer { job, .. } => JobNumber(job),
        };
        let done = Done {
            number,
            made: made.collect(),
            failure: end.failure.as_ref().map(failure),
        };
        match origin {
            Origin::Own(_) => self.done(done),
            Origin::Peer { link, .. } => {
                if let Some(sender) = self.callers.get(&link) {
                    let _full = sender.send(Body::PieceJobEnd(books::end_frame(&done)));
                }
            }
        }
    }

    // ---- what other nodes ask

    fn asked(&mut self, link: LinkNumber, body: Body) {
        match body {
            Body::PieceJob(frame) => self.asked_job(link, frame),
            Body::PieceCancel(cancel) => self.asked_cancel(link, cancel.job),
            Body::PieceUnneeded(unneeded) => self.asked_unneeded(unneeded),
            Body::Look(look) => self.asked_look(link, &look),
            _ => {
                log::warn!(event = "frame-unexpected", remedy = "run the same release on all nodes"; "")
            }
        }
    }

    fn asked_job(&mut self, link: LinkNumber, frame: PieceJob) {
        let job = frame.job;
        let origin = Origin::Peer { link, job };
        let service = frame.service.parse::<PoolName>();
        let read = books::job_of(self.shared.now(), frame);
        let queued = service.ok().and_then(|s| self.queue(&s, read, origin));
        if queued.is_none()
            && let Some(sender) = self.callers.get(&link)
        {
            let refused = Done {
                number: JobNumber(job),
                made: Vec::new(),
                failure: Some(Failure::Failed),
            };
            let _full = sender.send(Body::PieceJobEnd(books::end_frame(&refused)));
        }
    }

    fn asked_cancel(&mut self, link: LinkNumber, job: u64) {
        self.drop_jobs(
            |origin| matches!(origin, Origin::Peer { link: l, job: j } if *l == link && *j == job),
        );
    }

    fn hung(&mut self, link: LinkNumber) {
        self.callers.remove(&link);
        self.drop_jobs(|origin| matches!(origin, Origin::Peer { link: l, .. } if *l == link));
    }

    fn drop_jobs(&mut self, wanted: impl Fn(&Origin) -> bool) {
        for counter in self.counters.values_mut() {
            let found = counter.origins.iter().filter(|(_, o)| wanted(o));
            let ids: Vec<JobId> = found.map(|(&id, _)| id).collect();
            for id in ids {
                counter.origins.remove(&id);
                counter.queue.cancel(id);
            }
        }
    }

    fn asked_unneeded(&mut self, frame: PieceUnneeded) {
        let Ok(service) = frame.service.parse::<PoolName>() else {
            return;
        };
        if let Some(counter) = self.counters.get_mut(&service) {
            for result in frame.results {
                if let Ok(endpoint) = result.endpoint.parse() {
                    counter.queue.give_back(&endpoint, result.handle);
                }
            }
        }
    }

    fn asked_look(&self, link: LinkNumber, look: &Look) {
        let now = self.shared.now();
        if let Ok(address) = look.address.parse() {
            self.shared.owners().learn(now, address);
        }
        let seen = self.seen(Some(look));
        if let Some(sender) = self.callers.get(&link) {
            let _full = sender.send(Body::Seen(seen));
        }
    }

    fn seen(&self, look: Option<&Look>) -> Seen {
        let nodes = self
            .shared
            .owners()
            .live(self.shared.now())
            .map(|a| a.to_string())
            .collect();
        let mut seen = Seen {
            leaving: self.shared.aside.is_set(),
            nodes,
            ..Seen::default()
        };
        let Some(look) = look else {
            return seen;
        };
        let replicas = self.shared.replicas();
        if replicas.config.next() > Offset(look.config_next) {
            let records = replicas.config.since(Offset(look.config_next));
            seen.config = records.into_iter().map(books::record_frame).collect();
            seen.config_next = replicas.config.next().0;
        }
        if look.stale && replicas.endpoints.next() > Offset(look.endpoints_next) {
            let records = replicas.endpoints.since(Offset(look.endpoints_next));
            seen.endpoints = records.into_iter().map(books::record_frame).collect();
            seen.endpoints_next = replicas.endpoints.next().0;
        }
        seen
    }

    fn tell_leaving(&self) {
        let seen = self.seen(None);
        for sender in self.callers.values() {
            let _full = sender.send(Body::Seen(seen.clone()));
        }
    }

    // ---- what other nodes answer

    fn answered(&mut self, peer: SocketAddr, body: Body) {
        let now = self.shared.now();
        if let Some(known) = self.peers.get_mut(&peer) {
            known.asked = None;
        }
        self.shared.owners().heard(now, peer);
        match body {
            Body::PieceJobEnd(end) => {
                let held = self.tickets.get(&JobNumber(end.job));
                if held.is_some_and(|t| t.place == Place::At(peer)) {
                    self.done(books::done_of(end));
                }
            }
            Body::Seen(seen) => self.take_seen(peer, seen),
            _ => {
                log::warn!(event = "frame-unexpected", peer = peer.to_string().as_str(), remedy = "run the same release on all nodes"; "")
            }
        }
    }

    fn take_seen(&self, peer: SocketAddr, seen: Seen) {
        let now = self.shared.now();
        let mut owners = self.shared.owners();
        owners.leaves(peer, seen.leaving);
        for node in seen.nodes.iter().filter_map(|n| n.parse().ok()) {
            owners.learn(now, node);
        }
        let count = owners.count();
        drop(owners);
        self.shared.budget().share(count);
        let source = peer.to_string();
        let records = seen.config.into_iter().map(books::record_of).collect();
        self.shared
            .extend(Topic::Config, records, Offset(seen.config_next), &source);
        let records = seen.endpoints.into_iter().map(books::record_of).collect();
        self.shared.extend(
            Topic::Endpoints,
            records,
            Offset(seen.endpoints_next),
            &source,
        );
    }

    /// Looks at the nodes that hold jobs, and at some other one.
    fn look_around(&mut self, now: Time) {
        let mut busy: Vec<SocketAddr> = Vec::new();
        for ticket in self.tickets.values() {
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
            self.look(peer);
        }
        let live: Vec<SocketAddr> = self.shared.owners().live(now).collect();
        if live.is_empty() {
            return;
        }
        self.turn = (self.turn + 1) % live.len();
        let peer = live[self.turn];
        let due = self
            .peers
            .get(&peer)
            .is_none_or(|p| now.since(p.looked) >= LOOK_ANY);
        if due && !busy.contains(&peer) {
            self.look(peer);
        }
    }

    fn look(&mut self, peer: SocketAddr) {
        let now = self.shared.now();
        let replicas = self.shared.replicas();
        let look = Look {
            address: self.shared.settings.listen.peers.to_string(),
            config_next: replicas.config.next().0,
            endpoints_next: replicas.endpoints.next().0,
            stale: false,
        };
        drop(replicas);
        let stale = self.shared.is_stale();
        self.send(peer, Body::Look(Look { stale, ..look }));
        if let Some(known) = self.peers.get_mut(&peer) {
            known.looked = now;
            known.asked.get_or_insert(now);
        }
    }

    /// Gives up a link; its jobs go to the next owner.
    fn lost(&mut self, peer: SocketAddr, why: &str) {
        let now = self.shared.now();
        if let Some(known) = self.peers.remove(&peer)
            && let Some(sender) = known.sender
        {
            sender.close();
        }
        self.shared.owners().silent(now, peer);
        let held = self
            .tickets
            .iter()
            .filter(|(_, t)| t.place == Place::At(peer));
        let numbers: Vec<JobNumber> = held.map(|(&n, _)| n).collect();
        log::info!(event = "node-lost", peer = peer.to_string().as_str(), why, jobs = numbers.len(); "");
        for number in numbers {
            if let Some(ticket) = self.tickets.remove(&number) {
                self.submit(number, ticket.service, ticket.job, ticket.reply);
            }
        }
    }
}

fn start(
    shared: &Arc<Shared>,
    inbox: &Sender<Message>,
    scope: &Scope,
    service: &PoolName,
    send: snipeyoke_lib::serving::pieces::Send,
) {
    log::info!(
        event = "pieces-sent",
        service = service.as_str(),
        call = send.call,
        endpoint = send.entry.id.to_string().as_str(),
        pieces = send.items.len(),
        expected_ms = send.expected.as_millis() as u64,
        requests = requests(&send).as_str();
        ""
    );
    let shared = Arc::clone(shared);
    let inbox = inbox.clone();
    let service = service.clone();
    scope.spawn(async move {
        let call = send.call;
        let result = calls::run_pieces(shared, send).await;
        let ended = Message::CallEnded {
            service,
            call,
            result,
        };
        let _closed = inbox.try_send(ended);
    });
}

/// Returns the requests of a call, each once.
fn requests(send: &snipeyoke_lib::serving::pieces::Send) -> String {
    let mut names: Vec<&str> = send.items.iter().map(|i| i.request.as_str()).collect();
    names.dedup();
    names.join(",")
}

fn set_endpoints(shared: &Shared, service: &PoolName, queue: &mut PieceQueue) {
    let directory = shared.directory();
    let entries = directory.iter().filter(|e| e.is_open()).map(|e| e.entry());
    queue.set_endpoints(entries.filter(|e| e.service == *service));
}

const fn failure(outcome: &Outcome) -> Failure {
    match outcome {
        Outcome::Late => Failure::Late,
        Outcome::Gone => Failure::Gone,
        Outcome::Made(_) | Outcome::Full | Outcome::Failed => Failure::Failed,
    }
}

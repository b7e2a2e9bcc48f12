//! Executes the actions of the membership view: dials, links, heartbeats.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Async;
use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::ids::NodeId;
use snipeyoke_lib::membership::Action;
use snipeyoke_lib::membership::Event;
use snipeyoke_lib::membership::LinkId;
use snipeyoke_lib::membership::NodeKind;
use snipeyoke_lib::membership::PeerHeartbeat;
use snipeyoke_lib::membership::PeerState;
use snipeyoke_lib::membership::Profile;
use snipeyoke_lib::membership::View;
use snipeyoke_lib::membership::ViewSettings;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::link::LinkSender;
use snipeyoke_runtime::platform::HttpHosts;
use snipeyoke_wire::Heartbeat;
use snipeyoke_wire::frame::Body;

use crate::connect;
use crate::node::Node;

/// The poll interval of the host list, which itself lags by more than that.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// The pause after a failed accept, to avoid a busy loop without descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The state shared between a link's task and the membership view.
#[derive(Debug, Clone)]
pub(crate) struct LinkEntry {
    pub(crate) link: LinkId,
    pub(crate) peer: NodeId,
    kind: NodeKind,
    pub(crate) sender: LinkSender,
    /// Set once the view accepts this as the peer's current link.
    pub(crate) admitted: Flag,
    /// Set once the link must end after its calls in flight.
    pub(crate) retired: Flag,
}

/// The links of a router and the inbox of its membership view.
#[derive(Debug)]
pub(crate) struct Members {
    inbox: Sender<Event>,
    links: Mutex<Links>,
}

#[derive(Debug, Default)]
struct Links {
    next: u64,
    open: BTreeMap<LinkId, LinkEntry>,
}

impl Members {
    /// Creates the links and the receiving end of the view's inbox.
    pub(crate) fn new() -> (Self, Receiver<Event>) {
        // Unbounded, but each link sends events only at the rate of its peer's
        // heartbeats, and the number of links is bounded.
        let (inbox, events) = async_channel::unbounded();
        let links = Mutex::default();
        (Self { inbox, links }, events)
    }

    /// Sends an event to the view; events after its end are dropped.
    pub(crate) fn notify(&self, event: Event) {
        if self.inbox.try_send(event).is_err() {
            log::debug!(event = "view-ended"; "");
        }
    }

    /// Adds a link whose peer has sent its hello.
    pub(crate) fn open(&self, sender: LinkSender, profile: &Profile) -> LinkEntry {
        let mut links = self.links();
        links.next += 1;
        let entry = LinkEntry {
            link: LinkId(links.next),
            peer: profile.node.clone(),
            kind: profile.kind,
            sender,
            admitted: Flag::default(),
            retired: Flag::default(),
        };
        links.open.insert(entry.link, entry.clone());
        entry
    }

    /// Removes a link that has ended.
    pub(crate) fn close(&self, link: LinkId) {
        self.links().open.remove(&link);
    }

    /// Sends a frame on every link.
    pub(crate) fn broadcast(&self, body: &Body) {
        for entry in self.links().open.values() {
            if let Err(error) = entry.sender.send(body.clone()) {
                log::debug!(event = "frame-dropped", error = error.to_string().as_str(); "");
            }
        }
    }

    /// Sends a frame to every linked router.
    pub(crate) fn send_to_routers(&self, body: &Body) {
        let links = self.links();
        let routers = links.open.values().filter(|e| e.kind == NodeKind::Router);
        for entry in routers {
            if let Err(error) = entry.sender.send(body.clone()) {
                log::debug!(event = "frame-dropped", error = error.to_string().as_str(); "");
            }
        }
    }

    fn get(&self, link: LinkId) -> Option<LinkEntry> {
        self.links().open.get(&link).cloned()
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs the membership view until the router stops.
pub(crate) async fn run(node: Arc<Node>, events: Receiver<Event>) {
    let mut view = View::new(profile(&node), node.incarnation, ViewSettings::default());
    let own = &node.settings;
    let seeds = own.agents.iter().chain(&own.routers).copied().collect();
    let mut event = Event::Seeds(seeds);
    let mut draining = false;
    loop {
        let link = match &event {
            Event::LinkUp { link, profile, .. } => Some((*link, profile.node.clone())),
            _ => None,
        };
        let mut wake = handle_event(&node, &mut view, event);
        if let Some((link, peer)) = link {
            admit(&node, &view, link, &peer);
        }
        if node.board.drain.is_set() && !draining {
            draining = true;
            wake = handle_event(&node, &mut view, Event::Draining(true));
        }
        let Some(next) = next_event(&node, &events, wake, draining).await else {
            return;
        };
        event = next;
    }
}

fn profile(node: &Node) -> Profile {
    let own = &node.settings;
    Profile {
        node: own.node.clone(),
        kind: NodeKind::Router,
        host: own.host.clone(),
        domain: own.domain.clone(),
        region: own.region.clone(),
        address: own.listen.peers,
        pool: None,
        endpoint: None,
    }
}

async fn next_event(
    node: &Node,
    events: &Receiver<Event>,
    wake: Time,
    draining: bool,
) -> Option<Event> {
    let event = async { events.recv().await.ok() };
    let timer = async {
        Timer::after(wake.since(node.clock.now())).await;
        Some(Event::Tick)
    };
    let drain = async {
        if draining {
            std::future::pending::<()>().await;
        }
        node.board.drain.wait().await;
        Some(Event::Tick)
    };
    let stopped = async {
        node.board.stop.wait().await;
        None
    };
    stopped.or(event).or(drain).or(timer).await
}

/// Passes an event to the view, executes its actions, returns the next wake time.
fn handle_event(node: &Arc<Node>, view: &mut View, event: Event) -> Time {
    let mut wake = Time::NEVER;
    for action in view.handle(node.clock.now(), event) {
        match action {
            Action::Connect { address } => {
                let task_node = Arc::clone(node);
                node.scope
                    .spawn(async move { connect::dial(task_node, address).await });
            }
            Action::Disconnect { link, reason } => {
                log::info!(event = "link-given-up", link = link.0, reason = reason.to_string().as_str(); "");
                if let Some(entry) = node.members.get(link) {
                    entry.retired.set();
                }
            }
            Action::SendHeartbeat { link, heartbeat } => send_heartbeat(node, link, heartbeat),
            Action::StateChanged {
                node: peer,
                from,
                to,
            } => on_state_change(node, view, &peer, from, to),
            Action::HostLeaving(leaving) => {
                log::warn!(event = "host-leaving", leaving = leaving; "");
                if leaving {
                    node.board.host_leaving.set();
                }
            }
            Action::WakeAt(at) => wake = at,
        }
    }
    wake
}

fn send_heartbeat(node: &Node, link: LinkId, beat: PeerHeartbeat) {
    let config = node.board.config.get();
    let heartbeat = Heartbeat {
        incarnation: beat.incarnation.0,
        seq: beat.seq,
        seen_seq: beat.seen,
        draining: beat.draining,
        interval_ms: u32::try_from(beat.pace.as_millis()).unwrap_or(u32::MAX),
        config_revision: config.revision.0,
        ..Heartbeat::default()
    };
    if let Some(entry) = node.members.get(link)
        && let Err(error) = entry.sender.send(Body::Heartbeat(heartbeat))
    {
        log::debug!(event = "heartbeat-dropped", error = error.to_string().as_str(); "");
    }
}

fn admit(node: &Node, view: &View, link: LinkId, peer: &NodeId) {
    let member = view.members().get(peer);
    let is_current = member.is_some_and(|m| m.link() == Some(link));
    if is_current && let Some(entry) = node.members.get(link) {
        entry.admitted.set();
    }
}

/// Logs a state change and marks the endpoint as reachable or not.
fn on_state_change(node: &Node, view: &View, peer: &NodeId, from: PeerState, to: PeerState) {
    log::info!(event = "peer-state", peer = peer.as_str(), from = from.to_string().as_str(), to = to.to_string().as_str(); "");
    let Some(member) = view.members().get(peer) else {
        return;
    };
    let profile = &member.profile;
    node.control.peers.set_state(node.clock.now(), profile, to);
    let (Some(endpoint), Some(pool)) = (&profile.endpoint, &profile.pool) else {
        return;
    };
    let mut shared = node.shared();
    // A silent peer is excluded at once; the age of its last report would do so
    // only after 3 s. A peer alive again on the same link must be added back
    // here, as nothing else does it.
    match (to, member.incarnation()) {
        (PeerState::Alive, Some(incarnation)) if from != PeerState::Unheard => {
            let (domain, region) = (&profile.domain, &profile.region);
            shared
                .fleet
                .upsert(endpoint.clone(), pool.clone(), domain, region, incarnation);
        }
        (PeerState::Slow, _) if from == PeerState::Alive => shared.fleet.mark_unreachable(endpoint),
        (PeerState::CutOff | PeerState::Dead, _) => shared.fleet.mark_unreachable(endpoint),
        _ => {}
    }
}

/// Polls the host list until the router stops.
pub(crate) async fn poll_hosts(node: Arc<Node>, hosts: HttpHosts) {
    while !node.board.stop.is_set() {
        let stopped = async {
            node.board.stop.wait().await;
            None
        };
        let list = hosts.list().or(stopped).await;
        if let Some(list) = &list {
            node.control.peers.set_hosts(list);
        }
        // An empty list carries no information.
        if let Some(list) = list.filter(|l| !l.is_empty()) {
            node.members.notify(Event::HostList(list));
        }
        let pause = async {
            Timer::after(HOST_LIST_INTERVAL).await;
        };
        pause.or(node.board.stop.wait()).await;
    }
}

/// Accepts links from other routers until the router stops.
pub(crate) async fn accept(node: Arc<Node>, listener: Async<TcpListener>) {
    let stopped = async {
        node.board.stop.wait().await;
        None
    };
    let mut stopped = Box::pin(stopped);
    loop {
        let accepted = async { Some(listener.accept().await) };
        match accepted.or(&mut stopped).await {
            None => return,
            Some(Ok((stream, _peer))) => {
                let task_node = Arc::clone(&node);
                node.scope
                    .spawn(async move { connect::serve_accepted(task_node, stream).await });
            }
            Some(Err(error)) => {
                log::warn!(event = "accept-failed", error = error.to_string().as_str(), remedy = "raise the descriptor limit"; "");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

//! Serves the link to each peer and updates the fleet view.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures_lite::FutureExt;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_lib::ids::FencingNumber;
use snipeyoke_lib::ids::HostId;
use snipeyoke_lib::ids::IdError;
use snipeyoke_lib::ids::Incarnation;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::ids::Region;
use snipeyoke_lib::membership;
use snipeyoke_lib::membership::Event;
use snipeyoke_lib::membership::LinkEnd;
use snipeyoke_lib::membership::PeerHeartbeat;
use snipeyoke_lib::membership::Profile;
use snipeyoke_lib::once::KeySlot;
use snipeyoke_lib::routing::CacheUpdate;
use snipeyoke_lib::routing::Endpoint;
use snipeyoke_lib::routing::LoadReport;
use snipeyoke_runtime::link;
use snipeyoke_runtime::link::LinkReader;
use snipeyoke_runtime::link::LinkSender;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_wire::CacheEvents;
use snipeyoke_wire::FrameError;
use snipeyoke_wire::Heartbeat;
use snipeyoke_wire::Hello;
use snipeyoke_wire::Load;
use snipeyoke_wire::NodeKind;
use snipeyoke_wire::SlotsFreed;
use snipeyoke_wire::frame::Body;

use crate::agents::AgentLink;
use crate::control::drains;
use crate::follow;
use crate::members::LinkEntry;
use crate::node::Node;

/// The time-out for connecting, and for receiving the first frame.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The poll interval while a retired link has calls in flight.
const RETIRE_POLL: Duration = Duration::from_millis(50);

/// The reason why a link to a peer ended.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub(crate) enum LinkError {
    #[display("can't connect: {_0}")]
    Io(std::io::Error),
    #[display("{_0}")]
    Frame(FrameError),
    #[display("the peer's hello is malformed: {_0}")]
    Hello(IdError),
    #[display("no hello within {CONNECT_TIMEOUT:?}: is this the address of a peer?")]
    NoHello,
    #[display("the peer closed the link")]
    Closed,
}

/// The endpoint served by an agent.
struct AgentPeer {
    endpoint: EndpointId,
    pool: PoolName,
    host: HostId,
    domain: FailureDomain,
    region: Region,
    incarnation: Incarnation,
    hello: Hello,
}

/// The identity of a peer, from its hello.
struct PeerIdentity {
    profile: Profile,
    incarnation: Incarnation,
    hello: Hello,
}

impl PeerIdentity {
    /// Returns the endpoint if the peer is an agent.
    fn agent(&self) -> Option<AgentPeer> {
        Some(AgentPeer {
            endpoint: self.profile.endpoint.clone()?,
            pool: self.profile.pool.clone()?,
            host: self.profile.host.clone(),
            domain: self.profile.domain.clone(),
            region: self.profile.region.clone(),
            incarnation: self.incarnation,
            hello: self.hello.clone(),
        })
    }
}

impl TryFrom<Hello> for PeerIdentity {
    type Error = LinkError;

    fn try_from(hello: Hello) -> Result<Self, LinkError> {
        let kind = match hello.kind() {
            NodeKind::Agent => membership::NodeKind::Agent,
            NodeKind::Router => membership::NodeKind::Router,
            _ => return Err(LinkError::NoHello),
        };
        let agent = kind == membership::NodeKind::Agent;
        let endpoint = agent.then(|| hello.endpoint.parse()).transpose()?;
        let pool = agent.then(|| hello.pool.parse()).transpose()?;
        let profile = Profile {
            node: hello.node.parse()?,
            kind,
            host: hello.host.parse()?,
            domain: hello.domain.parse()?,
            region: hello.region.parse()?,
            address: hello
                .address
                .parse()
                .map_err(|_malformed| LinkError::NoHello)?,
            pool,
            endpoint,
        };
        let incarnation = Incarnation(hello.incarnation);
        Ok(Self {
            profile,
            incarnation,
            hello,
        })
    }
}

/// Dials `address` and serves the link until it ends.
pub(crate) async fn dial(node: Arc<Node>, address: SocketAddr) {
    let stream = match link::connect(address, CONNECT_TIMEOUT).await {
        Ok(stream) => stream,
        Err(error) => {
            log::debug!(event = "dial-failed", address = address.to_string().as_str(), error = error.to_string().as_str(); "");
            let end = link_end(&error);
            return node.members.notify(Event::DialFailed { address, end });
        }
    };
    if let Err(error) = serve(&node, stream, Some(address)).await {
        log::info!(event = "link-down", address = address.to_string().as_str(), error = error.to_string().as_str(); "");
    }
}

/// Serves a link opened by another router.
pub(crate) async fn serve_accepted(node: Arc<Node>, stream: Async<TcpStream>) {
    if let Err(error) = serve(&node, stream, None).await {
        log::info!(event = "link-down", error = error.to_string().as_str(); "");
    }
}

fn link_end(error: &std::io::Error) -> LinkEnd {
    match error.kind() {
        ErrorKind::ConnectionRefused => LinkEnd::Refused,
        ErrorKind::ConnectionReset => LinkEnd::Reset,
        _ => LinkEnd::Timeout,
    }
}

async fn serve(
    node: &Arc<Node>,
    stream: Async<TcpStream>,
    dialed: Option<SocketAddr>,
) -> Result<(), LinkError> {
    let (sender, writer, mut reader) = link::open(stream)?;
    let scope = Scope::new(node.scope.exec());
    scope.spawn(async move {
        if let Err(error) = writer.run().await {
            log::debug!(event = "link-write-failed", error = error.to_string().as_str(); "");
        }
    });
    let identity = handshake(node, &sender, &mut reader).await;
    let identity = match identity {
        Ok(identity) => identity,
        Err(error) => {
            if let Some(address) = dialed {
                let end = LinkEnd::Timeout;
                node.members.notify(Event::DialFailed { address, end });
            }
            sender.close();
            scope.cancel().await;
            return Err(error);
        }
    };
    let entry = node.members.open(sender.clone(), &identity.profile);
    node.members.notify(Event::LinkUp {
        link: entry.link,
        dialed,
        profile: identity.profile.clone(),
        incarnation: identity.incarnation,
    });
    let result = serve_admitted(node, &identity, &entry, &mut reader, scope).await;
    node.members.close(entry.link);
    let end = match &result {
        Err(LinkError::Io(error)) => link_end(error),
        _ => LinkEnd::Reset,
    };
    node.members.notify(Event::LinkDown {
        link: entry.link,
        end,
    });
    result
}

/// Serves an admitted link: its calls, reports and heartbeats.
async fn serve_admitted(
    node: &Node,
    identity: &PeerIdentity,
    entry: &LinkEntry,
    reader: &mut LinkReader,
    scope: Scope,
) -> Result<(), LinkError> {
    let peer = identity.agent();
    let link = Arc::new(AgentLink::new(
        identity.profile.address,
        entry.sender.clone(),
    ));
    let stopped = async {
        node.board.stop.wait().await;
        Ok(())
    };
    let serving = async {
        // An older process with a known name must not replace the endpoint, so
        // nothing is read before the view has admitted the link.
        entry.admitted.wait().or(entry.retired.wait()).await;
        if !entry.admitted.is_set() {
            return Ok(());
        }
        if let Some(peer) = &peer {
            register_agent(node, peer, &link);
        }
        let reading = read_frames(node, peer.as_ref(), entry, &link, reader);
        reading
            .or(wait_retired(node, peer.as_ref(), entry, &link))
            .await
    };
    let result = serving.or(stopped).await;
    if let Some(peer) = &peer {
        unregister_agent(node, peer, &link);
    }
    // The writer ends first; only then is it certain which frames were written.
    entry.sender.close();
    scope.cancel().await;
    link.on_link_lost();
    result
}

/// Waits until the view has retired the link and no call is in flight on it.
async fn wait_retired(
    node: &Node,
    peer: Option<&AgentPeer>,
    entry: &LinkEntry,
    link: &Arc<AgentLink>,
) -> Result<(), LinkError> {
    entry.retired.wait().await;
    if let Some(peer) = peer {
        unregister_agent(node, peer, link);
    }
    while !link.is_idle() {
        Timer::after(RETIRE_POLL).await;
    }
    Ok(())
}

async fn handshake(
    node: &Node,
    sender: &LinkSender,
    reader: &mut LinkReader,
) -> Result<PeerIdentity, LinkError> {
    if sender.send(Body::Hello(node.hello())).is_err() {
        return Err(LinkError::Closed);
    }
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(LinkError::NoHello)
    };
    let hello = async {
        match reader.next().await? {
            Some(Body::Hello(hello)) => PeerIdentity::try_from(hello),
            _ => Err(LinkError::NoHello),
        }
    };
    hello.or(timeout).await
}

fn register_agent(node: &Node, peer: &AgentPeer, link: &Arc<AgentLink>) {
    node.agents.open(peer.endpoint.clone(), Arc::clone(link));
    let (now, hello) = (node.clock.now(), peer.hello.clone());
    node.control
        .endpoints
        .add(now, peer.endpoint.clone(), hello);
    let mut shared = node.shared();
    shared.fleet.upsert(
        peer.endpoint.clone(),
        peer.pool.clone(),
        &peer.domain,
        &peer.region,
        peer.incarnation,
    );
    log::info!(event = "agent-link-up", endpoint = peer.endpoint.as_str(), pool = peer.pool.as_str(), domain = peer.domain.as_str(), address = link.address.to_string().as_str(), incarnation = peer.incarnation.0; "");
}

fn unregister_agent(node: &Node, peer: &AgentPeer, link: &Arc<AgentLink>) {
    if node.agents.close(&peer.endpoint, link) {
        node.shared().fleet.mark_unreachable(&peer.endpoint);
        node.slots().forget(&peer.endpoint);
        node.control.endpoints.mark_unlinked(&peer.endpoint);
    }
}

async fn read_frames(
    node: &Node,
    peer: Option<&AgentPeer>,
    entry: &LinkEntry,
    link: &AgentLink,
    reader: &mut LinkReader,
) -> Result<(), LinkError> {
    loop {
        match reader.next().await? {
            Some(Body::Heartbeat(heartbeat)) => {
                let beat = to_beat(&heartbeat);
                node.members.notify(Event::Heartbeat {
                    link: entry.link,
                    heartbeat: beat,
                });
                if let Some(peer) = peer {
                    handle_heartbeat(node, peer, link, &heartbeat);
                }
            }
            Some(Body::Goodbye(goodbye)) => {
                let incarnation = Incarnation(goodbye.incarnation);
                node.members.notify(Event::Goodbye {
                    link: entry.link,
                    incarnation,
                });
                if let Some(peer) = peer {
                    node.shared().fleet.mark_draining(&peer.endpoint);
                }
                log::info!(event = "peer-leaves", link = entry.link.0, reason = goodbye.reason.as_str(); "");
            }
            Some(Body::Usage(usage)) => {
                let now = node.clock.now();
                node.admission.on_usage(now, &entry.peer, &usage);
            }
            Some(body) => {
                if let Some(peer) = peer {
                    handle_frame(node, peer, link, body);
                }
            }
            None => return Err(LinkError::Closed),
        }
    }
}

fn to_beat(heartbeat: &Heartbeat) -> PeerHeartbeat {
    PeerHeartbeat {
        incarnation: Incarnation(heartbeat.incarnation),
        seq: heartbeat.seq,
        seen: heartbeat.seen_seq,
        draining: heartbeat.draining,
        pace: Duration::from_millis(heartbeat.interval_ms.into()),
    }
}

fn handle_heartbeat(node: &Node, peer: &AgentPeer, link: &AgentLink, heartbeat: &Heartbeat) {
    let now = node.clock.now();
    follow::sync_config(node, link, Offset(heartbeat.config_offset));
    let freed = node
        .slots()
        .report(&peer.pool, &peer.endpoint, &owned_slots(heartbeat));
    if freed {
        notify_freed(node, peer);
    }
    let mut load = heartbeat.load.as_ref().map(load_report);
    // The agent does not know of an operator's drain, so each of its reports
    // would end the drain here.
    if let Some(load) = &mut load {
        load.draining |= is_drained(node, peer);
    }
    let mut shared = node.shared();
    if let Some(load) = &load {
        shared.fleet.on_load(now, &peer.endpoint, load);
        link.reported.set();
    }
    if heartbeat.draining {
        shared.fleet.mark_draining(&peer.endpoint);
    }
    drop(shared);
    let revision = heartbeat.config_revision;
    let endpoints = &node.control.endpoints;
    endpoints.on_report(now, &peer.endpoint, load, revision);
}

/// Notifies the other agents of a pool that one of them released key slots.
///
/// Otherwise they would find out at their next poll of the log, up to 15 s
/// later, and all calls to these slots would be refused until then.
fn notify_freed(node: &Node, peer: &AgentPeer) {
    let others: Vec<EndpointId> = {
        let shared = node.shared();
        let Some(pool) = shared.fleet.pool(&peer.pool) else {
            return;
        };
        let ids = pool.endpoints().iter().map(Endpoint::id);
        ids.filter(|&id| *id != peer.endpoint).cloned().collect()
    };
    let frame = SlotsFreed {
        pool: peer.pool.to_string(),
    };
    for endpoint in others {
        let body = Body::SlotsFreed(frame.clone());
        node.agents.send(&endpoint, body);
    }
}

fn handle_frame(node: &Node, peer: &AgentPeer, link: &AgentLink, body: Body) {
    let now = node.clock.now();
    match body {
        Body::Chunk(chunk) => link.on_chunk(chunk),
        Body::Reply(reply) => {
            if let Some(load) = &reply.load {
                let mut report = load_report(load);
                report.draining |= is_drained(node, peer);
                node.shared().fleet.on_load(now, &peer.endpoint, &report);
            }
            link.on_reply(reply);
        }
        Body::Told(response) => link.on_outcome_response(response),
        Body::ConfigAsk(ask) => {
            for offer in node.book.offers_since(Offset(ask.have)) {
                link.send(Body::ConfigOffer(offer));
            }
        }
        Body::ConfigOffer(offer) => follow::on_offer(node, link, &offer),
        Body::Cache(events) => {
            node.shared()
                .fleet
                .on_cache(&peer.endpoint, &cache_update(events));
        }
        other => {
            log::debug!(event = "frame-ignored", frame = format!("{other:?}").as_str(); "");
        }
    }
}

fn owned_slots(heartbeat: &Heartbeat) -> BTreeMap<KeySlot, FencingNumber> {
    let slots = heartbeat.slots.iter().filter_map(|owned| {
        let slot = KeySlot::try_from(owned.slot).ok()?;
        Some((slot, FencingNumber(owned.fence)))
    });
    slots.collect()
}

fn is_drained(node: &Node, peer: &AgentPeer) -> bool {
    let config = &node.board.config.get().config;
    drains::covers(config, &peer.endpoint, &peer.host, &peer.domain)
}

fn load_report(load: &Load) -> LoadReport {
    LoadReport {
        seq: load.seq,
        slots: load.slots,
        active: load.active,
        queued: load.queued,
        pending: load.pending_tokens,
        prefill: load.prefill_rate,
        decode: load.decode_rate,
        age: Duration::from_micros(load.age_us),
        draining: load.draining,
        healthy: load.healthy,
        models: load.models.iter().filter_map(|m| m.parse().ok()).collect(),
    }
}

fn cache_update(events: CacheEvents) -> CacheUpdate {
    CacheUpdate {
        epoch: events.epoch,
        first: events.first,
        added: events.added,
        dropped: events.dropped,
        gap: events.gap,
    }
}

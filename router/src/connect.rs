//! Serves the link to each peer, and keeps the fleet view up to date.

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
use crate::members::Entry;
use crate::node::Node;

/// The longest time to connect, and to hear the first frame.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// The pause between two looks whether a retired link has calls left.
const RETIRE_LOOK: Duration = Duration::from_millis(50);

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
    #[display("no hello within {CONNECT_LIMIT:?}: is this the address of a peer?")]
    NoHello,
    #[display("the peer closed the link")]
    Closed,
}

/// The endpoint beside an agent.
struct Peer {
    endpoint: EndpointId,
    pool: PoolName,
    host: HostId,
    domain: FailureDomain,
    region: Region,
    incarnation: Incarnation,
    hello: Hello,
}

/// A node as it introduced itself.
struct Met {
    profile: Profile,
    incarnation: Incarnation,
    hello: Hello,
}

impl Met {
    /// Returns the endpoint, if the node is an agent.
    fn peer(&self) -> Option<Peer> {
        Some(Peer {
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

impl TryFrom<Hello> for Met {
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
    let stream = match link::connect(address, CONNECT_LIMIT).await {
        Ok(stream) => stream,
        Err(error) => {
            log::debug!(event = "dial-failed", address = address.to_string().as_str(), error = error.to_string().as_str(); "");
            let end = end_of(&error);
            return node.members.tell(Event::DialFailed { address, end });
        }
    };
    if let Err(error) = serve(&node, stream, Some(address)).await {
        log::info!(event = "link-down", address = address.to_string().as_str(), error = error.to_string().as_str(); "");
    }
}

/// Serves a link that another router dialed.
pub(crate) async fn accepted(node: Arc<Node>, stream: Async<TcpStream>) {
    if let Err(error) = serve(&node, stream, None).await {
        log::info!(event = "link-down", error = error.to_string().as_str(); "");
    }
}

fn end_of(error: &std::io::Error) -> LinkEnd {
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
    let met = greet(node, &sender, &mut reader).await;
    let met = match met {
        Ok(met) => met,
        Err(error) => {
            if let Some(address) = dialed {
                let end = LinkEnd::Timeout;
                node.members.tell(Event::DialFailed { address, end });
            }
            sender.close();
            scope.cancel().await;
            return Err(error);
        }
    };
    let entry = node.members.open(sender.clone(), &met.profile);
    node.members.tell(Event::LinkUp {
        link: entry.link,
        dialed,
        profile: met.profile.clone(),
        incarnation: met.incarnation,
    });
    let ended = attend(node, &met, &entry, &mut reader, scope).await;
    node.members.close(entry.link);
    let end = match &ended {
        Err(LinkError::Io(error)) => end_of(error),
        _ => LinkEnd::Reset,
    };
    node.members.tell(Event::LinkDown {
        link: entry.link,
        end,
    });
    ended
}

/// Serves an admitted link: its calls, reports and heartbeats.
async fn attend(
    node: &Node,
    met: &Met,
    entry: &Entry,
    reader: &mut LinkReader,
    scope: Scope,
) -> Result<(), LinkError> {
    let peer = met.peer();
    let link = Arc::new(AgentLink::new(met.profile.address, entry.sender.clone()));
    let stopped = async {
        node.board.stop.wait().await;
        Ok(())
    };
    let serving = async {
        // An older process under a known name must not take the endpoint's
        // place, so nothing is read before the view has admitted the link.
        entry.admitted.wait().or(entry.retired.wait()).await;
        if !entry.admitted.is_set() {
            return Ok(());
        }
        if let Some(peer) = &peer {
            join(node, peer, &link);
        }
        let listening = listen(node, peer.as_ref(), entry, &link, reader);
        listening
            .or(retire(node, peer.as_ref(), entry, &link))
            .await
    };
    let ended = serving.or(stopped).await;
    if let Some(peer) = &peer {
        part(node, peer, &link);
    }
    // The writer ends first, so that it is settled what was written.
    entry.sender.close();
    scope.cancel().await;
    link.on_lost();
    ended
}

/// Ends once the view has given the link up and no call is left on it.
async fn retire(
    node: &Node,
    peer: Option<&Peer>,
    entry: &Entry,
    link: &Arc<AgentLink>,
) -> Result<(), LinkError> {
    entry.retired.wait().await;
    if let Some(peer) = peer {
        part(node, peer, link);
    }
    while !link.is_idle() {
        Timer::after(RETIRE_LOOK).await;
    }
    Ok(())
}

async fn greet(
    node: &Node,
    sender: &LinkSender,
    reader: &mut LinkReader,
) -> Result<Met, LinkError> {
    if sender.send(Body::Hello(node.hello())).is_err() {
        return Err(LinkError::Closed);
    }
    let timeout = async {
        Timer::after(CONNECT_LIMIT).await;
        Err(LinkError::NoHello)
    };
    let hello = async {
        match reader.next().await? {
            Some(Body::Hello(hello)) => Met::try_from(hello),
            _ => Err(LinkError::NoHello),
        }
    };
    hello.or(timeout).await
}

fn join(node: &Node, peer: &Peer, link: &Arc<AgentLink>) {
    node.agents.open(peer.endpoint.clone(), Arc::clone(link));
    let (now, hello) = (node.clock.now(), peer.hello.clone());
    node.control.sight.join(now, peer.endpoint.clone(), hello);
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

fn part(node: &Node, peer: &Peer, link: &Arc<AgentLink>) {
    if node.agents.close(&peer.endpoint, link) {
        node.shared().fleet.mark_unreachable(&peer.endpoint);
        node.slots().forget(&peer.endpoint);
        node.control.sight.part(&peer.endpoint);
    }
}

async fn listen(
    node: &Node,
    peer: Option<&Peer>,
    entry: &Entry,
    link: &AgentLink,
    reader: &mut LinkReader,
) -> Result<(), LinkError> {
    loop {
        match reader.next().await? {
            Some(Body::Heartbeat(heartbeat)) => {
                let beat = beat(&heartbeat);
                node.members.tell(Event::Heartbeat {
                    link: entry.link,
                    heartbeat: beat,
                });
                if let Some(peer) = peer {
                    report(node, peer, link, &heartbeat);
                }
            }
            Some(Body::Goodbye(goodbye)) => {
                let incarnation = Incarnation(goodbye.incarnation);
                node.members.tell(Event::Goodbye {
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
                    receive(node, peer, link, body);
                }
            }
            None => return Err(LinkError::Closed),
        }
    }
}

fn beat(heartbeat: &Heartbeat) -> PeerHeartbeat {
    PeerHeartbeat {
        incarnation: Incarnation(heartbeat.incarnation),
        seq: heartbeat.seq,
        seen: heartbeat.seen_seq,
        draining: heartbeat.draining,
        pace: Duration::from_millis(heartbeat.interval_ms.into()),
    }
}

fn report(node: &Node, peer: &Peer, link: &AgentLink, heartbeat: &Heartbeat) {
    let now = node.clock.now();
    follow::level(node, link, Offset(heartbeat.config_offset));
    let freed = node
        .slots()
        .report(&peer.pool, &peer.endpoint, &slots(heartbeat));
    if freed {
        tell_freed(node, peer);
    }
    let mut load = heartbeat.load.as_ref().map(load_report);
    // The agent knows nothing of an operator's drain, and each of its reports
    // would put it back into service.
    if let Some(load) = &mut load {
        load.draining |= drained(node, peer);
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
    let sight = &node.control.sight;
    sight.report(now, &peer.endpoint, load, revision);
}

/// Tells the other agents of a pool that one of them gave key slots up.
///
/// They look at the log each 15 s while they expect nothing, and for so long
/// every call to these slots would be refused.
fn tell_freed(node: &Node, peer: &Peer) {
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
        node.agents.pass_on(&endpoint, body);
    }
}

fn receive(node: &Node, peer: &Peer, link: &AgentLink, body: Body) {
    let now = node.clock.now();
    match body {
        Body::Chunk(chunk) => link.on_chunk(chunk),
        Body::Reply(reply) => {
            if let Some(load) = &reply.load {
                let mut report = load_report(load);
                report.draining |= drained(node, peer);
                node.shared().fleet.on_load(now, &peer.endpoint, &report);
            }
            link.on_reply(reply);
        }
        Body::Told(told) => link.on_told(told),
        Body::ConfigAsk(ask) => {
            for offer in node.book.offer(Offset(ask.have)) {
                link.pass_on(Body::ConfigOffer(offer));
            }
        }
        Body::ConfigOffer(offer) => follow::offered(node, link, &offer),
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

fn slots(heartbeat: &Heartbeat) -> BTreeMap<KeySlot, FencingNumber> {
    let owned = heartbeat.slots.iter().filter_map(|owned| {
        let slot = KeySlot::try_from(owned.slot).ok()?;
        Some((slot, FencingNumber(owned.fence)))
    });
    owned.collect()
}

fn drained(node: &Node, peer: &Peer) -> bool {
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

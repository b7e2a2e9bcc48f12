//! Keeps a link to each known agent, and the fleet view up to date.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures_lite::FutureExt;
use rand::RngExt;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_lib::ids::FencingNumber;
use snipeyoke_lib::ids::HostId;
use snipeyoke_lib::ids::IdError;
use snipeyoke_lib::ids::Incarnation;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::ids::Region;
use snipeyoke_lib::once::KeySlot;
use snipeyoke_lib::routing::CacheUpdate;
use snipeyoke_lib::routing::LoadReport;
use snipeyoke_runtime::link;
use snipeyoke_runtime::link::LinkReader;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_wire::CacheEvents;
use snipeyoke_wire::FrameError;
use snipeyoke_wire::Heartbeat;
use snipeyoke_wire::Hello;
use snipeyoke_wire::Load;
use snipeyoke_wire::NodeKind;
use snipeyoke_wire::frame::Body;

use crate::agents::AgentLink;
use crate::control::drains;
use crate::node::Node;

/// The longest time to connect, and to hear the first frame.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// The first pause between two tries.
const PAUSE_MIN: Duration = Duration::from_millis(100);

/// The longest pause between two tries.
///
/// After hours of partition every router tries every agent again within this
/// time, spread by the jitter.
const PAUSE_MAX: Duration = Duration::from_secs(3);

/// The longest silence of an agent that reports twice a second.
const SILENCE_MAX: Duration = Duration::from_secs(2);

/// The reason why a link to an agent ended.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub(crate) enum LinkError {
    #[display("can't connect: {_0}")]
    Io(std::io::Error),
    #[display("{_0}")]
    Frame(FrameError),
    #[display("the agent's hello is malformed: {_0}")]
    Hello(IdError),
    #[display("no hello within {CONNECT_LIMIT:?}: is this the address of an agent?")]
    NoHello,
    #[display("no report within {SILENCE_MAX:?}")]
    Silent,
    #[display("the agent closed the link")]
    Closed,
}

/// An agent as it introduced itself.
struct Peer {
    endpoint: EndpointId,
    pool: PoolName,
    host: HostId,
    domain: FailureDomain,
    region: Region,
    incarnation: Incarnation,
    hello: Hello,
}

impl TryFrom<Hello> for Peer {
    type Error = IdError;

    fn try_from(hello: Hello) -> Result<Self, IdError> {
        Ok(Self {
            endpoint: hello.endpoint.parse()?,
            pool: hello.pool.parse()?,
            host: hello.host.parse()?,
            domain: hello.domain.parse()?,
            region: hello.region.parse()?,
            incarnation: Incarnation(hello.incarnation),
            hello,
        })
    }
}

/// Keeps a link to the agent at `address` until the router stops.
pub(crate) async fn keep(node: Arc<Node>, address: SocketAddr) {
    let mut pause = PAUSE_MIN;
    while !node.board.stop.is_set() {
        let started = node.clock.now();
        let ended = once(&node, address).await;
        if let Err(error) = &ended {
            log::info!(event = "agent-link-down", address = address.to_string().as_str(), error = error.to_string().as_str(); "");
        }
        if node.clock.now().since(started) > PAUSE_MAX {
            pause = PAUSE_MIN;
        }
        // Half of the pause is random: routers that lost an agent together
        // would otherwise come back together.
        let share = rand_pcg_share(&node);
        let wait = async {
            Timer::after(pause.mul_f64(0.5 + 0.5 * share)).await;
        };
        wait.or(node.board.stop.wait()).await;
        pause = (pause * 2).min(PAUSE_MAX);
    }
}

fn rand_pcg_share(node: &Node) -> f64 {
    node.shared().rng.random::<f64>()
}

async fn once(node: &Arc<Node>, address: SocketAddr) -> Result<(), LinkError> {
    let stream = link::connect(address, CONNECT_LIMIT).await?;
    let (sender, writer, mut reader) = link::open(stream)?;
    let scope = Scope::new(node.scope.exec());
    scope.spawn(async move {
        if let Err(error) = writer.run().await {
            log::debug!(event = "link-write-failed", error = error.to_string().as_str(); "");
        }
    });
    let hello = Body::Hello(node.hello());
    if sender.send(hello).is_err() {
        return Err(LinkError::Closed);
    }
    let peer = first(&mut reader).await?;
    let link = Arc::new(AgentLink::new(address, sender.clone()));
    join(node, &peer, &link);
    let stopped = async {
        node.board.stop.wait().await;
        Ok(())
    };
    let ended = listen(node, &peer, &link, &mut reader).or(stopped).await;
    part(node, &peer, &link);
    // The writer ends first, so that it is settled what was written.
    sender.close();
    scope.cancel().await;
    link.on_lost();
    ended
}

async fn first(reader: &mut LinkReader) -> Result<Peer, LinkError> {
    let timeout = async {
        Timer::after(CONNECT_LIMIT).await;
        Err(LinkError::NoHello)
    };
    let hello = async {
        match reader.next().await? {
            Some(Body::Hello(hello)) if hello.kind() == NodeKind::Agent => {
                Ok(Peer::try_from(hello)?)
            }
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
        node.shared().fleet.gone(&peer.endpoint);
        node.slots().forget(&peer.endpoint);
        node.control.sight.part(&peer.endpoint);
    }
}

async fn listen(
    node: &Node,
    peer: &Peer,
    link: &AgentLink,
    reader: &mut LinkReader,
) -> Result<(), LinkError> {
    loop {
        let silent = async {
            Timer::after(SILENCE_MAX).await;
            Err(LinkError::Silent)
        };
        let next = async { Ok(reader.next().await?) };
        let body = next.or(silent).await?;
        let Some(body) = body else {
            return Err(LinkError::Closed);
        };
        receive(node, peer, link, body);
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
        Body::Heartbeat(heartbeat) => {
            node.slots()
                .report(&peer.pool, &peer.endpoint, &slots(&heartbeat));
            let mut load = heartbeat.load.as_ref().map(load_report);
            // The agent knows nothing of an operator's drain, and each of its
            // reports would put it back into service.
            if let Some(load) = &mut load {
                load.draining |= drained(node, peer);
            }
            let mut shared = node.shared();
            if let Some(load) = &load {
                shared.fleet.on_load(now, &peer.endpoint, load);
                link.reported.set();
            }
            if heartbeat.draining {
                shared.fleet.drain(&peer.endpoint);
            }
            drop(shared);
            let revision = heartbeat.config_revision;
            let sight = &node.control.sight;
            sight.report(now, &peer.endpoint, load, revision);
        }
        Body::Cache(events) => {
            node.shared()
                .fleet
                .on_cache(&peer.endpoint, &cache_update(events));
        }
        Body::Goodbye(goodbye) => {
            node.shared().fleet.drain(&peer.endpoint);
            log::info!(event = "agent-leaves", endpoint = peer.endpoint.as_str(), reason = goodbye.reason.as_str(); "");
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

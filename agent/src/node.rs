//! The shared state of an agent, its start and its drain.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use snipeyoke_lib::drain::Drain;
use snipeyoke_lib::drain::DrainAction;
use snipeyoke_lib::drain::DrainBlockers;
use snipeyoke_lib::drain::DrainSettings;
use snipeyoke_lib::drain::Phase;
use snipeyoke_lib::drain::Source;
use snipeyoke_lib::ids::Incarnation;
use snipeyoke_lib::lease::LeaseHolder;
use snipeyoke_lib::placement;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::clock::Clock;
use snipeyoke_runtime::config_store::ConfigStore;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::link::LinkSender;
use snipeyoke_runtime::listen::ListenError;
use snipeyoke_runtime::listen::bind_when_free;
use snipeyoke_runtime::platform::HttpHosts;
use snipeyoke_runtime::platform::HttpLog;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::threads::Execs;
use snipeyoke_runtime::watched::WatchedValue;
use snipeyoke_wire::Goodbye;
use snipeyoke_wire::Heartbeat;
use snipeyoke_wire::Hello;
use snipeyoke_wire::Load;
use snipeyoke_wire::NodeKind;
use snipeyoke_wire::frame::Body;

use crate::endpoint::Endpoint;
use crate::gate::Gate;
use crate::hosts;
use crate::owner::Owner;
use crate::peers;
use crate::report;
use crate::report::EndpointStatus;
use crate::settings::EndpointKind;
use crate::settings::Raw;
use crate::settings::Settings;

/// The version of the protocol between processes.
const PROTOCOL: u32 = 1;

/// The timeout for connecting to the endpoint on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest silence of a router after which a drain no longer waits for it.
const ROUTER_SILENCE_MAX: Duration = Duration::from_secs(6);

/// The interval for polling what a drain waits for.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time that an agent that leaves has at most.
const PREDECESSOR_GRACE: Duration = Duration::from_mins(1);

/// The reason why an agent can't start.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum StartError {
    /// It can't listen at an address.
    #[display("{_0}")]
    Listen(ListenError),
}

/// The state shared by the tasks of an agent.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: Raw,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) gate: Gate,
    pub(crate) endpoint: Endpoint,
    /// The owner of key slots, for a plain service if a platform is configured.
    pub(crate) owner: Option<Arc<Owner>>,
    pub(crate) endpoint_status: WatchedValue<EndpointStatus>,
    /// The configuration, stored for routers that lack it.
    pub(crate) config_store: ConfigStore,
    pub(crate) drain: Flag,
    pub(crate) stop: Flag,
    /// Set once the platform's host list marks the host as leaving.
    pub(crate) host_leaving: Flag,
    /// The sequence number of the last heartbeat to all routers.
    pub(crate) heartbeat_seq: AtomicU64,
    pub(crate) orders: Mutex<placement::Gate>,
    pub(crate) scope: Scope,
    address: SocketAddr,
    /// The sequence number of the next load report; routers ignore older ones.
    load_seq: AtomicU64,
    links: Mutex<Links>,
}

#[derive(Debug, Default)]
struct Links {
    next: u64,
    open: BTreeMap<u64, OpenLink>,
}

/// A link to a router and the state of its heartbeats.
#[derive(Debug)]
struct OpenLink {
    sender: LinkSender,
    /// The sequence number of the router's last heartbeat.
    router_seq: u64,
    /// The last heartbeat of this agent that the router has acknowledged.
    acked_seq: u64,
    /// The heartbeat interval that the router requests.
    interval: Duration,
    next_heartbeat: Time,
    last_heard: Time,
}

impl Node {
    pub(crate) fn hello(&self) -> Hello {
        let own = &self.settings;
        Hello {
            protocol: PROTOCOL,
            node: own.node.to_string(),
            kind: NodeKind::Agent.into(),
            incarnation: self.incarnation.0,
            host: own.host.to_string(),
            domain: own.domain.to_string(),
            region: own.region.to_string(),
            address: self.address.to_string(),
            endpoint: own.endpoint.id.to_string(),
            pool: own.endpoint.pool.to_string(),
        }
    }

    /// Returns the current load with the next sequence number.
    pub(crate) fn load(&self) -> Load {
        let seq = self.load_seq.fetch_add(1, Ordering::Relaxed);
        let load = self.endpoint_status.get().load_frame(self);
        Load { seq, ..load }
    }

    pub(crate) fn add_link(&self, sender: LinkSender) -> u64 {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let id = links.next;
        links.next += 1;
        let open = OpenLink {
            sender,
            router_seq: 0,
            acked_seq: 0,
            interval: Duration::ZERO,
            next_heartbeat: Time::ZERO,
            last_heard: self.clock.now(),
        };
        links.open.insert(id, open);
        id
    }

    pub(crate) fn remove_link(&self, id: u64) {
        self.links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .open
            .remove(&id);
    }

    pub(crate) fn broadcast(&self, body: &Body) {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        for link in links.open.values() {
            if let Err(error) = link.sender.send(body.clone()) {
                log::debug!(event = "report-dropped", error = error.to_string().as_str(); "");
            }
        }
    }
}

impl Node {
    /// Sends a heartbeat on each link whose interval has elapsed, or on all links.
    pub(crate) fn send_heartbeats(&self, heartbeat: &Heartbeat, all: bool) {
        let now = self.clock.now();
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        for link in links
            .open
            .values_mut()
            .filter(|l| all || l.next_heartbeat <= now)
        {
            // A router with many links requests fewer heartbeats. Half a report
            // interval of tolerance sends one early rather than late.
            link.next_heartbeat = now + link.interval.saturating_sub(report::REPORT_INTERVAL / 2);
            let frame = Heartbeat {
                seen_seq: link.router_seq,
                ..heartbeat.clone()
            };
            if let Err(error) = link.sender.send(Body::Heartbeat(frame)) {
                log::debug!(event = "heartbeat-dropped", error = error.to_string().as_str(); "");
            }
        }
    }

    /// Handles a router's heartbeat.
    pub(crate) fn on_heartbeat(&self, id: u64, heartbeat: &Heartbeat) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.open.get_mut(&id) {
            link.last_heard = self.clock.now();
            link.router_seq = link.router_seq.max(heartbeat.seq);
            link.acked_seq = link.acked_seq.max(heartbeat.seen_seq);
            link.interval = Duration::from_millis(heartbeat.interval_ms.into());
        }
    }

    /// Counts the routers that have not acknowledged heartbeat `seq`.
    ///
    /// A paused or partitioned router would block the drain, so a router that has been
    /// silent for [`ROUTER_SILENCE_MAX`] no longer counts.
    fn count_unaware(&self, seq: u64) -> usize {
        let now = self.clock.now();
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let unaware =
            |l: &&OpenLink| l.acked_seq < seq && now.since(l.last_heard) < ROUTER_SILENCE_MAX;
        links.open.values().filter(unaware).count()
    }
}

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    node: Arc<Node>,
}

impl Agent {
    /// Starts an agent on the given executors, once its address is free.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if it can't listen at its address.
    pub async fn start(settings: Settings, execs: &Execs) -> Result<Self, StartError> {
        let raw = settings.raw;
        let term = settings.term;
        let address = raw.listen;
        let listener = bind_when_free(address, PREDECESSOR_GRACE).await?;
        let bound = listener.get_ref().local_addr();
        let address = bound.map_err(|source| ListenError { address, source })?;
        let scope = Scope::new(Arc::clone(&execs.traffic));
        let client = Client::new(scope.clone(), CONNECT_TIMEOUT);
        let drain = Flag::default();
        let capacity = raw.endpoint.slots + raw.endpoint.queue;
        let incarnation = Incarnation(Clock::wall().as_millis());
        let clock = Clock::start();
        let lease_holder = LeaseHolder {
            node: raw.node.clone(),
            incarnation,
        };
        let owns_slots = raw.endpoint.kind == EndpointKind::Plain && raw.platform.is_some();
        let owner = owns_slots.then(|| Arc::new(Owner::new(&raw, lease_holder, term, clock)));
        let log = raw.platform.map(|p| HttpLog::new(client.clone(), p));
        let node = Arc::new(Node {
            incarnation,
            clock,
            owner,
            gate: Gate::new(capacity, drain.clone()),
            endpoint: Endpoint::new(client, raw.endpoint.address),
            endpoint_status: WatchedValue::new(EndpointStatus::default()),
            config_store: ConfigStore::default(),
            settings: raw,
            drain,
            stop: Flag::default(),
            host_leaving: Flag::default(),
            heartbeat_seq: AtomicU64::new(1),
            orders: Mutex::default(),
            scope,
            address,
            load_seq: AtomicU64::new(1),
            links: Mutex::default(),
        });
        node.scope.spawn(peers::accept(Arc::clone(&node), listener));
        node.scope.spawn(report::run(Arc::clone(&node)));
        if let Some(platform) = node.settings.platform {
            let client = Client::new(node.scope.clone(), CONNECT_TIMEOUT);
            let hosts = HttpHosts::new(client, platform);
            node.scope.spawn(hosts::follow(Arc::clone(&node), hosts));
        }
        if let (Some(owner), Some(log)) = (node.owner.clone(), log) {
            node.scope
                .spawn(owner.run(Arc::new(log), node.stop.clone()));
        }
        log::info!(event = "agent-up", node = node.settings.node.as_str(), address = address.to_string().as_str(), incarnation = node.incarnation.0; "");
        Ok(Self { node })
    }

    /// Returns the address that routers connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.node.address
    }

    /// Waits until the platform's host list marks this host as leaving.
    pub async fn leave_requested(&self) {
        self.node.host_leaving.wait().await;
    }

    /// Drains as on SIGTERM.
    pub async fn leave(&self) {
        self.drain(Source::Signal).await;
    }

    /// Drains: refuses new calls, finishes running ones, sends goodbye and stops.
    ///
    /// Stops only after every router has acknowledged a draining heartbeat. A link
    /// preserves order, so everything that a router sent before has been handled.
    pub async fn drain(&self, source: Source) {
        let node = &self.node;
        let mut drain = Drain::new(DrainSettings::default());
        let mut actions = drain.begin(node.clock.now(), source, true);
        log::info!(event = "drain-begins", source = source.to_string().as_str(), calls = node.gate.admitted().active; "");
        let mut drain_seq = 0;
        while drain.phase() != Phase::Done {
            for action in &actions {
                match action {
                    DrainAction::Stop => drain_seq = self.refuse_new(),
                    // Not earlier: after the release, another agent may run a key
                    // at once.
                    DrainAction::HandOver => self.hand_over().await,
                    DrainAction::Report { held, overdue } => {
                        log::warn!(event = "drain-held", node = node.settings.node.as_str(), held = held.to_string().as_str(), overdue = overdue; "");
                    }
                    // Routers move calls to other agents on their own; goodbye and
                    // exit follow after the loop; an agent never resumes service.
                    DrainAction::Move
                    | DrainAction::Goodbye
                    | DrainAction::Exit
                    | DrainAction::Resume => {}
                }
            }
            Timer::after(DRAIN_POLL_INTERVAL).await;
            let owned = node.owner.as_ref().map(|o| o.slots().len());
            let held = DrainBlockers {
                calls: node.gate.admitted().active as usize,
                unaware: node.count_unaware(drain_seq),
                slots: owned.unwrap_or_default(),
                ..DrainBlockers::default()
            };
            actions = drain.update(node.clock.now(), held);
        }
        let goodbye = Goodbye {
            incarnation: node.incarnation.0,
            reason: "drain".to_owned(),
        };
        node.broadcast(&Body::Goodbye(goodbye));
        // The last replies are queued by now. Writers end once their links are closed
        // and their queues are empty.
        self.stop().await;
    }

    /// Refuses new calls, announces it, and returns the number of that heartbeat.
    fn refuse_new(&self) -> u64 {
        let node = &self.node;
        node.drain.set();
        if let Some(owner) = &node.owner {
            owner.drain();
        }
        let drain_seq = node.heartbeat_seq.fetch_add(1, Ordering::SeqCst) + 1;
        node.send_heartbeats(&report::heartbeat(node, drain_seq), true);
        drain_seq
    }

    async fn hand_over(&self) {
        if let Some(owner) = &self.node.owner {
            owner.release().await;
        }
    }

    /// Stops at once and cancels running calls.
    pub async fn stop(&self) {
        self.node.stop.set();
        self.node.scope.cancel_after_grace().await;
        log::info!(event = "agent-down", node = self.node.settings.node.as_str(); "");
    }
}

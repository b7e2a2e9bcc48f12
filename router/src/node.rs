//! The router: its shared state, start and shutdown.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use snipeyoke_lib::chain::RequestSpec;
use snipeyoke_lib::chain::Shared;
use snipeyoke_lib::drain::Drain;
use snipeyoke_lib::drain::DrainAction;
use snipeyoke_lib::drain::DrainBlockers;
use snipeyoke_lib::drain::DrainSettings;
use snipeyoke_lib::drain::Phase;
use snipeyoke_lib::drain::Source;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::Incarnation;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::log::LogStore;
use snipeyoke_lib::once::KeySlot;
use snipeyoke_lib::once::SlotMap;
use snipeyoke_lib::routing::LeastOutstanding;
use snipeyoke_lib::routing::Policy;
use snipeyoke_lib::routing::Predicted;
use snipeyoke_lib::routing::RoundRobin;
use snipeyoke_lib::routing::RouterLocation;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Bytes;
use snipeyoke_lib::units::Tokens;
use snipeyoke_runtime::clock::Clock;
use snipeyoke_runtime::config_store::ConfigStore;
use snipeyoke_runtime::http;
use snipeyoke_runtime::http::Bounds;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::listen::ListenError;
use snipeyoke_runtime::listen::bind_when_free;
use snipeyoke_runtime::platform::HttpHosts;
use snipeyoke_runtime::platform::HttpLog;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::threads::Execs;
use snipeyoke_runtime::watched::WatchedValue;
use snipeyoke_wire::Goodbye;
use snipeyoke_wire::Hello;
use snipeyoke_wire::NodeKind;
use snipeyoke_wire::frame::Body;

use crate::admission;
use crate::admission::Admission;
use crate::agents::Agents;
use crate::board::Board;
use crate::control::Control;
use crate::control::ControlPort;
use crate::drive::RequestResult;
use crate::follow;
use crate::ingress::Ingress;
use crate::members;
use crate::members::Members;
use crate::outcomes::Outcomes;
use crate::settings::PolicyName;
use crate::settings::Raw;
use crate::settings::Settings;
use crate::snapshots;
use crate::snapshots::LogState;

/// The version of the frame protocol between processes.
const PROTOCOL_VERSION: u32 = 1;

/// The time-out for connecting to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The time a leaving router still serves, so that balancers notice the drain.
///
/// A balancer that polls once a second polls twice within it. New requests are
/// rejected after it, so that they end within the 3 s guaranteed to operators.
const PRE_DRAIN_WAIT: Duration = Duration::from_secs(2);

/// The poll interval for the work that a drain waits for.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// The time that a router that leaves has at most.
const PREDECESSOR_GRACE: Duration = Duration::from_mins(1);

/// The reason why a router can't start.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum StartError {
    /// It can't listen at an address.
    #[display("{_0}")]
    Listen(ListenError),
}

/// The state shared by the tasks of a router.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: Raw,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) board: Board,
    /// The configuration as read and passed on to peers.
    pub(crate) book: ConfigStore,
    /// The state of the configuration topic when last read.
    pub(crate) log_state: WatchedValue<LogState>,
    pub(crate) agents: Agents,
    pub(crate) members: Members,
    pub(crate) admission: Admission,
    pub(crate) outcomes: Outcomes,
    pub(crate) control: Control,
    /// Requests in flight; the parent of their tasks.
    pub(crate) requests: Scope,
    /// Its reference count is the number of exchanges whose response is not yet
    /// sent, plus one for the router itself.
    pub(crate) exchanges: Arc<()>,
    /// All other tasks on the traffic threads.
    pub(crate) scope: Scope,
    shared: Mutex<Shared>,
    slots: Mutex<SlotMap>,
}

impl Node {
    /// Locks the state of routing decisions; hold it only for short steps.
    pub(crate) fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the map of key slots; hold it only for short steps.
    pub(crate) fn slots(&self) -> MutexGuard<'_, SlotMap> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the endpoint whose agent owns a key slot, if known.
    pub(crate) fn owner(&self, pool: &PoolName, slot: KeySlot) -> Option<EndpointId> {
        let slots = self.slots();
        slots.owner(pool, slot).map(|owner| owner.endpoint.clone())
    }

    /// Returns the number of requests or responses in flight, whichever is larger.
    pub(crate) fn in_flight(&self) -> usize {
        let sending = Arc::strong_count(&self.exchanges) - 1;
        self.requests.len().max(sending)
    }

    pub(crate) fn hello(&self) -> Hello {
        let own = &self.settings;
        Hello {
            protocol: PROTOCOL_VERSION,
            node: own.node.to_string(),
            kind: NodeKind::Router.into(),
            incarnation: self.incarnation.0,
            host: own.host.to_string(),
            domain: own.domain.to_string(),
            region: own.region.to_string(),
            address: own.listen.peers.to_string(),
            endpoint: String::new(),
            pool: String::new(),
        }
    }

    /// Records the end of an admitted request.
    pub(crate) fn on_request_end(&self, spec: &RequestSpec, result: &RequestResult) {
        let used = Tokens(result.prompt_tokens + result.output_tokens);
        self.admission.done(self.clock.now(), spec, used);
        self.on_outcome(spec, result);
    }

    /// Records the outcome of a request.
    pub(crate) fn on_outcome(&self, spec: &RequestSpec, result: &RequestResult) {
        let reason = result
            .reason
            .map_or_else(|| "-".to_owned(), |r| r.to_string());
        let outcome = result.outcome.to_string();
        metrics::counter!("snipeyoke_requests_total", "outcome" => outcome.clone(), "reason" => reason.clone()).increment(1);
        log::info!(target: "request", event = "request-ended", request = spec.request.to_string().as_str(), account = spec.account.as_str(), pipeline = spec.name.as_str(), outcome = outcome.as_str(), reason = reason.as_str(); "");
        self.outcomes
            .finish(spec.request, result.outcome, result.reason);
        let now = self.clock.now();
        self.control
            .records
            .finish(now, spec.request, result.outcome, result.reason);
    }
}

/// A running router.
#[derive(Debug)]
pub struct Router {
    node: Arc<Node>,
    callers: SocketAddr,
    operators: SocketAddr,
    control: Scope,
}

impl Router {
    /// Starts a router on the given executors, once its addresses are free.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if it can't listen at an address.
    pub async fn start(settings: Settings, execs: &Execs) -> Result<Self, StartError> {
        let raw = settings.raw;
        let listen = &raw.listen;
        let peers = bind_when_free(listen.peers, PREDECESSOR_GRACE).await?;
        let control_listener = bind_when_free(listen.control, PREDECESSOR_GRACE).await?;
        let caller_listener = bind_when_free(listen.callers, PREDECESSOR_GRACE).await?;
        let operators = bound_address(&control_listener, listen.control)?;
        let callers = bound_address(&caller_listener, listen.callers)?;
        let bounds = Bounds {
            head_timeout: Duration::from_millis(raw.bounds.head_ms),
            conns: raw.bounds.conns,
            memory: raw.bounds.memory_mb.map(|mb| Bytes(mb * 1_000_000)),
        };
        let (members, events) = Members::new();
        let node = Arc::new(build_node(raw, execs, members));
        node.scope.spawn(members::accept(Arc::clone(&node), peers));
        let client = Client::new(node.scope.clone(), CONNECT_TIMEOUT);
        let hosts = HttpHosts::new(client.clone(), node.settings.platform);
        let log: Arc<dyn LogStore> = Arc::new(HttpLog::new(client, node.settings.platform));
        let control = Scope::new(Arc::clone(&execs.control));
        control.spawn(members::run(Arc::clone(&node), events));
        control.spawn(members::poll_hosts(Arc::clone(&node), hosts));
        control.spawn(admission::run(Arc::clone(&node)));
        control.spawn(follow::run(Arc::clone(&node), Arc::clone(&log)));
        control.spawn(snapshots::run(Arc::clone(&node), Arc::clone(&log)));
        let port = Arc::new(ControlPort::new(Arc::clone(&node), log));
        // Operators need the port most while a router drains, so it stays open
        // until the router stops.
        let stop = node.board.stop.clone();
        let operator_conns = Scope::new(Arc::clone(&execs.control));
        control.spawn(http::serve(
            control_listener,
            port,
            bounds,
            operator_conns,
            stop,
        ));
        let ingress = Arc::new(Ingress::new(Arc::clone(&node)));
        let conns = Scope::new(Arc::clone(&execs.traffic));
        let drain = node.board.drain.clone();
        let callers_closed = node.board.callers_closed.clone();
        node.scope.spawn(http::serve_until(
            caller_listener,
            ingress,
            bounds,
            conns,
            drain,
            callers_closed,
        ));
        log::info!(event = "router-up", node = node.settings.node.as_str(), callers = callers.to_string().as_str(), incarnation = node.incarnation.0; "");
        Ok(Self {
            node,
            callers,
            operators,
            control,
        })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address that operators connect to.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the number of agents that have reported to this router.
    #[must_use]
    pub fn reported_agents(&self) -> usize {
        self.node.agents.reported_count()
    }

    /// Waits until the platform's host list marks this host as leaving.
    pub async fn leave_requested(&self) {
        self.node.board.host_leaving.wait().await;
    }

    /// Drains as on SIGTERM.
    pub async fn leave(&self) {
        self.drain(Source::Signal).await;
    }

    /// Drains: reports not ready, rejects new requests, finishes the running
    /// ones, and stops.
    ///
    /// It serves for `PRE_DRAIN_WAIT` with `/readyz` failing, so that the
    /// platform's balancer sends requests elsewhere before the first rejection.
    pub async fn drain(&self, source: Source) {
        let board = &self.node.board;
        board.pre_drain.set();
        log::info!(event = "drain-begins", source = source.to_string().as_str(), requests = self.node.requests.len(); "");
        Timer::after(PRE_DRAIN_WAIT).await;
        let mut drain = Drain::new(DrainSettings::default());
        let mut actions = drain.begin(self.node.clock.now(), source, true);
        while drain.phase() != Phase::Done {
            self.execute(&actions);
            Timer::after(DRAIN_POLL).await;
            let held = DrainBlockers {
                calls: self.node.in_flight(),
                ..DrainBlockers::default()
            };
            actions = drain.update(self.node.clock.now(), held);
        }
        self.execute(&actions);
        self.stop().await;
    }

    fn execute(&self, actions: &[DrainAction]) {
        for action in actions {
            match action {
                DrainAction::Stop => self.node.board.drain.set(),
                DrainAction::Goodbye => {
                    let incarnation = self.node.incarnation.0;
                    let reason = "drain".to_owned();
                    let goodbye = Goodbye {
                        incarnation,
                        reason,
                    };
                    self.node.members.broadcast(&Body::Goodbye(goodbye));
                }
                DrainAction::Report { held, overdue } => {
                    log::warn!(event = "drain-held", held = held.to_string().as_str(), overdue = overdue; "");
                }
                // A router holds no lease, and its requests end at their own
                // deadlines. The caller of this function exits.
                DrainAction::Move
                | DrainAction::HandOver
                | DrainAction::Resume
                | DrainAction::Exit => {}
            }
        }
    }

    /// Stops at once and aborts running requests.
    pub async fn stop(&self) {
        self.node.board.pre_drain.set();
        self.node.board.drain.set();
        self.node.board.callers_closed.set();
        self.node.board.stop.set();
        self.control.cancel_after_grace().await;
        self.node.scope.cancel_after_grace().await;
        self.node.requests.cancel().await;
        log::info!(event = "router-down", node = self.node.settings.node.as_str(); "");
    }
}

/// Returns the address of a listener, whose port the system may have chosen.
fn bound_address(
    listener: &Async<TcpListener>,
    address: SocketAddr,
) -> Result<SocketAddr, ListenError> {
    let bound = listener.get_ref().local_addr();
    bound.map_err(|source| ListenError { address, source })
}

fn build_node(raw: Raw, execs: &Execs, members: Members) -> Node {
    let location = RouterLocation {
        domain: raw.domain.clone(),
        region: raw.region.clone(),
    };
    let policy: Box<dyn Policy> = match raw.policy {
        PolicyName::Predicted => Box::new(Predicted),
        PolicyName::RoundRobin => Box::new(RoundRobin::default()),
        PolicyName::LeastOutstanding => Box::new(LeastOutstanding),
    };
    let incarnation = Incarnation(Clock::wall().as_millis());
    Node {
        incarnation,
        clock: Clock::start(),
        board: Board::new(),
        book: ConfigStore::default(),
        log_state: WatchedValue::new(LogState::default()),
        agents: Agents::default(),
        members,
        admission: Admission::new(Time::ZERO, raw.routers.len() + 1),
        outcomes: Outcomes::default(),
        control: Control::default(),
        requests: Scope::new(Arc::clone(&execs.traffic)),
        exchanges: Arc::default(),
        scope: Scope::new(Arc::clone(&execs.traffic)),
        shared: Mutex::new(Shared::new(location, policy, incarnation.0)),
        slots: Mutex::default(),
        settings: raw,
    }
}

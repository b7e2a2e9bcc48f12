//! The router as a whole: what it shares, how it starts and leaves.

use std::io;
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
use snipeyoke_lib::chain::RequestSpec;
use snipeyoke_lib::chain::Shared;
use snipeyoke_lib::drain::Drain;
use snipeyoke_lib::drain::DrainAction;
use snipeyoke_lib::drain::DrainSettings;
use snipeyoke_lib::drain::Held;
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
use snipeyoke_lib::units::Tokens;
use snipeyoke_runtime::clock::Clock;
use snipeyoke_runtime::config_store::ConfigStore;
use snipeyoke_runtime::http;
use snipeyoke_runtime::http::Bounds;
use snipeyoke_runtime::http::Client;
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
use crate::control::Port;
use crate::door::Door;
use crate::drive::Finish;
use crate::follow;
use crate::members;
use crate::members::Members;
use crate::outcomes::Outcomes;
use crate::settings::PolicyName;
use crate::settings::Raw;
use crate::settings::Settings;
use crate::snapshots;
use crate::snapshots::Seen;

/// The version of the frames between processes.
const PROTOCOL: u32 = 1;

/// The longest time to connect to the platform.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// How long a leaving router still serves, for balancers to see it.
///
/// With the refusals after it, new work ends within the 3 s that operators are
/// promised, and a balancer that looks once a second has looked twice.
const ASIDE: Duration = Duration::from_secs(2);

/// The pause between two looks at what a drain still waits for.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// The reason why a router can't start.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum StartError {
    /// An address to listen on can't be bound.
    #[display("can't listen on {address}: {source}; free the address or change `listen`")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
}

/// What the tasks of a router share.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: Raw,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) board: Board,
    /// The configuration as it is read and passed on.
    pub(crate) book: ConfigStore,
    /// What was last read of the configuration's topic.
    pub(crate) log_seen: WatchedValue<Seen>,
    pub(crate) agents: Agents,
    pub(crate) members: Members,
    pub(crate) admission: Admission,
    pub(crate) outcomes: Outcomes,
    pub(crate) control: Control,
    /// Requests in flight; the parent of their tasks.
    pub(crate) requests: Scope,
    /// Counted once for each exchange whose answer is not yet sent, besides
    /// the router's own.
    pub(crate) exchanges: Arc<()>,
    /// Everything else on the traffic threads.
    pub(crate) scope: Scope,
    shared: Mutex<Shared>,
    slots: Mutex<SlotMap>,
}

impl Node {
    /// Locks the state behind the decisions, for one short step.
    pub(crate) fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the map of key slots, for one short step.
    pub(crate) fn slots(&self) -> MutexGuard<'_, SlotMap> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the endpoint whose agent owns a key slot, as far as known.
    pub(crate) fn owner(&self, pool: &PoolName, slot: KeySlot) -> Option<EndpointId> {
        let slots = self.slots();
        slots.owner(pool, slot).map(|owner| owner.endpoint.clone())
    }

    /// Returns the requests that run, and the answers still being sent.
    pub(crate) fn in_flight(&self) -> usize {
        let sending = Arc::strong_count(&self.exchanges) - 1;
        self.requests.len().max(sending)
    }

    pub(crate) fn hello(&self) -> Hello {
        let own = &self.settings;
        Hello {
            protocol: PROTOCOL,
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

    /// Notes the end of a request that was taken on.
    pub(crate) fn ended(&self, spec: &RequestSpec, finish: &Finish) {
        let used = Tokens(finish.prompt_tokens + finish.output_tokens);
        self.admission.done(self.clock.now(), spec, used);
        self.settled(spec, finish);
    }

    /// Notes the outcome of a request.
    pub(crate) fn settled(&self, spec: &RequestSpec, finish: &Finish) {
        let reason = finish
            .reason
            .map_or_else(|| "-".to_owned(), |r| r.to_string());
        let outcome = finish.outcome.to_string();
        metrics::counter!("snipeyoke_requests_total", "outcome" => outcome.clone(), "reason" => reason.clone()).increment(1);
        log::info!(target: "request", event = "request-ended", request = spec.request.to_string().as_str(), account = spec.account.as_str(), pipeline = spec.name.as_str(), outcome = outcome.as_str(), reason = reason.as_str(); "");
        self.outcomes
            .note(spec.request, finish.outcome, finish.reason);
        let now = self.clock.now();
        self.control
            .records
            .finish(now, spec.request, finish.outcome, finish.reason);
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
    /// Starts a router on the given executors.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if an address can't be bound.
    pub fn start(settings: Settings, execs: &Execs) -> Result<Self, StartError> {
        let raw = settings.raw;
        let (listener, callers) = listen(raw.listen.callers)?;
        let (operators, control_at) = listen(raw.listen.control)?;
        let bounds = Bounds {
            head_timeout: Duration::from_millis(raw.bounds.head_ms),
            conns: raw.bounds.conns,
        };
        let address = raw.listen.peers;
        let wrap = |source| StartError::Listen { address, source };
        let peers = http::bind(address).map_err(wrap)?;
        let (members, events) = Members::new();
        let node = Arc::new(node(raw, execs, members));
        node.scope.spawn(members::accept(Arc::clone(&node), peers));
        let client = Client::new(node.scope.clone(), CONNECT_LIMIT);
        let hosts = HttpHosts::new(client.clone(), node.settings.platform);
        let log: Arc<dyn LogStore> = Arc::new(HttpLog::new(client, node.settings.platform));
        let control = Scope::new(Arc::clone(&execs.control));
        control.spawn(members::run(Arc::clone(&node), events));
        control.spawn(members::follow_hosts(Arc::clone(&node), hosts));
        control.spawn(admission::run(Arc::clone(&node)));
        control.spawn(follow::run(Arc::clone(&node), Arc::clone(&log)));
        control.spawn(snapshots::run(Arc::clone(&node), Arc::clone(&log)));
        let port = Arc::new(Port::new(Arc::clone(&node), log));
        // Operators look most of all while a router drains, so their port stays
        // open until it stops.
        let stop = node.board.stop.clone();
        let asked = Scope::new(Arc::clone(&execs.control));
        control.spawn(http::serve(operators, port, bounds, asked, stop));
        let door = Arc::new(Door::new(Arc::clone(&node)));
        let conns = Scope::new(Arc::clone(&execs.traffic));
        let drain = node.board.drain.clone();
        let end = node.board.end.clone();
        node.scope
            .spawn(http::serve_until(listener, door, bounds, conns, drain, end));
        log::info!(event = "router-up", node = node.settings.node.as_str(), callers = callers.to_string().as_str(), incarnation = node.incarnation.0; "");
        Ok(Self {
            node,
            callers,
            operators: control_at,
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
    pub fn linked(&self) -> usize {
        self.node.agents.reported()
    }

    /// Waits until the platform's host list says that this host leaves.
    pub async fn leave_requested(&self) {
        self.node.board.leave.wait().await;
    }

    /// Drains as at SIGTERM.
    pub async fn leave(&self) {
        self.drain(Source::Signal).await;
    }

    /// Drains: steps aside, takes nothing new, finishes what runs, and ends.
    ///
    /// For `ASIDE` it still serves while `/readyz` says no, so that the
    /// platform's balancer has gone elsewhere before the first refusal.
    pub async fn drain(&self, source: Source) {
        let board = &self.node.board;
        board.aside.set();
        log::info!(event = "drain-begins", source = source.to_string().as_str(), requests = self.node.requests.len(); "");
        Timer::after(ASIDE).await;
        let mut drain = Drain::new(DrainSettings::default());
        let mut actions = drain.begin(self.node.clock.now(), source, true);
        while drain.phase() != Phase::Done {
            self.carry(&actions);
            Timer::after(DRAIN_LOOK).await;
            let held = Held {
                calls: self.node.in_flight(),
                ..Held::default()
            };
            actions = drain.update(self.node.clock.now(), held);
        }
        self.carry(&actions);
        self.stop().await;
    }

    fn carry(&self, actions: &[DrainAction]) {
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
                // A router holds no lease, and its requests end by their own
                // deadlines; leaving is the caller's next step.
                DrainAction::Move
                | DrainAction::HandOver
                | DrainAction::Resume
                | DrainAction::Exit => {}
            }
        }
    }

    /// Stops at once, cutting off what runs.
    pub async fn stop(&self) {
        self.node.board.aside.set();
        self.node.board.drain.set();
        self.node.board.end.set();
        self.node.board.stop.set();
        self.control.cancel_after_grace().await;
        self.node.scope.cancel_after_grace().await;
        self.node.requests.cancel().await;
        log::info!(event = "router-down", node = self.node.settings.node.as_str(); "");
    }
}

fn listen(address: SocketAddr) -> Result<(Async<TcpListener>, SocketAddr), StartError> {
    let wrap = |source| StartError::Listen { address, source };
    let listener = http::bind(address).map_err(wrap)?;
    let bound = listener.get_ref().local_addr().map_err(wrap)?;
    Ok((listener, bound))
}

fn node(raw: Raw, execs: &Execs, members: Members) -> Node {
    let home = RouterLocation {
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
        log_seen: WatchedValue::new(Seen::default()),
        agents: Agents::default(),
        members,
        admission: Admission::new(Time::ZERO, raw.routers.len() + 1),
        outcomes: Outcomes::default(),
        control: Control::default(),
        requests: Scope::new(Arc::clone(&execs.traffic)),
        exchanges: Arc::default(),
        scope: Scope::new(Arc::clone(&execs.traffic)),
        shared: Mutex::new(Shared::new(home, policy, incarnation.0)),
        slots: Mutex::default(),
        settings: raw,
    }
}

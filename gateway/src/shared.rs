//! The shared state of a gateway, written by controllers and read by traffic.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use event_listener::Event;
use hyper::header::HeaderName;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::serving::budget::SharedBudget;
use snipeyoke_lib::serving::catalog::Catalog;
use snipeyoke_lib::serving::catch_up::CatchUp;
use snipeyoke_lib::serving::catch_up::ConfigMark;
use snipeyoke_lib::serving::crashes::CrashTracker;
use snipeyoke_lib::serving::directory::Directory;
use snipeyoke_lib::serving::durations::Durations;
use snipeyoke_lib::serving::first_event::FirstEventTimes;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::serving::position::Era;
use snipeyoke_lib::serving::position::EraChange;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::position::Returns;
use snipeyoke_lib::serving::registry_polling::RegistryPolling;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::serving::replica::Replica;
use snipeyoke_lib::serving::shutdown::Shutdown;
use snipeyoke_lib::serving::stream_origins::StreamOrigins;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::clock::Clock;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::threads::Exec;
use snipeyoke_runtime::watched::WatchedValue;

use crate::dialect::Dialect;
use crate::dispatch::Dispatcher;
use crate::kept_connections::ConnectionPool;
use crate::registry::Registry;
use crate::registry::Topic;
use crate::settings::Settings;

/// How long a node waits after its start to hear from a peer.
///
/// Nodes that start together find each other within a second.
const PEERS_WAIT: Duration = Duration::from_millis(1_500);

/// How long a node waits after its start for the list of peers.
///
/// The registry responds within milliseconds, unless it is down.
const PEER_LIST_WAIT: Duration = Duration::from_millis(400);

/// The maximum number of unknown headers that are reported.
///
/// Endpoints choose the names; without a bound they could fill memory and logs.
const UNREAD_HEADERS_MAX: usize = 64;

/// The state that the tasks of a node share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) settings: Settings,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) registry: Arc<dyn Registry>,
    pub(crate) traffic: Exec,
    pub(crate) dispatcher: Dispatcher,
    /// The configuration in force; `None` until one is known.
    pub(crate) catalog: WatchedValue<Option<Arc<Catalog>>>,
    /// Notifies tasks that wait for an endpoint.
    pub(crate) endpoints_changed: Event,
    /// Notifies requests in progress that something else is quarantined.
    pub(crate) quarantines_changed: Event,
    /// Notifies that the registry responds again after an outage.
    pub(crate) registry_regained: Event,
    /// Notifies that the registry came back from a copy.
    pub(crate) registry_returned: Event,
    /// Whether the endpoints have to be listed again.
    pub(crate) must_relist: AtomicBool,
    /// Notifies that the replica of the configuration has grown.
    pub(crate) config_grown: Event,
    /// Notifies that a peer has a newer configuration than this node.
    pub(crate) config_behind: Event,
    /// Set once a list of peers has been read.
    pub(crate) peers_listed: Flag,
    /// Set once the load balancer is to stop sending requests to this node.
    pub(crate) out_of_rotation: Flag,
    /// Set once idle connections of callers are to be closed.
    pub(crate) drain: Flag,
    /// Set once no new requests are served.
    pub(crate) stop_accepting: Flag,
    /// Set once requests without a response are given up.
    pub(crate) given_up: Flag,
    /// Set when the shutdown begins.
    pub(crate) shutdown: OnceLock<Shutdown>,
    /// The idle connections to endpoints.
    pub(crate) connections: ConnectionPool,
    directory: Mutex<Directory>,
    budget: Mutex<SharedBudget>,
    owners: Mutex<Owners>,
    paces: Mutex<FirstEventTimes>,
    durations: Mutex<Durations>,
    replicas: Mutex<Replicas>,
    catch_up: Mutex<CatchUp>,
    crashes: Mutex<CrashTracker>,
    polling: Mutex<RegistryPolling>,
    origins: Mutex<StreamOrigins>,
    returns: Mutex<Returns>,
    /// The unknown headers of endpoints that have been reported.
    unread_headers: Mutex<BTreeSet<String>>,
}

/// The replicas of the registry's topics.
#[derive(Debug, Default)]
pub(crate) struct Replicas {
    pub(crate) config: Replica,
    pub(crate) endpoints: Replica,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        registry: Arc<dyn Registry>,
        traffic: Exec,
        dispatcher: Dispatcher,
    ) -> Self {
        Self {
            clock: Clock::start(),
            directory: Mutex::new(Directory::new(settings.regions.clone())),
            budget: Mutex::new(SharedBudget::new(settings.retries)),
            owners: Mutex::new(Owners::new(settings.listen.peers, settings.power)),
            connections: ConnectionPool::default(),
            paces: Mutex::default(),
            crashes: Mutex::default(),
            unread_headers: Mutex::default(),
            durations: Mutex::default(),
            replicas: Mutex::default(),
            polling: Mutex::new(RegistryPolling::new(settings.change, settings.notice)),
            catch_up: Mutex::new(CatchUp::new(settings.listen.peers)),
            origins: Mutex::default(),
            returns: Mutex::default(),
            catalog: WatchedValue::new(None),
            endpoints_changed: Event::new(),
            quarantines_changed: Event::new(),
            registry_regained: Event::new(),
            registry_returned: Event::new(),
            must_relist: AtomicBool::new(false),
            config_grown: Event::new(),
            config_behind: Event::new(),
            peers_listed: Flag::default(),
            out_of_rotation: Flag::default(),
            drain: Flag::default(),
            stop_accepting: Flag::default(),
            given_up: Flag::default(),
            shutdown: OnceLock::new(),
            settings,
            dialect,
            registry,
            traffic,
            dispatcher,
        }
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn directory(&self) -> MutexGuard<'_, Directory> {
        lock(&self.directory)
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, SharedBudget> {
        lock(&self.budget)
    }

    pub(crate) fn owners(&self) -> MutexGuard<'_, Owners> {
        lock(&self.owners)
    }

    pub(crate) fn paces(&self) -> MutexGuard<'_, FirstEventTimes> {
        lock(&self.paces)
    }

    pub(crate) fn durations(&self) -> MutexGuard<'_, Durations> {
        lock(&self.durations)
    }

    pub(crate) fn replicas(&self) -> MutexGuard<'_, Replicas> {
        lock(&self.replicas)
    }

    pub(crate) fn catch_up(&self) -> MutexGuard<'_, CatchUp> {
        lock(&self.catch_up)
    }

    pub(crate) fn crashes(&self) -> MutexGuard<'_, CrashTracker> {
        lock(&self.crashes)
    }

    pub(crate) fn origins(&self) -> MutexGuard<'_, StreamOrigins> {
        lock(&self.origins)
    }

    pub(crate) fn returns(&self) -> MutexGuard<'_, Returns> {
        lock(&self.returns)
    }

    pub(crate) fn registry_polling(&self) -> MutexGuard<'_, RegistryPolling> {
        lock(&self.polling)
    }

    /// Reports each header of an endpoint's response that is not read, once.
    pub(crate) fn report_unread(&self, endpoint: &EndpointId, names: &[HeaderName]) {
        for name in names {
            let mut reported = lock(&self.unread_headers);
            if reported.len() < UNREAD_HEADERS_MAX && reported.insert(name.to_string()) {
                log::warn!(event = "header-unread", name = name.as_str(), endpoint = endpoint.to_string().as_str(), remedy = "look it up in the protocol of the endpoints; it is relayed as it is"; "");
                metrics::counter!("snipeyoke_unread_headers_total", "name" => name.to_string())
                    .increment(1);
            }
        }
    }

    /// Returns whether this node currently reads the registry for all nodes.
    pub(crate) fn is_reader(&self) -> bool {
        let now = self.now();
        // Lock order: `polling` before `owners`.
        let mut polling = self.registry_polling();
        polling.is_reader(now, &mut self.owners())
    }

    /// Handles the era of the registry that a response or a peer names.
    pub(crate) fn on_era(&self, era: Era, source: &str) {
        let Some(change) = self.returns().on_era(self.now(), era) else {
            return;
        };
        match change {
            EraChange::Returned { previous } => {
                let replicas = self.replicas();
                let config = replicas.config.next().to_string();
                let endpoints = replicas.endpoints.next().to_string();
                drop(replicas);
                log::warn!(event = "registry-returned", era = era.0, previous = previous.0, config = config.as_str(), endpoints = endpoints.as_str(), source, remedy = "what was written since the registry's copy is written again; see registry-settled"; "");
                metrics::counter!("snipeyoke_registry_returns_total").increment(1);
                self.dispatcher.registry_returned();
                self.registry_returned.notify(usize::MAX);
            }
            EraChange::Lower { known } => {
                log::warn!(event = "registry-era-lower", era = era.0, known = known.0, source, remedy = "check whether this is the same registry; a restart of all nodes starts with its era"; "");
            }
        }
    }

    /// Returns what this node has of the configuration.
    pub(crate) fn config_mark(&self) -> ConfigMark {
        let replicas = self.replicas();
        ConfigMark {
            next: replicas.config.next(),
            rank: replicas.config.rank(),
        }
    }

    /// Handles a replica of the endpoints that differs from a peer's.
    pub(crate) fn on_endpoints_differ(&self) {
        // Nodes know different parts of what the registry has lost.
        if self.returns().is_unsettled(self.now()) {
            return;
        }
        if self.registry_polling().on_mismatch(self.now()) {
            self.must_relist.store(true, Ordering::Relaxed);
            self.registry_regained.notify(usize::MAX);
        }
    }

    /// Handles a peer's report of what it has of the configuration.
    ///
    /// `size` is the size of its configuration in bytes.
    pub(crate) fn on_peer_config(&self, node: SocketAddr, mark: ConfigMark, size: u64) {
        if mark.next.era.0 > 0 {
            self.on_era(mark.next.era, &node.to_string());
        }
        if self.catch_up().on_peer_mark(self.now(), node, mark, size) {
            log::info!(event = "config-behind", node = node.to_string().as_str(), next = mark.next.to_string().as_str(), version = mark.rank.unwrap_or_default().major; "");
            self.config_behind.notify(usize::MAX);
        }
    }

    /// Returns the position from which to read a topic next.
    pub(crate) fn next_position(&self, topic: Topic) -> Position {
        match topic {
            Topic::Config => self.replicas().config.next(),
            Topic::Endpoints | Topic::Nodes => self.replicas().endpoints.next(),
        }
    }

    /// Returns whether to request all endpoints from a peer.
    pub(crate) fn lacks_endpoints(&self) -> bool {
        self.registry_polling()
            .is_registry_unreachable(self.now(), ReplicaKind::Endpoints)
    }

    /// Returns whether the node can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        let has_state = self.catalog.get().is_some() && self.has_met_peers();
        has_state && self.directory().iter().next().is_some() && !self.out_of_rotation.is_set()
    }

    /// Returns whether this node can determine the owner of a service.
    ///
    /// A node that has just started may know only some of its peers. Nodes that
    /// start together would each pick another owner, and the owners would make
    /// conflicting calls.
    pub(crate) fn knows_owners(&self) -> bool {
        self.peers_listed.is_set() || self.now().since(Time::ZERO) > PEER_LIST_WAIT
    }

    /// Returns whether the node has heard from a peer, or waited long enough.
    ///
    /// A node without known peers considers itself the owner of every service,
    /// and its calls conflict with those of the real owners.
    fn has_met_peers(&self) -> bool {
        let waited = self.now().since(Time::ZERO) > PEERS_WAIT;
        waited || self.owners().has_heard()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // The panic that poisoned the lock has been logged. The state is only
    // counters and replicas, which stay usable.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! The blackboard of a gateway: what controllers write and traffic reads.

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
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::serving::budget::SharedBudget;
use snipeyoke_lib::serving::catalog::Catalog;
use snipeyoke_lib::serving::catch_up::CatchUp;
use snipeyoke_lib::serving::crashes::Crashes;
use snipeyoke_lib::serving::directory::Directory;
use snipeyoke_lib::serving::durations::Durations;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::serving::pace::Paces;
use snipeyoke_lib::serving::replica::Replica;
use snipeyoke_lib::serving::stopping::Stop;
use snipeyoke_lib::serving::upkeep::Kept;
use snipeyoke_lib::serving::upkeep::Upkeep;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::board::Fact;
use snipeyoke_runtime::clock::Clock;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::threads::Exec;

use crate::dialect::Dialect;
use crate::dispatch::Dispatcher;
use crate::registry::Registry;
use crate::registry::Topic;
use crate::settings::Settings;

/// How long a node waits at its start to hear from another one.
///
/// Nodes that start together find each other within a second.
const PEERS_WAIT: Duration = Duration::from_millis(1_500);

/// How long a node waits at its start for the list of the others.
///
/// The registry answers in milliseconds, unless it is away.
const PEER_LIST_WAIT: Duration = Duration::from_millis(400);

/// What one node knows and shares among its tasks.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) settings: Settings,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) registry: Arc<dyn Registry>,
    pub(crate) traffic: Exec,
    pub(crate) dispatcher: Dispatcher,
    /// The configuration in force; `None` until one is known.
    pub(crate) catalog: Fact<Option<Arc<Catalog>>>,
    /// Wakes those who wait for an endpoint.
    pub(crate) endpoints_changed: Event,
    /// Tells that the registry answers again after it did not.
    pub(crate) registry_regained: Event,
    /// Whether the endpoints have to be listed anew.
    pub(crate) must_relist: AtomicBool,
    /// Tells that the copy of the configuration has grown.
    pub(crate) config_grown: Event,
    /// Tells that this node has learned that it lacks a configuration.
    pub(crate) config_behind: Event,
    /// Set once the other nodes are known from a list.
    pub(crate) peers_listed: Flag,
    /// Set once the balancer is asked to pass this node over.
    pub(crate) out_of_rotation: Flag,
    /// Set once callers' idle connections are closed.
    pub(crate) drain: Flag,
    /// Set once nothing new is answered.
    pub(crate) stop_accepting: Flag,
    /// Set once requests that wait for an answer are given up.
    pub(crate) given_up: Flag,
    /// Set when the node begins to leave.
    pub(crate) shutdown: OnceLock<Stop>,
    directory: Mutex<Directory>,
    budget: Mutex<SharedBudget>,
    owners: Mutex<Owners>,
    paces: Mutex<Paces>,
    durations: Mutex<Durations>,
    replicas: Mutex<Replicas>,
    catch_up: Mutex<CatchUp>,
    crashes: Mutex<Crashes>,
    polling: Mutex<Upkeep>,
}

/// The copies of the registry's topics.
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
            directory: Mutex::default(),
            budget: Mutex::new(SharedBudget::new(settings.retries)),
            owners: Mutex::new(Owners::new(settings.listen.peers, settings.power)),
            paces: Mutex::default(),
            crashes: Mutex::default(),
            durations: Mutex::default(),
            replicas: Mutex::default(),
            polling: Mutex::new(Upkeep::new(settings.change, settings.notice)),
            catch_up: Mutex::new(CatchUp::new(settings.listen.peers)),
            catalog: Fact::new(None),
            endpoints_changed: Event::new(),
            registry_regained: Event::new(),
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

    pub(crate) fn paces(&self) -> MutexGuard<'_, Paces> {
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

    pub(crate) fn crashes(&self) -> MutexGuard<'_, Crashes> {
        lock(&self.crashes)
    }

    pub(crate) fn registry_polling(&self) -> MutexGuard<'_, Upkeep> {
        lock(&self.polling)
    }

    /// Tells whether this node reads the registry for others now.
    pub(crate) fn is_reader(&self) -> bool {
        let now = self.now();
        // The order of these two locks is the same everywhere.
        let mut polling = self.registry_polling();
        polling.is_first(now, &mut self.owners())
    }

    /// Takes in that copies of the endpoints differ from another node's.
    pub(crate) fn on_endpoints_differ(&self) {
        if self.registry_polling().differs(self.now()) {
            self.must_relist.store(true, Ordering::Relaxed);
            self.registry_regained.notify(usize::MAX);
        }
    }

    /// Takes in up to where a neighbour has the configuration.
    ///
    /// `size` are the bytes of its configuration.
    pub(crate) fn on_peer_config(&self, node: SocketAddr, next: Offset, size: u64) {
        if self.catch_up().told(self.now(), node, next, size) {
            log::info!(event = "config-behind", node = node.to_string().as_str(), next = next.0; "");
            self.config_behind.notify(usize::MAX);
        }
    }

    /// Returns the offset from which a topic is read on.
    pub(crate) fn next_offset(&self, topic: Topic) -> Offset {
        match topic {
            Topic::Config => self.replicas().config.next(),
            Topic::Endpoints | Topic::Nodes => self.replicas().endpoints.next(),
        }
    }

    /// Tells whether the endpoints are to be asked of a neighbour, all of them.
    pub(crate) fn lacks_endpoints(&self) -> bool {
        self.registry_polling()
            .is_cut_off(self.now(), Kept::Endpoints)
    }

    /// Tells whether the node can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        let has_state = self.catalog.get().is_some() && self.has_met_peers();
        has_state && self.directory().iter().next().is_some() && !self.out_of_rotation.is_set()
    }

    /// Tells whether this node can tell which node owns a service.
    ///
    /// One that has just started may know a few of the others. Nodes that start
    /// together would each take another one for the owner, and the owners' calls
    /// would get in each other's way.
    pub(crate) fn knows_owners(&self) -> bool {
        self.peers_listed.is_set() || self.now().since(Time::ZERO) > PEER_LIST_WAIT
    }

    /// Tells whether the node has heard of the others, or waited for it.
    ///
    /// A node that knows no other takes itself for the owner of every service,
    /// and its calls get in the way of the real owners' calls.
    fn has_met_peers(&self) -> bool {
        let waited = self.now().since(Time::ZERO) > PEERS_WAIT;
        waited || self.owners().has_heard()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic while the lock was held has been logged; the state behind it is
    // only counters and copies, which stay usable.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

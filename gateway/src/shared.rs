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
use snipeyoke_lib::serving::crashes::CrashTracker;
use snipeyoke_lib::serving::directory::Directory;
use snipeyoke_lib::serving::durations::Durations;
use snipeyoke_lib::serving::first_event::FirstEventTimes;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::serving::registry_polling::RegistryPolling;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::serving::replica::Replica;
use snipeyoke_lib::serving::shutdown::Shutdown;
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
const MEET_MAX: Duration = Duration::from_millis(1_500);

/// How long a node waits at its start for the list of the others.
///
/// The registry answers in milliseconds, unless it is away.
const LISTED_MAX: Duration = Duration::from_millis(400);

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
    pub(crate) changed: Event,
    /// Tells that the registry answers again after it did not.
    pub(crate) regained: Event,
    /// Whether the endpoints have to be listed anew.
    pub(crate) differs: AtomicBool,
    /// Tells that the copy of the configuration has grown.
    pub(crate) grown: Event,
    /// Tells that this node has learned that it lacks a configuration.
    pub(crate) behind: Event,
    /// Set once the other nodes are known from a list.
    pub(crate) listed: Flag,
    /// Set once the balancer is asked to pass this node over.
    pub(crate) out_of_rotation: Flag,
    /// Set once callers' idle connections are closed.
    pub(crate) drain: Flag,
    /// Set once nothing new is answered.
    pub(crate) end: Flag,
    /// Set once requests that wait for an answer are given up.
    pub(crate) overtime: Flag,
    /// Set when the node begins to leave.
    pub(crate) stop: OnceLock<Shutdown>,
    directory: Mutex<Directory>,
    budget: Mutex<SharedBudget>,
    owners: Mutex<Owners>,
    paces: Mutex<FirstEventTimes>,
    durations: Mutex<Durations>,
    replicas: Mutex<Replicas>,
    catch_up: Mutex<CatchUp>,
    crashes: Mutex<CrashTracker>,
    upkeep: Mutex<RegistryPolling>,
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
            upkeep: Mutex::new(RegistryPolling::new(settings.change, settings.notice)),
            catch_up: Mutex::new(CatchUp::new(settings.listen.peers)),
            catalog: Fact::new(None),
            changed: Event::new(),
            regained: Event::new(),
            differs: AtomicBool::new(false),
            grown: Event::new(),
            behind: Event::new(),
            listed: Flag::default(),
            out_of_rotation: Flag::default(),
            drain: Flag::default(),
            end: Flag::default(),
            overtime: Flag::default(),
            stop: OnceLock::new(),
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

    pub(crate) fn registry_polling(&self) -> MutexGuard<'_, RegistryPolling> {
        lock(&self.upkeep)
    }

    /// Tells whether this node reads the registry for others now.
    pub(crate) fn is_reader(&self) -> bool {
        let now = self.now();
        // The order of these two locks is the same everywhere.
        let mut upkeep = self.registry_polling();
        upkeep.is_reader(now, &mut self.owners())
    }

    /// Takes in that copies of the endpoints differ from another node's.
    pub(crate) fn on_endpoints_differ(&self) {
        if self.registry_polling().on_mismatch(self.now()) {
            self.differs.store(true, Ordering::Relaxed);
            self.regained.notify(usize::MAX);
        }
    }

    /// Takes in up to where a neighbour has the configuration.
    ///
    /// `size` are the bytes of its configuration.
    pub(crate) fn on_peer_config(&self, node: SocketAddr, next: Offset, size: u64) {
        if self.catch_up().on_peer_offset(self.now(), node, next, size) {
            log::info!(event = "config-behind", node = node.to_string().as_str(), next = next.0; "");
            self.behind.notify(usize::MAX);
        }
    }

    /// Returns the offset from which a topic is read on.
    pub(crate) fn next_of(&self, topic: Topic) -> Offset {
        match topic {
            Topic::Config => self.replicas().config.next(),
            Topic::Endpoints | Topic::Nodes => self.replicas().endpoints.next(),
        }
    }

    /// Tells whether the endpoints are to be asked of a neighbour, all of them.
    pub(crate) fn lacks_endpoints(&self) -> bool {
        self.registry_polling()
            .is_registry_unreachable(self.now(), ReplicaKind::Endpoints)
    }

    /// Tells whether the node can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        let knows = self.catalog.get().is_some() && self.has_met();
        knows && self.directory().iter().next().is_some() && !self.out_of_rotation.is_set()
    }

    /// Tells whether this node can tell which node owns a service.
    ///
    /// One that has just started may know a few of the others. Nodes that start
    /// together would each take another one for the owner, and the owners' calls
    /// would get in each other's way.
    pub(crate) fn knows_owners(&self) -> bool {
        self.listed.is_set() || self.now().since(Time::ZERO) > LISTED_MAX
    }

    /// Tells whether the node has heard of the others, or waited for it.
    ///
    /// A node that knows no other takes itself for the owner of every service,
    /// and its calls get in the way of the real owners' calls.
    fn has_met(&self) -> bool {
        let waited = self.now().since(Time::ZERO) > MEET_MAX;
        waited || self.owners().has_heard()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic while the lock was held has been logged; the state behind it is
    // only counters and copies, which stay usable.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

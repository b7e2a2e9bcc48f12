//! A whole gateway: its tasks, and the way it leaves.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use derive_more::Display;
use derive_more::Error;
use futures_lite::FutureExt;
use futures_lite::future;
use rapidhash::v3::rapidhash_v3;
use snipeyoke_lib::serving::shutdown::Shutdown;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::http;
use snipeyoke_runtime::http::Bounds;
use snipeyoke_runtime::http::Handler;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::threads::Execs;

use crate::changes;
use crate::dialect::Dialect;
use crate::dispatch;
use crate::dispatch::Dispatcher;
use crate::door::Door;
use crate::follow;
use crate::ready::Metrics;
use crate::ready::Readiness;
use crate::registry::Registry;
use crate::settings::Settings;
use crate::shared::Shared;

/// How long a leaving node still takes new streams, and keeps idle connections.
///
/// A balancer that asks once a second and wants two misses has passed the node
/// over after two seconds at most, and its last connections have come.
const ASIDE: Duration = Duration::from_millis(2_300);

/// The part of the grace after which requests without an answer are given up.
///
/// Answers that come later than this would be cut; what is left is ample for
/// the last refusals to leave, also on a host with a tenth of a core.
const ANSWERED_BY: f64 = 0.86;

/// The part of the grace after which answers under way are cut.
///
/// A clean end before SIGKILL closes every connection in an orderly way. Last
/// frames take up to 0.3 s after it, which fits from a grace of 5 s on.
const GRACE_USED: f64 = 0.93;

/// The connections of callers at once.
///
/// A third of the descriptors that a small host allows; each request in
/// flight takes one more for its endpoint.
const CONNS: usize = 1_300;

/// The longest time for a head, and for an idle connection of a caller.
///
/// Configurations allow callers up to fifteen seconds of idleness.
const HEAD_TIME: Duration = Duration::from_secs(16);

/// The reason why a node can't start.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum StartError {
    /// An address can't be listened on.
    #[display("{address}: can't listen: {source}; check that the address is this host's and free")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
}

impl StartError {
    /// Tells whether an address was taken.
    #[must_use]
    pub fn is_taken(&self) -> bool {
        let Self::Listen { source, .. } = self;
        source.kind() == io::ErrorKind::AddrInUse
    }
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    shared: Arc<Shared>,
    callers: Scope,
    conns: Scope,
    stages: Scope,
    control: Scope,
    served: Flag,
}

impl Gateway {
    /// Starts a gateway on the given executors.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if an address can't be listened on.
    pub fn start(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        registry: Arc<dyn Registry>,
        execs: &Execs,
    ) -> Result<Self, StartError> {
        let listen = settings.listen.clone();
        let callers_at = bind(listen.callers)?;
        let ready_at = bind(listen.ready)?;
        let peers_at = bind(listen.peers)?;
        let metrics_at = listen.metrics.map(bind).transpose()?;
        let (dispatcher, messages) = Dispatcher::new();
        let traffic = Arc::clone(&execs.traffic);
        let seeds = settings.seeds.clone();
        let shared = Shared::new(settings, dialect, registry, traffic, dispatcher);
        let shared = Arc::new(shared);
        for seed in seeds {
            shared.owners().discover(shared.now(), seed);
        }
        let gateway = Self {
            callers: Scope::new(Arc::clone(&execs.traffic)),
            conns: Scope::new(Arc::clone(&execs.traffic)),
            stages: Scope::new(Arc::clone(&execs.traffic)),
            control: Scope::new(Arc::clone(&execs.control)),
            served: Flag::default(),
            shared,
        };
        gateway.serve_callers(callers_at);
        gateway.serve_small(ready_at, Arc::new(Readiness(Arc::clone(&gateway.shared))));
        if let Some(listener) = metrics_at {
            gateway.serve_small(listener, Arc::new(Metrics));
        }
        gateway.run_control(peers_at, messages);
        log::info!(
            event = "started",
            node = gateway.shared.settings.node.to_string().as_str(),
            domain = gateway.shared.settings.domain.to_string().as_str(),
            callers = listen.callers.to_string().as_str();
            ""
        );
        Ok(gateway)
    }

    fn serve_callers(&self, listener: Async<TcpListener>) {
        let door = Arc::new(Door(Arc::clone(&self.shared)));
        let bounds = Bounds {
            head_time: HEAD_TIME,
            conns: CONNS,
        };
        let scope = self.conns.clone();
        let drain = self.shared.drain.clone();
        let end = self.shared.end.clone();
        let served = self.served.clone();
        self.callers.spawn(async move {
            http::serve_until(listener, door, bounds, scope, drain, end).await;
            served.set();
        });
    }

    fn serve_small(&self, listener: Async<TcpListener>, handler: Arc<dyn Handler>) {
        let bounds = Bounds {
            head_time: HEAD_TIME,
            conns: 64,
        };
        let scope = Scope::new(self.control.exec());
        let never = Flag::default();
        self.control
            .spawn(http::serve(listener, handler, bounds, scope, never));
    }

    fn run_control(
        &self,
        peers: Async<TcpListener>,
        messages: async_channel::Receiver<crate::dispatch::Message>,
    ) {
        let seed = rapidhash_v3(self.shared.settings.node.as_str().as_bytes());
        let shared = || Arc::clone(&self.shared);
        let scope = &self.control;
        // Stage jobs are traffic: they go from a request to its owner and back
        // several times a second, which on one thread needs no wake-up of
        // another, and can't keep the configuration waiting.
        let traffic = &self.stages;
        traffic.spawn(dispatch::run(shared(), messages, traffic.clone()));
        let dispatcher = self.shared.dispatcher.clone();
        traffic.spawn(dispatch::accept(peers, dispatcher, traffic.clone()));
        scope.spawn(changes::follow(shared(), seed));
        scope.spawn(follow::follow_endpoints(shared(), seed ^ 1));
        scope.spawn(follow::meet(shared(), seed ^ 2));
    }

    /// Takes new settings; addresses stay until the next start.
    pub fn reload(&self, settings: &Settings) {
        self.shared.budget().set_limits(settings.retries);
        let now = self.shared.now();
        for &seed in &settings.seeds {
            self.shared.owners().discover(now, seed);
        }
        log::info!(event = "settings-reloaded", node = settings.node.to_string().as_str(); "");
    }

    /// Leaves: the balancer first, then idle connections, then what runs.
    pub async fn drain(&self) {
        log::info!(event = "leaving", grace_ms = self.shared.settings.grace.as_millis() as u64; "");
        let began = self.shared.now();
        let grace = self.shared.settings.grace;
        let given_up = began + grace.mul_f64(ANSWERED_BY);
        let cut = began + grace.mul_f64(GRACE_USED);
        // Only the first call to leave counts.
        let _earlier = self.shared.stop.set(Shutdown {
            out_of_rotation: began + ASIDE,
            cancel_at: given_up,
            cut_at: cut,
        });
        self.shared.out_of_rotation.set();
        self.shared.owners().leave();
        self.shared.dispatcher.announce_leaving();
        Timer::after(ASIDE).await;
        self.shared.drain.set();
        self.shared.end.set();
        let over = async {
            self.until(given_up).await;
            self.shared.overtime.set();
            self.until(cut).await;
        };
        self.served.wait().or(over).await;
        let running = self.conns.len();
        log::info!(event = "stopped", running, took_ms = self.shared.now().since(began).as_millis() as u64; "");
        self.callers.cancel().await;
        self.conns.cancel().await;
        future::zip(self.stages.cancel_later(), self.control.cancel_later()).await;
    }

    async fn until(&self, at: Time) {
        Timer::after(at.since(self.shared.now())).await;
    }
}

fn bind(address: SocketAddr) -> Result<Async<TcpListener>, StartError> {
    http::bind(address).map_err(|source| StartError::Listen { address, source })
}

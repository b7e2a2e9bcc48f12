//! A whole gateway: its tasks and its shutdown.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures_lite::FutureExt;
use futures_lite::future;
use rapidhash::v3::rapidhash_v3;
use snipeyoke_lib::serving::shutdown::Shutdown;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::http;
use snipeyoke_runtime::http::Bounds;
use snipeyoke_runtime::http::Handler;
use snipeyoke_runtime::listen::ListenError;
use snipeyoke_runtime::listen::bind;
use snipeyoke_runtime::listen::bind_when_free;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::threads::Execs;

use crate::changes;
use crate::dialect::Dialect;
use crate::dispatch;
use crate::dispatch::Dispatcher;
use crate::follow;
use crate::ingress::Ingress;
use crate::kept_connections;
use crate::operators::OperatorPort;
use crate::ready::Readiness;
use crate::registry::Registry;
use crate::settings::Settings;
use crate::shared::Shared;

/// How long a node that shuts down accepts new streams and keeps idle
/// connections.
///
/// A load balancer that probes once a second and needs two failed probes has
/// removed the node after two seconds at most, and its last connections have
/// arrived.
const ROTATION_DELAY: Duration = Duration::from_millis(2_300);

/// The fraction of the grace period after which unanswered requests are given
/// up.
///
/// Later responses would be cut. The rest is enough to send the last refusals,
/// even on a host with a tenth of a core.
const GIVE_UP_FRACTION: f64 = 0.86;

/// The fraction of the grace period after which responses in progress are cut.
///
/// A clean end before SIGKILL closes every connection in order. The last frames
/// take up to 0.3 s after it, which fits into a grace period of 5 s or more.
const CUT_FRACTION: f64 = 0.93;

/// The time limit for a request head and for an idle caller connection.
///
/// Configurations allow callers up to fifteen seconds of idle time.
const HEAD_TIMEOUT: Duration = Duration::from_secs(16);

/// The interval between attempts to listen for metrics scrapers.
///
/// A scraper that comes every 15 s misses the node once.
const METRICS_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// The reason why a node can't start.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum StartError {
    /// It can't listen at an address.
    #[display("{_0}")]
    Listen(ListenError),
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
    /// Starts a gateway on the given executors, once its addresses are free.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if it can't listen at an address.
    pub async fn start(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        registry: Arc<dyn Registry>,
        execs: &Execs,
    ) -> Result<Self, StartError> {
        let listen = settings.listen.clone();
        // Readiness comes last: probes of a node that waits for another address are
        // refused, not left without a response.
        let peers_listener = bind_when_free(listen.peers, settings.grace).await?;
        let callers_listener = bind_when_free(listen.callers, settings.grace).await?;
        let ready_listener = bind_when_free(listen.ready, settings.grace).await?;
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
        gateway.serve_callers(callers_listener);
        gateway.serve_http(
            ready_listener,
            Arc::new(Readiness(Arc::clone(&gateway.shared))),
        );
        if let Some(address) = listen.metrics {
            gateway.serve_metrics(address);
        }
        gateway.run_control(peers_listener, messages);
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
        let ingress = Arc::new(Ingress(Arc::clone(&self.shared)));
        let bounds = Bounds {
            head_timeout: HEAD_TIMEOUT,
            conns: self.shared.settings.conns,
            memory: self.shared.settings.memory,
        };
        let scope = self.conns.clone();
        let drain = self.shared.drain.clone();
        let stop_accepting = self.shared.stop_accepting.clone();
        let served = self.served.clone();
        self.callers.spawn_essential(async move {
            http::serve_until(listener, ingress, bounds, scope, drain, stop_accepting).await;
            served.set();
        });
    }

    fn serve_http(&self, listener: Async<TcpListener>, handler: Arc<dyn Handler>) {
        let scope = Scope::new(self.control.exec());
        self.control
            .spawn_essential(serve_control(listener, handler, scope));
    }

    /// Serves operators and metrics scrapers at an address, if need be later.
    fn serve_metrics(&self, address: SocketAddr) {
        let handler = Arc::new(OperatorPort(Arc::clone(&self.shared)));
        let error = match bind(address) {
            Ok(listener) => return self.serve_http(listener, handler),
            Err(error) => error,
        };
        log::warn!(event = "metrics-unavailable", error = error.to_string().as_str(), outcome = "callers are served without metrics"; "");
        let scope = Scope::new(self.control.exec());
        self.control.spawn(async move {
            let listener = loop {
                Timer::after(METRICS_RETRY_INTERVAL).await;
                if let Ok(listener) = bind(address) {
                    break listener;
                }
            };
            log::info!(event = "metrics-available", address = address.to_string().as_str(); "");
            serve_control(listener, handler, scope).await;
        });
    }

    fn run_control(
        &self,
        peers: Async<TcpListener>,
        messages: async_channel::Receiver<crate::dispatch::Message>,
    ) {
        let seed = rapidhash_v3(self.shared.settings.node.as_str().as_bytes());
        let shared = || Arc::clone(&self.shared);
        let scope = &self.control;
        // Stage jobs run on the traffic thread: a request exchanges several messages a
        // second with the owner, and no other thread has to wake up for them. They also
        // can't delay the configuration.
        let traffic = &self.stages;
        traffic.spawn_essential(dispatch::run(shared(), messages, traffic.clone()));
        let dispatcher = self.shared.dispatcher.clone();
        traffic.spawn_essential(dispatch::accept(peers, dispatcher, traffic.clone()));
        if self.shared.settings.has_pressure() {
            traffic.spawn(kept_connections::sweep(shared()));
        }
        scope.spawn_essential(changes::follow(shared(), seed));
        scope.spawn_essential(follow::follow_endpoints(shared(), seed ^ 1));
        scope.spawn_essential(follow::discover_peers(shared(), seed ^ 2));
        scope.spawn_essential(follow::keep_registered(shared(), seed ^ 4));
    }

    /// Applies new settings; changed addresses take effect at the next start.
    pub fn reload(&self, settings: &Settings) {
        self.shared.budget().set_limits(settings.retries);
        let now = self.shared.now();
        for &seed in &settings.seeds {
            self.shared.owners().discover(now, seed);
        }
        log::info!(event = "settings-reloaded", node = settings.node.to_string().as_str(); "");
    }

    /// Waits until a task has panicked without which the node can't serve.
    pub async fn failed(&self) {
        let traffic = self.callers.failed().or(self.stages.failed());
        traffic.or(self.control.failed()).await;
    }

    /// Shuts down: leaves the load balancer's rotation, closes idle
    /// connections, then ends requests in flight.
    pub async fn drain(&self) {
        log::info!(event = "leaving", grace_ms = self.shared.settings.grace.as_millis() as u64; "");
        let started_at = self.shared.now();
        let grace = self.shared.settings.grace;
        let given_up = started_at + grace.mul_f64(GIVE_UP_FRACTION);
        let cut = started_at + grace.mul_f64(CUT_FRACTION);
        // Only the first shutdown request counts.
        let _earlier = self.shared.shutdown.set(Shutdown {
            out_of_rotation: started_at + ROTATION_DELAY,
            cancel_at: given_up,
            cut_at: cut,
        });
        self.shared.out_of_rotation.set();
        self.shared.connections.close();
        self.shared.owners().leave();
        self.shared.dispatcher.announce_leaving();
        Timer::after(ROTATION_DELAY).await;
        self.shared.drain.set();
        self.shared.stop_accepting.set();
        let timeout = async {
            self.sleep_until(given_up).await;
            self.shared.given_up.set();
            self.sleep_until(cut).await;
        };
        self.served.wait().or(timeout).await;
        let running = self.conns.len();
        log::info!(event = "stopped", running, took_ms = self.shared.now().since(started_at).as_millis() as u64; "");
        self.callers.cancel().await;
        self.conns.cancel().await;
        future::zip(
            self.stages.cancel_after_grace(),
            self.control.cancel_after_grace(),
        )
        .await;
    }

    /// Ends the gateway at once, without a shutdown: requests in flight are cut.
    pub async fn abort(&self) {
        for scope in [&self.callers, &self.conns, &self.stages, &self.control] {
            scope.cancel().await;
        }
        self.shared.connections.close();
    }

    async fn sleep_until(&self, at: Time) {
        Timer::after(at.since(self.shared.now())).await;
    }
}

/// Serves a port that callers don't use.
async fn serve_control(listener: Async<TcpListener>, handler: Arc<dyn Handler>, scope: Scope) {
    let bounds = Bounds {
        head_timeout: HEAD_TIMEOUT,
        conns: 64,
        memory: None,
    };
    http::serve(listener, handler, bounds, scope, Flag::default()).await;
}

//! Connections to endpoints that stay open between calls.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use event_listener::Event;
use http_body_util::Full;
use hyper::Request;
use rustix::process::Resource;
use rustix::process::getrlimit;
use snipeyoke_lib::serving::directory::Entry;
use snipeyoke_lib::serving::kept_connections::CallKind;
use snipeyoke_lib::serving::kept_connections::ConnectionNumber;
use snipeyoke_lib::serving::kept_connections::EndpointRun;
use snipeyoke_lib::serving::kept_connections::KeptConnections;
use snipeyoke_lib::serving::kept_connections::connections_per_run;
use snipeyoke_runtime::flag::Flag;

use crate::call::Call;
use crate::call::CallError;
use crate::call::Connection;
use crate::call::send_request;
use crate::shared::Shared;

/// How often idle connections are checked, while there are any.
///
/// Within the 300 ms that the idle time stays below the advertised one.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// The file descriptors of a process that has no limit on them.
const DESCRIPTORS_DEFAULT: u64 = 1_024;

/// Which connections a call may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pooling {
    /// A new one, which is closed after it.
    Never,
    /// A new one, which other calls may use after it.
    KeepOnly(CallKind),
    /// An idle one, or a new one, which other calls may use after it.
    Reuse(CallKind),
}

/// The idle connections of a node.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    pool: Mutex<Pool>,
    /// Notifies the sweep that the pool is not empty.
    added: Event,
}

#[derive(Debug)]
struct Pool {
    kept: KeptConnections,
    open: BTreeMap<ConnectionNumber, Connection>,
    /// Set when the node shuts down.
    is_closed: bool,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        let descriptors = getrlimit(Resource::Nofile).current;
        let pool = Pool {
            kept: KeptConnections::new(descriptors.unwrap_or(DESCRIPTORS_DEFAULT)),
            open: BTreeMap::new(),
            is_closed: false,
        };
        Self {
            pool: Mutex::new(pool),
            added: Event::new(),
        }
    }
}

impl ConnectionPool {
    /// Closes all idle connections for good.
    pub(crate) fn close(&self) {
        let mut pool = self.lock();
        pool.is_closed = true;
        pool.kept.clear();
        let closed = std::mem::take(&mut pool.open);
        report_size(&pool);
        drop(pool);
        drop(closed);
    }

    /// Removes and returns an idle connection that can carry a request.
    fn take(&self, shared: &Shared, run: &EndpointRun, kind: CallKind) -> Option<Connection> {
        let now = shared.now();
        let mut closed = Vec::new();
        let mut pool = self.lock();
        let ready = loop {
            let (taken, over) = pool.kept.take(now, run, kind);
            closed.extend(over.iter().filter_map(|n| pool.open.remove(n)));
            let Some(number) = taken else {
                break None;
            };
            match pool.open.remove(&number) {
                Some(connection) if connection.is_ready() => break Some(connection),
                ended => closed.extend(ended),
            }
        };
        report_size(&pool);
        drop(pool);
        drop(closed);
        ready
    }

    /// Closes the idle connections of a run of an endpoint.
    fn close_run(&self, run: &EndpointRun) {
        let mut pool = self.lock();
        let numbers = pool.kept.remove_run(run);
        let closed: Vec<_> = numbers.iter().filter_map(|n| pool.open.remove(n)).collect();
        report_size(&pool);
        drop(pool);
        if !closed.is_empty() {
            log::debug!(event = "idle-connections-closed", endpoint = run.endpoint.to_string().as_str(), count = closed.len(), why = "connection-failed"; "");
        }
    }

    fn lock(&self) -> MutexGuard<'_, Pool> {
        // The panic that poisoned the lock has been logged; the state stays usable.
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn report_size(pool: &Pool) {
    metrics::gauge!("snipeyoke_idle_connections").set(pool.kept.len() as f64);
}

impl Shared {
    /// Returns how many idle connections this node may have to an endpoint; `None` if
    /// its service has no pooling.
    fn connections_per_run(&self, entry: &Entry) -> Option<usize> {
        if !self.settings.has_pressure() {
            return None;
        }
        let catalog = self.catalog.get();
        let service = catalog.as_ref().as_ref()?.service(&entry.service)?;
        let nodes = self.owners().count();
        connections_per_run(service, nodes)
    }

    /// Keeps the connection of a call open, if it may carry another one.
    ///
    /// `advertised` is how long the endpoint leaves it open.
    pub(crate) fn keep_connection(&self, call: Call, entry: &Entry, advertised: Option<Duration>) {
        let (Some(kind), Some(advertised)) = (call.kept_for, advertised) else {
            return;
        };
        let run = EndpointRun::from(entry);
        let Some(run_max) = self.connections_per_run(entry) else {
            return;
        };
        let now = self.now();
        if !self.directory().keeps_connections(now, &run) {
            return;
        }
        let Some(connection) = call.into_reusable() else {
            return;
        };
        let mut pool = self.connections.lock();
        if pool.is_closed {
            return;
        }
        let (number, over) = pool.kept.keep(now, (&run, kind), (advertised, run_max));
        let closed: Vec<_> = over.iter().filter_map(|n| pool.open.remove(n)).collect();
        if let Some(number) = number {
            pool.open.insert(number, connection);
        }
        report_size(&pool);
        drop(pool);
        drop(closed);
        self.connections.added.notify(1);
    }
}

/// Sends a request and waits for the head of the response, on an idle connection if
/// `pooling` allows it.
///
/// A request that an idle connection lost is sent once more on a new one. Sets
/// `handed_off` before the first byte may be sent; `may_send` is asked right before.
pub(crate) async fn send_pooled(
    shared: &Shared,
    (entry, pooling): (&Entry, Pooling),
    request: Request<Full<Bytes>>,
    (handed_off, may_send): (&Flag, &(dyn Fn() -> bool + Sync)),
) -> Result<Call, CallError> {
    let pooling = match pooling {
        Pooling::Never => Pooling::Never,
        allowed if shared.connections_per_run(entry).is_some() => allowed,
        _ => Pooling::Never,
    };
    let kept_for = match pooling {
        Pooling::Never => None,
        Pooling::KeepOnly(kind) | Pooling::Reuse(kind) => Some(kind),
    };
    let run = EndpointRun::from(entry);
    let mut stale = None;
    if let Pooling::Reuse(kind) = pooling
        && shared.directory().keeps_connections(shared.now(), &run)
        && let Some(connection) = shared.connections.take(shared, &run, kind)
    {
        if !may_send() {
            metrics::counter!("snipeyoke_withheld_calls_total").increment(1);
            return Err(CallError::Withheld);
        }
        handed_off.set();
        metrics::counter!("snipeyoke_endpoint_connections_total", "how" => "reused").increment(1);
        match connection.send(request.clone(), kept_for, true).await {
            Err(error @ (CallError::NotAccepted(_) | CallError::Stale(_))) => {
                record_stale(&run, &error);
                if error.is_stale() && !may_resend(shared, entry, may_send) {
                    return Err(error);
                }
                stale = Some(error).filter(CallError::is_stale);
            }
            ended => return ended,
        }
    }
    let sending = (request, kept_for);
    let checks = (handed_off, may_send);
    let sent = send_request(&shared.traffic, entry.address, sending, checks).await;
    if let (Err(CallError::NotSent(_) | CallError::Broken(_)), Some(_)) = (&sent, kept_for) {
        shared.connections.close_run(&run);
    }
    match (sent, stale) {
        // The endpoint may have run the request that the idle connection lost.
        (Err(CallError::NotSent(error)), Some(_)) => Err(CallError::Lost(error)),
        (Err(CallError::NotAccepted(_) | CallError::Withheld), Some(stale)) => Err(stale),
        (sent, _) => sent,
    }
}

/// Returns whether a request that an idle connection lost may be sent once more to the
/// same endpoint, and spends the budget for it.
fn may_resend(shared: &Shared, entry: &Entry, may_send: &(dyn Fn() -> bool + Sync)) -> bool {
    // A limited endpoint counts the lost request, and the next one needs a grant.
    let is_open = may_send() && !shared.is_limited(&entry.id);
    is_open && shared.budget().try_spend(shared.now(), &entry.service)
}

fn record_stale(run: &EndpointRun, error: &CallError) {
    metrics::counter!("snipeyoke_stale_connections_total").increment(1);
    log::debug!(event = "connection-stale", endpoint = run.endpoint.to_string().as_str(), error = error.to_string().as_str(); "");
}

/// Reports a response on a reused connection that belongs to another call.
pub(crate) fn report_foreign(entry: &Entry, kind: &'static str) {
    log::info!(event = "foreign-response", endpoint = entry.id.to_string().as_str(), kind; "");
}

/// Closes connections that were idle for too long, or whose endpoints get no calls now.
pub(crate) async fn sweep(shared: Arc<Shared>) {
    loop {
        let added = shared.connections.added.listen();
        if shared.connections.lock().kept.is_empty() {
            added.await;
        }
        Timer::after(SWEEP_INTERVAL).await;
        let now = shared.now();
        let mut pool = shared.connections.lock();
        let directory = shared.directory();
        let is_open = |run: &EndpointRun| directory.keeps_connections(now, run);
        let over = pool.kept.sweep(now, is_open);
        drop(directory);
        let closed: Vec<_> = over.iter().filter_map(|n| pool.open.remove(n)).collect();
        report_size(&pool);
        drop(pool);
        drop(closed);
    }
}

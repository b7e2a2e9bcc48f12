//! Reports the endpoint's load and cache to the routers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use event_listener::EventListener;
use futures_lite::FutureExt;
use serde::Deserialize;
use snipeyoke_lib::time::Time;
use snipeyoke_wire::CacheEvents;
use snipeyoke_wire::Heartbeat;
use snipeyoke_wire::Load;
use snipeyoke_wire::OwnedSlot;
use snipeyoke_wire::frame::Body;

use crate::node::Node;
use crate::settings::EndpointKind;

/// The interval of reports to each router.
///
/// With 8 routers per agent and about 120 bytes per report, this takes 2 KB/s, well
/// below the budget of 30 KB/s for control traffic per node.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout for polling the endpoint.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// The load reported by an engine.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct EngineLoad {
    slots: u32,
    active: u32,
    queued: u32,
    pending_tokens: u64,
    prefill_rate: f64,
    decode_rate: f64,
    kv_used: u64,
    kv_total: u64,
    models: Vec<String>,
    age_ms: u64,
}

/// The last report of the endpoint and when it was received.
#[derive(Debug, Clone, Default)]
pub(crate) struct EndpointStatus {
    load: EngineLoad,
    received_at: Time,
    healthy: bool,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct CachePage {
    epoch: u64,
    first: u64,
    next: u64,
    gap: bool,
    events: Vec<CacheEvent>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct CacheEvent {
    op: String,
    block: String,
}

impl EndpointStatus {
    /// Combines the endpoint's report with the calls admitted by the gate.
    pub(crate) fn load_frame(&self, node: &Node) -> Load {
        let admitted = node.gate.admitted();
        let own = &self.load;
        let slots = if own.slots == 0 {
            node.settings.endpoint.slots
        } else {
            own.slots
        };
        let age = node.clock.now().since(self.received_at) + Duration::from_millis(own.age_ms);
        // The gate counts each call at once, while the endpoint's report lags. The
        // greater of the two never underestimates the load.
        let active = own.active.max(admitted.active.min(slots));
        let queued = own.queued.max(admitted.active.saturating_sub(slots));
        Load {
            seq: 0,
            slots,
            active,
            queued,
            pending_tokens: own.pending_tokens.max(admitted.tokens),
            prefill_rate: own.prefill_rate,
            decode_rate: own.decode_rate,
            age_us: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
            draining: node.drain.is_set(),
            healthy: self.healthy,
            kv_used: own.kv_used,
            kv_total: own.kv_total,
            models: own.models.clone(),
        }
    }
}

/// Polls the endpoint and reports to every router until the agent stops.
pub(crate) async fn run(node: Arc<Node>) {
    let mut cache = (0, 0);
    let mut slots_changed = false;
    while !node.stop.is_set() {
        // Listen before reporting: a change of slots between the two would otherwise
        // wait for the next report.
        let listener = node.owner.as_ref().map(|o| o.listen_slots());
        poll_endpoint(&node).await;
        let seq = node.heartbeat_seq.fetch_add(1, Ordering::SeqCst) + 1;
        node.send_heartbeats(&heartbeat(&node, seq), slots_changed);
        if node.settings.endpoint.kind == EndpointKind::Engine {
            cache = report_cache(&node, cache).await;
        }
        let pause = async {
            Timer::after(REPORT_INTERVAL).await;
            false
        };
        let stopped = async {
            node.stop.wait().await;
            false
        };
        slots_changed = pause.or(stopped).or(slot_change(listener)).await;
    }
}

/// Waits until slots are acquired or lost, then returns `true`.
///
/// Calls at the routers wait for a slot's next owner, so this is reported at once.
async fn slot_change(listener: Option<EventListener>) -> bool {
    match listener {
        Some(listener) => listener.await,
        None => std::future::pending().await,
    }
    true
}

/// Builds a heartbeat with the current load.
pub(crate) fn heartbeat(node: &Node, seq: u64) -> Heartbeat {
    let config = {
        let fold = node.config_store.fold();
        (fold.next(), fold.revision())
    };
    Heartbeat {
        incarnation: node.incarnation.0,
        seq,
        draining: node.drain.is_set(),
        config_offset: config.0.0,
        config_revision: config.1.0,
        load: Some(node.load()),
        slots: owned_slots(node),
        ..Heartbeat::default()
    }
}

fn owned_slots(node: &Node) -> Vec<OwnedSlot> {
    let owned = node.owner.as_ref().map(|o| o.slots()).unwrap_or_default();
    let slots = owned.into_iter().map(|(slot, fence)| OwnedSlot {
        slot: u32::from(slot.number()),
        fence: fence.0,
    });
    slots.collect()
}

async fn poll_endpoint(node: &Node) {
    let path = match node.settings.endpoint.kind {
        EndpointKind::Engine => "/load",
        EndpointKind::Plain => "/health",
    };
    let timeout = async {
        Timer::after(POLL_TIMEOUT).await;
        None
    };
    let body = node.endpoint.get(path).or(timeout).await;
    let previous = node.endpoint_status.get();
    let Some(body) = body else {
        node.endpoint_status.set(EndpointStatus {
            healthy: false,
            ..EndpointStatus::clone(&previous)
        });
        return;
    };
    let load = match node.settings.endpoint.kind {
        EndpointKind::Engine => serde_json::from_slice(&body).unwrap_or_default(),
        EndpointKind::Plain => EngineLoad::default(),
    };
    node.endpoint_status.set(EndpointStatus {
        load,
        received_at: node.clock.now(),
        healthy: true,
    });
}

async fn report_cache(node: &Node, (epoch, since): (u64, u64)) -> (u64, u64) {
    let path = format!("/cache/events?since={since}&wait_ms=0");
    let timeout = async {
        Timer::after(POLL_TIMEOUT).await;
        None
    };
    let Some(body) = node.endpoint.get(&path).or(timeout).await else {
        return (epoch, since);
    };
    let Ok(page) = serde_json::from_slice::<CachePage>(&body) else {
        return (epoch, since);
    };
    let blocks_with_op = |op: &str| {
        let chosen = page.events.iter().filter(|e| e.op == op);
        chosen
            .filter_map(|e| u64::from_str_radix(&e.block, 16).ok())
            .collect::<Vec<_>>()
    };
    let events = CacheEvents {
        epoch: page.epoch,
        first: page.first,
        added: blocks_with_op("add"),
        dropped: blocks_with_op("drop"),
        gap: page.gap || page.epoch != epoch,
    };
    if events.gap || !events.added.is_empty() || !events.dropped.is_empty() {
        node.broadcast(&Body::Cache(events));
    }
    (page.epoch, page.next)
}

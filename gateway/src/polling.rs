//! Polls the registry to bound how long a change can stay unknown.

use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::log::Backoff;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::time::Time;

use crate::follow;
use crate::registry::Topic;
use crate::registry::Update;
use crate::shared::Shared;

/// Reads a topic whenever a poll is due, until its history is truncated.
///
/// A long poll gives no information while it waits: the registry may have lost
/// or skipped it. These reads don't wait.
pub(crate) async fn poll_topic(shared: &Shared, kind: ReplicaKind, seed: u64) {
    let topic = Topic::from(kind);
    let mut backoff = Backoff::new(seed);
    let mut staleness = StalenessLog::default();
    let mut failing = false;
    let mut pause = Duration::ZERO;
    loop {
        let not_before = shared.now() + pause;
        wait_until_due(shared, kind, &mut staleness, not_before).await;
        if must_list(shared, kind) {
            return;
        }
        let sent = shared.now();
        let from = shared.next_position(topic);
        pause = Duration::ZERO;
        // Records that arrived meanwhile move the offset of the next read.
        let Some(update) = read(shared, topic, from).await else {
            continue;
        };
        if !follow::apply_update(shared, topic, sent, update, &mut failing) {
            return;
        }
        if failing {
            pause = backoff.failed();
        } else {
            backoff.succeeded();
        }
    }
}

/// Reads once without waiting; returns `None` if a peer sent the records.
async fn read(shared: &Shared, topic: Topic, from: Position) -> Option<Update> {
    if topic != Topic::Config {
        let response = shared.registry.read(topic, from, Duration::ZERO, &|| ());
        return Some(response.await);
    }
    shared.catch_up().on_registry_read();
    let on_progress = || follow::record_progress(shared, topic);
    let response = shared
        .registry
        .read(topic, from, Duration::ZERO, &on_progress);
    let update = async { Some(response.await) };
    let update = update.or(received_elsewhere(shared, from)).await;
    shared.catch_up().on_registry_end();
    update
}

/// Ends when the records from an offset on have arrived from elsewhere.
///
/// Otherwise the same records would be transferred twice, over a link that may
/// be saturated.
pub(crate) async fn received_elsewhere(shared: &Shared, from: Position) -> Option<Update> {
    loop {
        let grown = shared.config_grown.listen();
        if shared.next_position(Topic::Config) > from {
            return None;
        }
        grown.await;
    }
}

/// Waits until a topic has to be read.
async fn wait_until_due(
    shared: &Shared,
    kind: ReplicaKind,
    staleness: &mut StalenessLog,
    not_before: Time,
) {
    loop {
        // Listen before checking the state, so that no change is missed.
        let config_behind = shared.config_behind.listen();
        let registry_regained = shared.registry_regained.listen();
        staleness.update(shared, kind);
        let now = shared.now();
        let at = next_read(shared, kind).max(not_before);
        if at <= now || must_list(shared, kind) {
            return;
        }
        // The registry reader may change at any time.
        let max_sleep = shared.registry_polling().poll_interval();
        let timer = async {
            Timer::after(at.since(now).min(max_sleep)).await;
        };
        timer.or(config_behind).or(registry_regained).await;
    }
}

/// Returns whether a topic has to be listed instead of read on.
fn must_list(shared: &Shared, kind: ReplicaKind) -> bool {
    let differs = kind == ReplicaKind::Endpoints && shared.must_relist.load(Ordering::Relaxed);
    differs || shared.returns().needs_list(shared.now(), kind)
}

fn next_read(shared: &Shared, kind: ReplicaKind) -> Time {
    let reader = shared.is_reader();
    let scheduled = shared.registry_polling().read_at(kind, reader);
    if kind == ReplicaKind::Endpoints {
        return scheduled;
    }
    let catch_up = shared.catch_up();
    // Avoid transferring the same records twice over a link that may be
    // saturated.
    scheduled
        .min(catch_up.read_at())
        .max(catch_up.registry_active_until())
}

/// Tracks a replica's staleness for logs and metrics.
#[derive(Debug, Default)]
struct StalenessLog {
    lost: bool,
}

impl StalenessLog {
    fn update(&mut self, shared: &Shared, kind: ReplicaKind) {
        let now = shared.now();
        let freshness = *shared.registry_polling().freshness(kind);
        let age = freshness.age(now).unwrap_or_default();
        let gauge = match kind {
            ReplicaKind::Config => metrics::gauge!("snipeyoke_config_age_seconds"),
            ReplicaKind::Endpoints => metrics::gauge!("snipeyoke_endpoints_age_seconds"),
        };
        gauge.set(age.as_secs_f64());
        shared.report_rates();
        shared.report_absences();
        shared.report_speeds();
        if let Some(era) = shared.returns().era() {
            metrics::gauge!("snipeyoke_registry_era").set(era.0 as f64);
        }
        let is_stale = freshness.cannot_read(freshness.age(now));
        if is_stale {
            shared.owners().defer_admissions(now);
        }
        // A node that has never read the endpoints has missed no version.
        if kind == ReplicaKind::Endpoints && is_stale && freshness.age(now).is_some() {
            shared.origins().mark_unwatched(now);
        }
        let lost = freshness.is_expired(now);
        if lost == self.lost {
            return;
        }
        self.lost = lost;
        let age_ms = age.as_millis() as u64;
        let event = match (kind, lost) {
            (ReplicaKind::Config, true) => "config-unconfirmed",
            (ReplicaKind::Config, false) => "config-confirmed",
            (ReplicaKind::Endpoints, true) => "endpoints-unconfirmed",
            (ReplicaKind::Endpoints, false) => "endpoints-confirmed",
        };
        if lost {
            log::warn!(event, age_ms, remedy = "check the network path to the registry and to the other nodes"; "");
        } else {
            log::info!(event, age_ms; "");
        }
    }
}

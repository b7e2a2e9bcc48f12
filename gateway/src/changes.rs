//! Follows the configuration: one node long-polls for changes, and polls of all
//! nodes bound the age of their replicas.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::log::Backoff;
use snipeyoke_lib::serving::freshness::LongPollWaits;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;

use crate::follow;
use crate::polling::poll_topic;
use crate::polling::received_elsewhere;
use crate::registry::Topic;
use crate::registry::Update;
use crate::shared::Shared;

/// Follows the configuration until the process ends.
pub(crate) async fn follow(shared: Arc<Shared>, seed: u64) {
    let mut backoff = Backoff::new(seed);
    let mut waits = LongPollWaits::new(seed);
    let mut listed = None;
    loop {
        follow::read_list(&shared, Topic::Config, &mut backoff).await;
        follow::pause_after_list(&shared, Topic::Config, &mut listed).await;
        let wait = wait_for_changes(&shared, &mut backoff, &mut waits);
        wait.or(poll_topic(&shared, ReplicaKind::Config, seed ^ 3))
            .await;
    }
}

/// Long-polls for changes of the configuration until its history is truncated.
///
/// Only the registry reader polls the registry this way; it notifies the other
/// nodes.
async fn wait_for_changes(shared: &Shared, backoff: &mut Backoff, waits: &mut LongPollWaits) {
    let mut failing = false;
    loop {
        while !shared.is_reader() {
            let pause = shared.registry_polling().poll_interval();
            Timer::after(pause).await;
        }
        let sent = shared.now();
        let from = shared.next_position(Topic::Config);
        let wait = waits.sample();
        let Some(update) = long_poll(shared, from, wait).await else {
            continue;
        };
        if !follow::apply_update(shared, Topic::Config, sent, update, &mut failing) {
            return;
        }
        if failing {
            Timer::after(backoff.failed()).await;
        } else {
            backoff.succeeded();
        }
    }
}

/// Waits once for a change; returns `None` if the read was abandoned.
///
/// An unresponsive registry may lose a long poll, which then never gets a
/// response. The short polls detect when the registry responds again.
async fn long_poll(shared: &Shared, from: Position, wait: Duration) -> Option<Update> {
    let started_at = shared.now();
    let receiving = AtomicBool::new(false);
    let on_progress = || {
        receiving.store(true, Ordering::Relaxed);
        follow::record_progress(shared, Topic::Config);
    };
    log::info!(event = "registry-asked", topic = "config", from = from.to_string().as_str(), wait_ms = wait.as_millis() as u64; "");
    let response = shared
        .registry
        .read(Topic::Config, from, wait, &on_progress);
    let update = async { Some(response.await) };
    let update = update.or(received_elsewhere(shared, from));
    let update = update.or(read_lost(shared, from, &receiving)).await;
    shared.catch_up().on_registry_end();
    let elapsed_ms = shared.now().since(started_at).as_millis() as u64;
    let outcome = outcome_name(update.as_ref());
    log::info!(event = "registry-answered", topic = "config", from = from.to_string().as_str(), took_ms = elapsed_ms, ended = outcome; "");
    update
}

/// Returns the name of a read's outcome for the log.
fn outcome_name(update: Option<&Update>) -> &'static str {
    match update {
        Some(Update::Records { records, .. }) if records.is_empty() => "nothing-new",
        Some(Update::Records { .. }) => "records",
        Some(Update::Truncated) => "gone",
        Some(Update::OtherEra(_)) => "other-era",
        Some(Update::Failed(_)) => "failed",
        None => "given-up",
    }
}

/// Ends when the registry responds again and may have lost a long poll.
///
/// A response in progress was not lost. On a saturated link, short reads fail
/// and succeed again every second. Restarting a large response each time would
/// waste the link's bandwidth.
async fn read_lost(shared: &Shared, from: Position, receiving: &AtomicBool) -> Option<Update> {
    shared.registry_regained.listen().await;
    while receiving.load(Ordering::Relaxed) {
        shared.registry_regained.listen().await;
    }
    log::info!(event = "registry-asked-again", topic = "config", from = from.to_string().as_str(); "");
    None
}

//! Reads the configuration: a read of one node waits for changes, others bound its age.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::log::Backoff;
use snipeyoke_lib::serving::freshness::LongPollWaits;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;

use crate::follow;
use crate::registry::Topic;
use crate::registry::Update;
use crate::shared::Shared;
use crate::watch::overtaken;
use crate::watch::watch;

/// Follows the configuration until the process ends.
pub(crate) async fn follow(shared: Arc<Shared>, seed: u64) {
    let mut backoff = Backoff::new(seed);
    let mut waits = LongPollWaits::new(seed);
    loop {
        follow::list(&shared, Topic::Config, &mut backoff).await;
        let wait = wait_for_changes(&shared, &mut backoff, &mut waits);
        wait.or(watch(&shared, ReplicaKind::Config, seed ^ 3)).await;
    }
}

/// Waits for changes of the configuration until its history is gone.
///
/// Only the node that reads for all waits at the registry, and tells the others.
async fn wait_for_changes(shared: &Shared, backoff: &mut Backoff, waits: &mut LongPollWaits) {
    let mut failing = false;
    loop {
        while !shared.is_reader() {
            let pause = shared.registry_polling().poll_interval();
            Timer::after(pause).await;
        }
        let sent = shared.now();
        let from = shared.next_of(Topic::Config);
        let wait = waits.sample();
        let Some(update) = read_waiting(shared, from, wait).await else {
            continue;
        };
        if !follow::take(shared, Topic::Config, sent, update, &mut failing) {
            return;
        }
        if failing {
            Timer::after(backoff.failed()).await;
        } else {
            backoff.succeeded();
        }
    }
}

/// Waits once for a change; `None` if the read was given up for another.
///
/// While the registry is silent it may swallow a read that waits, which then
/// waits for an answer that never comes. The reads that don't wait tell when the
/// registry answers again.
async fn read_waiting(shared: &Shared, from: Offset, wait: Duration) -> Option<Update> {
    let begun = shared.now();
    let coming = AtomicBool::new(false);
    let came = || {
        coming.store(true, Ordering::Relaxed);
        follow::note_came(shared, Topic::Config);
    };
    log::info!(event = "registry-asked", topic = "config", from = from.0, wait_ms = wait.as_millis() as u64; "");
    let answer = shared.registry.read(Topic::Config, from, wait, &came);
    let update = async { Some(answer.await) };
    let update = update.or(overtaken(shared, from));
    let update = update.or(lost(shared, from, &coming)).await;
    shared.catch_up().on_registry_end();
    let took = shared.now().since(begun).as_millis() as u64;
    let ended = end_of(update.as_ref());
    log::info!(event = "registry-answered", topic = "config", from = from.0, took_ms = took, ended; "");
    update
}

/// Names the way a read ended, for the log.
fn end_of(update: Option<&Update>) -> &'static str {
    match update {
        Some(Update::Records { records, .. }) if records.is_empty() => "nothing-new",
        Some(Update::Records { .. }) => "records",
        Some(Update::Truncated) => "gone",
        Some(Update::Failed(_)) => "failed",
        None => "given-up",
    }
}

/// Ends when the registry answers again and may have lost a read that waits.
///
/// What is on its way was not lost. On a full link short reads fail and work
/// again every second: a large answer that is dropped each time begins anew each
/// time, and fills the link for nothing.
async fn lost(shared: &Shared, from: Offset, coming: &AtomicBool) -> Option<Update> {
    shared.regained.listen().await;
    while coming.load(Ordering::Relaxed) {
        shared.regained.listen().await;
    }
    log::info!(event = "registry-asked-again", topic = "config", from = from.0; "");
    None
}

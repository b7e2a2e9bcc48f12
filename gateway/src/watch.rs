//! Bounds the time for which a change in the registry can stay unknown.

use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::log::Backoff;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::time::Time;

use crate::follow;
use crate::registry::Topic;
use crate::registry::Update;
use crate::shared::Shared;

/// Reads a topic whenever it is due, until its history is gone.
///
/// A read that waits for the next change tells nothing while it waits: the
/// registry may have lost it, or passed it over. These reads don't wait.
pub(crate) async fn watch(shared: &Shared, kept: ReplicaKind, seed: u64) {
    let topic = Topic::from(kept);
    let mut backoff = Backoff::new(seed);
    let mut sight = Sight::default();
    let mut failing = false;
    let mut pause = Duration::ZERO;
    loop {
        let not_before = shared.now() + pause;
        due(shared, kept, &mut sight, not_before).await;
        if kept == ReplicaKind::Endpoints && shared.differs.load(Ordering::Relaxed) {
            return;
        }
        let sent = shared.now();
        let from = shared.next_of(topic);
        pause = Duration::ZERO;
        // What has grown meanwhile is read on from there.
        let Some(update) = read(shared, topic, from).await else {
            continue;
        };
        if !follow::take(shared, topic, sent, update, &mut failing) {
            return;
        }
        if failing {
            pause = backoff.failed();
        } else {
            backoff.succeeded();
        }
    }
}

/// Reads once without waiting; `None` if the records have come another way.
async fn read(shared: &Shared, topic: Topic, from: Offset) -> Option<Update> {
    if topic != Topic::Config {
        let answer = shared.registry.read(topic, from, Duration::ZERO, &|| ());
        return Some(answer.await);
    }
    shared.catch_up().on_registry_read();
    let came = || follow::note_came(shared, topic);
    let answer = shared.registry.read(topic, from, Duration::ZERO, &came);
    let update = async { Some(answer.await) };
    let update = update.or(overtaken(shared, from)).await;
    shared.catch_up().on_registry_end();
    update
}

/// Ends when the records from an offset on have come another way.
///
/// The same records would come a second time, over a link that may be full.
pub(crate) async fn overtaken(shared: &Shared, from: Offset) -> Option<Update> {
    loop {
        let grown = shared.grown.listen();
        if shared.next_of(Topic::Config) > from {
            return None;
        }
        grown.await;
    }
}

/// Waits until a topic has to be read.
async fn due(shared: &Shared, kept: ReplicaKind, sight: &mut Sight, not_before: Time) {
    loop {
        // Listened for before the look, so that no news falls in between.
        let behind = shared.behind.listen();
        let regained = shared.regained.listen();
        sight.note(shared, kept);
        let now = shared.now();
        let at = read_at(shared, kept).max(not_before);
        if at <= now || kept == ReplicaKind::Endpoints && shared.differs.load(Ordering::Relaxed) {
            return;
        }
        // Another node may have to read for all from any moment on.
        let most = shared.registry_polling().poll_interval();
        let timer = async {
            Timer::after(at.since(now).min(most)).await;
        };
        timer.or(behind).or(regained).await;
    }
}

fn read_at(shared: &Shared, kept: ReplicaKind) -> Time {
    let first = shared.is_reader();
    let fresh = shared.registry_polling().read_at(kept, first);
    if kept == ReplicaKind::Endpoints {
        return fresh;
    }
    let catch_up = shared.catch_up();
    // The same records would come twice, over a link that may be full.
    fresh
        .min(catch_up.read_at())
        .max(catch_up.registry_active_until())
}

/// What logs and metrics tell of a copy's age.
#[derive(Debug, Default)]
struct Sight {
    lost: bool,
}

impl Sight {
    fn note(&mut self, shared: &Shared, kept: ReplicaKind) {
        let now = shared.now();
        let freshness = *shared.registry_polling().freshness(kept);
        let age = freshness.age(now).unwrap_or_default();
        let gauge = match kept {
            ReplicaKind::Config => metrics::gauge!("snipeyoke_config_age_seconds"),
            ReplicaKind::Endpoints => metrics::gauge!("snipeyoke_endpoints_age_seconds"),
        };
        gauge.set(age.as_secs_f64());
        let lost = freshness.is_expired(now);
        if lost == self.lost {
            return;
        }
        self.lost = lost;
        let age_ms = age.as_millis() as u64;
        let event = match (kept, lost) {
            (ReplicaKind::Config, true) => "config-unconfirmed",
            (ReplicaKind::Config, false) => "config-confirmed",
            (ReplicaKind::Endpoints, true) => "endpoints-unconfirmed",
            (ReplicaKind::Endpoints, false) => "endpoints-confirmed",
        };
        if lost {
            log::warn!(event, age_ms, remedy = "look at the way to the registry and to the other nodes"; "");
        } else {
            log::info!(event, age_ms; "");
        }
    }
}

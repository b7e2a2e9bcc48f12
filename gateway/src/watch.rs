//! Bounds the time for which a change of the configuration can stay unknown.

use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::log::Backoff;
use snipeyoke_lib::time::Time;

use crate::follow;
use crate::registry::Topic;
use crate::registry::Update;
use crate::shared::Shared;

/// Reads the configuration whenever it is due, until its history is gone.
///
/// The read that waits for the next change tells nothing while it waits: the
/// registry may have lost it, or passed it over. These reads don't wait.
pub(crate) async fn watch(shared: &Shared, seed: u64) {
    let mut backoff = Backoff::new(seed);
    let mut sight = Sight::default();
    let mut failing = false;
    let mut pause = Duration::ZERO;
    loop {
        let not_before = shared.now() + pause;
        due(shared, &mut sight, not_before).await;
        let sent = shared.now();
        let from = shared.next_of(Topic::Config);
        shared.catch_up().reads();
        pause = Duration::ZERO;
        // What has grown meanwhile is read on from there.
        let Some(update) = read(shared, from).await else {
            continue;
        };
        if !follow::take(shared, Topic::Config, sent, update, &mut failing) {
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
async fn read(shared: &Shared, from: Offset) -> Option<Update> {
    let came = || follow::note_came(shared, Topic::Config);
    let answer = shared
        .registry
        .read(Topic::Config, from, Duration::ZERO, &came);
    let update = async { Some(answer.await) };
    let update = update.or(overtaken(shared, from)).await;
    shared.catch_up().ended();
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

/// Waits until the configuration has to be read.
async fn due(shared: &Shared, sight: &mut Sight, not_before: Time) {
    loop {
        // Listened for before the look, so that no news falls in between.
        let behind = shared.behind.listen();
        let regained = shared.regained.listen();
        sight.note(shared);
        let now = shared.now();
        let at = read_at(shared).max(not_before);
        if at <= now {
            return;
        }
        // Another node may have to read for all from any moment on.
        let most = shared.freshness().look_pause();
        let timer = async {
            Timer::after(at.since(now).min(most)).await;
        };
        timer.or(behind).or(regained).await;
    }
}

fn read_at(shared: &Shared) -> Time {
    let first = shared.owners().reader(shared.now()) == shared.settings.listen.peers;
    let catch_up = shared.catch_up();
    let lacking = catch_up.read_at();
    // The same records would come twice, over a link that may be full.
    let coming = catch_up.coming_until();
    drop(catch_up);
    let fresh = shared.freshness().read_at(first);
    fresh.min(lacking).max(coming)
}

/// What logs and metrics tell of the configuration's age.
#[derive(Debug, Default)]
struct Sight {
    lost: bool,
}

impl Sight {
    fn note(&mut self, shared: &Shared) {
        let now = shared.now();
        let freshness = *shared.freshness();
        let age = freshness.age(now).unwrap_or_default();
        metrics::gauge!("snipeyoke_config_age_seconds").set(age.as_secs_f64());
        let lost = freshness.is_lost(now);
        if lost == self.lost {
            return;
        }
        self.lost = lost;
        let age_ms = age.as_millis() as u64;
        if lost {
            log::warn!(event = "config-unconfirmed", age_ms, remedy = "look at the way to the registry and to the other nodes"; "");
        } else {
            log::info!(event = "config-confirmed", age_ms; "");
        }
    }
}

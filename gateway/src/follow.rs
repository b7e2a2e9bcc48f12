//! Follows the registry's topics.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::log::Backoff;
use snipeyoke_lib::serving::replica::Record;

use crate::registry::Failure;
use crate::registry::NodeEntry;
use crate::registry::Page;
use crate::registry::Topic;
use crate::registry::Update;
use crate::shared::Shared;

/// How long a read of the configuration may wait for a change.
///
/// Each read has its price, and changes are minutes apart.
const CONFIG_WAIT: Duration = Duration::from_secs(20);

/// The pauses between the looks at the other nodes.
///
/// Nodes start together, so the first looks come soon; later ones only find
/// those that no neighbour has named.
const NODES_PAUSES: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_secs(2),
    Duration::from_secs(15),
];

/// Follows one topic until the process ends.
pub(crate) async fn follow(shared: Arc<Shared>, topic: Topic, seed: u64) {
    let mut backoff = Backoff::new(seed);
    loop {
        list(&shared, topic, &mut backoff).await;
        read_on(&shared, topic, &mut backoff).await;
    }
}

/// Reads the whole list, as often as it takes.
async fn list(shared: &Shared, topic: Topic, backoff: &mut Backoff) {
    loop {
        match pages(shared, topic).await {
            Ok((records, end)) => {
                backoff.succeeded();
                shared.replace(topic, records, end);
                note_read(shared, topic);
                return;
            }
            Err(failure) => {
                shared.catch_up().registry(true);
                log::warn!(event = "registry-failed", topic = topic.to_string().as_str(), call = "list", why = failure.to_string().as_str(); "");
            }
        }
        Timer::after(backoff.failed()).await;
    }
}

async fn pages(shared: &Shared, topic: Topic) -> Result<(Vec<Record>, Offset), Failure> {
    let mut all = Vec::new();
    // Pages are no snapshot: reading goes on from where the first one ended.
    let mut first_end = None;
    let mut after = None;
    loop {
        let Page { records, more, end } = shared
            .registry
            .newest(topic, after, &|| note_came(shared, topic))
            .await?;
        all.extend(records);
        let end = *first_end.get_or_insert(end);
        match more {
            Some(key) => after = Some(key),
            None => return Ok((all, end)),
        }
    }
}

/// Reads new records until some of them are no longer kept.
async fn read_on(shared: &Shared, topic: Topic, backoff: &mut Backoff) {
    let wait = if topic == Topic::Config {
        CONFIG_WAIT
    } else {
        Duration::ZERO
    };
    let mut failing = false;
    loop {
        // Endpoints write many times a second together: a read that waits for
        // the next record would never wait.
        if topic == Topic::Endpoints && !failing {
            Timer::after(shared.settings.read_pause()).await;
        }
        let from = match topic {
            Topic::Config => shared.replicas().config.next(),
            Topic::Endpoints | Topic::Nodes => shared.replicas().endpoints.next(),
        };
        let Some(update) = read(shared, topic, from, wait).await else {
            continue;
        };
        match update {
            Update::Records { records, next } => {
                backoff.succeeded();
                shared.catch_up().registry(false);
                if std::mem::take(&mut failing) {
                    log::info!(event = "registry-regained", topic = topic.to_string().as_str(); "");
                    shared.regained.notify(usize::MAX);
                }
                shared.extend(topic, records, next, "registry");
                note_read(shared, topic);
            }
            Update::Gone => {
                log::info!(event = "registry-history-gone", topic = topic.to_string().as_str(), from = from.0; "");
                return;
            }
            Update::Failed(failure) => {
                shared.catch_up().registry(true);
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(event = "registry-lost", topic = topic.to_string().as_str(), from = from.0, why = failure.to_string().as_str(); "");
                }
                Timer::after(backoff.failed()).await;
            }
        }
    }
}

/// Reads once; `None` if a read that waits has to be made again.
///
/// While the registry is silent it may swallow the read, which then waits for
/// an answer that never comes: a change made in the meantime would be in force
/// only when the read is given up, on all nodes. The reads that don't wait tell
/// when the registry answers again.
async fn read(shared: &Shared, topic: Topic, from: Offset, wait: Duration) -> Option<Update> {
    let begun = shared.now();
    let coming = AtomicBool::new(false);
    let came = || {
        coming.store(true, Ordering::Relaxed);
        note_came(shared, topic);
    };
    let update = async { Some(shared.registry.read(topic, from, wait, &came).await) };
    if wait.is_zero() {
        return update.await;
    }
    log::info!(event = "registry-asked", topic = topic.to_string().as_str(), from = from.0, wait_ms = wait.as_millis() as u64; "");
    let regained = async {
        shared.regained.listen().await;
        // What is on its way was not lost. On a full link short reads fail and
        // work again every second: a large answer that is dropped each time
        // begins anew each time, and fills the link for nothing.
        while coming.load(Ordering::Relaxed) {
            shared.regained.listen().await;
        }
        log::info!(event = "registry-asked-again", topic = topic.to_string().as_str(), from = from.0; "");
        None
    };
    // The same records would come a second time, over a link that may be full.
    let overtaken = async {
        loop {
            let grown = shared.grown.listen();
            if shared.replicas().config.next() > from {
                return None;
            }
            grown.await;
        }
    };
    let update = update.or(regained).or(overtaken).await;
    let ended = match &update {
        Some(Update::Records { records, .. }) if records.is_empty() => "nothing-new",
        Some(Update::Records { .. }) => "records",
        Some(Update::Gone) => "gone",
        Some(Update::Failed(_)) => "failed",
        None => "given-up",
    };
    let took = shared.now().since(begun).as_millis() as u64;
    log::info!(event = "registry-answered", topic = topic.to_string().as_str(), from = from.0, took_ms = took, ended; "");
    update
}

/// Notes that a piece of an answer came.
fn note_came(shared: &Shared, topic: Topic) {
    if topic == Topic::Config {
        shared.catch_up().came(shared.now());
    }
}

fn note_read(shared: &Shared, topic: Topic) {
    if topic == Topic::Endpoints {
        shared.replicas().read = Some(shared.now());
    }
}

/// Registers this node and looks for others.
pub(crate) async fn meet(shared: Arc<Shared>, seed: u64) {
    let mut backoff = Backoff::new(seed);
    let node = shared.settings.node.clone();
    let own = NodeEntry {
        address: shared.settings.listen.peers,
        power: Some(shared.settings.power),
    };
    while !shared.registry.announce(&node, own).await {
        Timer::after(backoff.failed()).await;
    }
    for pause in NODES_PAUSES {
        Timer::after(pause).await;
        match pages(&shared, Topic::Nodes).await {
            Ok((records, end)) => shared.replace(Topic::Nodes, records, end),
            Err(failure) => {
                log::warn!(event = "registry-failed", topic = "nodes", call = "list", why = failure.to_string().as_str(); "");
            }
        }
    }
}

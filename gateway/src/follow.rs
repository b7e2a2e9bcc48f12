//! Follows the registry's topics.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::log::Backoff;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::serving::replica::Record;
use snipeyoke_lib::time::Time;

use crate::registry::NodeEntry;
use crate::registry::Page;
use crate::registry::RegistryError;
use crate::registry::Topic;
use crate::registry::Update;
use crate::shared::Shared;
use crate::watch::watch;

/// The pauses before the list of nodes is read.
///
/// At once, since nodes that start again after a loss of power are listed from
/// before. Those that start for the first time find each other later.
const NODES_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(500),
    Duration::from_secs(2),
];

/// The pause between later lists, which one node reads for all.
///
/// They find nodes that no neighbour has named.
const NODES_PAUSE: Duration = Duration::from_secs(15);

/// Follows the endpoints until the process ends.
pub(crate) async fn follow_endpoints(shared: Arc<Shared>, seed: u64) {
    let mut backoff = Backoff::new(seed);
    loop {
        list(&shared, Topic::Endpoints, &mut backoff).await;
        shared.differs.store(false, Ordering::Relaxed);
        watch(&shared, ReplicaKind::Endpoints, seed ^ 5).await;
    }
}

/// Reads the whole list, as often as it takes.
///
/// It ends as well when a neighbour has told what the list would.
pub(crate) async fn list(shared: &Shared, topic: Topic, backoff: &mut Backoff) {
    let from = shared.next_of(topic);
    loop {
        let sent = shared.now();
        let pages = pages(shared, topic).await;
        if topic == Topic::Config {
            shared.catch_up().on_registry_end();
        }
        match pages {
            Ok((records, end)) => {
                backoff.succeeded();
                shared.registry_polling().on_read(shared.now(), true);
                shared.replace(topic, records, end);
                note_read(shared, topic, sent);
                return;
            }
            Err(failure) => {
                shared.registry_polling().on_read(shared.now(), false);
                shared.catch_up().set_registry_failed(true);
                log::warn!(event = "registry-failed", topic = topic.to_string().as_str(), call = "list", why = failure.to_string().as_str(); "");
            }
        }
        Timer::after(backoff.failed()).await;
        if shared.next_of(topic) > from {
            return;
        }
    }
}

async fn pages(shared: &Shared, topic: Topic) -> Result<(Vec<Record>, Offset), RegistryError> {
    let mut all = Vec::new();
    // Pages are no snapshot: reading goes on from where the first one ended.
    let mut first_end = None;
    let mut after = None;
    loop {
        let Page {
            records,
            next_key,
            end,
        } = shared
            .registry
            .list_page(topic, after, &|| note_came(shared, topic))
            .await?;
        all.extend(records);
        let end = *first_end.get_or_insert(end);
        match next_key {
            Some(key) => after = Some(key),
            None => return Ok((all, end)),
        }
    }
}

/// Takes in the end of a read that was sent at `sent`.
///
/// Tells whether reading goes on from there; if not, the list has to be read.
pub(crate) fn take(
    shared: &Shared,
    topic: Topic,
    sent: Time,
    update: Update,
    failing: &mut bool,
) -> bool {
    match update {
        Update::Records { records, next, end } => {
            shared.registry_polling().on_read(shared.now(), true);
            shared.catch_up().set_registry_failed(false);
            if std::mem::take(failing) {
                log::info!(event = "registry-regained", topic = topic.to_string().as_str(); "");
                shared.regained.notify(usize::MAX);
            }
            shared.extend(topic, records, next, "registry");
            if next >= end {
                note_read(shared, topic, sent);
            }
            !is_far(topic, next, end)
        }
        Update::Truncated => {
            let from = shared.next_of(topic).0;
            log::info!(event = "registry-history-gone", topic = topic.to_string().as_str(), from; "");
            false
        }
        Update::Failed(failure) => {
            shared.registry_polling().on_read(shared.now(), false);
            shared.catch_up().set_registry_failed(true);
            if !std::mem::replace(failing, true) {
                let from = shared.next_of(topic).0;
                log::warn!(event = "registry-lost", topic = topic.to_string().as_str(), from, why = failure.to_string().as_str(); "");
            }
            true
        }
    }
}

/// Tells whether the list brings a node further than reading on.
///
/// One answer carries a megabyte, and only the newest configuration counts: the
/// list has it alone, while reading on brings all that it has replaced.
fn is_far(topic: Topic, next: Offset, end: Offset) -> bool {
    let far = topic == Topic::Config && next < end;
    if far {
        log::info!(event = "registry-far-ahead", topic = topic.to_string().as_str(), next = next.0, end = end.0; "");
    }
    far
}

/// Notes that more of an answer came.
pub(crate) fn note_came(shared: &Shared, topic: Topic) {
    if topic == Topic::Config {
        shared.catch_up().on_registry_data(shared.now());
    }
}

/// Notes that all records up to the moment of `sent` are there.
fn note_read(shared: &Shared, topic: Topic, sent: Time) {
    let kept = match topic {
        Topic::Config => ReplicaKind::Config,
        Topic::Endpoints => ReplicaKind::Endpoints,
        Topic::Nodes => return,
    };
    shared.registry_polling().confirm(kept, sent);
}

/// Registers this node and looks for others.
pub(crate) async fn meet(shared: Arc<Shared>, seed: u64) {
    let mut backoff = Backoff::new(seed);
    let node = shared.settings.node.clone();
    let own = NodeEntry {
        address: shared.settings.listen.peers,
        power: Some(shared.settings.power),
    };
    while !shared.registry.register(&node, own).await {
        Timer::after(backoff.failed()).await;
    }
    let later = std::iter::repeat(NODES_PAUSE);
    let mut listed = false;
    for pause in NODES_PAUSES.into_iter().chain(later) {
        Timer::after(pause).await;
        // Who has a list of others leaves later ones to one node.
        if listed && !shared.is_reader() {
            continue;
        }
        match pages(&shared, Topic::Nodes).await {
            Ok((records, end)) => {
                listed = records.len() > 1;
                shared.replace(Topic::Nodes, records, end);
                if listed {
                    shared.listed.set();
                }
            }
            Err(failure) => {
                log::warn!(event = "registry-failed", topic = "nodes", call = "list", why = failure.to_string().as_str(); "");
            }
        }
    }
}

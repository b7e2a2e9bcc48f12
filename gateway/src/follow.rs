//! Follows the registry's topics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use snipeyoke_lib::log::Backoff;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::position::rewrite_delay;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::serving::replica::Record;
use snipeyoke_lib::serving::stream_origins::VersionSets;
use snipeyoke_lib::time::Time;

use crate::polling::poll_topic;
use crate::registry::NodeEntry;
use crate::registry::Page;
use crate::registry::RegistryError;
use crate::registry::Topic;
use crate::registry::Update;
use crate::request_context::sample;
use crate::shared::Shared;

/// The pauses before further reads of the list of nodes.
///
/// A node reads the list before it registers, since nodes that restart after a
/// power loss are still listed. Nodes that start for the first time find each
/// other later.
const DISCOVERY_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(500),
    Duration::from_secs(2),
];

/// The interval between later reads of the list, done by one node for all.
///
/// They find nodes that no peer has reported.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(15);

/// Follows the endpoints until the process ends.
pub(crate) async fn follow_endpoints(shared: Arc<Shared>, seed: u64) {
    let mut backoff = Backoff::new(seed);
    let mut listed = None;
    loop {
        read_list(&shared, Topic::Endpoints, &mut backoff).await;
        pause_after_list(&shared, Topic::Endpoints, &mut listed).await;
        shared.must_relist.store(false, Ordering::Relaxed);
        poll_topic(&shared, ReplicaKind::Endpoints, seed ^ 5).await;
    }
}

/// Waits after a list that brought no later position than the one before.
///
/// The read that follows it would show at once that a list is needed, again and again.
pub(crate) async fn pause_after_list(shared: &Shared, topic: Topic, listed: &mut Option<Position>) {
    let position = shared.next_position(topic);
    if listed.replace(position) == Some(position) {
        let pause = shared.registry_polling().poll_interval();
        Timer::after(pause).await;
    }
}

/// Reads the whole list, with retries.
///
/// Also ends when a peer has sent newer records.
pub(crate) async fn read_list(shared: &Shared, topic: Topic, backoff: &mut Backoff) {
    let from = shared.next_position(topic);
    loop {
        let sent = shared.now();
        let list = read_pages(shared, topic).await;
        if topic == Topic::Config {
            shared.catch_up().on_registry_end();
        }
        match list {
            Ok((records, end)) => {
                backoff.succeeded();
                shared.registry_polling().on_read(shared.now(), true);
                shared.replace(topic, records, end);
                confirm_read(shared, topic, sent);
                return;
            }
            Err(error) => {
                shared.registry_polling().on_read(shared.now(), false);
                shared.catch_up().set_registry_failed(true);
                log::warn!(event = "registry-failed", topic = topic.to_string().as_str(), call = "list", why = error.to_string().as_str(); "");
            }
        }
        Timer::after(backoff.failed()).await;
        if shared.next_position(topic) > from {
            return;
        }
    }
}

async fn read_pages(
    shared: &Shared,
    topic: Topic,
) -> Result<(Vec<Record>, Position), RegistryError> {
    let mut all = Vec::new();
    // Pages are not a snapshot: continue reading from the end of the first one.
    let mut first_end = None;
    let mut after = None;
    loop {
        let Page {
            records,
            next_key,
            end,
        } = shared
            .registry
            .list_page(topic, after, &|| record_progress(shared, topic))
            .await?;
        all.extend(records);
        let page_era = end.era;
        let end = *first_end.get_or_insert(end);
        if page_era != end.era {
            return Err(RegistryError::EraChanged);
        }
        match next_key {
            Some(key) => after = Some(key),
            None => return Ok((all, end)),
        }
    }
}

/// Handles the result of a read that was sent at `sent`.
///
/// Returns whether reading continues from there; otherwise the list has to be
/// read.
pub(crate) fn apply_update(
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
                shared.registry_regained.notify(usize::MAX);
            }
            shared.extend(topic, records, next, "registry");
            if next >= end {
                confirm_read(shared, topic, sent);
            }
            !should_relist(topic, next, end)
        }
        Update::Truncated => {
            let from = shared.next_position(topic).to_string();
            log::info!(event = "registry-history-gone", topic = topic.to_string().as_str(), from = from.as_str(); "");
            false
        }
        Update::OtherEra(era) => {
            shared.registry_polling().on_read(shared.now(), true);
            shared.on_era(era, "registry");
            false
        }
        Update::Failed(error) => {
            shared.registry_polling().on_read(shared.now(), false);
            shared.catch_up().set_registry_failed(true);
            if !std::mem::replace(failing, true) {
                let from = shared.next_position(topic).to_string();
                log::warn!(event = "registry-lost", topic = topic.to_string().as_str(), from = from.as_str(), why = error.to_string().as_str(); "");
            }
            true
        }
    }
}

/// Returns whether reading the list is faster than reading on.
///
/// A response carries at most a megabyte, and only the newest configuration
/// counts. The list has only that one, while reading on also transfers all
/// those that it replaced.
fn should_relist(topic: Topic, next: Position, end: Position) -> bool {
    let relist = topic == Topic::Config && next < end;
    if relist {
        log::info!(event = "registry-far-ahead", topic = topic.to_string().as_str(), next = next.to_string().as_str(), end = end.to_string().as_str(); "");
    }
    relist
}

/// Records that more of a response has arrived.
pub(crate) fn record_progress(shared: &Shared, topic: Topic) {
    if topic == Topic::Config {
        shared.catch_up().on_registry_data(shared.now());
    }
}

/// Records that all records up to the time `sent` have been received.
fn confirm_read(shared: &Shared, topic: Topic, sent: Time) {
    let kind = match topic {
        Topic::Config => ReplicaKind::Config,
        Topic::Endpoints => ReplicaKind::Endpoints,
        Topic::Nodes => return,
    };
    shared.registry_polling().confirm(kind, sent);
    shared.record_confirmed_endpoints();
}

/// Registers this node and discovers its peers.
pub(crate) async fn discover_peers(shared: Arc<Shared>, seed: u64) {
    let mut backoff = Backoff::new(seed);
    let node = shared.settings.node.clone();
    let own = NodeEntry {
        address: shared.settings.listen.peers,
        power: Some(shared.settings.power),
    };
    let before = learn_peers(&shared).await;
    // The other nodes may already know this node from before it restarted.
    if before.contains(&own.address) {
        shared.owners().mark_known();
    }
    let mut listed = before.len() > 1;
    while !shared.registry.register(&node, own).await {
        Timer::after(backoff.failed()).await;
    }
    let later = std::iter::repeat(DISCOVERY_INTERVAL);
    for pause in DISCOVERY_PAUSES.into_iter().chain(later) {
        Timer::after(pause).await;
        // A node that has a list of peers leaves later reads to one node.
        if !listed || shared.is_reader() || shared.origins().lacks_record(shared.now()) {
            listed |= learn_peers(&shared).await.len() > 1;
        }
    }
}

/// Reads the list of nodes. Returns their addresses; none if it can't be read.
async fn learn_peers(shared: &Shared) -> Vec<SocketAddr> {
    match read_pages(shared, Topic::Nodes).await {
        Ok((records, end)) => {
            let values = records.iter().filter_map(|r| r.value.as_ref());
            let nodes = values.filter_map(|v| shared.registry.parse_node(v));
            let nodes: Vec<SocketAddr> = nodes.map(|n| n.address).collect();
            let has_versions = records
                .iter()
                .any(|r| shared.registry.parse_versions(r).is_some());
            shared.replace(Topic::Nodes, records, end);
            if !has_versions {
                // Nothing has been served before.
                shared
                    .origins()
                    .apply_record(shared.now(), VersionSets::new());
            }
            if nodes.len() > 1 {
                shared.peers_listed.set();
            }
            nodes
        }
        Err(error) => {
            log::warn!(event = "registry-failed", topic = "nodes", call = "list", why = error.to_string().as_str(); "");
            Vec::new()
        }
    }
}

/// Registers this node again each time that the registry came back from a copy.
pub(crate) async fn keep_registered(shared: Arc<Shared>, seed: u64) {
    let mut backoff = Backoff::new(seed);
    let node = shared.settings.node.clone();
    let own = NodeEntry {
        address: shared.settings.listen.peers,
        power: Some(shared.settings.power),
    };
    let mut handled = 0;
    loop {
        let returned = shared.registry_returned.listen();
        let returns = shared.returns().count();
        if returns == handled {
            returned.await;
            continue;
        }
        let nodes = shared.owners().count();
        Timer::after(rewrite_delay(nodes, sample(&format!("{node} {returns}")))).await;
        while !shared.registry.register(&node, own).await {
            Timer::after(backoff.failed()).await;
        }
        backoff.succeeded();
        handled = returns;
        log::info!(event = "registered-again", returns; "");
        metrics::counter!("snipeyoke_registrations_repeated_total").increment(1);
    }
}

//! Follows the configuration from the log or from peers and puts it in force.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use rand::RngExt;
use rapidhash::v3::rapidhash_v3;
use snipeyoke_lib::config::Applied;
use snipeyoke_lib::config::Fold;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::log::FollowOutcome;
use snipeyoke_lib::log::Follower;
use snipeyoke_lib::log::LogStore;
use snipeyoke_lib::log::Topic;
use snipeyoke_wire::ConfigOffer;
use snipeyoke_wire::frame::Body;

use crate::agents::AgentLink;
use crate::board::ConfigFact;
use crate::node::Node;
use crate::snapshots::LogState;

/// The shortest pause of the loop, for a wake time that has already passed.
const PAUSE_MIN: Duration = Duration::from_millis(1);

/// The number of routers with long-poll reads: two for each of 12 failure domains.
///
/// If all 340 routers held a read, the log service would answer 340 reads per
/// change. The others receive changes through the agents that they share.
const READER_COUNT: usize = 24;

/// The mean pause between two reads of the other routers.
///
/// Matters only if all readers and the agents shared with them are down.
const RARE_READ_PAUSE: Duration = Duration::from_secs(30);

/// Follows the configuration until the router stops.
pub(crate) async fn run(node: Arc<Node>, log: Arc<dyn LogStore>) {
    let mut follower = Follower::new(Topic::config(), Offset(0), node.incarnation.0);
    let holds = holds_reads(&node);
    while !node.board.stop.is_set() {
        let now = node.clock.now();
        // Records that peers sent in the meantime are not read again.
        follower.seek(follower.next().max(node.book.next()));
        let Some(read) = follower.poll(now) else {
            pause(&node, follower.wake().since(now)).await;
            continue;
        };
        let stopped = async {
            node.board.stop.wait().await;
            None
        };
        metrics::counter!("snipeyoke_log_reads_total", "topic" => "config").increment(1);
        let answered = async { Some(log.read(read).await) };
        let Some(end) = answered.or(stopped).await else {
            return;
        };
        let read_result = follower.on_read_end(node.clock.now(), end);
        let read = !matches!(read_result, FollowOutcome::Failed);
        apply_read(&node, &mut follower, read_result);
        if read && !holds {
            let jitter: f64 = node.shared().rng.random_range(0.5..1.5);
            pause(&node, RARE_READ_PAUSE.mul_f64(jitter)).await;
        }
    }
}

/// Returns whether this router holds long-poll reads.
///
/// All routers rank the addresses that they know by the same hash. A router that
/// knows few others may hold an unneeded read, but a needed one is never missing.
fn holds_reads(node: &Node) -> bool {
    let own = node.settings.listen.peers;
    let rank = |address: &std::net::SocketAddr| rapidhash_v3(address.to_string().as_bytes());
    let others = node.settings.routers.iter().filter(|a| **a != own);
    others.filter(|a| rank(a) < rank(&own)).count() < READER_COUNT
}

async fn pause(node: &Node, wait: Duration) {
    let pause = async {
        Timer::after(wait.max(PAUSE_MIN)).await;
    };
    pause.or(node.board.stop.wait()).await;
}

fn apply_read(node: &Node, follower: &mut Follower, read_result: FollowOutcome) {
    let records = match read_result {
        FollowOutcome::Records { records, end, .. } => {
            let state = *node.log_state.get();
            node.log_state.set(LogState { end, ..state });
            records
        }
        FollowOutcome::Behind { first } => {
            log::warn!(event = "config-behind", first = first.0, remedy = "wait for a snapshot"; "");
            return;
        }
        FollowOutcome::Failed => {
            log::info!(event = "config-read-failed", remedy = "check the log service"; "");
            return;
        }
    };
    let mut read = Vec::new();
    let mut fold = node.book.fold();
    let before = fold.revision();
    for (offset, bytes) in records {
        let applied = fold.apply_bytes(offset, &bytes);
        record_applied(node, &fold, offset, &applied);
        if let Applied::Restored { next } = applied {
            // The snapshot covers less than what was skipped to reach it.
            follower.seek(next);
            break;
        }
        read.push((bytes, applied));
    }
    let changed = fold.revision() != before;
    if changed {
        put_in_force(node, &fold);
    }
    drop(fold);
    // An operator may query this router right after "accepted", so the change
    // is put in force before the operator is notified.
    for (bytes, applied) in &read {
        node.control.waiters.notify(bytes, applied);
    }
}

fn record_applied(node: &Node, fold: &Fold, offset: Offset, applied: &Applied) {
    node.control.on_applied(applied, fold);
    // A snapshot received from a peer has no offset in the log.
    let in_log = match applied {
        Applied::Covered => true,
        Applied::Restored { next } => offset > *next,
        _ => false,
    };
    if in_log {
        let state = *node.log_state.get();
        let at = node.clock.now();
        let snapshot = offset;
        node.log_state.set(LogState {
            snapshot,
            at,
            part_time: None,
            ..state
        });
    }
    if matches!(applied, Applied::Part) {
        let state = *node.log_state.get();
        let part_time = Some(node.clock.now());
        node.log_state.set(LogState { part_time, ..state });
    }
    match applied {
        Applied::Accepted { revision } => {
            log::info!(event = "config-accepted", offset = offset.0, revision = revision.0; "");
        }
        other => {
            log::info!(event = "config-record", offset = offset.0, applied = format!("{other:?}").as_str(); "");
        }
    }
}

/// Syncs the configuration with an agent that reports its offset.
pub(crate) fn sync_config(node: &Node, link: &AgentLink, theirs: Offset) {
    let own = node.book.next();
    if !link.needs_sync(node.clock.now(), own, theirs) {
        return;
    }
    if theirs > own {
        request_config(node, link);
        return;
    }
    for offer in node.book.announce(theirs) {
        link.send(Body::ConfigOffer(offer));
    }
}

fn request_config(node: &Node, link: &AgentLink) {
    if let Some(request) = node.book.request(node.clock.now()) {
        link.send(Body::ConfigAsk(request));
    }
}

/// Applies a configuration offer from a peer.
pub(crate) fn on_offer(node: &Node, link: &AgentLink, offer: &ConfigOffer) {
    let now = node.clock.now();
    let offered = node.book.apply_offer(now, offer, |fold, offset, applied| {
        record_applied(node, fold, offset, applied);
    });
    if offered.gap {
        request_config(node, link);
    }
    if offered.changed {
        let fold = node.book.fold();
        log::info!(event = "config-from-peer", next = fold.next().0, revision = fold.revision().0; "");
        put_in_force(node, &fold);
    }
    for (bytes, applied) in &offered.applied {
        node.control.waiters.notify(bytes, applied);
    }
}

fn put_in_force(node: &Node, fold: &Fold) {
    let config = fold.config();
    {
        let mut shared = node.shared();
        for (name, pool) in &config.pools {
            shared.fleet.set_price(name, pool.price);
        }
        let accounts = config.accounts.iter();
        shared.shares = accounts.map(|(n, a)| (n.clone(), a.share)).collect();
    };
    node.admission.set_accounts(node.clock.now(), &config);
    let fact = ConfigFact::new(config, fold.revision());
    node.board.config.set(fact);
}

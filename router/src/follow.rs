//! Follows the configuration, from the log or from peers, and puts it in force.

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
use crate::snapshots::Seen;

/// The shortest pause of the loop, for a wake time that has just passed.
const PAUSE_MIN: Duration = Duration::from_millis(1);

/// The routers that hold long reads: two for each of 12 failure domains.
///
/// 340 of them would have the service answer 340 reads for each change. The
/// others get what these read through the agents that they share.
const READERS: usize = 24;

/// The pause between two reads of the other routers.
///
/// It matters only if all readers and the agents shared with them are gone.
const SELDOM: Duration = Duration::from_secs(30);

/// Follows the configuration until the router stops.
pub(crate) async fn run(node: Arc<Node>, log: Arc<dyn LogStore>) {
    let mut follower = Follower::new(Topic::config(), Offset(0), node.incarnation.0);
    let holds = holds_reads(&node);
    while !node.board.stop.is_set() {
        let now = node.clock.now();
        // What came from peers meanwhile need not be read again.
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
        let news = follower.on_read_end(node.clock.now(), end);
        let read = !matches!(news, FollowOutcome::Failed);
        take(&node, &mut follower, news);
        if read && !holds {
            let share: f64 = node.shared().rng.random_range(0.5..1.5);
            pause(&node, SELDOM.mul_f64(share)).await;
        }
    }
}

/// Tells whether this router is one of those that hold long reads.
///
/// Every router ranks the addresses that it knows by the same hash; one that
/// knows few others holds a read more often than needed, never less.
fn holds_reads(node: &Node) -> bool {
    let own = node.settings.listen.peers;
    let rank = |address: &std::net::SocketAddr| rapidhash_v3(address.to_string().as_bytes());
    let others = node.settings.routers.iter().filter(|a| **a != own);
    others.filter(|a| rank(a) < rank(&own)).count() < READERS
}

async fn pause(node: &Node, wait: Duration) {
    let pause = async {
        Timer::after(wait.max(PAUSE_MIN)).await;
    };
    pause.or(node.board.stop.wait()).await;
}

fn take(node: &Node, follower: &mut Follower, news: FollowOutcome) {
    let records = match news {
        FollowOutcome::Records { records, end, .. } => {
            let seen = *node.log_seen.get();
            node.log_seen.set(Seen { end, ..seen });
            records
        }
        FollowOutcome::Behind { first } => {
            log::warn!(event = "config-behind", first = first.0, remedy = "wait for a snapshot"; "");
            return;
        }
        FollowOutcome::Failed => {
            log::info!(event = "config-read-failed", remedy = "look after the log service"; "");
            return;
        }
    };
    let mut read = Vec::new();
    let mut fold = node.book.fold();
    let before = fold.revision();
    for (offset, bytes) in records {
        let applied = fold.apply_bytes(offset, &bytes);
        note(node, &fold, offset, &applied);
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
    // An operator who is told "accepted" may ask this router at once, so the
    // change is in force here before they are told.
    for (bytes, applied) in &read {
        node.control.waiters.tell(bytes, applied);
    }
}

fn note(node: &Node, fold: &Fold, offset: Offset, applied: &Applied) {
    node.control.on_applied(applied, fold);
    // A snapshot taken from a peer stands at no offset of the log.
    let in_log = match applied {
        Applied::Covered => true,
        Applied::Restored { next } => offset > *next,
        _ => false,
    };
    if in_log {
        let seen = *node.log_seen.get();
        let at = node.clock.now();
        let snapshot = offset;
        node.log_seen.set(Seen {
            snapshot,
            at,
            part: None,
            ..seen
        });
    }
    if matches!(applied, Applied::Part) {
        let seen = *node.log_seen.get();
        let part = Some(node.clock.now());
        node.log_seen.set(Seen { part, ..seen });
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

/// Levels the configuration with an agent that reports an offset.
pub(crate) fn level(node: &Node, link: &AgentLink, theirs: Offset) {
    let own = node.book.next();
    if !link.is_uneven(node.clock.now(), own, theirs) {
        return;
    }
    if theirs > own {
        ask(node, link);
        return;
    }
    for offer in node.book.push(theirs) {
        link.pass_on(Body::ConfigOffer(offer));
    }
}

fn ask(node: &Node, link: &AgentLink) {
    if let Some(ask) = node.book.ask(node.clock.now()) {
        link.pass_on(Body::ConfigAsk(ask));
    }
}

/// Takes what a peer offers.
pub(crate) fn offered(node: &Node, link: &AgentLink, offer: &ConfigOffer) {
    let now = node.clock.now();
    let taken = node.book.take(now, offer, |fold, offset, applied| {
        note(node, fold, offset, applied);
    });
    if taken.gap {
        ask(node, link);
    }
    if taken.changed {
        let fold = node.book.fold();
        log::info!(event = "config-from-peer", next = fold.next().0, revision = fold.revision().0; "");
        put_in_force(node, &fold);
    }
    for (bytes, applied) in &taken.read {
        node.control.waiters.tell(bytes, applied);
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
    node.admission.set(node.clock.now(), &config);
    let fact = ConfigFact::new(config, fold.revision());
    node.board.config.set(fact);
}

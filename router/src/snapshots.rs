//! Publishes snapshots of the configuration before retention takes its records.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use rand::RngExt;
use snipeyoke_lib::config::INCOMPLETE_BYTES_MAX;
use snipeyoke_lib::config::PART_COUNT_MAX;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::log::Append;
use snipeyoke_lib::log::AppendEnd;
use snipeyoke_lib::log::LogStore;
use snipeyoke_lib::log::Topic;
use snipeyoke_lib::record::Author;
use snipeyoke_lib::record::Record;
use snipeyoke_lib::record::RecordId;
use snipeyoke_lib::time::Time;
use uuid::Uuid;

use crate::node::Node;

/// The records after a snapshot at which the next one is due.
const RECORDS_MAX: u64 = 64;

/// The age of a snapshot at which the next one is due.
///
/// The log keeps records for six hours or more, so a reader always finds a
/// snapshot, also when nobody has changed anything for days.
const AGE_MAX: Duration = Duration::from_mins(30);

/// The longest pause before a due snapshot is published.
///
/// All routers find it due at about the same time. Each waits a random part of
/// this, and the first one's snapshot spares the others theirs.
const SPREAD: Duration = Duration::from_secs(5);

/// The tries to append one part.
///
/// A snapshot that lacks one part is lost, with all that was sent of it. A part
/// that is appended twice does no harm.
const TRIES: usize = 3;

/// The pause between two looks, or two tries.
const LOOK: Duration = Duration::from_secs(1);

/// What is known of the log's topic.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Seen {
    /// The offset after the newest record, when last read.
    pub(crate) end: Offset,
    /// The newest snapshot, or the start of the topic.
    pub(crate) snapshot: Offset,
    /// When that snapshot was read.
    pub(crate) at: Time,
    /// When the newest part of a snapshot not yet whole was read.
    pub(crate) part: Option<Time>,
}

/// Publishes snapshots until the router stops.
pub(crate) async fn run(node: Arc<Node>, log: Arc<dyn LogStore>) {
    let work = async {
        loop {
            Timer::after(LOOK).await;
            if !is_due(&node) {
                continue;
            }
            let share: f64 = node.shared().rng.random();
            Timer::after(SPREAD.mul_f64(share)).await;
            if is_due(&node) {
                publish(&node, log.as_ref()).await;
            }
        }
    };
    work.or(node.board.stop.wait()).await;
}

fn is_due(node: &Node) -> bool {
    let seen = node.log_seen.get();
    let next = node.book.next();
    // A state that is behind the log would be a snapshot of no use.
    if next != seen.end || next == Offset(0) {
        return false;
    }
    // Somebody is publishing, or stopped half-way if nothing comes any more.
    let now = node.clock.now();
    if seen.part.is_some_and(|at| now.since(at) < SPREAD) {
        return false;
    }
    let aged = now.since(seen.at) > AGE_MAX;
    aged || next.0.saturating_sub(seen.snapshot.0) > RECORDS_MAX
}

async fn publish(node: &Node, log: &dyn LogStore) {
    let snapshot = node.book.fold().snapshot();
    let covers = snapshot.next;
    let author = Author::Node(node.settings.node.clone());
    let records = snapshot.records(&author, || RecordId(Uuid::now_v7()));
    let parts = records.len();
    let records: Vec<_> = records.iter().map(Record::encode).collect();
    let bytes: usize = records.iter().map(Vec::len).sum();
    if bytes > INCOMPLETE_BYTES_MAX || parts > PART_COUNT_MAX as usize {
        log::warn!(event = "config-too-large", bytes, limit = INCOMPLETE_BYTES_MAX, remedy = "remove client accounts"; "");
    }
    let mut done = true;
    for record in records {
        done = done && append(node, log, record).await;
    }
    log::info!(event = "config-snapshot", covers = covers.0, parts, bytes, done; "");
}

/// Appends one record, the log service's limit for one append.
async fn append(node: &Node, log: &dyn LogStore, record: Vec<u8>) -> bool {
    for _try in 0..TRIES {
        if node.board.stop.is_set() {
            return false;
        }
        let append = Append {
            topic: Topic::config(),
            records: vec![record.clone()],
        };
        metrics::counter!("snipeyoke_log_appends_total", "kind" => "snapshot").increment(1);
        if let AppendEnd::Done { .. } = log.append(append).await {
            return true;
        }
        Timer::after(LOOK).await;
    }
    false
}

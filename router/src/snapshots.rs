//! Publishes snapshots of the configuration before log retention drops its records.

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

/// The number of records after a snapshot at which the next one is due.
const RECORDS_MAX: u64 = 64;

/// The age of a snapshot at which the next one is due.
///
/// The log keeps records for six hours or more, so readers always find a
/// snapshot, even if nothing has changed for days.
const AGE_MAX: Duration = Duration::from_mins(30);

/// The maximum random delay before a due snapshot is published.
///
/// It is due on all routers at about the same time. Each waits a random fraction
/// of this, and the others skip theirs after the first snapshot.
const JITTER_MAX: Duration = Duration::from_secs(5);

/// The attempts to append one part of a snapshot.
///
/// If one part is missing, the whole snapshot is lost. Appending a part twice is
/// harmless.
const APPEND_ATTEMPTS: usize = 3;

/// The poll interval, and the pause between two attempts.
const POLL_PAUSE: Duration = Duration::from_secs(1);

/// The state of the configuration topic in the log.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LogState {
    /// The offset after the newest record at the last read.
    pub(crate) end: Offset,
    /// The offset of the newest snapshot, or of the start of the topic.
    pub(crate) snapshot: Offset,
    /// The time when that snapshot was read.
    pub(crate) at: Time,
    /// The time when the newest part of an incomplete snapshot was read.
    pub(crate) part_time: Option<Time>,
}

/// Publishes snapshots until the router stops.
pub(crate) async fn run(node: Arc<Node>, log: Arc<dyn LogStore>) {
    let work = async {
        loop {
            Timer::after(POLL_PAUSE).await;
            if !is_due(&node) {
                continue;
            }
            let jitter: f64 = node.shared().rng.random();
            Timer::after(JITTER_MAX.mul_f64(jitter)).await;
            if is_due(&node) {
                publish(&node, log.as_ref()).await;
            }
        }
    };
    work.or(node.board.stop.wait()).await;
}

fn is_due(node: &Node) -> bool {
    let state = node.log_state.get();
    let next = node.book.next();
    // A snapshot of a state behind the log would be of no use.
    if next != state.end || next == Offset(0) {
        return false;
    }
    // Another router is publishing, or stopped half-way if no more parts arrive.
    let now = node.clock.now();
    if state.part_time.is_some_and(|at| now.since(at) < JITTER_MAX) {
        return false;
    }
    let aged = now.since(state.at) > AGE_MAX;
    aged || next.0.saturating_sub(state.snapshot.0) > RECORDS_MAX
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

/// Appends one record; a full one is near the limit of the log service for one append.
async fn append(node: &Node, log: &dyn LogStore, record: Vec<u8>) -> bool {
    for _attempt in 0..APPEND_ATTEMPTS {
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
        Timer::after(POLL_PAUSE).await;
    }
    false
}

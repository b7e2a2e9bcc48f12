//! Appends records in batches and retries unanswered appends.

use std::collections::VecDeque;

use crate::ids::Offset;
use crate::log::Append;
use crate::log::AppendEnd;
use crate::log::Backoff;
use crate::log::Topic;
use crate::record::Record;
use crate::record::RecordId;
use crate::time::Time;

/// The maximum number of records in one append.
pub const BATCH_RECORDS: usize = 64;

/// The maximum number of bytes in one append, unless a single record is larger.
pub const BATCH_BYTES: usize = 256 * 1024;

#[derive(Debug, Clone)]
struct QueuedRecord {
    id: RecordId,
    bytes: Vec<u8>,
}

/// The queue of records that one process appends to one topic.
///
/// Only one append is in flight at a time, which preserves the order of records.
/// An unanswered append is retried with the same records: folds identify a
/// record by its id, so a second copy has no effect. A record is accepted not
/// when its append succeeds, but when the fold has read it back.
#[derive(Debug, Clone)]
pub struct Publisher {
    topic: Topic,
    queue: VecDeque<QueuedRecord>,
    in_flight: usize,
    next_attempt: Time,
    backoff: Backoff,
}

impl Publisher {
    /// Creates an empty queue, with a seed for the backoff's jitter.
    #[must_use]
    pub fn new(topic: Topic, seed: u64) -> Self {
        Self {
            topic,
            queue: VecDeque::new(),
            in_flight: 0,
            next_attempt: Time::ZERO,
            backoff: Backoff::new(seed),
        }
    }

    /// Queues a record.
    pub fn submit(&mut self, record: &Record) {
        self.queue.push_back(QueuedRecord {
            id: record.id,
            bytes: record.encode(),
        });
    }

    /// Returns the number of records that are queued or in flight.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.queue.len()
    }

    /// Returns when [`Self::poll`] may next return an append.
    #[must_use]
    pub fn wake(&self) -> Time {
        if self.queue.is_empty() || self.in_flight > 0 {
            return Time::NEVER;
        }
        self.next_attempt
    }

    /// Returns the next append, if one is due.
    pub fn poll(&mut self, now: Time) -> Option<Append> {
        if self.wake() > now {
            return None;
        }
        self.in_flight = self.batch_len();
        let batch = self.queue.iter().take(self.in_flight);
        Some(Append {
            topic: self.topic.clone(),
            records: batch.map(|w| w.bytes.clone()).collect(),
        })
    }

    fn batch_len(&self) -> usize {
        let mut bytes = 0;
        let fitting = self.queue.iter().take(BATCH_RECORDS).take_while(|w| {
            bytes += w.bytes.len();
            bytes <= BATCH_BYTES
        });
        fitting.count().max(1)
    }

    /// Handles the end of the append in flight, and returns its offset on success.
    pub fn on_append_end(&mut self, now: Time, end: &AppendEnd) -> Option<Offset> {
        let in_flight = std::mem::take(&mut self.in_flight);
        match end {
            AppendEnd::Done { offset } => {
                self.queue.drain(..in_flight.min(self.queue.len()));
                self.backoff.succeeded();
                self.next_attempt = now;
                Some(*offset)
            }
            AppendEnd::NotDone { retry_after } => {
                let pause = self.backoff.failed();
                self.next_attempt =
                    now + retry_after.map_or(pause, |requested| requested.max(pause));
                None
            }
            AppendEnd::Unanswered => {
                self.next_attempt = now + self.backoff.failed();
                None
            }
        }
    }

    /// Removes a record that was read back, so that it is not appended again.
    pub fn on_read_back(&mut self, id: RecordId) {
        // The batch in flight is a prefix of the queue, so its length shrinks too.
        if let Some(index) = self.queue.iter().position(|w| w.id == id) {
            self.queue.remove(index);
            if index < self.in_flight {
                self.in_flight -= 1;
            }
        }
    }
}

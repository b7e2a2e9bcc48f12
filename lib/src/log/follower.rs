//! Reads one topic in order.

use std::time::Duration;

use crate::ids::Offset;
use crate::log::Backoff;
use crate::log::Read;
use crate::log::ReadEnd;
use crate::log::Topic;
use crate::time::Time;
use crate::units::Bytes;

/// How long the service may hold a read until a record exists.
const READ_WAIT: Duration = Duration::from_secs(20);

/// The pause after an empty read.
const EMPTY_PAUSE: Duration = Duration::from_millis(100);

/// The maximum number of bytes in one read.
const READ_BYTES_MAX: Bytes = Bytes(1024 * 1024);

/// The outcome of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowOutcome {
    /// The records, each with its offset.
    Records {
        /// The records, in offset order.
        records: Vec<(Offset, Vec<u8>)>,
        /// The lowest retained offset.
        first: Offset,
        /// The offset after the newest record.
        end: Offset,
    },
    /// Retention has removed the next records; reading continues at `first`.
    Behind {
        /// The lowest retained offset.
        first: Offset,
    },
    /// The read failed or got no response.
    Failed,
}

/// The position of one reader in one topic.
#[derive(Debug, Clone)]
pub struct Follower {
    topic: Topic,
    next: Offset,
    in_flight: Option<Offset>,
    next_attempt: Time,
    backoff: Backoff,
    last_response: Option<Time>,
}

impl Follower {
    /// Creates a follower at an offset, with a seed for the backoff's jitter.
    #[must_use]
    pub fn new(topic: Topic, next: Offset, seed: u64) -> Self {
        Self {
            topic,
            next,
            in_flight: None,
            next_attempt: Time::ZERO,
            backoff: Backoff::new(seed),
            last_response: None,
        }
    }

    /// Returns the next offset to read.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Returns the time of the last successful response, if any.
    #[must_use]
    pub const fn last_response(&self) -> Option<Time> {
        self.last_response
    }

    /// Continues at an offset to which a snapshot or a peer has advanced the state.
    pub const fn seek(&mut self, next: Offset) {
        self.next = next;
    }

    /// Returns when [`Self::poll`] may next return a read.
    #[must_use]
    pub const fn wake(&self) -> Time {
        if self.in_flight.is_some() {
            return Time::NEVER;
        }
        self.next_attempt
    }

    /// Returns the next read, if one is due.
    pub fn poll(&mut self, now: Time) -> Option<Read> {
        if self.wake() > now {
            return None;
        }
        self.in_flight = Some(self.next);
        Some(Read {
            topic: self.topic.clone(),
            from: self.next,
            wait: READ_WAIT,
            limit: READ_BYTES_MAX,
        })
    }

    /// Handles the end of the read in flight.
    pub fn on_read_end(&mut self, now: Time, end: ReadEnd) -> FollowOutcome {
        let from = self.in_flight.take().unwrap_or(self.next);
        match end {
            ReadEnd::Records {
                first,
                end,
                records,
            } => {
                self.on_response(now);
                let offsets = (from.0..).map(Offset);
                let records: Vec<_> = offsets.zip(records).collect();
                // A seek during the read takes precedence; the fold handles
                // records that are old or leave a gap.
                if let (Some((last, _)), true) = (records.last(), self.next == from) {
                    self.next = last.next();
                }
                // A service that doesn't hold reads would be polled in a tight loop.
                if records.is_empty() {
                    self.next_attempt = now + EMPTY_PAUSE;
                }
                FollowOutcome::Records {
                    records,
                    first,
                    end,
                }
            }
            ReadEnd::Gone { first } => {
                self.on_response(now);
                self.next = self.next.max(first);
                FollowOutcome::Behind { first }
            }
            ReadEnd::Failed => {
                self.next_attempt = now + self.backoff.failed();
                FollowOutcome::Failed
            }
        }
    }

    const fn on_response(&mut self, now: Time) {
        self.backoff.succeeded();
        self.next_attempt = now;
        self.last_response = Some(now);
    }
}

//! Freshness of a node's replicas of the registry.
//!
//! A long poll of the registry brings the next change within milliseconds but
//! shows nothing while it waits: a poll that the registry has lost looks the
//! same as one without changes. What is tracked is the time up to which the
//! replica held everything that was confirmed. Short reads of the registry
//! advance it; one node makes them for all, and the others poll that node. A
//! node that learns of no recent time reads the registry itself, so the time
//! for which a confirmed change can stay unknown is bounded whatever happens to
//! reads, nodes and links.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::time::Time;

/// The read interval of the reader, as a fraction of the bound.
///
/// This is two reads a second at a bound of 2 s, for all nodes together.
const READ_FRACTION: f64 = 0.25;

/// The interval at which other nodes poll the reader, as a fraction of the
/// bound.
const POLL_FRACTION: f64 = 0.2;

/// The age from which a replica is late, as a fraction of the bound.
///
/// Without faults, the read, the poll and their responses take this long, plus
/// some milliseconds.
const LATE_FRACTION: f64 = 0.45;

/// The age at which a node reads for itself, as a fraction of the bound.
///
/// Between [`LATE_FRACTION`] and this age another node takes over the reads for
/// all. The remaining time is for the read itself and for a copy of a large
/// configuration.
const STALE_FRACTION: f64 = 0.65;

/// The age up to which a node polls more often, as a fraction of the bound.
///
/// At a greater age no node can read the registry, and more polls find nothing.
const FAST_POLL_FRACTION: f64 = 0.75;

/// The factor by which the poll interval is shortened while a replica is late.
const FAST_POLL_FACTOR: u32 = 4;

/// The time up to which a replica is known to be complete.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    bound: Duration,
    confirmed: Option<Time>,
}

impl Freshness {
    /// Creates the state of a missing replica. A confirmed change has to be
    /// known within `bound`.
    #[must_use]
    pub const fn new(bound: Duration) -> Self {
        Self {
            bound,
            confirmed: None,
        }
    }

    /// Records that the replica held everything that was confirmed by `at`.
    ///
    /// `at` is when the request was sent: the response covers what was
    /// confirmed by then, and its transfer may have taken long.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Returns the time up to which the replica is known to be complete; `None` if there
    /// never was one.
    #[must_use]
    pub const fn confirmed(&self) -> Option<Time> {
        self.confirmed
    }

    /// Returns the age from which a node cannot read for others.
    #[must_use]
    pub fn stale_after(&self) -> Duration {
        self.bound.mul_f64(STALE_FRACTION)
    }

    /// Returns the age of the replica; `None` if there never was one.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Returns whether a change may have been unknown for longer than the
    /// bound.
    #[must_use]
    pub fn is_expired(&self, now: Time) -> bool {
        self.age(now).is_none_or(|age| age > self.bound)
    }

    /// Returns whether a node with a replica of this age cannot read for
    /// others.
    #[must_use]
    pub fn cannot_read(&self, age: Option<Duration>) -> bool {
        age.is_none_or(|age| age > self.stale_after())
    }

    /// Returns whether the replica is older than a working reader lets it
    /// become.
    #[must_use]
    pub fn is_late(&self, now: Time) -> bool {
        self.age(now)
            .is_none_or(|age| age > self.bound.mul_f64(LATE_FRACTION))
    }

    /// Returns when this node reads the registry next; `is_reader` if it reads
    /// for all.
    #[must_use]
    pub fn read_at(&self, is_reader: bool) -> Time {
        let fraction = if is_reader {
            READ_FRACTION
        } else {
            STALE_FRACTION
        };
        let at = |confirmed| confirmed + self.bound.mul_f64(fraction);
        self.confirmed.map_or(Time::ZERO, at)
    }

    /// Returns the interval between two polls of the reader.
    #[must_use]
    pub fn poll_interval(&self) -> Duration {
        self.bound.mul_f64(POLL_FRACTION)
    }

    /// Returns the current poll interval, which is shorter while another reader
    /// takes over.
    #[must_use]
    pub fn poll_interval_at(&self, now: Time) -> Duration {
        let age = self.age(now).unwrap_or(Duration::MAX);
        let is_urgent = self.is_late(now) && age < self.bound.mul_f64(FAST_POLL_FRACTION);
        self.poll_interval() / if is_urgent { FAST_POLL_FACTOR } else { 1 }
    }
}

/// The range of long-poll durations, in seconds.
///
/// Each read has a cost, and changes are minutes apart.
const LONG_POLL_SECONDS: std::ops::Range<f64> = 15.0..25.0;

/// Random durations of long polls.
///
/// Nodes start together. With the same duration their polls would end and begin
/// at the same moments, and a fault that affects one would affect all.
#[derive(Debug, Clone)]
pub struct LongPollWaits(Pcg64Mcg);

impl LongPollWaits {
    /// Creates a generator from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::new(u128::from(seed) << 1 | 1))
    }

    /// Returns the duration of the next long poll.
    pub fn sample(&mut self) -> Duration {
        Duration::from_secs_f64(self.0.random_range(LONG_POLL_SECONDS))
    }
}

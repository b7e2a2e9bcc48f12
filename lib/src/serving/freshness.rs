//! How recent a node's copy of the configuration is known to be.
//!
//! A read that waits for the next change brings it within milliseconds, and says
//! nothing while it waits: one that the registry has lost looks the same as one
//! that has nothing to tell. What is known is a moment up to which the copy held
//! everything that was confirmed. Short reads of the registry move it on, made by
//! one node for all: the others look at that node. A node that learns of no
//! recent moment reads for itself, so that the time for which a confirmed change
//! can stay unknown is bounded whatever becomes of reads, nodes and links.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::time::Time;

/// How often the first node reads, as a part of the bound.
///
/// Two reads a second at a bound of 2 s, for all nodes together.
const READ_FRACTION: f64 = 0.25;

/// How often the other nodes look at the first one, as a part of the bound.
const POLL_FRACTION: f64 = 0.2;

/// The age from which something is wrong, as a part of the bound.
///
/// Read, look and their answers take as much, and some milliseconds, where all
/// is well.
const LATE_FRACTION: f64 = 0.45;

/// The age at which a node reads for itself, as a part of the bound.
///
/// Between this and [`LATE`] another node takes over the reads for all. What is
/// left of the bound is for the read itself and for a copy of a large
/// configuration.
const STALE_FRACTION: f64 = 0.65;

/// The age up to which a node looks more often, as a part of the bound.
///
/// Beyond it nobody can read, and more looks find nothing.
const FAST_POLL_FRACTION: f64 = 0.75;

/// How many times more often a node looks while it hurries.
const FAST_POLL_FACTOR: u32 = 4;

/// The moment up to which a copy is known to be complete.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    bound: Duration,
    confirmed: Option<Time>,
}

impl Freshness {
    /// Starts without a copy; a confirmed change has to be known within `bound`.
    #[must_use]
    pub const fn new(bound: Duration) -> Self {
        Self {
            bound,
            confirmed: None,
        }
    }

    /// Notes that the copy held everything that was confirmed by `at`.
    ///
    /// `at` is when the question was sent: the answer tells of what was confirmed
    /// by then, and it may have been long on its way.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Returns for how long nothing is known; `None` if nothing ever was.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Tells whether a change may have been unknown for longer than the bound.
    #[must_use]
    pub fn is_expired(&self, now: Time) -> bool {
        self.age(now).is_none_or(|age| age > self.bound)
    }

    /// Tells whether a node of such an age can't read for others.
    #[must_use]
    pub fn cannot_read(&self, age: Option<Duration>) -> bool {
        age.is_none_or(|age| age > self.bound.mul_f64(STALE_FRACTION))
    }

    /// Tells whether more time has passed than a reader needs.
    #[must_use]
    pub fn is_late(&self, now: Time) -> bool {
        self.age(now)
            .is_none_or(|age| age > self.bound.mul_f64(LATE_FRACTION))
    }

    /// Returns when this node reads the registry; `first` if it does so for all.
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

    /// Returns the pause between two looks at the node that reads for all.
    #[must_use]
    pub fn poll_interval(&self) -> Duration {
        self.bound.mul_f64(POLL_FRACTION)
    }

    /// Returns that pause as of now: shorter while another reader takes over.
    #[must_use]
    pub fn poll_interval_at(&self, now: Time) -> Duration {
        let age = self.age(now).unwrap_or(Duration::MAX);
        let is_urgent = self.is_late(now) && age < self.bound.mul_f64(FAST_POLL_FRACTION);
        self.poll_interval() / if is_urgent { FAST_POLL_FACTOR } else { 1 }
    }
}

/// The shortest and the longest wait of a read for the next change, in seconds.
///
/// Each read has its price, and changes are minutes apart.
const LONG_POLL_SECONDS: std::ops::Range<f64> = 15.0..25.0;

/// How long each read waits for the next change.
///
/// Nodes start together. With one wait for all of them their reads end and begin
/// at the same moments, and what happens to one then happens to all.
#[derive(Debug, Clone)]
pub struct LongPollWaits(Pcg64Mcg);

impl LongPollWaits {
    /// Starts with a seeded generator.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::new(u128::from(seed) << 1 | 1))
    }

    /// Returns the wait of the next read.
    pub fn sample(&mut self) -> Duration {
        Duration::from_secs_f64(self.0.random_range(LONG_POLL_SECONDS))
    }
}

//! Who reads the registry, and how recent a node's copies are.
//!
//! One node reads each topic for all, the others look at it: calls to the
//! registry stay the same however many nodes there are. Who is looked at reads,
//! so that no election is needed. A node whose copy grows too old all the same
//! reads for itself, whatever became of readers and links.

use std::net::SocketAddr;
use std::time::Duration;

use super::freshness::Freshness;
use super::owners::Owners;
use crate::time::Time;

/// The part of the notice that is kept for a call under way when its endpoint
/// begins to leave.
///
/// Choosing, connecting and sending take some ten milliseconds, and some hundred
/// on a slow host.
const DISPATCH_TIME: Duration = Duration::from_millis(400);

/// The failed reads in a row after which a node does not read for others.
///
/// A single answer is lost now and then.
const FAILED_READS_MAX: u32 = 2;

/// How long a node that fails to read leaves it to others before it tries again.
const READER_SUSPENSION: Duration = Duration::from_secs(5);

/// The shortest time between two lists that are read because copies differ.
///
/// A difference that a list does not mend must not make every node read it again
/// with each look.
const MISMATCH_INTERVAL: Duration = Duration::from_secs(15);

/// What nodes keep a copy of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(derive_more::Display)]
pub enum ReplicaKind {
    /// The configuration.
    #[display("config")]
    Config,
    /// The endpoints.
    #[display("endpoints")]
    Endpoints,
}

/// All that nodes keep copies of.
pub const REPLICA_KINDS: [ReplicaKind; 2] = [ReplicaKind::Config, ReplicaKind::Endpoints];

/// What a node says of itself when it is looked at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReplicaStatus {
    /// Whether it can't read the registry for others.
    pub cannot_read: bool,
    /// The age of its configuration, if this node has all of that.
    pub config_age: Option<Duration>,
    /// The age of its endpoints, if this node has all of them.
    pub endpoints_age: Option<Duration>,
}

/// How recent a node's copies are, and when to ask whom.
#[derive(Debug, Clone, Copy)]
pub struct RegistryPolling {
    config: Freshness,
    endpoints: Freshness,
    last_poll: Time,
    /// The first look that was not answered.
    unanswered: Option<(SocketAddr, Time)>,
    /// When another node last took this one for the reader.
    last_polled: Option<Time>,
    /// Since when this node reads for others.
    reader_since: Option<Time>,
    failures: u32,
    suspended_until: Time,
    /// When a list was last due because copies differed.
    last_mismatch: Option<Time>,
}

impl RegistryPolling {
    /// Starts without copies.
    ///
    /// A confirmed change of the configuration is in force within `change`; a
    /// leaving endpoint gets its last request within `notice`.
    #[must_use]
    pub const fn new(change: Duration, notice: Duration) -> Self {
        Self {
            config: Freshness::new(change),
            endpoints: Freshness::new(notice.saturating_sub(DISPATCH_TIME)),
            last_poll: Time::ZERO,
            unanswered: None,
            last_polled: None,
            reader_since: None,
            failures: 0,
            suspended_until: Time::ZERO,
            last_mismatch: None,
        }
    }

    /// Notes that a copy differs from another node's; tells whether it is to be
    /// read anew.
    pub fn on_mismatch(&mut self, now: Time) -> bool {
        let recently = |at| now.since(at) < MISMATCH_INTERVAL;
        if self.last_mismatch.is_some_and(recently) {
            return false;
        }
        self.last_mismatch = Some(now);
        true
    }

    /// Returns how recent a copy is.
    #[must_use]
    pub const fn freshness(&self, kind: ReplicaKind) -> &Freshness {
        match kind {
            ReplicaKind::Config => &self.config,
            ReplicaKind::Endpoints => &self.endpoints,
        }
    }

    /// Notes that a copy held everything that was confirmed by `at`.
    pub fn confirm(&mut self, kind: ReplicaKind, at: Time) {
        match kind {
            ReplicaKind::Config => self.config.confirm(at),
            ReplicaKind::Endpoints => self.endpoints.confirm(at),
        }
    }

    /// Notes whether a read of the registry worked.
    pub fn on_read(&mut self, now: Time, succeeded: bool) {
        if succeeded {
            self.failures = 0;
            self.suspended_until = Time::ZERO;
            return;
        }
        self.failures += 1;
        if self.failures >= FAILED_READS_MAX {
            self.suspended_until = now + READER_SUSPENSION;
        }
    }

    /// Tells whether a copy is too old and the registry does not answer.
    ///
    /// Nodes that start together all lack their copies, and the registry has them
    /// on its way. Asked of each other, lists of thousands would fill their links.
    #[must_use]
    pub fn is_registry_unreachable(&self, now: Time, kind: ReplicaKind) -> bool {
        self.failures > 0 && self.is_stale(now, kind)
    }

    /// Tells whether a copy is so old that this node reads for itself.
    #[must_use]
    pub fn is_stale(&self, now: Time, kind: ReplicaKind) -> bool {
        let freshness = self.freshness(kind);
        freshness.cannot_read(freshness.age(now))
    }

    /// Tells whether this node can't read the registry for others.
    #[must_use]
    pub fn cannot_read(&self, now: Time) -> bool {
        let stale = REPLICA_KINDS.iter().any(|&kind| self.is_stale(now, kind));
        let settled = |since| now.since(since) > self.poll_interval();
        let late = self.reader_since.is_some_and(settled) && self.is_late(now);
        stale || late || self.suspended_until > now
    }

    fn is_late(&self, now: Time) -> bool {
        REPLICA_KINDS
            .iter()
            .any(|&kind| self.freshness(kind).is_late(now))
    }

    /// Tells whether this node reads the registry for others.
    ///
    /// One whose own reads fail looks at the next one, as all others do.
    pub fn is_reader(&mut self, now: Time, owners: &mut Owners) -> bool {
        owners.set_own_cannot_read(self.cannot_read(now));
        let polled_recently = self
            .last_polled
            .is_some_and(|at| now.since(at) < 2 * self.poll_interval());
        let is_reader = polled_recently || owners.reader(now) == owners.own();
        self.reader_since = is_reader.then(|| self.reader_since.unwrap_or(now));
        is_reader
    }

    /// Notes that another node took this one for the reader.
    pub const fn on_polled(&mut self, now: Time) {
        self.last_polled = Some(now);
    }

    /// Returns when this node reads a topic; `first` if it does so for others.
    #[must_use]
    pub fn read_at(&self, kind: ReplicaKind, is_reader: bool) -> Time {
        self.freshness(kind).read_at(is_reader)
    }

    /// Returns the pause between two looks at the node that reads for all.
    #[must_use]
    pub fn poll_interval(&self) -> Duration {
        self.config
            .poll_interval()
            .min(self.endpoints.poll_interval())
    }

    /// Returns that pause as of now: shorter while another reader takes over.
    fn poll_interval_at(&self, now: Time) -> Duration {
        let pauses = REPLICA_KINDS.map(|kind| self.freshness(kind).poll_interval_at(now));
        pauses.into_iter().min().unwrap_or_default()
    }

    /// Returns when to look at the node that reads for all.
    #[must_use]
    pub fn next_poll(&self, now: Time) -> Time {
        self.last_poll + self.poll_interval_at(now)
    }

    /// Returns the node to look at now, if it is time and not this one's turn
    /// to read.
    pub fn poll_target(&mut self, now: Time, owners: &mut Owners) -> Option<SocketAddr> {
        if now < self.next_poll(now) {
            return None;
        }
        self.last_poll = now;
        self.skip_silent_reader(now, owners);
        owners.set_own_cannot_read(self.cannot_read(now));
        let reader = owners.reader(now);
        if reader == owners.own() {
            self.unanswered = None;
            return None;
        }
        if self.unanswered.is_none_or(|(node, _)| node != reader) {
            self.unanswered = Some((reader, now));
        }
        Some(reader)
    }

    /// Leaves a reader that has not answered while its answer grows urgent.
    fn skip_silent_reader(&mut self, now: Time, owners: &mut Owners) {
        let Some((node, since)) = self.unanswered else {
            return;
        };
        if self.is_late(now) && now.since(since) > 2 * self.poll_interval_at(now) {
            owners.set_cannot_read(now, node, true);
            self.unanswered = None;
        }
    }

    /// Notes that a node is lost: it may have been the one that reads.
    pub fn on_peer_lost(&mut self, node: SocketAddr) {
        self.last_poll = Time::ZERO;
        self.unanswered = self.unanswered.filter(|(peer, _)| *peer != node);
    }

    /// Takes in what a node said of itself when it was looked at.
    ///
    /// `sent` is when it was asked. What it knew, it knew at least as long before
    /// that as it said.
    pub fn apply_status(
        &mut self,
        now: Time,
        owners: &mut Owners,
        (peer, sent): (SocketAddr, Time),
        status: ReplicaStatus,
    ) {
        let sent = sent.min(now);
        self.unanswered = self.unanswered.filter(|(node, _)| *node != peer);
        if let Some(age) = status.config_age {
            self.config.confirm(sent - age);
        }
        if let Some(age) = status.endpoints_age {
            self.endpoints.confirm(sent - age);
        }
        let was_reader = owners.reader(now) == peer;
        owners.set_cannot_read(now, peer, status.cannot_read);
        if was_reader && owners.reader(now) != peer {
            self.last_poll = Time::ZERO;
        }
    }
}

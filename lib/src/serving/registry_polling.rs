//! Selection of the registry reader and tracking of replica freshness.
//!
//! One node reads each topic of the registry and all other nodes poll that
//! node, so the number of registry calls does not grow with the number of
//! nodes. A node that is polled becomes a reader, so no election is needed. A
//! node whose replica grows too old reads the registry itself, whatever the
//! state of readers and links.

use std::net::SocketAddr;
use std::time::Duration;

use super::freshness::Freshness;
use super::owners::Owners;
use crate::time::Time;

/// The part of the notice that is reserved for a call in flight when its
/// endpoint starts to leave.
///
/// Choosing an endpoint, connecting and sending take about ten milliseconds,
/// and up to several hundred on a slow host.
const DISPATCH_TIME: Duration = Duration::from_millis(400);

/// The consecutive failed reads after which a node does not read for others.
///
/// A single response is lost now and then.
const FAILED_READS_MAX: u32 = 2;

/// How long a node with failed reads leaves reading to others before it
/// retries.
const READER_SUSPENSION: Duration = Duration::from_secs(5);

/// The minimum time between two list reads that are caused by differing
/// replicas.
///
/// A difference that a list read does not resolve must not make every node read
/// the list again with each poll.
const MISMATCH_INTERVAL: Duration = Duration::from_secs(15);

/// A topic of which nodes keep a replica.
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

/// All replicas of a node.
pub const REPLICA_KINDS: [ReplicaKind; 2] = [ReplicaKind::Config, ReplicaKind::Endpoints];

/// The status that a node reports when it is polled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReplicaStatus {
    /// Whether it cannot read the registry for others.
    pub cannot_read: bool,
    /// The age of its configuration, if it has a complete replica.
    pub config_age: Option<Duration>,
    /// The age of its endpoints, if it has a complete replica.
    pub endpoints_age: Option<Duration>,
}

/// Tracks replica freshness and decides when to poll which node.
#[derive(Debug, Clone, Copy)]
pub struct RegistryPolling {
    config: Freshness,
    endpoints: Freshness,
    last_poll: Time,
    /// The reader that was polled without a response, and the time of the first
    /// poll.
    unanswered: Option<(SocketAddr, Time)>,
    /// When another node last polled this node as the reader.
    last_polled: Option<Time>,
    /// The time since which this node reads for others.
    reader_since: Option<Time>,
    failures: u32,
    suspended_until: Time,
    /// When differing replicas last caused a list read.
    last_mismatch: Option<Time>,
}

impl RegistryPolling {
    /// Creates the state of a node without replicas.
    ///
    /// A confirmed change of the configuration takes effect within `change`; a
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

    /// Records that a replica differs from another node's. Returns whether it
    /// is to be read again.
    pub fn on_mismatch(&mut self, now: Time) -> bool {
        let recently = |at| now.since(at) < MISMATCH_INTERVAL;
        if self.last_mismatch.is_some_and(recently) {
            return false;
        }
        self.last_mismatch = Some(now);
        true
    }

    /// Returns the freshness of a replica.
    #[must_use]
    pub const fn freshness(&self, kind: ReplicaKind) -> &Freshness {
        match kind {
            ReplicaKind::Config => &self.config,
            ReplicaKind::Endpoints => &self.endpoints,
        }
    }

    /// Records that a replica held everything that was confirmed by `at`.
    pub fn confirm(&mut self, kind: ReplicaKind, at: Time) {
        match kind {
            ReplicaKind::Config => self.config.confirm(at),
            ReplicaKind::Endpoints => self.endpoints.confirm(at),
        }
    }

    /// Records the result of a registry read.
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

    /// Returns whether a replica is stale and the registry does not respond.
    ///
    /// Nodes that start together all lack their replicas while the registry is
    /// still sending them. If they requested lists of thousands of endpoints
    /// from each other, those would fill their links.
    #[must_use]
    pub fn is_registry_unreachable(&self, now: Time, kind: ReplicaKind) -> bool {
        self.failures > 0 && self.is_stale(now, kind)
    }

    /// Returns whether a replica is so old that this node reads the registry
    /// itself.
    #[must_use]
    pub fn is_stale(&self, now: Time, kind: ReplicaKind) -> bool {
        let freshness = self.freshness(kind);
        freshness.cannot_read(freshness.age(now))
    }

    /// Returns whether this node cannot read the registry for others.
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

    /// Returns whether this node reads the registry for others.
    ///
    /// A node whose own reads fail polls the next reader, as all other nodes
    /// do.
    pub fn is_reader(&mut self, now: Time, owners: &mut Owners) -> bool {
        owners.set_own_cannot_read(self.cannot_read(now));
        let polled_recently = self
            .last_polled
            .is_some_and(|at| now.since(at) < 2 * self.poll_interval());
        let is_reader = polled_recently || owners.reader(now) == owners.own();
        self.reader_since = is_reader.then(|| self.reader_since.unwrap_or(now));
        is_reader
    }

    /// Records that another node polled this node as the reader.
    pub const fn on_polled(&mut self, now: Time) {
        self.last_polled = Some(now);
    }

    /// Returns when this node reads a topic next; `is_reader` if it reads for
    /// others.
    #[must_use]
    pub fn read_at(&self, kind: ReplicaKind, is_reader: bool) -> Time {
        self.freshness(kind).read_at(is_reader)
    }

    /// Returns the interval between two polls of the reader.
    #[must_use]
    pub fn poll_interval(&self) -> Duration {
        self.config
            .poll_interval()
            .min(self.endpoints.poll_interval())
    }

    /// Returns the current poll interval, which is shorter while another reader
    /// takes over.
    fn poll_interval_at(&self, now: Time) -> Duration {
        let pauses = REPLICA_KINDS.map(|kind| self.freshness(kind).poll_interval_at(now));
        pauses.into_iter().min().unwrap_or_default()
    }

    /// Returns the time of the next poll of the reader.
    #[must_use]
    pub fn next_poll(&self, now: Time) -> Time {
        self.last_poll + self.poll_interval_at(now)
    }

    /// Returns the node to poll now, if a poll is due and this node is not the
    /// reader.
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

    /// Switches away from a reader that has not responded by the time the
    /// replica is late.
    fn skip_silent_reader(&mut self, now: Time, owners: &mut Owners) {
        let Some((node, since)) = self.unanswered else {
            return;
        };
        if self.is_late(now) && now.since(since) > 2 * self.poll_interval_at(now) {
            owners.set_cannot_read(now, node, true);
            self.unanswered = None;
        }
    }

    /// Records the loss of a node, which may have been the reader.
    pub fn on_peer_lost(&mut self, node: SocketAddr) {
        self.last_poll = Time::ZERO;
        self.unanswered = self.unanswered.filter(|(peer, _)| *peer != node);
    }

    /// Applies the status that a polled node reported.
    ///
    /// `sent` is when the poll was sent. The reported ages are subtracted from
    /// it, which can only overstate the age of a replica.
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

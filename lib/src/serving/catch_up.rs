//! Selection of the source from which a node gets a configuration that it
//! lacks.
//!
//! Every node reads the registry, and its peers report up to which position they
//! are complete, and which version they have. A configuration may have a megabyte: over a link of 10 Mbit/s
//! one copy takes a second, and several concurrent copies all arrive late. A
//! copy is therefore requested from a peer only if no response of the registry
//! is in transit, and from one peer at a time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

use super::position::Position;
use super::position::Rank;
use super::slices::SLICE_MAX_BYTES;
use crate::time::Time;
use crate::units::MilliCores;

/// How long a node that is behind waits for the response to its long poll
/// before it sends a new read.
///
/// The long polls of all nodes are answered together, and the report of a peer
/// may arrive before this node's own response.
pub const REGISTRY_GRACE: Duration = Duration::from_millis(200);

/// How long the registry may take to start its response before a peer is used.
///
/// Peers report a change within several hundred milliseconds. The registry's
/// own response starts within milliseconds, and within several hundred when it
/// is slow.
pub const REGISTRY_PATIENCE: Duration = Duration::from_millis(600);

/// The same limit for a node that has no configuration at all.
///
/// Such a node refuses every caller, and it sent its first read before it
/// discovered any peer.
pub const EMPTY_REGISTRY_PATIENCE: Duration = Duration::from_millis(100);

/// How long a copy may make no progress before another source is used.
///
/// This equals the silence limit of a peer: a slice takes 52 ms over an idle
/// link of 10 Mbit/s.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(750);

/// The largest configuration that is requested from a peer without delay, in
/// bytes.
///
/// This is one slice: it takes one round trip, and no call to the registry.
pub const SMALL_CONFIG_BYTES: u64 = SLICE_MAX_BYTES as u64;

const SECRETS: RapidSecrets = RapidSecrets::seed(0);

/// A copy that is being received from a peer.
#[derive(Debug, Clone, Copy)]
struct Transfer {
    node: SocketAddr,
    last_progress: Time,
}

/// What a node has of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConfigMark {
    /// The position up to which it is complete.
    pub next: Position,
    /// The greatest rank of its records, which the registry may have lost since.
    pub rank: Option<Rank>,
}

impl ConfigMark {
    /// Returns whether a node with this mark has something that one with the other
    /// mark lacks.
    #[must_use]
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.next > other.next || self.rank > other.rank
    }

    fn merge(&mut self, other: Self) {
        self.next = self.next.max(other.next);
        self.rank = self.rank.max(other.rank);
    }
}

/// A peer that has something of the configuration that this node lacks.
#[derive(Debug, Clone, Copy)]
struct Holder {
    mark: ConfigMark,
    /// Whether its configuration fits into one slice.
    fits_in_slice: bool,
}

/// Decides when to request the newest configuration, and from which peer.
#[derive(Debug, Clone)]
pub struct CatchUp {
    own: SocketAddr,
    complete_to: ConfigMark,
    /// The peers that reported something that this node lacks.
    holders: BTreeMap<SocketAddr, Holder>,
    behind_since: Option<Time>,
    /// When a part of the registry's response last arrived.
    last_registry_data: Option<Time>,
    /// Whether the registry's last call failed.
    registry_failed: bool,
    /// Whether the registry was read since this node fell behind.
    registry_read: bool,
    transfer: Option<Transfer>,
}

impl CatchUp {
    /// Creates the state of a node without a configuration.
    #[must_use]
    pub const fn new(own: SocketAddr) -> Self {
        Self {
            own,
            complete_to: ConfigMark {
                next: Position::new(0, 0),
                rank: None,
            },
            holders: BTreeMap::new(),
            behind_since: None,
            last_registry_data: None,
            registry_failed: false,
            registry_read: false,
            transfer: None,
        }
    }

    /// Records what this node has.
    pub fn advance_to(&mut self, mark: ConfigMark) {
        self.complete_to.merge(mark);
        let complete_to = self.complete_to;
        self.holders.retain(|_, h| h.mark.is_ahead_of(&complete_to));
        if self.holders.is_empty() {
            self.behind_since = None;
            self.transfer = None;
        }
    }

    /// Records what a peer has, and the size of its configuration in bytes. Returns
    /// whether this node has just learned that it is behind.
    pub fn on_peer_mark(
        &mut self,
        now: Time,
        node: SocketAddr,
        mark: ConfigMark,
        size: u64,
    ) -> bool {
        if !mark.is_ahead_of(&self.complete_to) {
            self.forget_holder(node);
            return false;
        }
        let fits_in_slice = (1..=SMALL_CONFIG_BYTES).contains(&size);
        self.holders.insert(
            node,
            Holder {
                mark,
                fits_in_slice,
            },
        );
        if self.behind_since.is_some() {
            return false;
        }
        self.behind_since = Some(now);
        self.registry_read = false;
        true
    }

    /// Records that a part of the registry's response arrived.
    pub const fn on_registry_data(&mut self, now: Time) {
        self.last_registry_data = Some(now);
        self.registry_failed = false;
    }

    /// Records that the registry's response has ended or was abandoned.
    pub const fn on_registry_end(&mut self) {
        self.last_registry_data = None;
    }

    /// Records that a read was sent to the registry for what this node may
    /// lack.
    pub const fn on_registry_read(&mut self) {
        self.registry_read = true;
    }

    /// Returns when to read the registry for what this node lacks.
    ///
    /// It does so once each time that it falls behind;
    /// [`Self::registry_active_until`] is a lower bound.
    #[must_use]
    pub fn read_at(&self) -> Time {
        let behind_since = self.behind_since.filter(|_| !self.registry_read);
        let grace = if self.fits_in_slice() {
            REGISTRY_PATIENCE
        } else {
            REGISTRY_GRACE
        };
        behind_since.map_or(Time::NEVER, |at| at + grace)
    }

    /// Records whether a call to the registry failed.
    pub const fn set_registry_failed(&mut self, failed: bool) {
        self.registry_failed = failed;
    }

    /// Records that a peer is lost or holds nothing newer.
    pub fn forget_holder(&mut self, node: SocketAddr) {
        self.holders.remove(&node);
        if self.transfer.is_some_and(|t| t.node == node) {
            self.transfer = None;
        }
        if self.holders.is_empty() {
            self.behind_since = None;
        }
    }

    /// Records a slice from a peer. Returns whether the peer is the current
    /// source.
    pub fn on_slice(&mut self, now: Time, node: SocketAddr) -> bool {
        let Some(transfer) = self.transfer.as_mut().filter(|t| t.node == node) else {
            return false;
        };
        transfer.last_progress = now;
        true
    }

    /// Returns the time until which a response of the registry counts as in
    /// transit.
    #[must_use]
    pub fn registry_active_until(&self) -> Time {
        self.last_registry_data
            .map_or(Time::ZERO, |at| at + STALL_TIMEOUT)
    }

    /// Returns when the next decision is due; [`Time::NEVER`] if nothing is
    /// missing.
    #[must_use]
    pub fn wake(&self) -> Time {
        let Some(behind_since) = self.behind_since else {
            return Time::NEVER;
        };
        let patience = behind_since + self.registry_patience();
        let registry = self.registry_active_until();
        let transfer = self
            .transfer
            .map_or(Time::ZERO, |t| t.last_progress + STALL_TIMEOUT);
        patience.max(registry).max(transfer)
    }

    /// Returns the peer from which to request a copy now, if any.
    ///
    /// `live` yields the nodes that respond, with the power of their hosts.
    pub fn choose_source(
        &mut self,
        now: Time,
        live: impl Iterator<Item = (SocketAddr, Option<MilliCores>)>,
    ) -> Option<SocketAddr> {
        if self.wake() > now {
            return None;
        }
        let stalled = self.transfer.take().map(|t| t.node);
        let Some(node) = self.best_holder(live, stalled) else {
            // No holder responds. They report their offsets again once they do.
            self.holders.clear();
            self.behind_since = None;
            return None;
        };
        self.transfer = Some(Transfer {
            node,
            last_progress: now,
        });
        Some(node)
    }

    fn registry_patience(&self) -> Duration {
        let is_empty = self.complete_to.next == Position::default();
        match (self.registry_failed, is_empty) {
            (true, _) => Duration::ZERO,
            (false, true) => EMPTY_REGISTRY_PATIENCE,
            (false, _) if self.fits_in_slice() => Duration::ZERO,
            (false, _) => REGISTRY_PATIENCE,
        }
    }

    /// Returns whether a peer can send what is missing in one slice.
    fn fits_in_slice(&self) -> bool {
        self.holders.values().any(|h| h.fits_in_slice)
    }

    /// Returns the strongest holder; one that has just stalled ranks last.
    ///
    /// Among equals each node has its own order, so that nodes that are behind
    /// together don't all use the same source.
    fn best_holder(
        &self,
        live: impl Iterator<Item = (SocketAddr, Option<MilliCores>)>,
        stalled: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let holds = live.filter(|(node, _)| self.holders.contains_key(node));
        let best = holds.max_by_key(|&(node, power)| {
            let order = rapidhash_v3_seeded(format!("{} {node}", self.own).as_bytes(), &SECRETS);
            (Some(node) != stalled, power.map(|p| p.0), order)
        });
        best.map(|(node, _)| node)
    }
}

//! Where a node that lacks the newest configuration gets it from.
//!
//! Every node reads the registry, and is told by its neighbours up to which
//! offset they are complete. A configuration may have a megabyte: over a link of
//! 10 Mbit/s one copy takes a second, and several at once come late together.
//! So a copy is asked of a neighbour only if the registry's answer is not on its
//! way, and of one neighbour at a time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

use super::slices::SLICE_MAX_BYTES;
use crate::ids::Offset;
use crate::time::Time;
use crate::units::MilliCores;

/// How long a node that lacks something waits for the answer of the read that
/// waits for changes, before it reads anew.
///
/// All nodes' waiting reads are answered together; the word of a neighbour may
/// come before this node's own answer.
pub const REGISTRY_GRACE: Duration = Duration::from_millis(200);

/// How long the registry may take to begin its answer before a neighbour is
/// asked.
///
/// Neighbours tell of a change within some hundred milliseconds of it. The
/// registry's own answer begins within milliseconds, and within some hundred
/// when it is slow.
pub const REGISTRY_PATIENCE: Duration = Duration::from_millis(600);

/// The same for a node that has no configuration at all.
///
/// It refuses every caller until it has one, and its first read went out before
/// it heard of any neighbour.
pub const EMPTY_REGISTRY_PATIENCE: Duration = Duration::from_millis(100);

/// How long a copy may come no further before another source is tried.
///
/// As long as a neighbour may be silent: a slice takes 52 ms over an idle link
/// of 10 Mbit/s.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(750);

/// The largest configuration that is asked of a neighbour at once, in bytes.
///
/// One slice: it takes a round trip, and no call to the registry.
pub const SMALL_CONFIG_BYTES: u64 = SLICE_MAX_BYTES as u64;

const SECRETS: RapidSecrets = RapidSecrets::seed(0);

/// A copy on its way from a neighbour.
#[derive(Debug, Clone, Copy)]
struct Transfer {
    node: SocketAddr,
    last_progress: Time,
}

/// A neighbour that has more than this node.
#[derive(Debug, Clone, Copy)]
struct Holder {
    next: Offset,
    /// Whether what it has is small.
    fits_in_slice: bool,
}

/// Decides whom to ask for the newest configuration, and when.
#[derive(Debug, Clone)]
pub struct CatchUp {
    own: SocketAddr,
    complete_to: Offset,
    /// Up to where each neighbour said that it is complete, if that is further.
    holders: BTreeMap<SocketAddr, Holder>,
    behind_since: Option<Time>,
    /// When more of an answer last came from the registry.
    last_registry_data: Option<Time>,
    /// Whether the registry's last call failed.
    registry_failed: bool,
    /// Whether the registry was read since this node lacks something.
    registry_read: bool,
    transfer: Option<Transfer>,
}

impl CatchUp {
    /// Starts without a configuration.
    #[must_use]
    pub const fn new(own: SocketAddr) -> Self {
        Self {
            own,
            complete_to: Offset(0),
            holders: BTreeMap::new(),
            behind_since: None,
            last_registry_data: None,
            registry_failed: false,
            registry_read: false,
            transfer: None,
        }
    }

    /// Notes the offset up to which this node is complete.
    pub fn advance_to(&mut self, complete_to: Offset) {
        self.complete_to = self.complete_to.max(complete_to);
        self.holders.retain(|_, h| h.next > self.complete_to);
        if self.holders.is_empty() {
            self.behind_since = None;
            self.transfer = None;
        }
    }

    /// Notes up to where a neighbour is complete, and the bytes that it has;
    /// tells whether this node has just learned that it lacks something.
    pub fn on_peer_offset(&mut self, now: Time, node: SocketAddr, next: Offset, size: u64) -> bool {
        if next <= self.complete_to {
            self.forget_holder(node);
            return false;
        }
        let fits_in_slice = (1..=SMALL_CONFIG_BYTES).contains(&size);
        self.holders.insert(
            node,
            Holder {
                next,
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

    /// Notes that more of an answer came from the registry.
    pub const fn on_registry_data(&mut self, now: Time) {
        self.last_registry_data = Some(now);
        self.registry_failed = false;
    }

    /// Notes that the registry's answer has ended, or is given up.
    pub const fn on_registry_end(&mut self) {
        self.last_registry_data = None;
    }

    /// Notes that the registry is read for what this node may lack.
    pub const fn on_registry_read(&mut self) {
        self.registry_read = true;
    }

    /// Returns when the registry is to be read for what this node lacks.
    ///
    /// Once for each time that it falls behind; [`Self::coming_until`] bounds it.
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

    /// Notes whether a call to the registry failed.
    pub const fn set_registry_failed(&mut self, failed: bool) {
        self.registry_failed = failed;
    }

    /// Notes that a neighbour is lost or holds nothing newer.
    pub fn forget_holder(&mut self, node: SocketAddr) {
        self.holders.remove(&node);
        if self.transfer.is_some_and(|t| t.node == node) {
            self.transfer = None;
        }
        if self.holders.is_empty() {
            self.behind_since = None;
        }
    }

    /// Notes that a slice came from a neighbour; tells whether it was asked.
    pub fn on_slice(&mut self, now: Time, node: SocketAddr) -> bool {
        let Some(transfer) = self.transfer.as_mut().filter(|t| t.node == node) else {
            return false;
        };
        transfer.last_progress = now;
        true
    }

    /// Returns until when an answer of the registry counts as on its way.
    #[must_use]
    pub fn registry_active_until(&self) -> Time {
        self.last_registry_data
            .map_or(Time::ZERO, |at| at + STALL_TIMEOUT)
    }

    /// Returns when to ask for the next decision; never, if nothing is missing.
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

    /// Returns the neighbour to ask for a copy now, if one is to be asked.
    ///
    /// `live` are the nodes that answer and their hosts' power.
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
            // None of them answers. They say anew what they have once they do.
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
        match (self.registry_failed, self.complete_to.0) {
            (true, _) => Duration::ZERO,
            (false, 0) => EMPTY_REGISTRY_PATIENCE,
            (false, _) if self.fits_in_slice() => Duration::ZERO,
            (false, _) => REGISTRY_PATIENCE,
        }
    }

    /// Tells whether what is missing comes from a neighbour in one slice.
    fn fits_in_slice(&self) -> bool {
        self.holders.values().any(|h| h.fits_in_slice)
    }

    /// Returns the strongest holder, the one that stalled last of all.
    ///
    /// Among equals each node has an order of its own, so that nodes that lag
    /// together don't all ask the same one.
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

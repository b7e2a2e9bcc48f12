//! The view's record of one node.

use core::net::SocketAddr;
use std::time::Duration;

use crate::ids::Incarnation;
use crate::membership::Detector;
use crate::membership::LinkId;
use crate::membership::ListedNode;
use crate::membership::NodeKind;
use crate::membership::NodeLocation;
use crate::membership::PeerState;
use crate::membership::Profile;
use crate::membership::TimeoutBounds;
use crate::time::Time;

/// The interval between probes of a node that is gone or of unknown pool.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between probes of a listed address that differs from the linked one.
const CONFLICT_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// The view's record of one node.
#[derive(Debug, Clone)]
pub struct Member {
    /// The node's description, from its own hello if one has arrived.
    pub profile: Profile,
    /// Whether the host list marks its host as leaving.
    pub leaving: bool,
    /// Whether its heartbeats announce a drain.
    pub draining: bool,
    pub(super) detector: Detector,
    pub(super) link: Option<LinkId>,
    pub(super) sent_seq: u64,
    /// The first heartbeat on this link that announced this node's drain.
    pub(super) drain_seq: Option<u64>,
    /// The interval that the peer requests, so that its own bytes stay bounded.
    pub(super) peer_interval: Duration,
    pub(super) next_heartbeat: Time,
    pub(super) listed: bool,
    /// The address in the host list, which may differ from the node's own.
    pub(super) listed_address: SocketAddr,
    pub(super) last_probe: Time,
    pub(super) full_until: Time,
}

impl Member {
    pub(super) fn new(profile: Profile, timeouts: TimeoutBounds) -> Self {
        Self {
            listed_address: profile.address,
            profile,
            leaving: false,
            draining: false,
            detector: Detector::new(timeouts),
            link: None,
            sent_seq: 0,
            drain_seq: None,
            peer_interval: Duration::ZERO,
            next_heartbeat: Time::ZERO,
            listed: false,
            last_probe: Time::ZERO,
            full_until: Time::ZERO,
        }
    }

    /// Returns the state of the peer.
    #[must_use]
    pub const fn state(&self) -> PeerState {
        self.detector.state()
    }

    /// Returns the known incarnation of the peer.
    #[must_use]
    pub const fn incarnation(&self) -> Option<Incarnation> {
        self.detector.incarnation()
    }

    /// Returns the link to the peer.
    #[must_use]
    pub const fn link(&self) -> Option<LinkId> {
        self.link
    }

    /// Returns whether the peer accepts new work.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.state() == PeerState::Alive && !self.draining && !self.leaving
    }

    pub(super) fn may_link(&self, now: Time) -> bool {
        !self.is_gone() && !self.draining && !self.leaving && now >= self.full_until
    }

    pub(super) const fn is_gone(&self) -> bool {
        matches!(
            self.state(),
            PeerState::CutOff | PeerState::Dead | PeerState::Left
        )
    }

    /// Applies an entry of the host list; the hello of a linked node takes precedence.
    pub(super) fn apply_listed(&mut self, now: Time, entry: ListedNode) {
        self.listed_address = entry.profile.address;
        if self.link.is_none() {
            // Keep the pool from the hello, since the list may not contain it.
            let pool = entry
                .profile
                .pool
                .clone()
                .or_else(|| self.profile.pool.take());
            let endpoint = self.profile.endpoint.take().or(entry.profile.endpoint);
            self.profile = Profile {
                pool,
                endpoint,
                ..entry.profile
            };
        }
        self.leaving = entry.leaving;
        self.listed = true;
        self.detector.set_listed(now, true);
    }

    /// Returns the address to probe, if a probe is due.
    pub(super) fn probe_address(&self, now: Time) -> Option<SocketAddr> {
        let age = now.since(self.last_probe);
        if self.link.is_none() {
            let agent = self.profile.kind == NodeKind::Agent;
            let unknown = agent && self.profile.pool.is_none();
            let is_due = (self.is_gone() || unknown) && age >= PROBE_INTERVAL;
            return is_due.then_some(self.listed_address);
        }
        // The list gives another address for a linked node. Its replacement may
        // run there without links, as the old process with that name keeps its own.
        let conflict = self.listed
            && self.listed_address != self.profile.address
            && age >= CONFLICT_PROBE_INTERVAL;
        conflict.then_some(self.listed_address)
    }

    pub(super) fn location(&self) -> NodeLocation {
        NodeLocation {
            node: self.profile.node.clone(),
            domain: self.profile.domain.clone(),
            region: self.profile.region.clone(),
        }
    }
}

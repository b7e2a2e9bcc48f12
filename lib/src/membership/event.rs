//! What goes into the membership view and what comes out.

use core::net::SocketAddr;

use derive_more::Display;

use super::detector::LinkEnd;
use super::detector::PeerState;
use super::peer::ListedNode;
use super::peer::PeerHeartbeat;
use super::peer::Profile;
use crate::ids::Incarnation;
use crate::ids::NodeId;
use crate::time::Time;

/// Numbers the links of one node, chosen by the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub struct LinkId(pub u64);

/// Something that happened at the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The addresses that the settings name.
    Seeds(Vec<SocketAddr>),
    /// The host list as last read.
    HostList(Vec<ListedNode>),
    /// A link stands, and the peer said hello on it.
    LinkUp {
        /// The link.
        link: LinkId,
        /// The address dialed, for links that this node dialed.
        dialed: Option<SocketAddr>,
        /// What the peer says about itself.
        profile: Profile,
        /// The life of the peer.
        incarnation: Incarnation,
    },
    /// A link ended.
    LinkDown {
        /// The link.
        link: LinkId,
        /// How it ended.
        end: LinkEnd,
    },
    /// A dial came to nothing.
    DialFailed {
        /// The address dialed.
        address: SocketAddr,
        /// How it ended.
        end: LinkEnd,
    },
    /// A heartbeat came.
    Heartbeat {
        /// The link it came on.
        link: LinkId,
        /// The heartbeat.
        heartbeat: PeerHeartbeat,
    },
    /// The peer said goodbye.
    Goodbye {
        /// The link it came on.
        link: LinkId,
        /// The life that ends.
        incarnation: Incarnation,
    },
    /// The peer has no room for this link.
    Full {
        /// The link.
        link: LinkId,
    },
    /// This node began or ended its drain.
    Draining(bool),
    /// Time passed.
    Tick,
}

/// Why this node ends a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum Refusal {
    /// Another link to the same life of the peer stays.
    #[display("second-link")]
    SecondLink,
    /// A newer life of the peer is known.
    #[display("superseded")]
    Superseded,
    /// This node has as many links as it accepts.
    #[display("full")]
    Full,
    /// The peer is no longer among the chosen ones.
    #[display("not-chosen")]
    NotChosen,
}

/// Something the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Dial the address.
    Connect {
        /// The address.
        address: SocketAddr,
    },
    /// End the link. With `NotChosen`, calls in flight on it finish first.
    Disconnect {
        /// The link.
        link: LinkId,
        /// The reason, which is said to the peer.
        reason: Refusal,
    },
    /// Send a heartbeat with what else it carries.
    SendHeartbeat {
        /// The link.
        link: LinkId,
        /// The heartbeat.
        heartbeat: PeerHeartbeat,
    },
    /// A peer's state changed.
    StateChanged {
        /// The peer.
        node: NodeId,
        /// The state before.
        from: PeerState,
        /// The state now.
        to: PeerState,
    },
    /// The host list says that this node's own host leaves, or no longer.
    HostLeaving(bool),
    /// Pass time no later than this.
    WakeAt(Time),
}

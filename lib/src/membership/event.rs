//! The events that the membership view handles and the actions that it returns.

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

/// Identifies a link of one node; the driver assigns the number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub struct LinkId(pub u64);

/// An event that the driver passes to the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The seed addresses from the settings.
    Seeds(Vec<SocketAddr>),
    /// The latest host list.
    HostList(Vec<ListedNode>),
    /// A link is established, and the peer has sent its hello.
    LinkUp {
        /// The link.
        link: LinkId,
        /// The dialed address, for links that this node dialed.
        dialed: Option<SocketAddr>,
        /// The peer's description of itself.
        profile: Profile,
        /// The incarnation of the peer.
        incarnation: Incarnation,
    },
    /// A link ended.
    LinkDown {
        /// The link.
        link: LinkId,
        /// How it ended.
        end: LinkEnd,
    },
    /// A dial attempt failed.
    DialFailed {
        /// The dialed address.
        address: SocketAddr,
        /// How it ended.
        end: LinkEnd,
    },
    /// A heartbeat arrived.
    Heartbeat {
        /// The link on which it arrived.
        link: LinkId,
        /// The heartbeat.
        heartbeat: PeerHeartbeat,
    },
    /// The peer sent a goodbye.
    Goodbye {
        /// The link on which it arrived.
        link: LinkId,
        /// The incarnation that ends.
        incarnation: Incarnation,
    },
    /// The peer has reached its maximum number of links and refuses this one.
    Full {
        /// The link.
        link: LinkId,
    },
    /// This node started or ended its drain.
    Draining(bool),
    /// A timer expired; only the time has changed.
    Tick,
}

/// Why this node closes a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum Refusal {
    /// Another link to the same incarnation of the peer is kept.
    #[display("second-link")]
    SecondLink,
    /// A newer incarnation of the peer is known.
    #[display("superseded")]
    Superseded,
    /// This node has reached its maximum number of links.
    #[display("full")]
    Full,
    /// The peer is no longer in the chosen subset.
    #[display("not-chosen")]
    NotChosen,
}

/// An action that the driver carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Dial the address.
    Connect {
        /// The address.
        address: SocketAddr,
    },
    /// Close the link. With `NotChosen`, calls in flight on it finish first.
    Disconnect {
        /// The link.
        link: LinkId,
        /// The reason, which is sent to the peer.
        reason: Refusal,
    },
    /// Send a heartbeat; the driver adds its other fields.
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
        /// The previous state.
        from: PeerState,
        /// The new state.
        to: PeerState,
    },
    /// The host list marks this node's own host as leaving, or no longer does.
    HostLeaving(bool),
    /// Send the next [`Event::Tick`] no later than this.
    WakeAt(Time),
}

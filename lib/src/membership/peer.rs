//! Node descriptions from hellos and the host list, and heartbeats.

use core::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::NodeId;
use crate::ids::PoolName;
use crate::ids::Region;

/// The kind of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeKind {
    /// Accepts requests on an entry host.
    #[display("router")]
    Router,
    /// Controls access to one endpoint.
    #[display("agent")]
    Agent,
}

/// The description that a node sends of itself in its hello.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Profile {
    /// The node's name.
    pub node: NodeId,
    /// Its kind.
    pub kind: NodeKind,
    /// The host on which it runs.
    pub host: HostId,
    /// The failure domain of the host.
    pub domain: FailureDomain,
    /// The region of the host.
    pub region: Region,
    /// The address at which other nodes reach it.
    pub address: SocketAddr,
    /// For agents: the pool of its endpoint.
    pub pool: Option<PoolName>,
    /// For agents: its endpoint.
    pub endpoint: Option<EndpointId>,
}

/// A node as named by the host list or the settings, which is only a hint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedNode {
    /// The node's description; the pool may be missing.
    pub profile: Profile,
    /// Whether its host is marked as leaving.
    pub leaving: bool,
}

/// The fields of a heartbeat that membership uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerHeartbeat {
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The sequence number of the heartbeat on this link, from 1.
    pub seq: u64,
    /// The highest sequence number that the sender has received from the receiver.
    pub seen: u64,
    /// Whether the sender is draining and accepts no new work.
    pub draining: bool,
    /// The shortest interval at which the sender accepts heartbeats.
    pub pace: Duration,
}

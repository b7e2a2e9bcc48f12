//! What nodes tell about themselves, and what others tell about them.

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
    /// Gates one endpoint.
    #[display("agent")]
    Agent,
}

/// What a node says about itself in its hello.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Profile {
    /// The node's name.
    pub node: NodeId,
    /// Its kind.
    pub kind: NodeKind,
    /// The host that it runs on.
    pub host: HostId,
    /// The failure domain of the host.
    pub domain: FailureDomain,
    /// The region of the host.
    pub region: Region,
    /// The address on which others reach it.
    pub address: SocketAddr,
    /// For agents: the pool of its endpoint.
    pub pool: Option<PoolName>,
    /// For agents: its endpoint.
    pub endpoint: Option<EndpointId>,
}

/// One node as the host list or the settings name it: a hint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedNode {
    /// What is said about the node; the pool may be missing.
    pub profile: Profile,
    /// Whether its host is said to be leaving.
    pub leaving: bool,
}

/// A heartbeat, as far as membership is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerHeartbeat {
    /// The life of the sender.
    pub incarnation: Incarnation,
    /// Counts the sender's heartbeats on this link, from 1.
    pub seq: u64,
    /// The highest heartbeat of the receiver that the sender has seen.
    pub seen: u64,
    /// Whether the sender takes no new work.
    pub draining: bool,
    /// The shortest interval at which the sender wants to get heartbeats.
    pub pace: Duration,
}

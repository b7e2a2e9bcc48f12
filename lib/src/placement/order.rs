//! Orders to agents, and why they were given.

use std::fmt;

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::EndpointId;
use crate::ids::FencingNumber;
use crate::ids::ModelName;

/// Numbers the orders of one holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Display, FromStr, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OrderId(pub u64);

/// What can be loaded: a model in one version, with or without an adapter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Build {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: String,
    /// The adapter on top of the model, if any.
    pub adapter: Option<String>,
}

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)?;
        self.adapter.iter().try_for_each(|a| write!(f, "+{a}"))
    }
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verb {
    /// Load the build.
    Load(Build),
    /// Unload the build, once nothing runs on it.
    Unload(Build),
    /// Take the role.
    Role(String),
}

impl fmt::Display for Verb {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(build) => write!(f, "load {build}"),
            Self::Unload(build) => write!(f, "unload {build}"),
            Self::Role(role) => write!(f, "role {role}"),
        }
    }
}

/// An order to the agent of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Its number under the holder's claim.
    pub id: OrderId,
    /// The offset of the holder's claim.
    pub fence: FencingNumber,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What to do.
    pub verb: Verb,
}

/// Why an order was given, or why none was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum Why {
    /// Demand needs more copies.
    #[display("demand")]
    Demand,
    /// Fewer copies than the least that is asked for.
    #[display("too-few-copies")]
    TooFewCopies,
    /// The wished version isn't there yet.
    #[display("roll-out")]
    RollOut,
    /// The old version is replaced with capacity to spare.
    #[display("replaced")]
    Replaced,
    /// More copies than demand has needed for long.
    #[display("surplus")]
    Surplus,
    /// The model is no longer wished for.
    #[display("unwished")]
    Unwished,
    /// The endpoint's role differs from the wished one.
    #[display("role")]
    Role,
    /// No engine has room, and making room would cost needed capacity.
    #[display("no-room")]
    NoRoom,
    /// The weight store's rate is used up.
    #[display("store-rate")]
    StoreRate,
}

/// One decision, for one log line.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The order given; none when the planner holds back.
    pub order: Option<Order>,
    /// The build concerned.
    pub build: Option<Build>,
    /// The reason.
    pub why: Why,
    /// Copies ready of the model, in any version.
    pub ready: usize,
    /// Copies wanted of the model.
    pub wanted: usize,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.order {
            Some(order) => {
                write!(f, "order={} fence={}", order.id, order.fence)?;
                write!(f, " endpoint={} verb=\"{}\"", order.endpoint, order.verb)?;
            }
            None => write!(f, "order=none")?,
        }
        self.build
            .iter()
            .try_for_each(|b| write!(f, " build={b}"))?;
        let Self {
            why, ready, wanted, ..
        } = self;
        write!(f, " why={why} ready={ready} wanted={wanted}")
    }
}

//! Orders to agents, and the reasons for them.

use std::fmt;

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::EndpointId;
use crate::ids::FencingNumber;
use crate::ids::ModelName;

/// The sequence number of an order of one lease holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Display, FromStr, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OrderId(pub u64);

/// A loadable build: one version of a model, with or without an adapter.
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

/// The action that an order requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verb {
    /// Load the build.
    Load(Build),
    /// Unload the build once no call uses it.
    Unload(Build),
    /// Assume the role.
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
    /// Its sequence number under the holder's lease claim.
    pub id: OrderId,
    /// The offset of the holder's lease claim.
    pub fence: FencingNumber,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The requested action.
    pub verb: Verb,
}

/// Why an order was issued or withheld.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum Why {
    /// Demand needs more copies.
    #[display("demand")]
    Demand,
    /// There are fewer copies than the configured minimum.
    #[display("too-few-copies")]
    TooFewCopies,
    /// The desired version is not fully rolled out yet.
    #[display("roll-out")]
    RollOut,
    /// The old version is replaced and its capacity is not needed.
    #[display("replaced")]
    Replaced,
    /// There have been more copies than demand needs for some time.
    #[display("surplus")]
    Surplus,
    /// The model is no longer desired.
    #[display("unwished")]
    Unwished,
    /// The endpoint's role differs from the desired one.
    #[display("role")]
    Role,
    /// No engine has room, and making room would remove needed capacity.
    #[display("no-room")]
    NoRoom,
    /// The bandwidth budget of the weight store is exhausted.
    #[display("store-rate")]
    StoreRate,
}

/// A planning decision, logged as one line.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The order issued, or `None` if it was withheld.
    pub order: Option<Order>,
    /// The affected build.
    pub build: Option<Build>,
    /// The reason.
    pub why: Why,
    /// The ready copies of the model, in any version.
    pub ready: usize,
    /// The wanted copies of the model.
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

//! Why a deployment does not come up.

use std::io;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

/// The reason why a deployment can't be started or changed.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum SiteError {
    /// A stand-in can't listen.
    #[display("a stand-in can't listen: {_0}; free some ports")]
    Standin(io::Error),
    /// An agent can't start.
    #[display("{_0}")]
    Agent(snipeyoke_agent::StartError),
    /// A router can't start.
    #[display("{_0}")]
    Router(snipeyoke_router::StartError),
    /// The plan's settings are out of range.
    #[display("the plan's settings for an agent are refused: {_0}")]
    AgentSettings(snipeyoke_agent::settings::ValueError),
    /// The plan's settings are out of range.
    #[display("the plan's settings for a router are refused: {_0}")]
    RouterSettings(snipeyoke_router::settings::ValueError),
    /// A name in the plan is malformed.
    #[display("a name in the plan is malformed: {_0}")]
    Name(snipeyoke_lib::ids::IdError),
    /// The log did not take a change.
    #[from(ignore)]
    #[display("the log service did not take the change: try again once it is up")]
    NotPublished,
    /// The routers did not become ready.
    #[from(ignore)]
    #[display("a router did not become ready in time: look at its log lines")]
    NotReady,
}

impl SiteError {
    /// Tells whether trying again later may help.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        matches!(self, Self::NotPublished | Self::NotReady)
    }
}

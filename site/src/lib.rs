//! A whole deployment in one process, for demo, tests and experiments.
//!
//! Real routers and agents over loopback before stand-ins of everything else.

mod error;
mod plan;
mod publish;
mod run;

pub use error::SiteError;
pub use plan::Plan;
pub use plan::PoolPlan;
pub use plan::key_digest;
pub use plan::sentiercoop;
pub use plan::vestlandsprint;
pub use run::EndpointAt;
pub use run::OPERATOR_KEY;
pub use run::Site;

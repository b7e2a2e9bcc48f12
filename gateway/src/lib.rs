//! A node that fronts endpoints directly, without agents beside them.
//!
//! It forwards requests, streams and stage work over HTTP, and takes routes,
//! keys and endpoints from a registry. What callers, endpoints and the registry
//! speak is left to a [`dialect::Dialect`] and a [`registry::Registry`].

mod attempt;
mod call;
mod changes;
pub mod dialect;
mod dispatch;
mod door;
mod fingerprint;
mod follow;
mod leaving;
mod node;
mod plain;
mod program;
mod ready;
mod records;
mod refusal;
pub mod registry;
mod retry;
pub mod settings;
mod shared;
mod stages;
mod stream;
mod ticket;
mod watch;

pub use node::Gateway;
pub use node::StartError;
pub use program::Adapter;
pub use program::GatewayProgram;

//! A gateway node that serves endpoints directly, without an agent on their
//! hosts.
//!
//! It forwards requests, streams and stage work over HTTP and reads routes,
//! keys and endpoints from a registry. The protocols of callers, endpoints and
//! the registry are behind [`dialect::Dialect`] and [`registry::Registry`].

mod attempt;
mod call;
mod changes;
mod choice;
pub mod dialect;
mod dispatch;
mod fingerprint;
mod follow;
mod ingress;
mod kept_connections;
mod node;
mod operators;
mod polling;
mod prefix_fetch;
mod program;
mod rate_limits;
mod ready;
mod records;
mod refusal;
pub mod registry;
mod request_context;
mod retry;
mod self_reports;
pub mod settings;
mod shared;
mod shutdown;
mod speeds;
mod stages;
mod stream;
mod stream_versions;
mod unary;

pub use node::Gateway;
pub use node::StartError;
pub use program::Adapter;
pub use program::GatewayProgram;

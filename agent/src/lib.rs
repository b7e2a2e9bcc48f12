//! The process beside an endpoint: its only gate.
//!
//! Routers reach the endpoint through it alone, so it can vouch for what did
//! not run.

mod calls;
mod endpoint;
mod gate;
mod hosts;
mod node;
mod once;
mod orders;
mod owner;
mod peers;
mod program;
mod report;
pub mod settings;
mod sse;

pub use node::Agent;
pub use node::StartError;

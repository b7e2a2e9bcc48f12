//! The agent: a process that controls all access to one endpoint.
//!
//! Routers reach the endpoint only through its agent, so the agent can prove that a
//! call did not run.

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

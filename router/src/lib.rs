//! The entry process: owns each request until its outcome.

mod admission;
mod agents;
mod board;
mod connect;
mod control;
mod drive;
mod follow;
mod ingress;
mod members;
mod node;
mod outcomes;
mod program;
pub mod settings;
mod snapshots;

pub use node::Router;
pub use node::StartError;

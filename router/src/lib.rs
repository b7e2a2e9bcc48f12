//! The entry process: owns each request until its one outcome.

mod agents;
mod board;
mod connect;
mod door;
mod drive;
mod follow;
mod members;
mod node;
mod outcomes;
pub mod settings;

pub use node::Router;
pub use node::StartError;

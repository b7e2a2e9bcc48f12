//! Placement of models on engines by the holder of a pool's lease.
//!
//! The planner turns demand and engine reports into orders, each with the
//! holder's fencing number. The gate of each agent refuses older numbers, so a
//! holder that was paused past the end of its lease has no effect.

mod gate;
mod order;
mod planner;
mod rollout;

pub use gate::Gate;
pub use gate::GateError;
pub use gate::GateOutcome;
pub use order::Build;
pub use order::Decision;
pub use order::Order;
pub use order::OrderId;
pub use order::Verb;
pub use order::Why;
pub use planner::Demand;
pub use planner::DesiredModel;
pub use planner::Engine;
pub use planner::LoadState;
pub use planner::Planner;
pub use planner::PlannerSettings;

//! Which models run where, decided by the holder of a pool's lease.
//!
//! The planner turns demand and what engines report into orders, each with the
//! holder's fencing number. The gate at each agent refuses older numbers, so
//! that a holder that was paused past its lease changes nothing.

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

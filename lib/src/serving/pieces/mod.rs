//! Stage work in pieces: what a request still needs, and how calls are filled.

mod fill;
mod first_goals;
mod maker;
mod on_time;
mod place;
mod plan;
mod queue;
mod room;
mod settle;
mod times;

pub use plan::Order;
pub use plan::Plan;
pub use plan::PlanError;
pub use plan::Work;
pub use queue::CallResult;
pub use queue::Item;
pub use queue::Job;
pub use queue::JobEnd;
pub use queue::JobId;
pub use queue::Outcome;
pub use queue::PieceCall;
pub use queue::PieceQueue;
pub use room::Room;
pub use times::StageTimes;

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

pub use plan::PlanError;
pub use plan::ReadyStage;
pub use plan::StageInput;
pub use plan::StagePlan;
pub use queue::BatchCall;
pub use queue::BatchItem;
pub use queue::BatchQueue;
pub use queue::CallResult;
pub use queue::ItemOutcome;
pub use queue::Job;
pub use queue::JobId;
pub use queue::JobOutcome;
pub use room::ResultMemory;
pub use times::StageTimes;

//! Batching of stage work: plans the stages of a request and fills calls with their items.

mod call_result;
mod contention;
mod endpoint;
mod fill;
mod first_targets;
mod on_time;
mod placement;
mod plan;
mod queue;
mod result_memory;
mod speeds;
mod stage_times;

pub use endpoint::EndpointState;
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
pub use result_memory::ResultMemory;
pub use speeds::CallTime;
pub use stage_times::StageTimes;

//! Drives the chain of a request: executes its actions and passes events to it.

mod answer;
mod ends;
mod record;
mod resolve;
mod run;
mod work;

pub(crate) use answer::DriverMessage;
pub(crate) use answer::RequestResult;
pub(crate) use resolve::IdempotencyKey;
pub(crate) use run::Job;
pub(crate) use run::drive;
pub(crate) use work::PipelineData;

//! The state machine that owns one accepted request.
//!
//! A [`Chain`] runs a request through its stages to a single outcome. It
//! numbers attempts and never handles payloads: the driver keeps the bytes,
//! executes the [`Action`]s and reports the results as [`Event`]s.

mod attempt;
mod decision;
mod ending;
mod machine;
mod model;
mod progress;
mod select;
mod shared;
mod timers;
mod timing;

pub use decision::Alternative;
pub use decision::Decision;
pub use machine::Chain;
pub use model::Action;
pub use model::Event;
pub use model::Prompt;
pub use model::RequestSpec;
pub use model::Usage;
pub(crate) use select::stage_need;
pub use shared::Shared;

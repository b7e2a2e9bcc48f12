//! Routing of stages: the router's view of endpoints and the choice among them.

mod baseline;
mod endpoint;
mod fleet;
mod health;
mod policy;
mod pool;
mod predicted;
mod prefix;
mod report;
mod slowdown;

pub use baseline::LeastOutstanding;
pub use baseline::RoundRobin;
pub use endpoint::Endpoint;
pub use fleet::Booking;
pub use fleet::Fleet;
pub use health::Health;
pub use policy::Choice;
pub use policy::Need;
pub use policy::Policy;
pub use policy::PolicyKind;
pub use policy::Why;
pub use policy::choose;
pub use pool::Pool;
pub use predicted::Predicted;
pub use prefix::PrefixIndex;
pub use report::CacheUpdate;
pub use report::LoadReport;
pub use report::RouterLocation;

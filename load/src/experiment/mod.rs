//! Policies, loads and faults on the same arrivals, side by side.

mod capacity;
mod fault;
mod trial;

pub use capacity::Capacity;
pub use capacity::capacity;
pub use fault::FaultKind;
pub use trial::Trial;
pub use trial::TrialError;
pub use trial::trial;

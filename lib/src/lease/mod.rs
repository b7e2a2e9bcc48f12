//! Leases that go through the platform's log.

mod fold;
mod holder;
mod record;
mod steps;

pub use fold::LeaseFold;
pub use fold::Tenure;
pub use holder::Held;
pub use holder::Holder;
pub use holder::LeaseGuards;
pub use record::Claimed;
pub use record::Hold;
pub use record::LEASE_NAME_MAX;
pub use record::LeaseHolder;
pub use record::LeaseName;
pub use record::LeaseNameError;
pub use record::LeaseRecord;
pub use record::LeaseTerm;
pub use record::LeaseTermError;
pub use record::Released;

//! Leases coordinated through records in the platform's log.

mod fold;
mod manager;
mod record;
mod steps;

pub use fold::LeaseFold;
pub use fold::Tenure;
pub use manager::HeldLease;
pub use manager::LeaseGuards;
pub use manager::LeaseManager;
pub use record::LEASE_NAME_MAX;
pub use record::LeaseClaim;
pub use record::LeaseHold;
pub use record::LeaseHolder;
pub use record::LeaseName;
pub use record::LeaseNameError;
pub use record::LeaseRecord;
pub use record::LeaseRelease;
pub use record::LeaseTerm;
pub use record::LeaseTermError;

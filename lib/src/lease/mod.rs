//! Leases that go through the platform's log.

mod record;

pub use record::Claimed;
pub use record::LeaseHolder;
pub use record::LeaseName;
pub use record::LeaseRecord;

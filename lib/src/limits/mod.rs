//! Limits per client account, enforced jointly by all routers.
//!
//! Each router admits requests from local token buckets, which refill at its
//! share of the account's limit, without a message per request. The shares
//! follow the demand that routers report to each other a few times per second;
//! `docs/design/limits.md` compares the alternatives.

mod bucket;
mod fair;
mod limiter;
mod peers;

pub use bucket::Bucket;
pub use fair::Fairness;
pub use limiter::AccountDemand;
pub use limiter::LimitError;
pub use limiter::Limiter;

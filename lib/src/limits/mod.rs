//! Limits per client account, shared by all routers without a message per request.
//!
//! Each router admits from buckets of its own, filled at its share of the
//! account's limit. The shares follow the demand that routers tell each other
//! about a few times a second; `docs/design/limits.md` weighs the ways.

mod bucket;
mod fair;
mod limiter;
mod peers;

pub use bucket::Bucket;
pub use fair::Fairness;
pub use limiter::AccountDemand;
pub use limiter::LimitError;
pub use limiter::Limiter;

//! The configuration, published by operators and followed by every process.

mod change;
mod fold;
mod model;
mod parts;
mod snapshot;

pub use change::Change;
pub use change::DrainTarget;
pub use fold::Applied;
pub use fold::Fold;
pub use fold::FoldGuards;
pub use fold::RECENT_MAX;
pub use fold::TAIL_BYTES_MAX;
pub use fold::TAIL_RECORDS_MAX;
pub use fold::Winner;
pub use model::Account;
pub use model::Config;
pub use model::ConfigError;
pub use model::KeyDigest;
pub use model::Limits;
pub use model::Pipeline;
pub use model::Pool;
pub use model::Stage;
pub use model::StageRole;
pub use model::Weights;
pub use parts::INCOMPLETE_BYTES_MAX;
pub use parts::INCOMPLETE_SNAPSHOTS_MAX;
pub use parts::PART_BYTES_MAX;
pub use parts::PART_COUNT_MAX;
pub use parts::SnapshotId;
pub use parts::SnapshotPart;
pub use snapshot::Accepted;
pub use snapshot::Snapshot;

//! The configuration that operators publish and every process follows.

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
pub use fold::TAIL_BYTES;
pub use fold::TAIL_MAX;
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
pub use parts::HELD_MAX;
pub use parts::PART_MAX;
pub use parts::PARTS_MAX;
pub use parts::Part;
pub use parts::PartSet;
pub use parts::SETS_MAX;
pub use snapshot::Accepted;
pub use snapshot::Snapshot;

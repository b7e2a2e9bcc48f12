//! The configuration that operators publish and every process follows.

mod model;

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

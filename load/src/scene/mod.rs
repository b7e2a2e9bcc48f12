//! A deployment as a file describes it, and as it runs in one process.

mod bed;
mod deployment;
mod files;
mod network;
mod ports;
mod process;
mod publish;

pub use bed::Bed;
pub use bed::BedError;
pub use bed::Options;
pub use deployment::Deployment;
pub use deployment::PoolScene;
pub use deployment::Scene;
pub use deployment::SceneError;
pub use files::files;
pub use ports::free as free_port;
pub use publish::changes;
pub use publish::records;

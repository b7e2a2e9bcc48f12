//! Stand-ins for the platform, model engines and plain services, for tests only.
//!
//! Each speaks the protocol in `docs/architecture.md`, is deterministic from a
//! seed and takes faults over `POST /fault` while it runs.

pub mod answer;
pub mod engine;
pub mod fault;
pub mod http;
pub mod plain;
pub mod platform;
pub mod settings;
pub mod slots;
pub mod standin;
mod sync;
pub mod times;
pub mod wire;

pub use fault::Fault;
pub use settings::EngineSettings;
pub use settings::PlainSettings;
pub use settings::PlatformSettings;
pub use settings::Settings;
pub use settings::SettingsError;
pub use standin::Running;
pub use standin::Standin;
pub use wire::Wire;

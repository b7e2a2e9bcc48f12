//! The platform's services, met through their published protocols.

mod log;

pub use self::log::HttpLog;

//! The platform's services, met through their published protocols.

mod hosts;
mod log;

pub use self::hosts::HttpHosts;
pub use self::log::HttpLog;

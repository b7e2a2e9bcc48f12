//! Clients for the platform's services.

mod hosts;
mod log;

pub use self::hosts::HttpHosts;
pub use self::log::HttpLog;

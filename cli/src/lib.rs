//! The operators' tool: reads the language, asks routers, merges answers.

pub mod exit;
pub mod report;
pub mod router;
pub mod session;
pub mod settings;
pub mod shell;

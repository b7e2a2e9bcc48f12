//! Threads, tasks, sockets and settings for the processes of snipeyoke.
//!
//! Contains adapters only; `snipeyoke_lib` makes the decisions.

pub mod clock;
pub mod config_store;
pub mod faults;
pub mod flag;
pub mod http;
pub mod link;
pub mod listen;
pub mod logs;
pub mod measures;
pub mod platform;
pub mod program;
pub mod scope;
pub mod settings;
pub mod signals;
pub mod threads;
pub mod watched;

#[doc(hidden)]
pub use ctor;

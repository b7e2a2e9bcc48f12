//! Decisions of snipeyoke as state machines without input or output.
//!
//! Nothing in this crate opens a socket, starts a thread, reads a clock or owns
//! a global random source. Callers pass the current [`time::Time`] and events
//! in, and carry out the actions that come out. The same code is therefore
//! driven by tests, by fuzzers, by the processes of snipeyoke and by programs
//! that embed it with their own transport.

pub mod admission;
pub mod chain;
pub mod config;
pub mod deadline;
pub mod drain;
pub mod hedge;
pub mod ids;
pub mod journal;
pub mod lease;
pub mod limits;
pub mod log;
pub mod membership;
pub mod once;
pub mod outcome;
pub mod placement;
pub mod prefix;
pub mod query;
pub mod record;
pub mod retry;
pub mod routing;
pub mod serving;
pub mod time;
pub mod units;

//! The decision logic of snipeyoke as state machines without I/O.
//!
//! This crate opens no sockets, starts no threads, reads no clock and has no
//! global random source. Callers pass in events and the current [`time::Time`],
//! and carry out the returned actions. So the same code runs in tests, in
//! fuzzers, in the processes of snipeyoke and in programs that embed it with
//! their own transport.

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
pub mod startup;
pub mod time;
pub mod units;

//! Decisions of a node that fronts endpoints directly, without agents.
//!
//! A node keeps two replicas of the platform's records, the configuration and
//! the endpoints, and owns each client attempt that reaches it. Stage pieces of
//! all nodes meet at one owner for each service, which fills the calls.

pub mod batching;
pub mod bookings;
pub mod budget;
pub mod catalog;
pub mod catch_up;
pub mod crashes;
pub mod directory;
pub mod durations;
pub mod ends;
pub mod events;
pub mod first_event;
pub mod freshness;
pub mod health;
pub mod owners;
pub mod replica;
pub mod retry_after;
pub mod returned;
pub mod shutdown;
pub mod slices;
pub mod upkeep;

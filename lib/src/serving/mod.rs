//! Decisions of a node that calls endpoints directly, without agents.
//!
//! A node keeps two replicas of the platform's records, the configuration and
//! the endpoints, and owns each client attempt that reaches it. The batch items
//! of all nodes are sent to one owner for each service, which builds the
//! batches.

pub mod admission;
pub mod batching;
pub mod bookings;
pub mod budget;
pub mod caller_connections;
pub mod catalog;
pub mod catch_up;
pub mod cold_start;
pub mod crashes;
pub mod directory;
pub mod durations;
pub mod endpoint_loss;
pub mod endpoint_speed;
pub mod evacuation;
pub mod events;
pub mod first_event;
pub mod freshness;
pub mod health;
pub mod homes;
pub mod kept_connections;
pub mod long_prompts;
pub mod owners;
pub mod position;
pub mod prefix_sources;
pub mod rate_limit;
pub mod registry_polling;
pub mod releases;
pub mod replica;
pub mod retry_after;
pub mod self_report;
pub mod shards;
pub mod shutdown;
pub mod slices;
pub mod stream_origins;

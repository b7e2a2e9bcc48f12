//! The whole configuration at one offset of the log.

use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::config::Config;
use crate::ids::Offset;
use crate::ids::Revision;
use crate::record::RecordId;

/// A record that was accepted, and the revision that it made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Accepted {
    /// The record.
    pub id: RecordId,
    /// The revision that it made.
    pub revision: Revision,
}

/// The configuration that the records below one offset lead to.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The offset after the last record covered.
    pub next: Offset,
    /// The revision.
    pub revision: Revision,
    /// The configuration.
    #[serde(serialize_with = "write_shared", deserialize_with = "read_shared")]
    pub config: Arc<Config>,
    /// The last accepted records, so that a repeated append is still known.
    pub recent: Vec<Accepted>,
}

fn write_shared<S: Serializer>(config: &Arc<Config>, to: S) -> Result<S::Ok, S::Error> {
    config.as_ref().serialize(to)
}

fn read_shared<'de, D: Deserializer<'de>>(from: D) -> Result<Arc<Config>, D::Error> {
    Config::deserialize(from).map(Arc::new)
}

//! Snapshots of the configuration at an offset of the log.

use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::config::Config;
use crate::ids::Offset;
use crate::ids::Revision;
use crate::record::RecordId;

/// An accepted record and the revision that it created.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Accepted {
    /// The record.
    pub id: RecordId,
    /// The revision that it created.
    pub revision: Revision,
}

/// The configuration that results from all records below an offset.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The offset after the last covered record.
    pub next: Offset,
    /// The revision.
    pub revision: Revision,
    /// The configuration.
    #[serde(serialize_with = "write_shared", deserialize_with = "read_shared")]
    pub config: Arc<Config>,
    /// The latest accepted records, by which a repeated append is recognized.
    pub recent: Vec<Accepted>,
}

fn write_shared<S: Serializer>(config: &Arc<Config>, to: S) -> Result<S::Ok, S::Error> {
    config.as_ref().serialize(to)
}

fn read_shared<'de, D: Deserializer<'de>>(from: D) -> Result<Arc<Config>, D::Error> {
    Config::deserialize(from).map(Arc::new)
}

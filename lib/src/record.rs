//! Records that the system stores in the platform's log.

use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::config::Change;
use crate::config::Snapshot;
use crate::config::SnapshotPart;
use crate::ids::IdError;
use crate::ids::NodeId;
use crate::ids::Operator;
use crate::ids::Revision;
use crate::lease::LeaseRecord;

/// The version that this code writes, and the only one that it reads.
pub const RECORD_VERSION: u32 = 1;

/// Identifies one record, even if it is appended several times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordId(pub Uuid);

impl FromStr for RecordId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let uuid = Uuid::parse_str(text);
        uuid.map(Self).map_err(|_malformed| IdError::BadUuid {
            text: text.to_owned(),
        })
    }
}

/// Who wrote a record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Author {
    /// An operator.
    #[display("operator {_0}")]
    Operator(Operator),
    /// A process of the system.
    #[display("node {_0}")]
    Node(NodeId),
    /// A peer that forwards its state; never written to the log.
    #[display("peer")]
    Peer,
}

/// The content of a record.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Body {
    /// A change of the configuration.
    ConfigChange {
        /// The revision that the change was made on.
        base: Revision,
        /// The change.
        change: Change,
    },
    /// The whole configuration, for readers that lost records to retention.
    Snapshot(Snapshot),
    /// A part of a configuration that is too large for one record.
    SnapshotPart(SnapshotPart),
    /// A claim, renewal or release of leases.
    Lease(LeaseRecord),
}

/// One record of the log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The id, which stays the same when the append is retried.
    pub id: RecordId,
    /// The author.
    pub author: Author,
    /// The content.
    pub body: Body,
}

#[derive(Serialize)]
struct VersionedRecord<'a> {
    version: u32,
    #[serde(flatten)]
    record: &'a Record,
}

#[derive(Deserialize)]
struct Header {
    version: u32,
}

/// The reason why bytes could not be decoded as a record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum RecordError {
    /// The bytes are not a JSON object of the expected form.
    #[display("the record is malformed ({detail}): check the topic for a foreign writer")]
    Malformed {
        /// The parser's error.
        detail: String,
    },
    /// The record was written by a newer release.
    #[display("the record has version {found}, this release reads {RECORD_VERSION}: upgrade it")]
    Version {
        /// The version found.
        found: u32,
    },
}

impl RecordError {
    /// Returns whether the record was written by another release.
    #[must_use]
    pub const fn is_version(&self) -> bool {
        matches!(self, Self::Version { .. })
    }
}

impl Record {
    /// Encodes the record for the log.
    ///
    /// # Panics
    ///
    /// Panics if the record has no JSON form, which would be a bug: all map keys
    /// are strings, and validated configurations contain only finite numbers.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let versioned = VersionedRecord {
            version: RECORD_VERSION,
            record: self,
        };
        serde_json::to_vec(&versioned).expect("records have a JSON form")
    }
}

impl TryFrom<&[u8]> for Record {
    type Error = RecordError;

    fn try_from(bytes: &[u8]) -> Result<Self, RecordError> {
        let header: Header = serde_json::from_slice(bytes).map_err(malformed)?;
        if header.version != RECORD_VERSION {
            return Err(RecordError::Version {
                found: header.version,
            });
        }
        serde_json::from_slice(bytes).map_err(malformed)
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "map_err passes the error by value"
)]
fn malformed(error: serde_json::Error) -> RecordError {
    RecordError::Malformed {
        detail: error.to_string(),
    }
}

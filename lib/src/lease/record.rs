//! Records of the life of leases.

use std::str::FromStr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::FencingNumber;
use crate::ids::IdError;
use crate::ids::Incarnation;
use crate::ids::NodeId;
use crate::ids::Offset;
use crate::ids::PoolName;

/// Names a lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct LeaseName(PoolName);

impl LeaseName {
    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl FromStr for LeaseName {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        text.parse().map(Self)
    }
}

impl TryFrom<String> for LeaseName {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<LeaseName> for String {
    fn from(name: LeaseName) -> Self {
        name.0.into()
    }
}

/// One life of a process, as a holder of leases.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
#[display("{node}#{incarnation}")]
pub struct LeaseHolder {
    /// The process.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// A step in the life of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum LeaseRecord {
    /// Asks for leases; the record's offset is the fencing number.
    Claim {
        /// The leases, each with the last record about it that was seen.
        leases: Vec<Claimed>,
        /// The claimant.
        holder: LeaseHolder,
        /// The term, in milliseconds.
        term_ms: u64,
    },
    /// Prolongs all leases that the claim at an offset still holds.
    Renew {
        /// The claim.
        fence: FencingNumber,
    },
    /// Gives up leases of a claim.
    Release {
        /// The claim.
        fence: FencingNumber,
        /// The leases given up.
        leases: Vec<LeaseName>,
    },
}

/// One lease of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claimed {
    /// The lease.
    pub lease: LeaseName,
    /// The newest claim or renewal of it that the claimant saw run out, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Offset>,
}

//! Records of the life of leases.

use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::FencingNumber;
use crate::ids::Incarnation;
use crate::ids::NodeId;
use crate::ids::Offset;
use crate::time::WallTime;

/// The longest name of a lease, in bytes: two names and a few characters.
pub const LEASE_NAME_MAX: usize = 160;

/// Names a lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct LeaseName(String);

/// The reason why a text names no lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("a lease's name has 1 to {LEASE_NAME_MAX} of a-z, A-Z, 0-9, '-_.:/': correct it")]
pub struct LeaseNameError;

impl LeaseName {
    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Builds a name from parts that are names themselves.
    pub(crate) fn join(parts: &[&str]) -> Self {
        Self(parts.join("/"))
    }
}

impl FromStr for LeaseName {
    type Err = LeaseNameError;

    fn from_str(text: &str) -> Result<Self, LeaseNameError> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
        let well_formed = (1..=LEASE_NAME_MAX).contains(&text.len()) && text.chars().all(allowed);
        if !well_formed {
            return Err(LeaseNameError);
        }
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for LeaseName {
    type Error = LeaseNameError;

    fn try_from(text: String) -> Result<Self, LeaseNameError> {
        text.parse()
    }
}

impl From<LeaseName> for String {
    fn from(name: LeaseName) -> Self {
        name.0
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

/// One lease that a claim asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseClaim {
    /// The lease.
    pub lease: LeaseName,
    /// The claim wins if no record names the lease from this offset on.
    pub after: Offset,
}

/// One lease under the claim that won it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseHold {
    /// The lease.
    pub lease: LeaseName,
    /// The offset of the claim.
    pub fence: FencingNumber,
}

/// One lease that its holder gives up.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRelease {
    /// The lease.
    pub lease: LeaseName,
    /// The offset of the claim.
    pub fence: FencingNumber,
    /// No key issued later was ever taken in under the lease.
    pub used: WallTime,
}

/// A step in the life of leases.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum LeaseRecord {
    /// Asks for leases; the record's offset is the fencing number.
    Claim {
        /// The claimant.
        holder: LeaseHolder,
        /// The leases.
        leases: Vec<LeaseClaim>,
        /// The term, in milliseconds.
        term_ms: u64,
    },
    /// Prolongs leases.
    Renew {
        /// The holder.
        holder: LeaseHolder,
        /// The leases.
        leases: Vec<LeaseHold>,
        /// The term, in milliseconds.
        term_ms: u64,
    },
    /// Gives leases up.
    Release {
        /// The holder.
        holder: LeaseHolder,
        /// The leases.
        leases: Vec<LeaseRelease>,
    },
}

/// How long leases last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerm(Duration);

/// The reason why a duration is no term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("a lease lasts 1 s to 1 h: correct the term")]
pub struct LeaseTermError;

impl TryFrom<Duration> for LeaseTerm {
    type Error = LeaseTermError;

    fn try_from(term: Duration) -> Result<Self, LeaseTermError> {
        let is_valid = (Duration::from_secs(1)..=Duration::from_hours(1)).contains(&term);
        is_valid.then_some(Self(term)).ok_or(LeaseTermError)
    }
}

impl LeaseTerm {
    /// Returns the term on the holder's clock.
    #[must_use]
    pub const fn term(self) -> Duration {
        self.0
    }

    /// Returns how long a successor waits, on its own clock.
    #[must_use]
    pub fn takeover_wait(self) -> Duration {
        takeover_wait(self.0)
    }
}

/// The share by which two monotonic clocks may differ in rate: one in 100.
///
/// Crystals differ by less than one in 10,000; a clock that is slewed into
/// line by 500 parts in a million does too.
const DRIFT_DIVISOR: u32 = 100;

/// Returns the wait of a successor for a term found in a record.
pub(crate) fn takeover_wait(term: Duration) -> Duration {
    term + term / DRIFT_DIVISOR
}

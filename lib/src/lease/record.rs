//! Log records that claim, renew and release leases.

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

/// The maximum length of a lease name, in bytes: two names and a few characters.
pub const LEASE_NAME_MAX: usize = 160;

/// Names a lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct LeaseName(String);

/// The error for a text that is not a valid lease name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("a lease name needs 1 to {LEASE_NAME_MAX} of a-z, A-Z, 0-9, '-_.:/': correct it")]
pub struct LeaseNameError;

impl LeaseName {
    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Joins valid names into a lease name, without a check of the length.
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

/// One incarnation of a process, as a holder of leases.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
#[display("{node}#{incarnation}")]
pub struct LeaseHolder {
    /// The process.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// One lease that a claim requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseClaim {
    /// The lease.
    pub lease: LeaseName,
    /// The claim wins if no record names the lease from this offset on.
    pub after: Offset,
}

/// One held lease, with the claim that won it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseHold {
    /// The lease.
    pub lease: LeaseName,
    /// The offset of the claim.
    pub fence: FencingNumber,
}

/// One lease that its holder releases.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRelease {
    /// The lease.
    pub lease: LeaseName,
    /// The offset of the claim.
    pub fence: FencingNumber,
    /// The upper bound on issue times of keys ever accepted under the lease.
    pub used: WallTime,
}

/// A claim, renewal or release of leases.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum LeaseRecord {
    /// Claims leases; the record's offset is the fencing number.
    Claim {
        /// The claimant.
        holder: LeaseHolder,
        /// The leases.
        leases: Vec<LeaseClaim>,
        /// The term, in milliseconds.
        term_ms: u64,
    },
    /// Renews leases.
    Renew {
        /// The holder.
        holder: LeaseHolder,
        /// The leases.
        leases: Vec<LeaseHold>,
        /// The term, in milliseconds.
        term_ms: u64,
    },
    /// Releases leases.
    Release {
        /// The holder.
        holder: LeaseHolder,
        /// The leases.
        leases: Vec<LeaseRelease>,
    },
}

/// The term of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerm(Duration);

/// The error for a duration that is not a valid term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("a lease term must be 1 s to 1 h: correct it")]
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

    /// Returns how long a successor waits before its claim, on its own clock.
    #[must_use]
    pub fn takeover_wait(self) -> Duration {
        takeover_wait(self.0)
    }
}

/// Two monotonic clocks may differ in rate by one part in 100.
///
/// Crystals differ by less than one in 10,000. Clock slewing, by up to 500 parts
/// per million, also stays far below the bound.
const DRIFT_DIVISOR: u32 = 100;

/// Returns how long a successor waits for the term in a record to expire.
pub(crate) fn takeover_wait(term: Duration) -> Duration {
    term + term / DRIFT_DIVISOR
}

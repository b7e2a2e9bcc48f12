//! Idempotency keys and the slots that they map to.

use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use rapidhash::v3::rapidhash_v3;
use uuid::Uuid;

use crate::ids::ClientAccount;
use crate::ids::PoolName;
use crate::lease::LeaseName;
use crate::time::WallTime;

/// The number of key slots in one pool.
///
/// Pools have few agents, so each owns several slots, and some can move to a
/// joining agent. Even with 64 agents each owns one.
pub const SLOTS_PER_POOL: u16 = 64;

/// The maximum difference between the wall clocks of any two hosts.
///
/// An owner compares the caller's time in a key with its own clock. Hosts that
/// synchronize with any time source stay well below 2 s.
pub const CLOCK_SKEW_MAX: Duration = Duration::from_secs(2);

/// The age above which a key is refused without a lookup.
///
/// Callers retry within minutes. Agents, and with them their tables of keys,
/// are replaced within days.
const KEY_AGE_MAX: Duration = Duration::from_hours(24);

/// The UUID version that contains the issue time.
const UUID_VERSION: usize = 7;

/// The SHA-256 digest of a request body.
pub type Digest = [u8; 32];

/// The reason why a key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum KeyError {
    /// The text is not a UUID.
    #[display("the idempotency key is not a UUID: send a UUIDv7")]
    Malformed,
    /// The UUID contains no issue time.
    #[display("the idempotency key is not a UUIDv7: send one, its issue time is required")]
    Version,
    /// The key is so old that its outcome is no longer stored.
    #[display("the idempotency key is over a day old and may have run: check its effect")]
    Old,
    /// The key was issued further in the future than clock skew allows.
    #[display("the idempotency key was issued in the future: correct the caller's clock")]
    Future,
}

/// The idempotency key of one non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceKey {
    /// The client account; accounts don't share keys.
    pub account: ClientAccount,
    /// The caller's UUIDv7.
    pub key: Uuid,
    /// The digest of the request body.
    pub digest: Digest,
}

impl OnceKey {
    /// Parses the caller's key.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] if the text is not a UUIDv7.
    pub fn parse(text: &str) -> Result<Uuid, KeyError> {
        let key = Uuid::parse_str(text).map_err(|_malformed| KeyError::Malformed)?;
        if key.get_version_num() != UUID_VERSION {
            return Err(KeyError::Version);
        }
        Ok(key)
    }

    /// Returns the wall time at which the key was issued.
    #[must_use]
    pub fn issued(&self) -> WallTime {
        issued(self.key)
    }

    /// Returns the slot of the key.
    #[must_use]
    pub fn slot(&self) -> KeySlot {
        let text = format!("{}/{}", self.account, self.key);
        let hash = rapidhash_v3(text.as_bytes()) % u64::from(SLOTS_PER_POOL);
        KeySlot(u16::try_from(hash).unwrap_or(0))
    }

    /// Checks that the issue time is neither in the future nor too old.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::Future`] or [`KeyError::Old`].
    pub fn check_issue_time(&self, wall: WallTime) -> Result<(), KeyError> {
        if self.issued() > add_skew(wall) {
            return Err(KeyError::Future);
        }
        let age = wall.as_millis().saturating_sub(self.issued().as_millis());
        if Duration::from_millis(age) > KEY_AGE_MAX {
            return Err(KeyError::Old);
        }
        Ok(())
    }
}

fn issued(key: Uuid) -> WallTime {
    // A UUIDv7 begins with 48 bits of milliseconds since the Unix epoch.
    WallTime::from_millis((key.as_u128() >> 80) as u64)
}

/// Returns a wall time plus the maximum clock skew.
pub(crate) fn add_skew(wall: WallTime) -> WallTime {
    let skew = u64::try_from(CLOCK_SKEW_MAX.as_millis()).unwrap_or(u64::MAX);
    WallTime::from_millis(wall.as_millis().saturating_add(skew))
}

/// The number of a key slot within a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub struct KeySlot(u16);

/// The error for a number that is not a key slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("a key slot must be 0 to {}: check for a sender of another release", SLOTS_PER_POOL - 1)]
pub struct SlotError;

impl KeySlot {
    /// Returns all slots of a pool.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SLOTS_PER_POOL).map(Self)
    }

    /// Returns the number.
    #[must_use]
    pub const fn number(self) -> u16 {
        self.0
    }

    /// Returns the name of the lease for the slot in a pool.
    #[must_use]
    pub fn lease(self, pool: &PoolName) -> LeaseName {
        LeaseName::join(&["slot", pool.as_str(), &self.to_string()])
    }
}

impl TryFrom<u32> for KeySlot {
    type Error = SlotError;

    fn try_from(number: u32) -> Result<Self, SlotError> {
        let number = u16::try_from(number).map_err(|_large| SlotError)?;
        (number < SLOTS_PER_POOL)
            .then_some(Self(number))
            .ok_or(SlotError)
    }
}

impl FromStr for KeySlot {
    type Err = SlotError;

    fn from_str(text: &str) -> Result<Self, SlotError> {
        let number: u32 = text.parse().map_err(|_malformed| SlotError)?;
        Self::try_from(number)
    }
}

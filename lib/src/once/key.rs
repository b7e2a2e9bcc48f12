//! Idempotency keys and the slots that they fall into.

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

/// The slots of one pool.
///
/// A pool of plain services has a few agents, so that each owns some and a
/// joining agent can take its share; a pool of 64 agents still has one each.
pub const SLOTS_PER_POOL: u16 = 64;

/// The most by which the times of day of any two hosts may differ.
///
/// Keys carry their caller's time of day, and an owner compares it with its
/// own. Hosts that follow any time source stay well within this.
pub const CLOCK_SKEW_MAX: Duration = Duration::from_secs(2);

/// The age at which a key is refused unseen.
///
/// Callers repeat within minutes; agents are replaced within days, and their
/// tables with them.
const KEY_AGE_MAX: Duration = Duration::from_hours(24);

/// The version of UUID that carries its time of issue.
const UUID_VERSION: usize = 7;

/// The SHA-256 digest of a caller's body.
pub type Digest = [u8; 32];

/// The reason why a key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum KeyError {
    /// The text is no UUID.
    #[display("the idempotency key is no UUID: send a UUIDv7")]
    Malformed,
    /// The UUID carries no time of issue.
    #[display("the idempotency key is no UUIDv7: send one, its time of issue is needed")]
    Version,
    /// The key was issued so long ago that its outcome isn't kept.
    #[display("the idempotency key is over a day old, it may have run: look at the effect itself")]
    Old,
    /// The key was issued later than the clocks' skew explains.
    #[display("the idempotency key is issued in the future: correct the caller's clock")]
    Future,
}

/// The idempotency key of one non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceKey {
    /// The client account; accounts don't share keys.
    pub account: ClientAccount,
    /// The caller's UUIDv7.
    pub key: Uuid,
    /// The digest of the caller's body.
    pub digest: Digest,
}

impl OnceKey {
    /// Reads the caller's text as a key.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] if the text is no UUIDv7.
    pub fn parse(text: &str) -> Result<Uuid, KeyError> {
        let key = Uuid::parse_str(text).map_err(|_malformed| KeyError::Malformed)?;
        if key.get_version_num() != UUID_VERSION {
            return Err(KeyError::Version);
        }
        Ok(key)
    }

    /// Returns the time of day at which the key was issued.
    #[must_use]
    pub fn issued(&self) -> WallTime {
        issued(self.key)
    }

    /// Returns the slot that the key falls into.
    #[must_use]
    pub fn slot(&self) -> KeySlot {
        let text = format!("{}/{}", self.account, self.key);
        let hash = rapidhash_v3(text.as_bytes()) % u64::from(SLOTS_PER_POOL);
        KeySlot(u16::try_from(hash).unwrap_or(0))
    }

    /// Checks that the key is neither issued in the future nor too old.
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

/// Returns a time of day with the skew added.
pub(crate) fn add_skew(wall: WallTime) -> WallTime {
    let skew = u64::try_from(CLOCK_SKEW_MAX.as_millis()).unwrap_or(u64::MAX);
    WallTime::from_millis(wall.as_millis().saturating_add(skew))
}

/// Numbers a slot of keys within a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub struct KeySlot(u16);

/// The reason why a number is no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("a key slot is 0 to {}: look for a sender of another release", SLOTS_PER_POOL - 1)]
pub struct SlotError;

impl KeySlot {
    /// Returns every slot of a pool.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SLOTS_PER_POOL).map(Self)
    }

    /// Returns the number.
    #[must_use]
    pub const fn number(self) -> u16 {
        self.0
    }

    /// Returns the lease that owns the slot in a pool.
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

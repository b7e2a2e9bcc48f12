//! Timestamps that callers pass in.

use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// A point on one process's monotonic clock, in microseconds.
///
/// The zero point is arbitrary, so values of different processes can't be
/// compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Display)]
#[display("{}us", _0)]
pub struct Time(u64);

impl Time {
    /// The zero point of the clock.
    pub const ZERO: Self = Self(0);

    /// A point that no clock reaches; it stands for "never".
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates a point from microseconds since the zero point.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a point from milliseconds since the zero point.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the zero point.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if that is later than `self`.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// A reading of the time of day, in milliseconds since the Unix epoch.
///
/// It may differ between hosts and may jump. So it is used only for the age of
/// idempotency keys, with an explicit bound on the skew.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize, Display)]
#[display("{}ms", _0)]
#[serde(transparent)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a reading from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

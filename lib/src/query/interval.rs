//! Durations in the form that operators write.

use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// Units with their length in microseconds, largest first.
const UNITS: [(&str, u64); 6] = [
    ("d", 86_400_000_000),
    ("h", 3_600_000_000),
    ("m", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

/// The error for a text that is not a duration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{text:?} is no length of time: write a number and its unit, us, ms, s, m, h or d")]
pub struct IntervalError {
    /// The text found.
    #[error(not(source))]
    text: String,
}

/// A duration, written as an integer with a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize, Display)]
#[display("{}", exact_text(*micros))]
#[serde(transparent)]
pub struct Interval {
    micros: u64,
}

impl Interval {
    /// Returns the interval as a [`Duration`].
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_micros(self.micros)
    }

    /// Returns the interval in milliseconds.
    #[must_use]
    pub fn millis(self) -> f64 {
        self.micros as f64 / 1_000.0
    }

    /// Formats the interval for display: seconds with two decimals, or whole
    /// milliseconds or microseconds.
    #[must_use]
    pub fn rounded(self) -> String {
        let fits = |u: &&(&str, u64)| self.micros >= u.1 && (u.0 == "s" || u.1 < 1_000_000);
        match UNITS.iter().find(fits) {
            Some(("s", unit)) => format!("{:.2}s", self.micros as f64 / *unit as f64),
            Some(("ms", unit)) => format!("{:.0}ms", self.micros as f64 / *unit as f64),
            _ => format!("{}us", self.micros),
        }
    }
}

impl From<Duration> for Interval {
    fn from(duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self { micros }
    }
}

impl FromStr for Interval {
    type Err = IntervalError;

    fn from_str(text: &str) -> Result<Self, IntervalError> {
        let invalid = || IntervalError {
            text: text.to_owned(),
        };
        let digits_len = text.len() - text.trim_start_matches(|c: char| c.is_ascii_digit()).len();
        let (number, unit) = text.split_at(digits_len);
        let found = UNITS.iter().find(|u| u.0 == unit).ok_or_else(invalid)?;
        let number: u64 = number.parse().map_err(|_malformed| invalid())?;
        let micros = number.checked_mul(found.1).ok_or_else(invalid)?;
        Ok(Self { micros })
    }
}

fn exact_text(micros: u64) -> String {
    let fits = |u: &&(&str, u64)| micros.is_multiple_of(u.1);
    match UNITS.iter().find(fits) {
        Some((unit, size)) if micros > 0 => format!("{}{unit}", micros / size),
        _ => format!("{micros}us"),
    }
}

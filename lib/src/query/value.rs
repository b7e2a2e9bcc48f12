//! Values of table cells.

use std::cmp::Ordering;
use std::time::Duration;

use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use super::interval::Interval;

/// The value of one field.
#[derive(Debug, Clone, PartialEq)]
#[derive(Display, From, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Value {
    /// The value is not known, or the field does not apply.
    #[display("-")]
    Absent,
    /// Text.
    Text(String),
    /// A number.
    Number(f64),
    /// A duration.
    #[display("{}", _0.rounded())]
    Interval(Interval),
    /// True or false.
    #[display("{}", if *_0 { "yes" } else { "no" })]
    Flag(bool),
}

impl Value {
    /// Builds a text value from the display form.
    #[must_use]
    pub fn from_display(value: &impl ToString) -> Self {
        Self::Text(value.to_string())
    }

    /// Builds a value from an option; `None` becomes [`Value::Absent`].
    #[must_use]
    pub fn from_option(value: Option<impl Into<Self>>) -> Self {
        value.map_or(Self::Absent, Into::into)
    }

    /// Builds a number from a counter.
    #[must_use]
    pub const fn from_count(value: u64) -> Self {
        Self::Number(value as f64)
    }

    /// Compares two values of the same kind; returns `None` for different kinds
    /// and absent values.
    #[must_use]
    pub fn compare(&self, other: &Self) -> Option<Ordering> {
        match (self, other) {
            (Self::Text(a), Self::Text(b)) => Some(a.cmp(b)),
            (Self::Number(a), Self::Number(b)) => a.partial_cmp(b),
            (Self::Interval(a), Self::Interval(b)) => Some(a.cmp(b)),
            (Self::Flag(a), Self::Flag(b)) => Some(a.cmp(b)),
            _ => None,
        }
    }
}

impl From<Duration> for Value {
    fn from(duration: Duration) -> Self {
        Self::Interval(duration.into())
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

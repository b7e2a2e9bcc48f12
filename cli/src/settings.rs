//! The settings of the operators' tool.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use snipeyoke_runtime::settings::Checked;

/// The shortest key accepted, in characters.
const KEY_MIN: usize = 16;

/// The longest time that one router may take, in milliseconds.
const TIMEOUT_MAX_MS: u64 = 60_000;

/// An operator's key; it is never printed.
#[derive(Clone, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(transparent)]
pub struct Key(String);

impl Key {
    /// Returns the key for the `Authorization` header, and for nothing else.
    #[must_use]
    pub fn secret(&self) -> &str {
        &self.0
    }
}

// A derived form would print the key wherever settings are printed, and a log
// that is read by many would give the operator's rights away.
impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The settings as they stand in the file.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// The control addresses of the routers.
    pub routers: Vec<SocketAddr>,
    /// The operator's key.
    pub key: Key,
    /// The longest time that one router may take, in milliseconds.
    #[serde(default = "timeout")]
    pub timeout_ms: u64,
}

const fn timeout() -> u64 {
    5_000
}

/// The checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The control addresses of the routers.
    pub routers: Vec<SocketAddr>,
    /// The operator's key.
    pub key: Key,
    /// The longest time that one router may take.
    pub timeout: Duration,
}

/// The reason why a value is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ValueError {
    /// No router is named.
    #[display("`routers` is empty: give the control address of at least one router")]
    NoRouters,
    /// The key is too short, or can't stand in a header.
    #[display("`key` is no usable key: give at least {KEY_MIN} printable ASCII characters")]
    Key,
    /// The time is out of range.
    #[display("`timeout_ms` is {found}: give 1 to {TIMEOUT_MAX_MS}")]
    Timeout {
        /// The number found.
        found: u64,
    },
}

impl ValueError {
    /// Tells whether the key was refused.
    #[must_use]
    pub const fn is_key(&self) -> bool {
        matches!(self, Self::Key)
    }
}

impl TryFrom<Raw> for Settings {
    type Error = ValueError;

    fn try_from(raw: Raw) -> Result<Self, ValueError> {
        if raw.routers.is_empty() {
            return Err(ValueError::NoRouters);
        }
        let key = raw.key.secret();
        let printable = key.bytes().all(|b| b.is_ascii_graphic());
        if key.len() < KEY_MIN || !printable {
            return Err(ValueError::Key);
        }
        let found = raw.timeout_ms;
        if found == 0 || found > TIMEOUT_MAX_MS {
            return Err(ValueError::Timeout { found });
        }
        Ok(Self {
            routers: raw.routers,
            key: raw.key,
            timeout: Duration::from_millis(found),
        })
    }
}

impl Checked for Settings {
    type Raw = Raw;
    type Error = ValueError;

    fn check(raw: Raw) -> Result<Self, ValueError> {
        Self::try_from(raw)
    }
}

//! The settings of a router.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use snipeyoke_lib::config::KeyDigest;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_lib::ids::HostId;
use snipeyoke_lib::ids::NodeId;
use snipeyoke_lib::ids::Operator;
use snipeyoke_lib::ids::Region;
use snipeyoke_runtime::settings::Checked;

/// The maximum number of traffic threads of a router.
const THREADS_MAX: usize = 64;

/// The least memory of a router, in megabytes.
const MEMORY_MIN_MB: u64 = 32;

/// The largest caller body, in bytes, that a frame between processes can carry.
pub const BODY_MAX_BYTES: usize = 1 << 20;

/// The settings as written in the file.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// The name of this process.
    pub node: NodeId,
    /// The host that it runs on.
    pub host: HostId,
    /// The failure domain of the host.
    pub domain: FailureDomain,
    /// The region of the failure domain.
    pub region: Region,
    /// The addresses to listen on.
    pub listen: Listen,
    /// The initial agents; the host list adds others.
    #[serde(default)]
    pub agents: Vec<SocketAddr>,
    /// The initial routers; the host list adds others.
    #[serde(default)]
    pub routers: Vec<SocketAddr>,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The policy for choosing endpoints.
    #[serde(default)]
    pub policy: PolicyName,
    /// The operators allowed to query and to change.
    #[serde(default)]
    pub operators: Vec<OperatorKey>,
    /// The limits on callers.
    #[serde(default)]
    pub bounds: Bounds,
    /// The number of traffic threads.
    #[serde(default = "one")]
    pub threads: usize,
    /// The log filter: `LEVEL` or `TARGET=LEVEL,…`.
    #[serde(default = "info")]
    pub log: String,
}

const fn one() -> usize {
    1
}

fn info() -> String {
    "info".to_owned()
}

/// The addresses that a router listens on.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub control: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
}

/// An operator and the digest of their key.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorKey {
    /// The operator's name, as author of changes.
    pub name: Operator,
    /// The SHA-256 of the operator's key.
    pub digest: KeyDigest,
}

/// The limits on callers of a router.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The time-out for a request head and for an idle connection, in milliseconds.
    pub head_ms: u64,
    /// The time-out for a request body, in milliseconds.
    pub body_ms: u64,
    /// The maximum number of open connections.
    pub conns: usize,
    /// The memory that the process may use, in megabytes; all that the system has if
    /// missing.
    pub memory_mb: Option<u64>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            body_bytes: BODY_MAX_BYTES,
            head_ms: 30_000,
            body_ms: 10_000,
            conns: 3_500,
            memory_mb: None,
        }
    }
}

/// The policies that can be selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Display, derive_more::FromStr, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// Weighs the predicted completion time against the cost.
    #[default]
    #[display("predicted")]
    Predicted,
    /// Selects the endpoints in turn.
    #[display("round-robin")]
    RoundRobin,
    /// Selects the endpoint with the fewest calls in flight.
    #[display("least-outstanding")]
    LeastOutstanding,
}

/// The checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The values, within their ranges.
    pub raw: Raw,
}

/// The reason why a value is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ValueError {
    /// The number of threads is out of range.
    #[display("`threads` is {found}: give 1 to {THREADS_MAX}")]
    Threads {
        /// The number found.
        found: usize,
    },
    /// The body size limit is out of range.
    #[display("`bounds.body_bytes` is {found}: give 1 to {BODY_MAX_BYTES}")]
    Body {
        /// The number found.
        found: usize,
    },
    /// The memory is too small.
    #[display("`bounds.memory_mb` is {found}: give at least {MEMORY_MIN_MB}")]
    Memory {
        /// The megabytes found.
        found: u64,
    },
    /// A limit is zero.
    #[display("`bounds.{key}` is 0: give at least 1")]
    Zero {
        /// The key.
        key: &'static str,
    },
}

impl ValueError {
    /// Returns whether the number of threads was rejected.
    #[must_use]
    pub const fn is_threads(&self) -> bool {
        matches!(self, Self::Threads { .. })
    }
}

impl TryFrom<Raw> for Settings {
    type Error = ValueError;

    fn try_from(raw: Raw) -> Result<Self, ValueError> {
        let found = raw.threads;
        if found == 0 || found > THREADS_MAX {
            return Err(ValueError::Threads { found });
        }
        let found = raw.bounds.body_bytes;
        if found == 0 || found > BODY_MAX_BYTES {
            return Err(ValueError::Body { found });
        }
        if let Some(found) = raw.bounds.memory_mb.filter(|&mb| mb < MEMORY_MIN_MB) {
            return Err(ValueError::Memory { found });
        }
        if raw.bounds.head_ms == 0 {
            return Err(ValueError::Zero { key: "head_ms" });
        }
        if raw.bounds.body_ms == 0 {
            return Err(ValueError::Zero { key: "body_ms" });
        }
        if raw.bounds.conns == 0 {
            return Err(ValueError::Zero { key: "conns" });
        }
        Ok(Self { raw })
    }
}

impl Checked for Settings {
    type Raw = Raw;
    type Error = ValueError;

    fn check(raw: Raw) -> Result<Self, ValueError> {
        Self::try_from(raw)
    }
}

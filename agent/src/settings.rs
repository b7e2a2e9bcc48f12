//! The settings of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_lib::ids::HostId;
use snipeyoke_lib::ids::NodeId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::ids::Region;
use snipeyoke_lib::lease::LeaseTerm;
use snipeyoke_runtime::settings::Checked;

/// The maximum number of slots of an endpoint.
const SLOTS_MAX: u32 = 4_096;

/// The maximum number of traffic threads.
const THREADS_MAX: usize = 16;

/// The settings as deserialized from the file.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// The name of this process.
    pub node: NodeId,
    /// The host it runs on.
    pub host: HostId,
    /// The failure domain of the host.
    pub domain: FailureDomain,
    /// The region of the failure domain.
    pub region: Region,
    /// The address that routers connect to.
    pub listen: SocketAddr,
    /// The endpoint that this agent controls.
    pub endpoint: Endpoint,
    /// The platform's address.
    pub platform: Option<SocketAddr>,
    /// How long a lease of key slots lasts, in seconds.
    ///
    /// A longer lease lets non-idempotent calls continue for longer while the log is
    /// unavailable. With a shorter one, the slots of a dead agent are taken over sooner.
    #[serde(default = "default_lease_s")]
    pub lease_s: u64,
    /// The number of traffic threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// The log filter: `LEVEL` or `TARGET=LEVEL,…`.
    #[serde(default = "default_log")]
    pub log: String,
}

/// The default term of leases of key slots, in seconds.
///
/// Ten minutes cover most outages of the log. A dead agent's share of keys is
/// refused for this time at most.
pub const LEASE_S: u64 = 600;

const fn default_lease_s() -> u64 {
    LEASE_S
}

const fn default_threads() -> usize {
    1
}

fn default_log() -> String {
    "info".to_owned()
}

/// The settings of the endpoint.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The endpoint's name.
    pub id: EndpointId,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// Its address.
    pub address: SocketAddr,
    /// The protocol it speaks.
    pub kind: EndpointKind,
    /// The number of calls it runs concurrently.
    pub slots: u32,
    /// The number of calls that may be queued at it in addition.
    pub queue: u32,
}

/// The protocol that an endpoint speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointKind {
    /// A model engine, which reports its load and accepts orders.
    Engine,
    /// A plain service.
    Plain,
}

/// The checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The values, within their ranges.
    pub raw: Raw,
    /// The term of the leases of key slots.
    pub term: LeaseTerm,
}

/// The reason why a value is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ValueError {
    /// The slots are out of range.
    #[display("`endpoint.slots` is {found}: give 1 to {SLOTS_MAX}")]
    Slots {
        /// The number found.
        found: u32,
    },
    /// The lease's term is out of range.
    #[display("`lease_s` is {found}: give 1 to 3600")]
    Lease {
        /// The number found.
        found: u64,
    },
    /// The threads are out of range.
    #[display("`threads` is {found}: give 1 to {THREADS_MAX}")]
    Threads {
        /// The number found.
        found: usize,
    },
}

impl ValueError {
    /// Returns whether the endpoint's slots are out of range.
    #[must_use]
    pub const fn is_slots(&self) -> bool {
        matches!(self, Self::Slots { .. })
    }
}

impl TryFrom<Raw> for Settings {
    type Error = ValueError;

    fn try_from(raw: Raw) -> Result<Self, ValueError> {
        let found = raw.endpoint.slots;
        if found == 0 || found > SLOTS_MAX {
            return Err(ValueError::Slots { found });
        }
        let found = raw.threads;
        if found == 0 || found > THREADS_MAX {
            return Err(ValueError::Threads { found });
        }
        let found = raw.lease_s;
        let term = LeaseTerm::try_from(Duration::from_secs(found));
        let term = term.map_err(|_out_of_range| ValueError::Lease { found })?;
        Ok(Self { raw, term })
    }
}

impl Checked for Settings {
    type Raw = Raw;
    type Error = ValueError;

    fn check(raw: Raw) -> Result<Self, ValueError> {
        Self::try_from(raw)
    }
}

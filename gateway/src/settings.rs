//! The settings of a gateway.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::FromStr;
use serde::Deserialize;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_lib::ids::NodeId;
use snipeyoke_lib::ids::Region;
use snipeyoke_lib::serving::budget::BudgetLimits;
use snipeyoke_lib::serving::cold_start::ColdBound;
use snipeyoke_lib::units::Bytes;
use snipeyoke_lib::units::MilliCores;
use snipeyoke_runtime::settings::Checked;

/// The longest allowed grace period, in seconds.
const GRACE_MAX_S: f64 = 3_600.0;

/// The longest allowed notice, in milliseconds.
///
/// The reads that it schedules also find endpoints that disappeared without a
/// notice.
const NOTICE_MAX_MS: f64 = 60_000.0;

/// The shortest allowed time for a change, in milliseconds.
///
/// A node reads at six tenths of it, and a slow registry responds within some
/// hundred milliseconds.
const CHANGE_MIN_MS: f64 = 1_000.0;

/// The longest allowed time for a change, in milliseconds.
const CHANGE_MAX_MS: f64 = 60_000.0;

/// The largest factor on the rate of calls that a cold endpoint tolerates.
const COLD_EXCESS_MAX: f64 = 100.0;

/// The default maximum number of concurrent caller connections.
///
/// A third of the file descriptors that a small host allows; each request in
/// flight uses one more for its endpoint.
const CALLER_CONNS_MAX: usize = 1_300;

/// The least memory of a process, in megabytes.
const MEMORY_MIN_MB: f64 = 32.0;

/// The settings as written in the file.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// The name of this process.
    pub node: NodeId,
    /// The failure domain of its host.
    pub domain: FailureDomain,
    /// The region of the failure domain.
    pub region: Region,
    /// The addresses to listen on.
    pub listen: Listen,
    /// Initial peers; others are learned from them and the registry.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The registry's address.
    pub registry: SocketAddr,
    /// The processor capacity of this process.
    #[serde(default)]
    pub processor: Processor,
    /// The memory of this process and the connections that it accepts.
    #[serde(default)]
    pub limits: Limits,
    /// The time between SIGTERM and SIGKILL, in seconds.
    #[serde(default = "grace_s")]
    pub grace_s: f64,
    /// The time within which an endpoint that shuts down receives its last
    /// request, in milliseconds.
    #[serde(default = "notice_ms")]
    pub notice_ms: f64,
    /// The time within which a confirmed change of the configuration takes
    /// effect, in milliseconds.
    #[serde(default = "change_ms")]
    pub change_ms: f64,
    /// The time within which an evacuation takes effect, in milliseconds; that
    /// of a change of the configuration if missing.
    #[serde(default)]
    pub evacuate_ms: Option<f64>,
    /// The region of each failure domain.
    #[serde(default)]
    pub regions: BTreeMap<FailureDomain, Region>,
    /// The bound on calls to cold endpoints across all nodes.
    #[serde(default)]
    pub cold: Cold,
    /// The limit on retries across all nodes.
    #[serde(default)]
    pub retries: Retries,
    /// The terms under which the deployment is served; unknown ones are ignored.
    #[serde(default)]
    pub terms: Vec<String>,
    /// The log filter: `LEVEL` or `TARGET=LEVEL,…`.
    #[serde(default = "info")]
    pub log: String,
}

const fn grace_s() -> f64 {
    10.0
}

const fn notice_ms() -> f64 {
    2_000.0
}

const fn change_ms() -> f64 {
    2_000.0
}

fn info() -> String {
    "info".to_owned()
}

/// The addresses of a gateway.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the load balancer's readiness probes.
    pub ready: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For metrics scrapers.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// The processor capacity of a process.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Processor {
    /// The number of cores, possibly fractional.
    pub share: f64,
    /// The speed relative to a usual core.
    pub speed: f64,
}

impl Default for Processor {
    fn default() -> Self {
        Self {
            share: 1.0,
            speed: 1.0,
        }
    }
}

/// The limits of a process.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The memory that the process may use, in megabytes; all that the system has if
    /// missing.
    pub memory_mb: Option<f64>,
    /// The maximum number of concurrent caller connections.
    pub conns: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: None,
            conns: CALLER_CONNS_MAX,
        }
    }
}

/// The bound on calls to a cold endpoint in any second, across all nodes.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// The factor on the rate that the endpoint's service states.
    pub excess: f64,
    /// The calls beyond that.
    pub slack: f64,
}

impl Default for Cold {
    fn default() -> Self {
        let ColdBound { excess, slack } = ColdBound::default();
        Self { excess, slack }
    }
}

/// The limit on retries across all nodes.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retries {
    /// Retries per request.
    pub ratio: f64,
    /// The window, in seconds.
    pub window_s: f64,
    /// Retries beyond the ratio per window.
    pub extra: f64,
}

impl Default for Retries {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            window_s: 10.0,
            extra: 10.0,
        }
    }
}

/// The validated settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of this process.
    pub node: NodeId,
    /// The failure domain of its host.
    pub domain: FailureDomain,
    /// The addresses to listen on.
    pub listen: Listen,
    /// Initial peers.
    pub seeds: Vec<SocketAddr>,
    /// The registry's address.
    pub registry: SocketAddr,
    /// The processor power of this process.
    pub power: MilliCores,
    /// The memory that the process may use, if it is set.
    pub memory: Option<Bytes>,
    /// The maximum number of concurrent caller connections.
    pub conns: usize,
    /// The time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// The time within which an endpoint that shuts down receives its last
    /// request.
    pub notice: Duration,
    /// The time within which a confirmed change takes effect, the evacuation of
    /// a failure domain included.
    pub change: Duration,
    /// The region of each failure domain.
    pub regions: BTreeMap<FailureDomain, Region>,
    /// The bound on calls to cold endpoints across all nodes.
    pub cold: ColdBound,
    /// The limit on retries across all nodes.
    pub retries: BudgetLimits,
    /// The terms under which the deployment is served.
    pub terms: BTreeSet<Term>,
    /// The log filter.
    pub log: String,
}

impl Settings {
    /// Returns whether callers compete for room, so that places and connections
    /// are managed across nodes.
    #[must_use]
    pub fn has_pressure(&self) -> bool {
        self.terms.contains(&Term::Pressure)
    }
}

/// A term under which a deployment is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display, FromStr)]
pub enum Term {
    /// Callers compete for room.
    #[display("pressure")]
    Pressure,
}

/// The reason why a value is refused.
#[derive(Debug, Clone, PartialEq)]
#[derive(Display, Error)]
pub enum ValueError {
    /// Numbers are out of range, or values contradict each other.
    #[display("{}", join(found))]
    Range {
        /// The key, value and remedy of each refused value.
        found: Vec<String>,
    },
}

fn join(found: &[String]) -> String {
    found.join("; ")
}

impl TryFrom<Raw> for Settings {
    type Error = ValueError;

    fn try_from(raw: Raw) -> Result<Self, ValueError> {
        let mut found = Vec::new();
        let mut check = |key: &str, value: f64, min: f64, max: f64| {
            if !(min..=max).contains(&value) {
                found.push(format!("`{key}` is {value}: give {min} to {max}"));
            }
        };
        check("grace_s", raw.grace_s, 1.0, GRACE_MAX_S);
        check("notice_ms", raw.notice_ms, 1_000.0, NOTICE_MAX_MS);
        check("change_ms", raw.change_ms, CHANGE_MIN_MS, CHANGE_MAX_MS);
        if let Some(evacuate_ms) = raw.evacuate_ms {
            check("evacuate_ms", evacuate_ms, CHANGE_MIN_MS, CHANGE_MAX_MS);
        }
        check("excess", raw.cold.excess, 1.0, COLD_EXCESS_MAX);
        check("slack", raw.cold.slack, 0.0, 1e6);
        check("share", raw.processor.share, 0.001, 1_024.0);
        check("speed", raw.processor.speed, 0.01, 100.0);
        if let Some(memory_mb) = raw.limits.memory_mb {
            check("memory_mb", memory_mb, MEMORY_MIN_MB, 1e9);
        }
        check("conns", raw.limits.conns as f64, 1.0, 1e6);
        check("ratio", raw.retries.ratio, 0.0, 10.0);
        check("window_s", raw.retries.window_s, 0.1, 3_600.0);
        check("extra", raw.retries.extra, 0.0, 1e6);
        let region = raw.regions.get(&raw.domain);
        if let Some(region) = region.filter(|region| **region != raw.region) {
            let (domain, own) = (&raw.domain, &raw.region);
            found.push(format!(
                "`regions` has {region} for {domain}, but `region` is {own}: give both the same"
            ));
        }
        if !found.is_empty() {
            return Err(ValueError::Range { found });
        }
        let mut regions = raw.regions;
        regions.insert(raw.domain.clone(), raw.region);
        let change_ms = raw.change_ms.min(raw.evacuate_ms.unwrap_or(raw.change_ms));
        Ok(Self {
            node: raw.node,
            domain: raw.domain,
            regions,
            cold: ColdBound {
                excess: raw.cold.excess,
                slack: raw.cold.slack,
            },
            listen: raw.listen,
            seeds: raw.seeds,
            registry: raw.registry,
            memory: raw.limits.memory_mb.map(|mb| Bytes((mb * 1e6) as u64)),
            conns: raw.limits.conns,
            power: MilliCores((raw.processor.share * raw.processor.speed * 1_000.0) as u32),
            grace: Duration::from_secs_f64(raw.grace_s),
            notice: Duration::from_secs_f64(raw.notice_ms / 1_000.0),
            change: Duration::from_secs_f64(change_ms / 1_000.0),
            retries: BudgetLimits {
                ratio: raw.retries.ratio,
                window: Duration::from_secs_f64(raw.retries.window_s),
                extra: raw.retries.extra,
            },
            terms: raw.terms.iter().filter_map(|t| t.parse().ok()).collect(),
            log: raw.log,
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

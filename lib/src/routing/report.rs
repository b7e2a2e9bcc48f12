//! Reports about endpoints that routers receive.

use std::time::Duration;

use crate::ids::FailureDomain;
use crate::ids::ModelName;
use crate::ids::Region;

/// The location of a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterLocation {
    /// The router's failure domain.
    pub domain: FailureDomain,
    /// The router's region.
    pub region: Region,
}

/// The load of an endpoint, as reported by its agent.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    /// The sequence number within the endpoint's incarnation.
    pub seq: u64,
    /// The calls that the endpoint can serve concurrently.
    pub slots: u32,
    /// The calls in service.
    pub active: u32,
    /// The calls in the queue.
    pub queued: u32,
    /// The prompt and output tokens queued or in service.
    pub pending: u64,
    /// The prefill rate in prompt tokens a second; zero if not applicable.
    pub prefill: f64,
    /// The decode rate in output tokens a second per call; zero if not applicable.
    pub decode: f64,
    /// The age of the endpoint's own report.
    pub age: Duration,
    /// Whether the endpoint is draining and accepts no new work.
    pub draining: bool,
    /// Whether the endpoint answered its last health probe.
    pub healthy: bool,
    /// The loaded models; empty if the endpoint has none.
    pub models: Vec<ModelName>,
}

impl Default for LoadReport {
    fn default() -> Self {
        Self {
            seq: 0,
            slots: 1,
            active: 0,
            queued: 0,
            pending: 0,
            prefill: 0.0,
            decode: 0.0,
            age: Duration::ZERO,
            draining: false,
            healthy: true,
            models: Vec::new(),
        }
    }
}

/// Prefix blocks that an endpoint gained or dropped.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CacheUpdate {
    /// The epoch of the endpoint's cache; each epoch starts empty.
    pub epoch: u64,
    /// The sequence number of the first event.
    pub first: u64,
    /// The blocks gained.
    pub added: Vec<u64>,
    /// The blocks dropped.
    pub dropped: Vec<u64>,
    /// Whether earlier events were lost.
    pub gap: bool,
}

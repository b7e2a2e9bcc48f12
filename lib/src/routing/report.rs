//! What routers are told about endpoints.

use std::time::Duration;

use crate::ids::FailureDomain;
use crate::ids::ModelName;
use crate::ids::Region;

/// Where a router stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterLocation {
    /// The router's failure domain.
    pub domain: FailureDomain,
    /// The router's region.
    pub region: Region,
}

/// The load of an endpoint as its agent reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    /// The report's number within the endpoint's incarnation.
    pub seq: u64,
    /// The calls that the endpoint works on at a time.
    pub slots: u32,
    /// The calls at work.
    pub active: u32,
    /// The calls that wait.
    pub queued: u32,
    /// The prompt and output tokens waiting or at work.
    pub pending: u64,
    /// The prompt tokens read a second, or zero where there are none.
    pub prefill: f64,
    /// The output tokens a second for each call, or zero where there are none.
    pub decode: f64,
    /// The age of the endpoint's own report.
    pub age: Duration,
    /// Whether the endpoint takes no new work.
    pub draining: bool,
    /// Whether the endpoint answered its last health probe.
    pub healthy: bool,
    /// The models loaded; empty where the endpoint has none.
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
    /// The life of the endpoint's cache; a new one starts empty.
    pub epoch: u64,
    /// The number of the first event.
    pub first: u64,
    /// The blocks gained.
    pub added: Vec<u64>,
    /// The blocks dropped.
    pub dropped: Vec<u64>,
    /// Whether events before these were lost.
    pub gap: bool,
}

//! State of an endpoint of a stage service, as seen by the queue.

use super::result_memory::ResultMemory;
use crate::serving::directory::Entry;
use crate::serving::health::Health;
use crate::time::Time;

#[derive(Debug, Clone)]
pub(super) struct StageEndpoint {
    pub(super) entry: Entry,
    pub(super) present: bool,
    pub(super) in_flight: u32,
    pub(super) free_at: Time,
    pub(super) full_until: Time,
    pub(super) health: Health,
    pub(super) memory: ResultMemory,
    pub(super) releases: Vec<String>,
    /// The maximum batch size, reduced after a call that found no memory for its results.
    pub(super) max_items: usize,
    /// When the first result of `releases` became unneeded.
    pub(super) releases_since: Option<Time>,
    /// When its last call ended, if that call was sent under backlog.
    pub(super) last_call_end: Option<Time>,
}

impl StageEndpoint {
    pub(super) fn new(entry: Entry) -> Self {
        Self {
            entry,
            present: true,
            in_flight: 0,
            free_at: Time::ZERO,
            full_until: Time::ZERO,
            health: Health::default(),
            memory: ResultMemory::default(),
            releases: Vec::new(),
            releases_since: None,
            max_items: usize::MAX,
            last_call_end: None,
        }
    }

    pub(super) const fn is_usable(&self) -> bool {
        self.present && !self.entry.draining
    }
}

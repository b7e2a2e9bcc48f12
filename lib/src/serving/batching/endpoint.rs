//! An endpoint of a stage service, as the queue sees it.

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
    /// The most pieces of its next call, after one found no room.
    pub(super) max_items: usize,
    /// When the first of them was given up.
    pub(super) releases_since: Option<Time>,
    /// When its last call ended, if many pieces waited then.
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

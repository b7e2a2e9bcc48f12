//! An endpoint of a stage service, as the queue sees it.

use super::room::ResultMemory;
use crate::serving::directory::Entry;
use crate::serving::health::Health;
use crate::time::Time;

#[derive(Debug, Clone)]
pub(super) struct Maker {
    pub(super) entry: Entry,
    pub(super) present: bool,
    pub(super) calls: u32,
    pub(super) free_at: Time,
    pub(super) full: Time,
    pub(super) health: Health,
    pub(super) room: ResultMemory,
    pub(super) unneeded: Vec<String>,
    /// The most pieces of its next call, after one found no room.
    pub(super) most: usize,
    /// When the first of them was given up.
    pub(super) unneeded_since: Option<Time>,
    /// When its last call ended, if many pieces waited then.
    pub(super) last_end: Option<Time>,
}

impl Maker {
    pub(super) fn new(entry: Entry) -> Self {
        Self {
            entry,
            present: true,
            calls: 0,
            free_at: Time::ZERO,
            full: Time::ZERO,
            health: Health::default(),
            room: ResultMemory::default(),
            unneeded: Vec::new(),
            unneeded_since: None,
            most: usize::MAX,
            last_end: None,
        }
    }

    pub(super) const fn is_usable(&self) -> bool {
        self.present && !self.entry.draining
    }
}

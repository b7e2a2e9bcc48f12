//! A replica of a topic of keyed records, ordered by offset.
//!
//! The same replica is fed by the platform's store and by peers. The newest
//! offset of a key wins, so that records from a peer that is behind, or
//! duplicates, change nothing.
//!
//! Some writers repeat their record every second without a change. The replica
//! tracks the offset at which a record last changed, so that only changes are
//! sent to peers.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ids::Offset;

/// The maximum number of dropped keys that are remembered.
///
/// This covers the replacement of a thousand hosts; a peer that is further
/// behind reads the list.
const DROPPED_MAX: usize = 1_024;

/// The newest record of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was dropped.
    pub value: Option<Arc<[u8]>>,
    /// The offset of the record in its topic.
    pub offset: Offset,
}

#[derive(Debug, Clone)]
struct StoredRecord {
    record: Record,
    /// The offset of the last record that contained a change.
    changed: Offset,
}

impl StoredRecord {
    fn at_change(&self) -> Record {
        Record {
            offset: self.changed,
            ..self.record.clone()
        }
    }
}

/// A replica with the newest record of each key.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    records: BTreeMap<String, StoredRecord>,
    next: Offset,
    /// Dropped keys below this offset may be forgotten.
    forgotten_below: Offset,
}

impl Replica {
    /// Returns the offset up to which the replica is complete.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Returns the record of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key).map(|h| &h.record)
    }

    /// Returns the total size of all values in bytes.
    #[must_use]
    pub fn value_bytes(&self) -> usize {
        let values = self
            .records
            .values()
            .filter_map(|h| h.record.value.as_ref());
        values.map(|v| v.len()).sum()
    }

    /// Applies records up to `next` and returns those that are newer.
    pub fn extend(&mut self, records: Vec<Record>, next: Offset) -> Vec<Record> {
        self.extend_with(records, next, |_| true)
    }

    /// Applies records up to `next` and returns those that changed something.
    ///
    /// `is_change` returns whether a newer record contains a change.
    pub fn extend_with(
        &mut self,
        records: Vec<Record>,
        next: Offset,
        mut is_change: impl FnMut(&Record) -> bool,
    ) -> Vec<Record> {
        let mut updates = Vec::new();
        for record in records {
            if !self.is_newer(&record) {
                continue;
            }
            let stored = self.records.get(&record.key);
            let before = stored.map_or(record.offset, |h| h.changed);
            let changed = is_change(&record);
            let stored = StoredRecord {
                changed: if changed { record.offset } else { before },
                record: record.clone(),
            };
            self.records.insert(record.key.clone(), stored);
            if changed {
                updates.push(record);
            }
        }
        self.next = self.next.max(next);
        self.forget_dropped_keys();
        updates
    }

    /// Applies a list of all keys as of `end` and returns what is newer.
    pub fn replace(&mut self, records: Vec<Record>, end: Offset) -> Vec<Record> {
        self.replace_with(records, end, |_| true)
    }

    /// Applies a list of all keys as of `end` and returns what changed.
    ///
    /// A key that is missing from the list was dropped, unless the replica has
    /// a record of it that is newer than the list.
    pub fn replace_with(
        &mut self,
        records: Vec<Record>,
        end: Offset,
        is_change: impl FnMut(&Record) -> bool,
    ) -> Vec<Record> {
        let listed: BTreeMap<String, Record> =
            records.into_iter().map(|r| (r.key.clone(), r)).collect();
        let dropped = |stored: &&Record| {
            stored.value.is_some() && stored.offset < end && !listed.contains_key(&stored.key)
        };
        let last = Offset(end.0.saturating_sub(1));
        let stored = self.records.values().map(|h| &h.record);
        let dropped: Vec<Record> = stored.filter(dropped).cloned().collect();
        let dropped = dropped.into_iter().map(|stored| Record {
            value: None,
            // A list that ends right after the stored record still proves that
            // the key was dropped, so the offset must be newer than the stored
            // one.
            offset: last.max(stored.offset.next()),
            key: stored.key,
        });
        let mut all: Vec<Record> = dropped.collect();
        all.extend(listed.into_values());
        self.extend_with(all, end, is_change)
    }

    /// Returns the oldest change that a reader complete up to `from` lacks.
    #[must_use]
    pub fn first_change_from(&self, from: Offset) -> Option<&Record> {
        let newer = self.records.values().filter(|h| h.changed >= from);
        newer.min_by_key(|h| h.changed).map(|h| &h.record)
    }

    /// Returns the changes that a reader complete up to `from` lacks, each
    /// record at the offset of its change.
    ///
    /// `None` if keys that were dropped since then are forgotten.
    #[must_use]
    pub fn changes_since(&self, from: Offset) -> Option<Vec<Record>> {
        if from.0 > 0 && from < self.forgotten_below {
            return None;
        }
        let newer = self.records.values().filter(|h| h.changed >= from);
        // A reader without any records knows no dropped key either.
        let newer = newer.filter(|h| from.0 > 0 || h.record.value.is_some());
        Some(newer.map(StoredRecord::at_change).collect())
    }

    fn is_newer(&self, record: &Record) -> bool {
        let stored = self.records.get(&record.key);
        stored.is_none_or(|h| h.record.offset < record.offset)
    }

    fn forget_dropped_keys(&mut self) {
        let dropped = |h: &&StoredRecord| h.record.value.is_none();
        let mut all: Vec<Offset> = self
            .records
            .values()
            .filter(dropped)
            .map(|h| h.changed)
            .collect();
        if all.len() <= DROPPED_MAX {
            return;
        }
        // Half of them at once, so that this does not run for each key.
        all.sort();
        self.forgotten_below = all[all.len() / 2];
        let forgotten_below = self.forgotten_below;
        self.records
            .retain(|_, h| h.record.value.is_some() || h.changed >= forgotten_below);
    }
}

//! A copy of a topic of keyed records, by offset.
//!
//! The same copy is fed by the platform's store and by neighbours. The newest
//! offset of a key wins, so that what comes from an older neighbour, or twice,
//! changes nothing.
//!
//! Some writers repeat their record every second with nothing new in it. The
//! copy notes at which offset a record last changed, so that a neighbour is told
//! of changes only.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ids::Offset;

/// The most dropped keys that are remembered.
///
/// A thousand hosts replaced; a neighbour that lags further reads the list.
const DROPPED_MAX: usize = 1_024;

/// The newest record of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was dropped.
    pub value: Option<Arc<[u8]>>,
    /// Where the record lies in its topic.
    pub offset: Offset,
}

#[derive(Debug, Clone)]
struct StoredRecord {
    record: Record,
    /// The offset of the record that last brought something new.
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

/// A copy of the newest record of each key.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    records: BTreeMap<String, StoredRecord>,
    next: Offset,
    /// Dropped keys below this offset may be forgotten.
    forgotten_below: Offset,
}

impl Replica {
    /// Returns the offset up to which the copy is complete.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Returns the record of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key).map(|h| &h.record)
    }

    /// Returns the bytes of all values.
    #[must_use]
    pub fn value_bytes(&self) -> usize {
        let values = self
            .records
            .values()
            .filter_map(|h| h.record.value.as_ref());
        values.map(|v| v.len()).sum()
    }

    /// Takes in records up to `next` and returns those that are newer.
    pub fn extend(&mut self, records: Vec<Record>, next: Offset) -> Vec<Record> {
        self.extend_with(records, next, |_| true)
    }

    /// Takes in records up to `next` and returns those that changed something.
    ///
    /// `is_change` tells of a newer record whether it brings something new.
    pub fn extend_with(
        &mut self,
        records: Vec<Record>,
        next: Offset,
        mut is_change: impl FnMut(&Record) -> bool,
    ) -> Vec<Record> {
        let mut changes = Vec::new();
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
                changes.push(record);
            }
        }
        self.next = self.next.max(next);
        self.forget_dropped_keys();
        changes
    }

    /// Takes in a list of all keys as of `end` and returns what is newer.
    pub fn replace(&mut self, records: Vec<Record>, end: Offset) -> Vec<Record> {
        self.replace_with(records, end, |_| true)
    }

    /// Takes in a list of all keys as of `end` and returns what changed.
    ///
    /// A key that is missing from the list was dropped, unless the copy knows
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
            // A list that ends right behind the held record still says that
            // the key is gone; the record must pass for newer.
            offset: last.max(stored.offset.next()),
            key: stored.key,
        });
        let mut all: Vec<Record> = dropped.collect();
        all.extend(listed.into_values());
        self.extend_with(all, end, is_change)
    }

    /// Returns the oldest change that someone who is complete up to `from` lacks.
    #[must_use]
    pub fn first_change_from(&self, from: Offset) -> Option<&Record> {
        let newer = self.records.values().filter(|h| h.changed >= from);
        newer.min_by_key(|h| h.changed).map(|h| &h.record)
    }

    /// Returns what changed since someone was complete up to `from`, each record
    /// at the offset of its change.
    ///
    /// `None` if keys that were dropped since then are forgotten.
    #[must_use]
    pub fn changes_since(&self, from: Offset) -> Option<Vec<Record>> {
        if from.0 > 0 && from < self.forgotten_below {
            return None;
        }
        let newer = self.records.values().filter(|h| h.changed >= from);
        // Someone who has nothing yet knows no dropped key either.
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
        // Half at once, so that this is not done for each key.
        all.sort();
        self.forgotten_below = all[all.len() / 2];
        let forgotten_below = self.forgotten_below;
        self.records
            .retain(|_, h| h.record.value.is_some() || h.changed >= forgotten_below);
    }
}

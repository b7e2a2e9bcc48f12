//! A replica of a topic of keyed records, ordered by position.
//!
//! The same replica is fed by the platform's store and by peers. The newest
//! position of a key wins, so that records from a peer that is behind, or
//! duplicates, change nothing. Between two eras of the registry the ranks that the
//! writer gave decide, if both records have one: what comes with a copy may be older
//! than what is known.
//!
//! Some writers repeat their record every second without a change. The replica
//! tracks the position at which a record last changed, so that only changes are
//! sent to peers.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::position::ListMode;
use super::position::Position;
use super::position::Rank;

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
    /// The position of the record in its topic.
    pub position: Position,
}

#[derive(Debug, Clone)]
struct StoredRecord {
    record: Record,
    /// The position of the last record that contained a change.
    changed: Position,
    /// The rank of the newest record with a value.
    rank: Option<Rank>,
}

impl StoredRecord {
    fn at_change(&self) -> Record {
        Record {
            position: self.changed,
            ..self.record.clone()
        }
    }
}

/// A replica with the newest record of each key.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    records: BTreeMap<String, StoredRecord>,
    next: Position,
    /// Dropped keys below this position may be forgotten.
    forgotten_below: Position,
}

impl Replica {
    /// Returns the position up to which the replica is complete.
    #[must_use]
    pub const fn next(&self) -> Position {
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

    /// Returns the greatest rank of a record.
    #[must_use]
    pub fn rank(&self) -> Option<Rank> {
        self.records.values().filter_map(|h| h.rank).max()
    }

    /// Returns whether it holds a value without a rank from before an era.
    #[must_use]
    pub fn holds_unranked_before(&self, position: Position) -> bool {
        let is_earlier = |h: &StoredRecord| h.record.position.era < position.era;
        let mut records = self.records.values();
        records.any(|h| h.rank.is_none() && h.record.value.is_some() && is_earlier(h))
    }

    /// Applies records up to `next` and returns those that are newer.
    pub fn extend(&mut self, records: Vec<Record>, next: Position) -> Vec<Record> {
        let mut reading = Reading {
            rank: &|_| None,
            is_change: &mut |_| true,
        };
        self.extend_with(records, next, &mut reading)
    }

    /// Applies records up to `next` and returns those that changed something.
    pub fn extend_with(
        &mut self,
        records: Vec<Record>,
        next: Position,
        reading: &mut Reading<'_>,
    ) -> Vec<Record> {
        let mut updates = Vec::new();
        for record in records {
            let stored = self.records.get(&record.key);
            if !is_newer(stored, &record, reading) {
                continue;
            }
            let before = stored.map_or(record.position, |h| h.changed);
            let previous_rank = stored.and_then(|h| h.rank);
            let rank = (reading.rank)(&record).or(previous_rank);
            let changed = (reading.is_change)(&record);
            let stored = StoredRecord {
                changed: if changed { record.position } else { before },
                record: record.clone(),
                rank,
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
    pub fn replace(&mut self, records: Vec<Record>, end: Position) -> Vec<Record> {
        let mut reading = Reading {
            rank: &|_| None,
            is_change: &mut |_| true,
        };
        self.replace_with(records, (end, ListMode::Whole), &mut reading)
    }

    /// Applies a list of all keys as of `end` and returns what changed.
    ///
    /// A key that is missing from the list was dropped, unless the replica has
    /// a record of it that is newer than the list. While the registry is unsettled,
    /// what is known from an earlier era stays, unless its writer's rank says that the
    /// list has something newer.
    pub fn replace_with(
        &mut self,
        records: Vec<Record>,
        (end, mode): (Position, ListMode),
        reading: &mut Reading<'_>,
    ) -> Vec<Record> {
        let mut listed: BTreeMap<String, Record> =
            records.into_iter().map(|r| (r.key.clone(), r)).collect();
        let is_unsettled =
            |stored: &Record| mode == ListMode::Unsettled && stored.position.era < end.era;
        let dropped = |stored: &&Record| {
            let is_missing = stored.position < end && !listed.contains_key(&stored.key);
            stored.value.is_some() && is_missing && !is_unsettled(stored)
        };
        let last = Position::new(end.era.0, end.offset.0.saturating_sub(1));
        let stored = self.records.values().map(|h| &h.record);
        let dropped: Vec<Record> = stored.filter(dropped).cloned().collect();
        let dropped = dropped.into_iter().map(|stored| Record {
            value: None,
            // A list that ends right after the stored record still proves that
            // the key was dropped, so the position must be newer than the stored
            // one.
            position: last.max(stored.position.next()),
            key: stored.key,
        });
        let mut all: Vec<Record> = dropped.collect();
        listed.retain(|key, _| {
            let stored = self.records.get(key);
            !stored.is_some_and(|h| h.rank.is_none() && is_unsettled(&h.record))
        });
        all.extend(listed.into_values());
        self.extend_with(all, end, reading)
    }

    /// Returns the record with the greatest rank, if that is greater than the rank of a
    /// reader.
    #[must_use]
    pub fn ranked_above(&self, rank: Option<Rank>) -> Option<&Record> {
        let above = self.records.values().filter(|h| h.rank > rank);
        above.max_by_key(|h| h.rank).map(|h| &h.record)
    }

    /// Returns the oldest change that a reader complete up to `from` lacks.
    #[must_use]
    pub fn first_change_from(&self, from: Position) -> Option<&Record> {
        let newer = self.records.values().filter(|h| h.changed >= from);
        newer.min_by_key(|h| h.changed).map(|h| &h.record)
    }

    /// Returns the changes that a reader complete up to `from` lacks, each
    /// record at the position of its change.
    ///
    /// `None` if keys that were dropped since then are forgotten.
    #[must_use]
    pub fn changes_since(&self, from: Position) -> Option<Vec<Record>> {
        let is_empty = from == Position::default();
        if !is_empty && from < self.forgotten_below {
            return None;
        }
        let newer = self.records.values().filter(|h| h.changed >= from);
        // A reader without any records knows no dropped key either.
        let newer = newer.filter(|h| !is_empty || h.record.value.is_some());
        Some(newer.map(StoredRecord::at_change).collect())
    }

    fn forget_dropped_keys(&mut self) {
        let dropped = |h: &&StoredRecord| h.record.value.is_none();
        let mut all: Vec<Position> = self
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

/// How records are read while they are applied.
#[expect(missing_debug_implementations, reason = "closures have no text")]
pub struct Reading<'a> {
    /// Returns the rank that its writer gave to a record, if it has one.
    pub rank: &'a dyn Fn(&Record) -> Option<Rank>,
    /// Returns whether a newer record contains a change.
    pub is_change: &'a mut dyn FnMut(&Record) -> bool,
}

/// Returns whether a record is newer than the stored one of its key.
fn is_newer(stored: Option<&StoredRecord>, record: &Record, reading: &Reading<'_>) -> bool {
    let Some(stored) = stored else {
        return true;
    };
    let held = stored.record.position;
    if held.era == record.position.era {
        return held < record.position;
    }
    match (stored.rank, (reading.rank)(record)) {
        (Some(held), Some(rank)) => held < rank,
        _ => held < record.position,
    }
}

//! A copy of a topic of keyed records, by offset.
//!
//! The same copy is fed by the platform's store and by neighbours. The newest
//! offset of a key wins, so that what comes from an older neighbour, or twice,
//! changes nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ids::Offset;

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

/// A copy of the newest record of each key.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    records: BTreeMap<String, Record>,
    next: Offset,
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
        self.records.get(key)
    }

    /// Takes in records up to `next` and returns those that are news.
    pub fn extend(&mut self, records: Vec<Record>, next: Offset) -> Vec<Record> {
        let mut news = Vec::new();
        for record in records {
            if self.is_news(&record) {
                self.records.insert(record.key.clone(), record.clone());
                news.push(record);
            }
        }
        self.next = self.next.max(next);
        news
    }

    /// Takes in a list of all keys as of `end` and returns what is news.
    ///
    /// A key that is missing from the list was dropped, unless the copy knows
    /// a record of it that is newer than the list.
    pub fn replace(&mut self, records: Vec<Record>, end: Offset) -> Vec<Record> {
        let listed: BTreeMap<String, Record> =
            records.into_iter().map(|r| (r.key.clone(), r)).collect();
        let dropped = |held: &&Record| {
            held.value.is_some() && held.offset < end && !listed.contains_key(&held.key)
        };
        let last = Offset(end.0.saturating_sub(1));
        let gone: Vec<Record> = self.records.values().filter(dropped).cloned().collect();
        let gone = gone.into_iter().map(|held| Record {
            value: None,
            // A list that ends right behind the held record still says that
            // the key is gone; the record must pass for news.
            offset: last.max(held.offset.next()),
            key: held.key,
        });
        let mut news: Vec<Record> = gone.collect();
        news.extend(listed.into_values());
        self.extend(news, end)
    }

    /// Returns the oldest record that someone who is complete up to `from` lacks.
    #[must_use]
    pub fn first_from(&self, from: Offset) -> Option<&Record> {
        let newer = self.records.values().filter(|r| r.offset >= from);
        newer.min_by_key(|r| r.offset)
    }

    /// Returns the records that someone who is complete up to `from` lacks.
    #[must_use]
    pub fn since(&self, from: Offset) -> Vec<Record> {
        let newer = self.records.values().filter(|r| r.offset >= from);
        newer.cloned().collect()
    }

    fn is_news(&self, record: &Record) -> bool {
        let held = self.records.get(&record.key);
        held.is_none_or(|h| h.offset < record.offset)
    }
}

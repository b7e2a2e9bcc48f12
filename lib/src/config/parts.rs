//! Snapshots in parts that fit a record and a frame.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Snapshot;
use crate::ids::Offset;
use crate::record::Author;
use crate::record::Body;
use crate::record::Record;
use crate::record::RecordId;

/// The most encoded bytes of a record that holds a snapshot or a part of one.
///
/// It leaves a quarter of the 256 KiB that the log service takes as one record
/// and append, and is a sixth of a frame, so that calls on the same link wait
/// for little.
pub const PART_BYTES_MAX: usize = 192 * 1024;

/// Bytes of a record around a part's text; names have 64 at most.
const RECORD_OVERHEAD: usize = 1024;

/// The most parts of one snapshot; more than [`INCOMPLETE_BYTES_MAX`] has room for.
pub const PART_COUNT_MAX: u32 = 128;

/// The most incomplete snapshots held at once.
///
/// A publisher that stops half-way leaves one for good; a later snapshot lies
/// higher and pushes it out.
pub const INCOMPLETE_SNAPSHOTS_MAX: usize = 8;

/// The most bytes of incomplete snapshots held at once.
///
/// A snapshot of 100,000 accounts fits, 13 times those of letter 1.
pub const INCOMPLETE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Which snapshot a part belongs to.
///
/// It names the content and not the publisher, so parts of the same state from
/// several peers complete one another, and those of different states never mix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotId {
    /// The offset after the last record covered.
    pub next: Offset,
    /// The number of parts.
    pub count: u32,
    /// The hash of the whole encoded snapshot.
    pub digest: u64,
}

/// A piece of an encoded snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The snapshot.
    pub set: SnapshotId,
    /// The position among the parts, from 0.
    pub index: u32,
    /// The piece; empty where a reader needs no more than to know of it.
    pub text: String,
}

impl SnapshotPart {
    /// Returns the part without its text.
    #[must_use]
    pub const fn without_text(&self) -> Self {
        Self {
            set: self.set,
            index: self.index,
            text: String::new(),
        }
    }

    const fn is_valid(&self) -> bool {
        self.index < self.set.count && self.set.count <= PART_COUNT_MAX
    }
}

impl Snapshot {
    /// Splits the snapshot into parts of at most so many encoded bytes each.
    ///
    /// # Panics
    ///
    /// Panics if the snapshot has no JSON form, as [`Record::encode`] does.
    #[must_use]
    pub fn parts(&self, max_bytes: usize) -> Vec<SnapshotPart> {
        self.split(&self.to_json(), max_bytes)
    }

    /// Returns the records that hold the snapshot, whole if it is small.
    ///
    /// # Panics
    ///
    /// Panics if the snapshot has no JSON form, as [`Record::encode`] does.
    pub fn records(&self, author: &Author, mut id: impl FnMut() -> RecordId) -> Vec<Record> {
        let max_bytes = PART_BYTES_MAX - RECORD_OVERHEAD;
        let text = self.to_json();
        let bodies = if text.len() <= max_bytes {
            vec![Body::Snapshot(self.clone())]
        } else {
            let parts = self.split(&text, max_bytes);
            parts.into_iter().map(Body::SnapshotPart).collect()
        };
        let record = |body| Record {
            id: id(),
            author: author.clone(),
            body,
        };
        bodies.into_iter().map(record).collect()
    }

    fn to_json(&self) -> String {
        serde_json::to_string(self).expect("snapshots have a JSON form")
    }

    fn split(&self, text: &str, max_bytes: usize) -> Vec<SnapshotPart> {
        let texts = split_text(text, max_bytes);
        let set = SnapshotId {
            next: self.next,
            count: u32::try_from(texts.len()).unwrap_or(u32::MAX),
            digest: rapidhash_v3(text.as_bytes()),
        };
        let part = |(index, text): (u32, &str)| SnapshotPart {
            set,
            index,
            text: text.to_owned(),
        };
        (0..).zip(texts).map(part).collect()
    }
}

/// Cuts text into pieces whose JSON strings have at most so many bytes.
fn split_text(text: &str, max_bytes: usize) -> Vec<&str> {
    let mut chunks = Vec::new();
    let (mut start, mut bytes) = (0, 0);
    for (at, c) in text.char_indices() {
        let added = escaped_len(c);
        if bytes + added > max_bytes && at > start {
            chunks.push(&text[start..at]);
            (start, bytes) = (at, 0);
        }
        bytes += added;
    }
    chunks.push(&text[start..]);
    chunks
}

/// Returns the bytes that a character takes in a JSON string.
const fn escaped_len(c: char) -> usize {
    match c {
        '"' | '\\' => 2,
        '\0'..='\u{1f}' => 6,
        _ => c.len_utf8(),
    }
}

/// Incomplete snapshots, within bounds.
#[derive(Debug, Clone, Default)]
pub(super) struct SnapshotAssembly {
    sets: BTreeMap<SnapshotId, BTreeMap<u32, String>>,
}

impl SnapshotAssembly {
    /// Adds a part and returns its snapshot if it was the last one missing.
    pub(super) fn add(&mut self, part: &SnapshotPart) -> Option<Snapshot> {
        if !part.is_valid() || part.text.is_empty() {
            return None;
        }
        let chunks = self.sets.entry(part.set).or_default();
        chunks
            .entry(part.index)
            .or_insert_with(|| part.text.clone());
        if chunks.len() < part.set.count as usize {
            self.enforce_bounds();
            return None;
        }
        let chunks = self.sets.remove(&part.set)?;
        join(part.set, &chunks.into_values().collect::<String>())
    }

    /// Forgets the snapshots that would bring a state at an offset no further.
    pub(super) fn discard_up_to(&mut self, next: Offset) {
        while self.sets.keys().next().is_some_and(|set| set.next <= next) {
            self.sets.pop_first();
        }
    }

    /// Returns the bytes held.
    pub(super) fn bytes(&self) -> usize {
        let chunks = self.sets.values().flat_map(BTreeMap::values);
        chunks.map(String::len).sum()
    }

    // Publishers that stop half-way would leave parts for good, and readers
    // behind retention would run out of memory. The lowest go first: any
    // snapshot that still comes lies higher than those given up.
    fn enforce_bounds(&mut self) {
        while self.sets.len() > INCOMPLETE_SNAPSHOTS_MAX || self.bytes() > INCOMPLETE_BYTES_MAX {
            self.sets.pop_first();
        }
    }
}

// A damaged part would make a state that no process ever had, or one that
// lies at another offset than it says. The digest covers the whole text, so
// such a set is dropped; the parts come again with the next offer.
fn join(set: SnapshotId, text: &str) -> Option<Snapshot> {
    if rapidhash_v3(text.as_bytes()) != set.digest {
        return None;
    }
    let snapshot: Snapshot = serde_json::from_str(text).ok()?;
    (snapshot.next == set.next).then_some(snapshot)
}

/// Which parts of recent snapshots a reader has seen, without their text.
#[derive(Debug, Clone, Default)]
pub(super) struct SeenParts {
    sets: BTreeMap<SnapshotId, BTreeSet<u32>>,
}

impl SeenParts {
    /// Counts a part and tells whether its snapshot is now whole.
    pub(super) fn add(&mut self, part: &SnapshotPart) -> bool {
        if !part.is_valid() {
            return false;
        }
        let seen = self.sets.entry(part.set).or_default();
        seen.insert(part.index);
        if seen.len() == part.set.count as usize {
            self.sets.remove(&part.set);
            return true;
        }
        while self.sets.len() > INCOMPLETE_SNAPSHOTS_MAX {
            self.sets.pop_first();
        }
        false
    }
}

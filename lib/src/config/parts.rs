//! Splitting of snapshots into parts that fit into a record and a frame.

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

/// The maximum encoded size of a record with a snapshot or a part of one, in bytes.
///
/// The log service accepts 256 KiB per record and append, of which a quarter is
/// left as reserve. A part is also a sixth of a frame, so that it delays other
/// calls on the same link only briefly.
pub const PART_BYTES_MAX: usize = 192 * 1024;

/// Bytes reserved in a record beside the part's text; names have 64 at most.
const RECORD_OVERHEAD: usize = 1024;

/// The maximum number of parts of a snapshot, more than fit into [`INCOMPLETE_BYTES_MAX`].
pub const PART_COUNT_MAX: u32 = 128;

/// The maximum number of incomplete snapshots held at once.
///
/// A publisher that stops half-way leaves an incomplete snapshot behind, until
/// later snapshots, which have higher offsets, evict it.
pub const INCOMPLETE_SNAPSHOTS_MAX: usize = 8;

/// The maximum size of all incomplete snapshots held at once, in bytes.
///
/// A snapshot of 100,000 accounts fits, 13 times the required number.
pub const INCOMPLETE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Identifies the snapshot to which a part belongs.
///
/// It identifies the content and not the publisher, so parts of the same state
/// from several peers complete one another, and different states never mix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotId {
    /// The offset after the last covered record.
    pub next: Offset,
    /// The number of parts.
    pub count: u32,
    /// The hash of the whole encoded snapshot.
    pub digest: u64,
}

/// A part of an encoded snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The snapshot to which it belongs.
    pub set: SnapshotId,
    /// The index of the part, from 0.
    pub index: u32,
    /// The text; empty if the receiver only needs to know that the part exists.
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
    /// Splits the snapshot into parts of at most `max_bytes` encoded bytes each.
    ///
    /// # Panics
    ///
    /// Panics if the snapshot has no JSON form, as [`Record::encode`] does.
    #[must_use]
    pub fn parts(&self, max_bytes: usize) -> Vec<SnapshotPart> {
        self.split(&self.to_json(), max_bytes)
    }

    /// Returns the records with the snapshot: one if it is small, else one per part.
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

/// Splits text into chunks whose JSON strings have at most `max_bytes` bytes.
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

/// Returns the length of a character in a JSON string, in bytes.
const fn escaped_len(c: char) -> usize {
    match c {
        '"' | '\\' => 2,
        '\0'..='\u{1f}' => 6,
        _ => c.len_utf8(),
    }
}

/// Incomplete snapshots, bounded in number and bytes.
#[derive(Debug, Clone, Default)]
pub(super) struct SnapshotAssembly {
    sets: BTreeMap<SnapshotId, BTreeMap<u32, String>>,
}

impl SnapshotAssembly {
    /// Adds a part and returns its snapshot if that is now complete.
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

    /// Discards the snapshots that don't lie above an offset.
    pub(super) fn discard_up_to(&mut self, next: Offset) {
        while self.sets.keys().next().is_some_and(|set| set.next <= next) {
            self.sets.pop_first();
        }
    }

    /// Returns the total size of the parts held, in bytes.
    pub(super) fn bytes(&self) -> usize {
        let chunks = self.sets.values().flat_map(BTreeMap::values);
        chunks.map(String::len).sum()
    }

    // Publishers that stop half-way leave parts behind, and readers behind
    // retention would run out of memory. The lowest offset is evicted first,
    // since any later snapshot has a higher one.
    fn enforce_bounds(&mut self) {
        while self.sets.len() > INCOMPLETE_SNAPSHOTS_MAX || self.bytes() > INCOMPLETE_BYTES_MAX {
            self.sets.pop_first();
        }
    }
}

// A damaged part could produce a state that never existed, or one with a wrong
// offset. The digest covers the whole text, so such a set is dropped; the next
// offer sends the parts again.
fn join(set: SnapshotId, text: &str) -> Option<Snapshot> {
    if rapidhash_v3(text.as_bytes()) != set.digest {
        return None;
    }
    let snapshot: Snapshot = serde_json::from_str(text).ok()?;
    (snapshot.next == set.next).then_some(snapshot)
}

/// The parts of recent snapshots that a reader has seen, without their text.
#[derive(Debug, Clone, Default)]
pub(super) struct SeenParts {
    sets: BTreeMap<SnapshotId, BTreeSet<u32>>,
}

impl SeenParts {
    /// Adds a part and returns whether its snapshot is now complete.
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

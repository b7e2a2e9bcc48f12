//! The configuration as a fold over the log's records.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::config::Accepted;
use crate::config::Change;
use crate::config::Config;
use crate::config::ConfigError;
use crate::config::Snapshot;
use crate::config::SnapshotId;
use crate::config::SnapshotPart;
use crate::config::parts::SeenParts;
use crate::config::parts::SnapshotAssembly;
use crate::ids::Offset;
use crate::ids::Revision;
use crate::record::Author;
use crate::record::Body;
use crate::record::Record;
use crate::record::RecordError;
use crate::record::RecordId;

/// The accepted changes remembered, to name the winner and to know a repeat.
///
/// Letter 1 has 380 changes a day: this covers more than half a day, far
/// longer than an append is repeated.
pub const RECENT_MAX: usize = 256;

/// The raw records kept for peers that are a little behind.
pub const TAIL_RECORDS_MAX: usize = 64;

/// The most bytes of the raw records kept.
///
/// A peer that is further behind gets a snapshot, at letter 1's size a third
/// as large.
pub const TAIL_BYTES_MAX: usize = 4 * 1024 * 1024;

/// An accepted change, as the author of one that lost is shown it.
#[derive(Debug, Clone, PartialEq)]
pub struct AcceptedChange {
    /// The record that won.
    pub id: RecordId,
    /// Its author.
    pub author: Author,
    /// Its change.
    pub change: Change,
    /// The revision that it made.
    pub revision: Revision,
}

/// What one record did to the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// The change is accepted and makes a revision.
    Accepted {
        /// The revision made.
        revision: Revision,
    },
    /// The change was made on an old revision and has no effect.
    Lost {
        /// The revision in force.
        revision: Revision,
        /// The change that took its base, unless it is too long ago.
        winner: Option<Box<AcceptedChange>>,
    },
    /// The change does not fit the configuration and has no effect.
    Invalid(ConfigError),
    /// The record was accepted before; its append was repeated.
    Repeat {
        /// The revision that it made.
        revision: Revision,
    },
    /// A snapshot in line with what is known already.
    Covered,
    /// A part of such a snapshot; others of its parts were not yet seen.
    Part,
    /// The record lies below the next offset and was applied before.
    Old,
    /// Records before this one were not seen: read from `next`, or recover.
    Gap {
        /// The next offset expected.
        next: Offset,
    },
    /// A snapshot replaced the state: read on from `next`.
    Restored {
        /// The next offset to read.
        next: Offset,
    },
    /// The record is none of the configuration's.
    Foreign(Option<RecordError>),
}

impl Applied {
    /// Tells whether the configuration changed.
    #[must_use]
    pub const fn is_change(&self) -> bool {
        matches!(self, Self::Accepted { .. } | Self::Restored { .. })
    }
}

/// Safeguards of the fold, all on but in tests that show their worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FoldGuards {
    /// A change made on an old revision loses.
    pub base: bool,
    /// A repeated record is known by its id.
    pub repeat: bool,
    /// A lower offset never replaces a higher one.
    pub order: bool,
}

impl FoldGuards {
    /// All safeguards on.
    pub const ON: Self = Self {
        base: true,
        repeat: true,
        order: true,
    };
}

/// The configuration, revision and position in the log.
#[derive(Debug, Clone)]
pub struct Fold {
    guards: FoldGuards,
    config: Arc<Config>,
    revision: Revision,
    next: Offset,
    accepted: BTreeMap<Revision, AcceptedChange>,
    recent: VecDeque<Accepted>,
    tail: VecDeque<(Offset, Vec<u8>)>,
    assembly: SnapshotAssembly,
    seen_parts: SeenParts,
}

impl Default for Fold {
    fn default() -> Self {
        Self::new()
    }
}

impl Fold {
    /// Starts with the empty configuration before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self::with_guards(FoldGuards::ON)
    }

    /// Starts with some safeguards off, for tests that show their worth.
    #[must_use]
    pub fn with_guards(guards: FoldGuards) -> Self {
        Self {
            guards,
            config: Arc::default(),
            revision: Revision(0),
            next: Offset(0),
            accepted: BTreeMap::new(),
            recent: VecDeque::new(),
            tail: VecDeque::new(),
            assembly: SnapshotAssembly::default(),
            seen_parts: SeenParts::default(),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config)
    }

    /// Returns the revision in force.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the next offset to read.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Returns the accepted changes still remembered, oldest first.
    pub fn accepted_changes(&self) -> impl Iterator<Item = &AcceptedChange> {
        self.accepted.values()
    }

    /// Applies the bytes read at an offset.
    pub fn apply_bytes(&mut self, offset: Offset, bytes: &[u8]) -> Applied {
        match Record::try_from(bytes) {
            Ok(record) => self.apply(offset, &record),
            Err(error) => {
                if let Some(applied) = self.check_position(offset) {
                    return applied;
                }
                self.advance(offset, bytes.to_vec());
                Applied::Foreign(Some(error))
            }
        }
    }

    /// Applies the record read at an offset.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Applied {
        match self.check_position(offset) {
            Some(Applied::Gap { .. }) => return self.recover(&record.body),
            Some(applied) => return applied,
            None => {}
        }
        let applied = match &record.body {
            Body::ConfigChange { base, change } => self.change(record, *base, change),
            Body::Snapshot(_) => Applied::Covered,
            Body::SnapshotPart(part) if self.seen_parts.add(part) => Applied::Covered,
            Body::SnapshotPart(_) => Applied::Part,
            Body::Lease(_) => Applied::Foreign(None),
        };
        self.advance(offset, relayed_bytes(record));
        applied
    }

    /// Judges the position of a record, unless it is the next one.
    fn check_position(&self, offset: Offset) -> Option<Applied> {
        if offset < self.next {
            return Some(Applied::Old);
        }
        (offset > self.next).then_some(Applied::Gap { next: self.next })
    }

    fn advance(&mut self, offset: Offset, bytes: Vec<u8>) {
        self.next = offset.next();
        self.assembly.discard_up_to(self.next);
        self.tail.push_back((offset, bytes));
        while self.tail.len() > TAIL_RECORDS_MAX || self.tail_bytes() > TAIL_BYTES_MAX {
            self.tail.pop_front();
        }
    }

    fn tail_bytes(&self) -> usize {
        self.tail.iter().map(|(_, bytes)| bytes.len()).sum()
    }

    fn change(&mut self, record: &Record, base: Revision, change: &Change) -> Applied {
        // An append whose answer was lost is sent again under the same id.
        // Without this check its author would hear that the change lost to
        // itself. Forgetting an id is harmless: its base is old by then.
        let known = self.recent.iter().find(|a| a.id == record.id);
        if let (Some(known), true) = (known, self.guards.repeat) {
            return Applied::Repeat {
                revision: known.revision,
            };
        }
        // Two operators who change what both have read would each undo the
        // other unseen. The log's order decides for one, at every process
        // alike, and the other is shown the winner.
        if base != self.revision && self.guards.base {
            return Applied::Lost {
                revision: self.revision,
                winner: self.accepted.get(&base.next()).cloned().map(Box::new),
            };
        }
        match change.apply(&self.config) {
            Ok(config) => self.accept(record, change, config),
            Err(error) => Applied::Invalid(error),
        }
    }

    fn accept(&mut self, record: &Record, change: &Change, config: Config) -> Applied {
        self.config = Arc::new(config);
        self.revision = self.revision.next();
        let revision = self.revision;
        let winner = AcceptedChange {
            id: record.id,
            author: record.author.clone(),
            change: change.clone(),
            revision,
        };
        self.accepted.insert(revision, winner);
        if self.accepted.len() > RECENT_MAX {
            self.accepted.pop_first();
        }
        self.recent.push_back(Accepted {
            id: record.id,
            revision,
        });
        if self.recent.len() > RECENT_MAX {
            self.recent.pop_front();
        }
        Applied::Accepted { revision }
    }

    /// Returns a snapshot of the state.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            next: self.next,
            revision: self.revision,
            config: self.config(),
            recent: self.recent.iter().copied().collect(),
        }
    }

    /// Takes over a snapshot from the log or a peer, if it lies higher.
    ///
    /// Returns whether the state was replaced.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> bool {
        // A peer that was cut off for hours offers what it had then. Taking it
        // would revert accepted changes. Offsets only grow, so comparing them
        // is enough.
        if snapshot.next <= self.next && self.guards.order {
            return false;
        }
        self.config = Arc::clone(&snapshot.config);
        self.revision = snapshot.revision;
        self.next = snapshot.next;
        self.recent = snapshot.recent.iter().copied().collect();
        self.accepted.clear();
        self.tail.clear();
        self.assembly.discard_up_to(self.next);
        true
    }

    /// Holds a part of a snapshot, and takes the snapshot over once it is whole.
    ///
    /// Returns whether the state was replaced. Parts may come in any order and
    /// repeatedly; those that complete nothing are bounded by
    /// [`INCOMPLETE_SNAPSHOTS_MAX`](crate::config::INCOMPLETE_SNAPSHOTS_MAX) and
    /// [`INCOMPLETE_BYTES_MAX`](crate::config::INCOMPLETE_BYTES_MAX).
    pub fn adopt_part(&mut self, part: &SnapshotPart) -> bool {
        // Parts of a state already passed would only push out better ones.
        if part.set.next <= self.next && self.guards.order {
            return false;
        }
        let completed = self.assembly.add(part);
        completed.is_some_and(|snapshot| self.adopt(&snapshot))
    }

    /// Returns the bytes held of incomplete snapshots.
    #[must_use]
    pub fn incomplete_bytes(&self) -> usize {
        self.assembly.bytes()
    }

    fn recover(&mut self, body: &Body) -> Applied {
        let adopted = match body {
            Body::Snapshot(snapshot) => self.adopt(snapshot),
            Body::SnapshotPart(part) => self.adopt_part(part),
            Body::ConfigChange { .. } | Body::Lease(_) => false,
        };
        if adopted {
            return Applied::Restored { next: self.next };
        }
        Applied::Gap { next: self.next }
    }

    /// Returns the raw records from an offset on, if all are still kept.
    #[must_use]
    pub fn records_since(&self, from: Offset) -> Option<Vec<Vec<u8>>> {
        if from == self.next {
            return Some(Vec::new());
        }
        let first = self.tail.front()?.0;
        if from < first || from > self.next {
            return None;
        }
        let wanted = self.tail.iter().filter(|(offset, _)| *offset >= from);
        Some(wanted.map(|(_, bytes)| bytes.clone()).collect())
    }
}

// A peer that has all records before a snapshot needs nothing of it but its
// place; with the text, each snapshot would cost each link a megabyte.
fn relayed_bytes(record: &Record) -> Vec<u8> {
    let marker = match &record.body {
        Body::Snapshot(snapshot) => SnapshotPart {
            set: SnapshotId {
                next: snapshot.next,
                count: 1,
                digest: 0,
            },
            index: 0,
            text: String::new(),
        },
        Body::SnapshotPart(part) => part.without_text(),
        Body::ConfigChange { .. } | Body::Lease(_) => return record.encode(),
    };
    let record = Record {
        id: record.id,
        author: record.author.clone(),
        body: Body::SnapshotPart(marker),
    };
    record.encode()
}

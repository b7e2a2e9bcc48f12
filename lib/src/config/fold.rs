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

/// The number of accepted changes kept, to report a winner and recognize a repeat.
///
/// At the required 380 changes per day this covers more than half a day, far
/// longer than an append is retried.
pub const RECENT_MAX: usize = 256;

/// The maximum number of raw records kept for peers that are slightly behind.
pub const TAIL_RECORDS_MAX: usize = 64;

/// The maximum size of the raw records kept, in bytes.
///
/// A peer that is further behind gets a snapshot, which is a third as large at
/// the required number of accounts.
pub const TAIL_BYTES_MAX: usize = 4 * 1024 * 1024;

/// An accepted change, as shown to the author of a change that lost to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Winner {
    /// The accepted record.
    pub id: RecordId,
    /// Its author.
    pub author: Author,
    /// Its change.
    pub change: Change,
    /// The revision that it created.
    pub revision: Revision,
}

/// The effect of one record on the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// The change is accepted and creates a revision.
    Accepted {
        /// The created revision.
        revision: Revision,
    },
    /// The change is based on an old revision and has no effect.
    Lost {
        /// The revision in force.
        revision: Revision,
        /// The change accepted on the same base, if it is still kept.
        winner: Option<Box<Winner>>,
    },
    /// The change does not fit the configuration and has no effect.
    Invalid(ConfigError),
    /// The record was accepted before; its append was retried.
    Repeat {
        /// The revision that it created.
        revision: Revision,
    },
    /// A snapshot of records that were already applied.
    Covered,
    /// A part of such a snapshot, of which other parts are still missing.
    Part,
    /// The record is below the next offset and was applied before.
    Old,
    /// Records before this one are missing: read from `next`, or recover from a snapshot.
    Gap {
        /// The next expected offset.
        next: Offset,
    },
    /// A snapshot replaced the state: continue reading at `next`.
    Restored {
        /// The next offset to read.
        next: Offset,
    },
    /// The record doesn't belong to the configuration, or can't be decoded.
    Foreign(Option<RecordError>),
}

impl Applied {
    /// Returns whether the configuration changed.
    #[must_use]
    pub const fn is_change(&self) -> bool {
        matches!(self, Self::Accepted { .. } | Self::Restored { .. })
    }
}

/// Safeguards of the fold; only tests that prove their necessity turn one off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FoldGuards {
    /// Rejects a change based on an old revision.
    pub base: bool,
    /// Recognizes a repeated record by its id.
    pub repeat: bool,
    /// Prevents a snapshot at a lower offset from replacing a higher one.
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
    accepted: BTreeMap<Revision, Winner>,
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
    /// Creates an empty configuration at offset 0.
    #[must_use]
    pub fn new() -> Self {
        Self::with_guards(FoldGuards::ON)
    }

    /// Creates a fold with some safeguards off, for tests that prove their necessity.
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

    /// Returns the accepted changes that are still kept, oldest first.
    pub fn accepted_changes(&self) -> impl Iterator<Item = &Winner> {
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

    /// Returns the result for a record at any position but the next.
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
        // An unanswered append is retried under the same id. Without this check
        // its author would be notified that the change lost to itself. Dropping
        // an old id is harmless, since its base is outdated by then.
        let known = self.recent.iter().find(|a| a.id == record.id);
        if let (Some(known), true) = (known, self.guards.repeat) {
            return Applied::Repeat {
                revision: known.revision,
            };
        }
        // Concurrent changes on one base would silently undo each other. The log's
        // order selects the same winner in every process, and the other author is
        // shown that winner.
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
        let winner = Winner {
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

    /// Adopts a snapshot from the log or a peer, if its offset is higher.
    ///
    /// Returns whether the state was replaced.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> bool {
        // A peer that was partitioned for hours offers an old state, which would
        // revert accepted changes. Offsets only grow, so comparing them is enough.
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

    /// Stores a part of a snapshot, and adopts the snapshot once it is complete.
    ///
    /// Returns whether the state was replaced. Parts may arrive in any order and
    /// repeatedly; those of incomplete snapshots are bounded by
    /// [`INCOMPLETE_SNAPSHOTS_MAX`](crate::config::INCOMPLETE_SNAPSHOTS_MAX) and
    /// [`INCOMPLETE_BYTES_MAX`](crate::config::INCOMPLETE_BYTES_MAX).
    pub fn adopt_part(&mut self, part: &SnapshotPart) -> bool {
        // Parts of an outdated state would only evict newer ones.
        if part.set.next <= self.next && self.guards.order {
            return false;
        }
        let completed = self.assembly.add(part);
        completed.is_some_and(|snapshot| self.adopt(&snapshot))
    }

    /// Returns the size of the incomplete snapshots held, in bytes.
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

// Strips the text of snapshots: a peer with all earlier records only needs the
// position, and the text would cost each link a megabyte per snapshot.
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

//! Places in the registry's topics, and the order of what they hold.
//!
//! The registry may come back from a copy that is some seconds old. It then gives out
//! again the offsets of what it has lost, so that an offset orders records only within
//! one era of the registry. Across eras, the writers' own numbers order the records of
//! a key.

use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::Display;
use derive_more::FromStr;

use super::registry_polling::REPLICA_KINDS;
use super::registry_polling::ReplicaKind;
use crate::ids::Offset;
use crate::time::Time;

/// How long after a return of the registry what it lacks may still be written again.
///
/// Endpoints that live register within about two seconds.
pub const REWRITE_PERIOD: Duration = Duration::from_secs(3);

/// The nodes that write again in a second after a return of the registry.
///
/// A quarter of the writes that a registry of some hundred a second takes.
const REWRITES_PER_SECOND: f64 = 100.0;

/// How often the registry came back from a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
#[derive(Display, FromStr)]
pub struct Era(pub u64);

/// A place in a topic.
///
/// A place of a later era counts as later, whatever its offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
#[derive(Display)]
#[display("{era}/{offset}")]
pub struct Position {
    /// The era of the registry.
    pub era: Era,
    /// The offset in this era.
    pub offset: Offset,
}

impl Position {
    /// Creates a position from its numbers.
    #[must_use]
    pub const fn new(era: u64, offset: u64) -> Self {
        Self {
            era: Era(era),
            offset: Offset(offset),
        }
    }

    /// Returns the position after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self::new(self.era.0, self.offset.0 + 1)
    }
}

/// The order that a writer gives to its own records of a key: the greater one was
/// written later, in any era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
#[derive(Display)]
#[display("{major}.{minor}")]
pub struct Rank {
    /// The version, or the start of the writer.
    pub major: u64,
    /// The number of the record since then.
    pub minor: u64,
}

/// How a list of all keys is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListMode {
    /// A key that is missing was dropped.
    Whole,
    /// The same, for the first list after the registry has settled.
    Settled,
    /// The registry has just come back: what it lacks may be written again.
    Unsettled,
}

/// What a node knows of the returns of the registry from a copy.
#[derive(Debug, Clone, Default)]
pub struct Returns {
    era: Option<Era>,
    /// The returns that this node has noticed.
    count: u64,
    /// When it noticed the last one.
    last_return: Option<Time>,
    unsettled_until: Time,
    /// The latest era of which this node noticed that it followed a return.
    returned: Option<Era>,
    /// The replicas that have to be listed once what was lost is written again.
    unsettled: BTreeSet<ReplicaKind>,
    /// Whether an earlier era was reported.
    lower_reported: bool,
}

/// A change of the registry's era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraChange {
    /// It has come back from a copy.
    Returned {
        /// The era before.
        previous: Era,
    },
    /// It names an earlier era, as only another registry does.
    Lower {
        /// The latest era that this node knows.
        known: Era,
    },
}

impl Returns {
    /// Returns the latest era; `None` before the first one is known.
    #[must_use]
    pub const fn era(&self) -> Option<Era> {
        self.era
    }

    /// Returns how many returns this node has noticed.
    #[must_use]
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// Returns when this node noticed the last return.
    #[must_use]
    pub const fn last_return(&self) -> Option<Time> {
        self.last_return
    }

    /// Handles the era of a response, or of another node.
    pub fn on_era(&mut self, now: Time, era: Era) -> Option<EraChange> {
        let Some(known) = self.era else {
            self.era = Some(era);
            return None;
        };
        if era < known {
            let reported = std::mem::replace(&mut self.lower_reported, true);
            return (!reported).then_some(EraChange::Lower { known });
        }
        if era == known {
            return None;
        }
        self.era = Some(era);
        self.count += 1;
        self.last_return = Some(now);
        self.lower_reported = false;
        self.mark_returned(now, era);
        Some(EraChange::Returned { previous: known })
    }

    /// Handles the era of a record that a peer has sent.
    ///
    /// A node that starts after a return learns by it what the registry may have lost.
    pub fn on_record(&mut self, now: Time, era: Era) {
        if let Some(known) = self.era.filter(|&known| era < known)
            && self.returned != Some(known)
        {
            self.mark_returned(now, known);
        }
    }

    fn mark_returned(&mut self, now: Time, era: Era) {
        self.returned = Some(era);
        self.unsettled_until = now + REWRITE_PERIOD;
    }

    /// Returns whether what the registry has lost may still be written again.
    #[must_use]
    pub fn is_unsettled(&self, now: Time) -> bool {
        now < self.unsettled_until
    }

    /// Returns how a list that was just read is applied; until the registry has
    /// settled, the list is read once more.
    pub fn on_list(&mut self, now: Time, kind: ReplicaKind) -> ListMode {
        if self.is_unsettled(now) {
            self.unsettled.insert(kind);
            return ListMode::Unsettled;
        }
        if self.unsettled.remove(&kind) {
            ListMode::Settled
        } else {
            ListMode::Whole
        }
    }

    /// Records that a replica may hold what the registry has lost for good.
    pub fn mark_unsettled(&mut self, kind: ReplicaKind) {
        self.unsettled.insert(kind);
    }

    /// Returns whether a replica has to be listed, since the registry has settled.
    #[must_use]
    pub fn needs_list(&self, now: Time, kind: ReplicaKind) -> bool {
        self.unsettled.contains(&kind) && !self.is_unsettled(now)
    }

    /// Returns when a replica has to be listed; [`Time::NEVER`] if it need not be.
    #[must_use]
    pub fn wake(&self) -> Time {
        let waits = REPLICA_KINDS.iter().any(|k| self.unsettled.contains(k));
        if waits {
            self.unsettled_until
        } else {
            Time::NEVER
        }
    }
}

/// Returns when one of `nodes` nodes writes again what it wrote, after it heard of a
/// return; `sample` is a random number in `0..1`.
#[must_use]
pub fn rewrite_delay(nodes: usize, sample: f64) -> Duration {
    Duration::from_secs_f64(nodes as f64 / REWRITES_PER_SECOND * sample)
}

//! The configuration of one process, as it passes from process to process.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use snipeyoke_lib::config::Applied;
use snipeyoke_lib::config::Fold;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::record::Author;
use snipeyoke_lib::record::Body;
use snipeyoke_lib::record::Record;
use snipeyoke_lib::record::RecordId;
use snipeyoke_wire::ConfigAsk;
use snipeyoke_wire::ConfigOffer;

/// What came of an offer.
#[derive(Debug, Default)]
pub struct Taken {
    /// The records that were new, each with what it did.
    pub read: Vec<(Bytes, Applied)>,
    /// Whether the configuration in force is another one now.
    pub changed: bool,
    /// Whether the offer leaves a gap: ask its sender for all it has.
    pub gap: bool,
}

/// The fold of a process, offered to and taken from others.
///
/// Few processes read the log; all others get what these have read, over the
/// links that there are anyway. An agent keeps the book for the sake of
/// routers that start while the log is away.
#[derive(Debug, Default)]
pub struct Book {
    fold: Mutex<Fold>,
}

impl Book {
    /// Locks the fold, for one short step.
    pub fn fold(&self) -> MutexGuard<'_, Fold> {
        self.fold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the offset after the last record known.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.fold().next()
    }

    /// Builds the question for what this process lacks.
    #[must_use]
    pub fn ask(&self) -> ConfigAsk {
        ConfigAsk {
            have: self.next().0,
        }
    }

    /// Builds an offer for a process that has everything below an offset.
    #[must_use]
    pub fn offer(&self, have: Offset) -> Option<ConfigOffer> {
        let fold = self.fold();
        if have >= fold.next() {
            return None;
        }
        let records = fold.since(have).unwrap_or_else(|| vec![snapshot(&fold)]);
        Some(ConfigOffer {
            next: fold.next().0,
            records: records.into_iter().map(Bytes::from).collect(),
        })
    }

    /// Takes an offer, if it lies higher than what is known.
    ///
    /// A lower offer has no effect: see [`Fold::adopt`]. `note` is shown each
    /// record that was new, and the state after it.
    pub fn take(
        &self,
        offer: &ConfigOffer,
        mut note: impl FnMut(&Fold, Offset, &Applied),
    ) -> Taken {
        let mut fold = self.fold();
        let before = fold.revision();
        let mut taken = Taken::default();
        if let Some(snapshot) = offered_snapshot(offer) {
            taken.changed = fold.adopt(&snapshot);
            if taken.changed {
                let next = fold.next();
                note(&fold, next, &Applied::Restored { next });
            }
            return taken;
        }
        let first = offer.next.saturating_sub(offer.records.len() as u64);
        for (offset, bytes) in (first..).map(Offset).zip(&offer.records) {
            let applied = fold.apply_bytes(offset, bytes);
            match applied {
                Applied::Old => {}
                Applied::Gap { .. } => {
                    taken.gap = true;
                    break;
                }
                applied => {
                    note(&fold, offset, &applied);
                    taken.read.push((bytes.clone(), applied));
                }
            }
        }
        taken.changed = fold.revision() != before;
        taken
    }
}

/// Encodes the state as a record; its id is nil, it never goes to the log.
fn snapshot(fold: &Fold) -> Vec<u8> {
    let record = Record {
        id: RecordId::default(),
        author: Author::Peer,
        body: Body::Snapshot(fold.snapshot()),
    };
    record.encode()
}

/// Returns the snapshot that an offer consists of, if it is none of records.
///
/// A snapshot read from the log covers less than the offset after it, so its
/// `next` tells the two apart.
fn offered_snapshot(offer: &ConfigOffer) -> Option<snipeyoke_lib::config::Snapshot> {
    let [only] = offer.records.as_slice() else {
        return None;
    };
    match Record::try_from(only.as_ref()).ok()?.body {
        Body::Snapshot(snapshot) if snapshot.next.0 == offer.next => Some(snapshot),
        _ => None,
    }
}

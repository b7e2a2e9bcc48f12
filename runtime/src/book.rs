//! The configuration of one process, as it passes from process to process.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use snipeyoke_lib::config::Applied;
use snipeyoke_lib::config::Fold;
use snipeyoke_lib::config::PART_BYTES_MAX;
use snipeyoke_lib::config::Snapshot;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::record::Author;
use snipeyoke_lib::record::Body;
use snipeyoke_lib::record::Record;
use snipeyoke_lib::record::RecordId;
use snipeyoke_lib::time::Time;
use snipeyoke_wire::ConfigAsk;
use snipeyoke_wire::ConfigOffer;

/// How long an answer may come no further before another process is asked.
///
/// A part of 192 KiB takes 0.16 s over a link of 10 Mbit/s, and a change has 4 s
/// to be in force everywhere.
pub const ASK_STALL: Duration = Duration::from_secs(1);

/// The most bytes that are offered to a process that has not asked.
///
/// All routers of an agent see in the same half second that it lacks a change.
/// At 340 of them 4 KiB each are a megabyte; a change has some hundred bytes.
pub const PUSH_MAX: usize = 4 << 10;

/// What came of an offer.
#[derive(Debug, Default)]
pub struct Taken {
    /// The records that were new, each with what it did.
    pub read: Vec<(Bytes, Applied)>,
    /// Whether the configuration in force is another one now.
    pub changed: bool,
    /// Whether the offer leaves a gap: ask its sender, if it is time to ask.
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
    asked: Mutex<Option<Asked>>,
}

/// The question whose answer is on its way.
#[derive(Debug, Clone, Copy)]
struct Asked {
    have: Offset,
    /// When it was sent, or its answer last came further.
    moved: Time,
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
    ///
    /// `None` while the answer to an earlier one comes. A router that starts has
    /// links to hundreds of agents, which all have more: asked together, each
    /// sends the whole state, and the copies fill the link on which the first
    /// one has to come.
    pub fn ask(&self, now: Time) -> Option<ConfigAsk> {
        let have = self.next();
        let mut asked = self.asked();
        let comes = |a: Asked| a.have == have && now.since(a.moved) < ASK_STALL;
        if asked.is_some_and(comes) {
            return None;
        }
        *asked = Some(Asked { have, moved: now });
        Some(ConfigAsk { have: have.0 })
    }

    /// Builds offers for a process that has not asked.
    ///
    /// Small changes themselves; else only word of what there is, so that it
    /// asks one of those who have it.
    #[must_use]
    pub fn push(&self, have: Offset) -> Vec<ConfigOffer> {
        let fold = self.fold();
        let next = fold.next();
        if have >= next {
            return Vec::new();
        }
        let records = fold.records_since(have).unwrap_or_default();
        let bytes: usize = records.iter().map(Vec::len).sum();
        if records.is_empty() || bytes > PUSH_MAX {
            return vec![ConfigOffer {
                next: next.0,
                records: Vec::new(),
            }];
        }
        offer_records(have, records)
    }

    fn asked(&self) -> MutexGuard<'_, Option<Asked>> {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Builds the answer to a process that has everything below an offset.
    ///
    /// They are to be sent in order, each in a frame of its own. One that is
    /// lost leaves a gap or an incomplete snapshot, and all are sent again
    /// when the other process next tells what it has.
    #[must_use]
    pub fn offer(&self, have: Offset) -> Vec<ConfigOffer> {
        let fold = self.fold();
        if have >= fold.next() {
            return Vec::new();
        }
        if let Some(records) = fold.records_since(have) {
            return offer_records(have, records);
        }
        let snapshot = fold.snapshot();
        // Encoding takes milliseconds, and the fold is wanted by others.
        drop(fold);
        offer_snapshot(&snapshot)
    }

    /// Takes an offer, if it lies higher than what is known.
    ///
    /// A lower offer has no effect: see [`Fold::adopt`]. `note` is shown each
    /// record that was new, and the state after it.
    pub fn take(
        &self,
        now: Time,
        offer: &ConfigOffer,
        mut note: impl FnMut(&Fold, Offset, &Applied),
    ) -> Taken {
        let mut fold = self.fold();
        let before = fold.revision();
        let mut taken = Taken::default();
        // All links of a process that starts offer it the same: what is left
        // of it once the first is taken is not even parsed.
        if offer.next <= fold.next().0 {
            return taken;
        }
        if offer.records.is_empty() {
            taken.gap = true;
            return taken;
        }
        if let Some(asked) = self.asked().as_mut() {
            asked.moved = now;
        }
        if let Some(body) = offered_state(offer) {
            taken.changed = match &body {
                Body::Snapshot(snapshot) => fold.adopt(snapshot),
                Body::SnapshotPart(part) => fold.adopt_part(part),
                Body::ConfigChange { .. } | Body::Lease(_) => false,
            };
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

/// Packs records into offers of at most [`PART_BYTES_MAX`] bytes, or one record.
fn offer_records(have: Offset, records: Vec<Vec<u8>>) -> Vec<ConfigOffer> {
    let mut offers: Vec<ConfigOffer> = Vec::new();
    let mut room = 0;
    for (offset, record) in (have.0..).map(Offset).zip(records) {
        let next = offset.next().0;
        let record = Bytes::from(record);
        match offers.last_mut() {
            Some(last) if record.len() <= room => {
                room -= record.len();
                last.next = next;
                last.records.push(record);
            }
            _ => {
                room = PART_BYTES_MAX.saturating_sub(record.len());
                let records = vec![record];
                offers.push(ConfigOffer { next, records });
            }
        }
    }
    offers
}

/// Encodes the state as records; their ids are nil, they never go to the log.
fn offer_snapshot(snapshot: &Snapshot) -> Vec<ConfigOffer> {
    let offer = |record: Record| ConfigOffer {
        next: snapshot.next.0,
        records: vec![Bytes::from(record.encode())],
    };
    let records = snapshot.records(&Author::Peer, RecordId::default);
    records.into_iter().map(offer).collect()
}

/// Returns the snapshot or part that an offer consists of, if none of records.
///
/// A snapshot read from the log covers less than the offset after it, so its
/// `next` tells the two apart.
fn offered_state(offer: &ConfigOffer) -> Option<Body> {
    let [only] = offer.records.as_slice() else {
        return None;
    };
    let body = Record::try_from(only.as_ref()).ok()?.body;
    let next = match &body {
        Body::Snapshot(snapshot) => snapshot.next,
        Body::SnapshotPart(part) => part.set.next,
        Body::ConfigChange { .. } | Body::Lease(_) => return None,
    };
    (next.0 == offer.next).then_some(body)
}

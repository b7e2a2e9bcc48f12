//! The configuration known to one process, and its exchange with others.

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

/// How long a response may stall before the request goes to another process.
///
/// A part of 192 KiB takes 0.16 s over a link of 10 Mbit/s, and a change has to be
/// in force everywhere within 4 s.
pub const REQUEST_STALL: Duration = Duration::from_secs(1);

/// The maximum size of records sent without a request, in bytes.
///
/// All routers of an agent notice within the same half second that it lacks a
/// change. From 340 routers, 4 KiB each add up to more than a megabyte; a change
/// has a few hundred bytes.
pub const PUSH_MAX_BYTES: usize = 4 << 10;

/// The result of applying an offer.
#[derive(Debug, Default)]
pub struct OfferOutcome {
    /// The new records, each with its effect.
    pub applied: Vec<(Bytes, Applied)>,
    /// Whether the configuration in force has changed.
    pub changed: bool,
    /// Whether records before the offer are missing: request them from its sender,
    /// unless a request is pending.
    pub gap: bool,
}

/// The configuration fold of a process, replicated between processes.
///
/// Few processes read the log; all others receive its records over the existing
/// links. Agents hold a copy for routers that start while the log is unavailable.
#[derive(Debug, Default)]
pub struct ConfigStore {
    fold: Mutex<Fold>,
    pending_request: Mutex<Option<PendingRequest>>,
}

/// A request whose response is still arriving.
#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    have: Offset,
    /// When it was sent, or when its response last made progress.
    progress_at: Time,
}

impl ConfigStore {
    /// Locks the fold; hold the lock briefly.
    pub fn fold(&self) -> MutexGuard<'_, Fold> {
        self.fold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the offset after the last known record.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.fold().next()
    }

    /// Builds the request for the records that this process lacks.
    ///
    /// Returns `None` while the response to an earlier one is arriving. A starting
    /// router has links to hundreds of agents that are all ahead of it. If requested
    /// at once, each would send the whole state, and the copies would congest the
    /// link and delay the first one.
    pub fn request(&self, now: Time) -> Option<ConfigAsk> {
        let have = self.next();
        let mut pending = self.pending_request();
        let is_awaited =
            |p: PendingRequest| p.have == have && now.since(p.progress_at) < REQUEST_STALL;
        if pending.is_some_and(is_awaited) {
            return None;
        }
        *pending = Some(PendingRequest {
            have,
            progress_at: now,
        });
        Some(ConfigAsk { have: have.0 })
    }

    /// Builds offers for a process that has requested nothing.
    ///
    /// Small changes are sent whole. Otherwise the offer holds only the newest
    /// offset, so that the process requests the rest from one of its peers.
    #[must_use]
    pub fn announce(&self, have: Offset) -> Vec<ConfigOffer> {
        let fold = self.fold();
        let next = fold.next();
        if have >= next {
            return Vec::new();
        }
        let records = fold.records_since(have).unwrap_or_default();
        let bytes: usize = records.iter().map(Vec::len).sum();
        if records.is_empty() || bytes > PUSH_MAX_BYTES {
            return vec![ConfigOffer {
                next: next.0,
                records: Vec::new(),
            }];
        }
        offer_records(have, records)
    }

    fn pending_request(&self) -> MutexGuard<'_, Option<PendingRequest>> {
        self.pending_request
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Builds the offers for a process that has all records below `have`.
    ///
    /// Send them in order, one per frame. A lost offer leaves a gap or an incomplete
    /// snapshot; all are sent again once the process next reports its offset.
    #[must_use]
    pub fn offers_since(&self, have: Offset) -> Vec<ConfigOffer> {
        let fold = self.fold();
        if have >= fold.next() {
            return Vec::new();
        }
        if let Some(records) = fold.records_since(have) {
            return offer_records(have, records);
        }
        let snapshot = fold.snapshot();
        // Encoding takes milliseconds; other threads need the fold meanwhile.
        drop(fold);
        offer_snapshot(&snapshot)
    }

    /// Applies an offer that is ahead of the known state.
    ///
    /// An older offer has no effect: see [`Fold::adopt`]. `on_applied` is called for
    /// each new record with the state after it.
    pub fn apply_offer(
        &self,
        now: Time,
        offer: &ConfigOffer,
        mut on_applied: impl FnMut(&Fold, Offset, &Applied),
    ) -> OfferOutcome {
        let mut fold = self.fold();
        let before = fold.revision();
        let mut outcome = OfferOutcome::default();
        // All peers of a starting process offer the same records; skip parsing
        // those that are known already.
        if offer.next <= fold.next().0 {
            return outcome;
        }
        if offer.records.is_empty() {
            outcome.gap = true;
            return outcome;
        }
        if let Some(pending) = self.pending_request().as_mut() {
            pending.progress_at = now;
        }
        if let Some(body) = offered_state(offer) {
            outcome.changed = match &body {
                Body::Snapshot(snapshot) => fold.adopt(snapshot),
                Body::SnapshotPart(part) => fold.adopt_part(part),
                Body::ConfigChange { .. } | Body::Lease(_) => false,
            };
            if outcome.changed {
                let next = fold.next();
                on_applied(&fold, next, &Applied::Restored { next });
            }
            return outcome;
        }
        let first = offer.next.saturating_sub(offer.records.len() as u64);
        for (offset, bytes) in (first..).map(Offset).zip(&offer.records) {
            let applied = fold.apply_bytes(offset, bytes);
            match applied {
                Applied::Old => {}
                Applied::Gap { .. } => {
                    outcome.gap = true;
                    break;
                }
                applied => {
                    on_applied(&fold, offset, &applied);
                    outcome.applied.push((bytes.clone(), applied));
                }
            }
        }
        outcome.changed = fold.revision() != before;
        outcome
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

/// Encodes the state as records with nil ids, as they are never appended to the
/// log.
fn offer_snapshot(snapshot: &Snapshot) -> Vec<ConfigOffer> {
    let offer = |record: Record| ConfigOffer {
        next: snapshot.next.0,
        records: vec![Bytes::from(record.encode())],
    };
    let records = snapshot.records(&Author::Peer, RecordId::default);
    records.into_iter().map(offer).collect()
}

/// Returns the snapshot or snapshot part in an offer, or `None` if it holds records
/// of the log.
///
/// A snapshot record in the log covers only offsets before its own, so its `next`
/// differs from that of the offer.
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

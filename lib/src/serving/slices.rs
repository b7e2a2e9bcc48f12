//! Transfer of records between nodes in slices.
//!
//! A configuration may be larger than a frame. The reader requests it slice by
//! slice, so that at most one slice is in transit, other frames on the link
//! wait for at most one slice, and another node with the same record can
//! continue after the first one is lost.

use std::sync::Arc;

use super::position::Position;
use super::position::Rank;
use crate::serving::replica::Record;
use crate::serving::replica::Replica;

/// The maximum size of a slice in bytes.
///
/// A slice takes 52 ms over a link of 10 Mbit/s, which is the longest wait of a
/// short frame behind it.
pub const SLICE_MAX_BYTES: usize = 64 << 10;

/// The maximum size of a record that is assembled, in bytes.
///
/// This is ten times a configuration of 4,200 routes. Without a bound a faulty
/// sender could exhaust the reader's memory.
pub const RECORD_MAX_BYTES: u64 = 8 << 20;

/// A reader's request for a slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SliceRequest {
    /// The position up to which the reader is complete.
    pub from: Position,
    /// The greatest rank of a record that the reader has.
    pub rank: Option<Rank>,
    /// The position of the record that is being assembled.
    pub position: Position,
    /// The number of bytes received of that record.
    pub at: u64,
}

/// A slice of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slice {
    /// The record's key.
    pub key: String,
    /// The record's position.
    pub position: Position,
    /// Whether earlier changes may be missing when the record is complete.
    pub is_ahead: bool,
    /// The position of the slice in the value, in bytes.
    pub at: u64,
    /// The size of the whole value in bytes; `None` if the key was dropped.
    pub total: Option<u64>,
    /// The bytes of the slice.
    pub data: Vec<u8>,
}

impl Replica {
    /// Returns the slice for a request; `None` if nothing is newer.
    ///
    /// It belongs to the oldest record that the reader lacks: records in the
    /// order of their positions leave no gap, wherever the reader stops. One of a
    /// greater rank than the reader knows goes first: the registry may have lost it.
    #[must_use]
    pub fn slice(&self, request: SliceRequest) -> Option<Slice> {
        let ranked = self.ranked_above(request.rank);
        let oldest = ranked.or_else(|| self.first_change_from(request.from))?;
        let value = oldest.value.as_deref();
        let start = if oldest.position == request.position {
            request.at
        } else {
            0
        };
        let rest = value.and_then(|v| v.get(usize::try_from(start).ok()?..));
        let rest = rest.unwrap_or_default();
        Some(Slice {
            key: oldest.key.clone(),
            position: oldest.position,
            is_ahead: ranked.is_some(),
            at: start,
            total: value.map(|v| v.len() as u64),
            data: rest[..rest.len().min(SLICE_MAX_BYTES)].to_vec(),
        })
    }
}

/// Assembles a record from its slices.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assembly {
    position: Position,
    data: Vec<u8>,
}

impl Assembly {
    /// Returns the next request of a reader that is complete up to `from` and has
    /// records of `rank` at most.
    #[must_use]
    pub const fn next_request(&self, from: Position, rank: Option<Rank>) -> SliceRequest {
        SliceRequest {
            from,
            rank,
            position: self.position,
            at: self.data.len() as u64,
        }
    }

    /// Adds a slice and returns the record if it is complete.
    ///
    /// Slices of the same position hold parts of the same bytes from any sender.
    /// A slice that does not fit is dropped; the next request says what is
    /// missing.
    pub fn add(&mut self, slice: Slice) -> Option<Record> {
        if slice.total.is_some_and(|total| total > RECORD_MAX_BYTES) {
            return None;
        }
        if slice.position != self.position && slice.at == 0 {
            self.position = slice.position;
            self.data.clear();
        }
        if slice.position != self.position || slice.at != self.data.len() as u64 {
            return None;
        }
        self.data.extend_from_slice(&slice.data);
        let value = match slice.total {
            Some(total) if (self.data.len() as u64) < total => return None,
            Some(_) => Some(Arc::from(std::mem::take(&mut self.data))),
            None => None,
        };
        self.data.clear();
        Some(Record {
            key: slice.key,
            value,
            position: slice.position,
        })
    }
}

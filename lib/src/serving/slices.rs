//! Records passed between nodes in slices, asked for one by one.
//!
//! A configuration may have more bytes than a frame carries. It goes in slices
//! that the reader asks for, so that no more than one is on its way, other
//! frames on the link wait for one slice at most, and another node that holds
//! the same record can go on where a lost one stopped.

use std::sync::Arc;

use crate::ids::Offset;
use crate::serving::replica::Record;
use crate::serving::replica::Replica;

/// The most bytes of one slice.
///
/// A slice takes 52 ms over a link of 10 Mbit/s, which is how long a short frame
/// behind it waits at most.
pub const SLICE_MAX_BYTES: usize = 64 << 10;

/// The largest record that is put together, in bytes.
///
/// Ten times a configuration of 4,200 routes. Without a bound a faulty sender
/// could take the reader's memory.
pub const RECORD_MAX_BYTES: u64 = 8 << 20;

/// What a reader asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SliceRequest {
    /// The offset up to which the reader is complete.
    pub from: Offset,
    /// The offset of the record that it has begun.
    pub offset: Offset,
    /// The bytes that it has of that record.
    pub at: u64,
}

/// A part of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slice {
    /// The record's key.
    pub key: String,
    /// The record's offset.
    pub offset: Offset,
    /// Where the slice begins.
    pub at: u64,
    /// The bytes of the whole value; `None` if the key was dropped.
    pub total: Option<u64>,
    /// The slice.
    pub data: Vec<u8>,
}

impl Replica {
    /// Returns the slice that `ask` is for; `None` if nothing is newer.
    ///
    /// It belongs to the oldest record that the reader lacks: records that come
    /// in the order of their offsets leave no gap, wherever the reader stops.
    #[must_use]
    pub fn slice(&self, request: SliceRequest) -> Option<Slice> {
        let oldest = self.first_change_from(request.from)?;
        let value = oldest.value.as_deref();
        let start = if oldest.offset == request.offset {
            request.at
        } else {
            0
        };
        let rest = value.and_then(|v| v.get(usize::try_from(start).ok()?..));
        let rest = rest.unwrap_or_default();
        Some(Slice {
            key: oldest.key.clone(),
            offset: oldest.offset,
            at: start,
            total: value.map(|v| v.len() as u64),
            data: rest[..rest.len().min(SLICE_MAX_BYTES)].to_vec(),
        })
    }
}

/// The record that a reader puts together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assembly {
    offset: Offset,
    data: Vec<u8>,
}

impl Assembly {
    /// Returns what a reader that is complete up to `from` asks for next.
    #[must_use]
    pub const fn next_request(&self, from: Offset) -> SliceRequest {
        SliceRequest {
            from,
            offset: self.offset,
            at: self.data.len() as u64,
        }
    }

    /// Takes in a slice and returns the record if that completes it.
    ///
    /// Slices of the same offset hold parts of the same bytes, whoever sent
    /// them. One that doesn't fit is dropped; the next ask says what is missing.
    pub fn add(&mut self, slice: Slice) -> Option<Record> {
        if slice.total.is_some_and(|total| total > RECORD_MAX_BYTES) {
            return None;
        }
        if slice.offset != self.offset && slice.at == 0 {
            self.offset = slice.offset;
            self.data.clear();
        }
        if slice.offset != self.offset || slice.at != self.data.len() as u64 {
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
            offset: slice.offset,
        })
    }
}

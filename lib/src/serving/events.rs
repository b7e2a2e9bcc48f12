//! Splits an event stream into complete events and checks their order.
//!
//! Only complete events are forwarded: an endpoint may stop in the middle of one, and another
//! endpoint may resume the stream.

/// The maximum size of an event.
///
/// Events hold a few tokens. Buffering longer ones, which belong to no such stream, would take
/// unbounded memory.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// The largest buffer that is kept between two events, in bytes.
const IDLE_BUFFER_BYTES: usize = 16 << 10;

/// The most bytes of events that were already forwarded, between two new ones.
///
/// A run that restarts repeats its events. Repeating them without end is a fault.
const MAX_REPEATED_BYTES: usize = 1 << 20;

/// Why a stream can't be continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum EventError {
    /// An event exceeds the maximum size.
    #[display("an event has over {MAX_EVENT_BYTES} bytes: use another endpoint")]
    TooLong,
    /// Only events come that were already forwarded.
    #[display("{MAX_REPEATED_BYTES} bytes of earlier events came again: use another endpoint")]
    Repeating,
    /// An event's id doesn't follow the last one.
    #[display("event {found} does not follow event {last}: use another endpoint")]
    OutOfOrder {
        /// The id of the last forwarded event.
        last: u64,
        /// The id of the new event.
        found: u64,
    },
}

/// Assembles the bytes of one client's stream into complete events in order.
#[derive(Debug, Clone, Default)]
pub struct EventAssembler {
    partial: Vec<u8>,
    /// How far `partial` was searched for the end of an event.
    scan: Scan,
    /// The bytes of repeated events since the last new one.
    repeated: usize,
    last_id: Option<u64>,
    count: u64,
}

/// The progress of a search for a blank line.
#[derive(Debug, Clone, Copy, Default)]
struct Scan {
    at: usize,
    line_start: usize,
}

impl EventAssembler {
    /// Creates an assembler that resumes after the last event that the client has, if any.
    #[must_use]
    pub const fn resume_after(last: Option<u64>) -> Self {
        Self {
            partial: Vec::new(),
            scan: Scan::START,
            repeated: 0,
            last_id: last,
            count: 0,
        }
    }

    /// Returns the id of the last complete event.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events.
    #[must_use]
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether an incomplete event is buffered.
    #[must_use]
    pub const fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the memory of an incomplete event, in bytes.
    #[must_use]
    pub const fn buffered_bytes(&self) -> usize {
        self.partial.capacity()
    }

    /// Discards an incomplete event whose endpoint won't send the rest.
    pub fn discard_partial(&mut self) {
        self.partial = Vec::new();
        self.scan = Scan::START;
        self.repeated = 0;
    }

    /// Adds bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns [`EventError`] if an event is too long, or earlier events come without
    /// end.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventError> {
        // Doubling would make a long event hold twice its size.
        if self.partial.capacity() > IDLE_BUFFER_BYTES {
            self.partial.reserve_exact(bytes.len());
        }
        self.partial.extend_from_slice(bytes);
        let mut out = Vec::new();
        let mut start = 0;
        while let Some(len) = event_len(&self.partial[start..], &mut self.scan) {
            let event = &self.partial[start..start + len];
            if let Some(id) = event_id(event) {
                // An id at or before the last one was already forwarded: the run restarted, or
                // the event is a duplicate.
                if self.last_id.is_some_and(|last| id <= last) {
                    start += len;
                    self.repeated += len;
                    continue;
                }
                self.repeated = 0;
                self.last_id = Some(id);
                self.count += 1;
            }
            out.extend_from_slice(event);
            start += len;
        }
        self.partial.drain(..start);
        if self.partial.capacity() > IDLE_BUFFER_BYTES && self.partial.is_empty() {
            self.partial = Vec::new();
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        if self.repeated > MAX_REPEATED_BYTES {
            return Err(EventError::Repeating);
        }
        Ok(out)
    }
}

impl Scan {
    const START: Self = Self {
        at: 0,
        line_start: 0,
    };
}

/// Returns the length of the first complete event, including its blank line.
///
/// `scan` is where an earlier search of the same bytes ended.
fn event_len(bytes: &[u8], scan: &mut Scan) -> Option<usize> {
    for (at, &byte) in bytes.iter().enumerate().skip(scan.at) {
        if byte != b'\n' {
            continue;
        }
        let line = &bytes[scan.line_start..at];
        if line.is_empty() || line == b"\r" {
            *scan = Scan::START;
            return Some(at + 1);
        }
        scan.line_start = at + 1;
    }
    scan.at = bytes.len();
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    for line in event.split(|&b| b == b'\n') {
        if let Some(value) = line.strip_prefix(b"id:") {
            let text = std::str::from_utf8(value).ok()?;
            return text.trim().parse().ok();
        }
    }
    None
}

//! Cuts an event stream into whole events and keeps their order.
//!
//! Only whole events are passed on: an endpoint may stop in the middle of one,
//! and what follows may come from another endpoint.

/// The longest event that is taken, in bytes.
///
/// Events hold a few tokens; a longer one is no stream of this kind, and
/// keeping it would take memory without bound.
const EVENT_MAX: usize = 256 << 10;

/// Why a stream can't go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum EventError {
    /// An event is longer than allowed.
    #[display("an event has over {EVENT_MAX} bytes: use another endpoint")]
    TooLong,
    /// An event's id does not follow the last one.
    #[display("event {found} does not follow event {last}: use another endpoint")]
    OutOfOrder {
        /// The last id passed on.
        last: u64,
        /// The id found.
        found: u64,
    },
}

/// Takes bytes of one client's stream and gives whole events in order.
#[derive(Debug, Clone, Default)]
pub struct EventAssembler {
    rest: Vec<u8>,
    last: Option<u64>,
    count: u64,
}

impl EventAssembler {
    /// Starts after the event that the client has already, if any.
    #[must_use]
    pub const fn resume_after(last: Option<u64>) -> Self {
        Self {
            rest: Vec::new(),
            last,
            count: 0,
        }
    }

    /// Returns the id of the last event given out.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of events given out.
    #[must_use]
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// Tells whether a part of an event waits for its rest.
    #[must_use]
    pub const fn has_partial(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Drops a part of an event, as its endpoint won't send the rest.
    pub fn discard_partial(&mut self) {
        self.rest.clear();
    }

    /// Takes bytes and returns the whole events in them.
    ///
    /// # Errors
    ///
    /// Returns [`EventError`] if an event is too long or out of order.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventError> {
        self.rest.extend_from_slice(bytes);
        let mut out = Vec::new();
        let mut start = 0;
        while let Some(len) = event_len(&self.rest[start..]) {
            let event = &self.rest[start..start + len];
            if let Some(id) = event_id(event) {
                // An id at or before the last one was sent already: a run that
                // began again, or a doubled event.
                if self.last.is_some_and(|last| id <= last) {
                    start += len;
                    continue;
                }
                self.last = Some(id);
                self.count += 1;
            }
            out.extend_from_slice(event);
            start += len;
        }
        self.rest.drain(..start);
        if self.rest.len() > EVENT_MAX {
            return Err(EventError::TooLong);
        }
        Ok(out)
    }
}

/// Returns the length of the first whole event, its blank line included.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, &byte) in bytes.iter().enumerate() {
        if byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
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

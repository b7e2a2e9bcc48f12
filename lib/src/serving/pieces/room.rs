//! The memory that results take at one endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Time;
use crate::units::Bytes;

/// The results held at one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Room {
    held: BTreeMap<String, (Bytes, Time)>,
    /// Results of calls at work, which take room from the call's turn on.
    booked: u64,
}

impl Room {
    /// Returns the bytes taken as of now.
    pub fn taken(&mut self, now: Time) -> Bytes {
        self.held.retain(|_, (_, until)| *until > now);
        let held: u64 = self.held.values().map(|(bytes, _)| bytes.0).sum();
        Bytes(held + self.booked)
    }

    /// Books room for results to come.
    pub const fn book(&mut self, bytes: Bytes) {
        self.booked += bytes.0;
    }

    /// Gives back booked room.
    pub const fn unbook(&mut self, bytes: Bytes) {
        self.booked = self.booked.saturating_sub(bytes.0);
    }

    /// Notes a result, which is kept for a while.
    pub fn hold(&mut self, now: Time, handle: String, bytes: Bytes, keep: Duration) {
        self.held.insert(handle, (bytes, now + keep));
    }

    /// Forgets a result; tells whether it was held.
    pub fn free(&mut self, handle: &str) -> bool {
        self.held.remove(handle).is_some()
    }
}

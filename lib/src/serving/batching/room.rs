//! The memory that results take at one endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Time;
use crate::units::Bytes;

/// The results held at one endpoint.
#[derive(Debug, Clone)]
pub struct ResultMemory {
    held: BTreeMap<String, (Bytes, Time)>,
    /// The sum over `held`.
    kept: u64,
    /// No result lapses before this.
    lapse: Time,
    /// Results of calls at work, which take room from the call's turn on.
    booked: u64,
}

impl Default for ResultMemory {
    fn default() -> Self {
        Self {
            held: BTreeMap::new(),
            kept: 0,
            lapse: Time::NEVER,
            booked: 0,
        }
    }
}

impl ResultMemory {
    /// Returns the bytes taken as of now.
    pub fn taken(&mut self, now: Time) -> Bytes {
        if self.lapse <= now {
            self.held.retain(|_, (_, until)| *until > now);
            self.kept = self.held.values().map(|(bytes, _)| bytes.0).sum();
            let next = self.held.values().map(|&(_, until)| until).min();
            self.lapse = next.unwrap_or(Time::NEVER);
        }
        Bytes(self.kept + self.booked)
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
        let until = now + keep;
        if let Some((before, _)) = self.held.insert(handle, (bytes, until)) {
            self.kept -= before.0;
        }
        self.kept += bytes.0;
        self.lapse = self.lapse.min(until);
    }

    /// Forgets a result; tells whether it was held.
    pub fn free(&mut self, handle: &str) -> bool {
        let freed = self.held.remove(handle);
        self.kept -= freed.map_or(0, |(bytes, _)| bytes.0);
        freed.is_some()
    }
}

//! Accounting of an endpoint's result memory.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Time;
use crate::units::Bytes;

/// The results stored at one endpoint.
#[derive(Debug, Clone)]
pub struct ResultMemory {
    results: BTreeMap<String, (Bytes, Time)>,
    /// The total size of `results`.
    result_bytes: u64,
    /// No result expires before this time.
    next_expiry: Time,
    /// Memory for the results of calls in flight.
    reserved_bytes: u64,
}

impl Default for ResultMemory {
    fn default() -> Self {
        Self {
            results: BTreeMap::new(),
            result_bytes: 0,
            next_expiry: Time::NEVER,
            reserved_bytes: 0,
        }
    }
}

impl ResultMemory {
    /// Returns the used and reserved memory, after dropping expired results.
    pub fn used(&mut self, now: Time) -> Bytes {
        if self.next_expiry <= now {
            self.results.retain(|_, (_, expires_at)| *expires_at > now);
            self.result_bytes = self.results.values().map(|(bytes, _)| bytes.0).sum();
            let next = self
                .results
                .values()
                .map(|&(_, expires_at)| expires_at)
                .min();
            self.next_expiry = next.unwrap_or(Time::NEVER);
        }
        Bytes(self.result_bytes + self.reserved_bytes)
    }

    /// Reserves memory for the results of a call.
    pub const fn reserve(&mut self, bytes: Bytes) {
        self.reserved_bytes += bytes.0;
    }

    /// Cancels a reservation.
    pub const fn unreserve(&mut self, bytes: Bytes) {
        self.reserved_bytes = self.reserved_bytes.saturating_sub(bytes.0);
    }

    /// Adds a result, which expires after `ttl`.
    pub fn insert(&mut self, now: Time, handle: String, bytes: Bytes, ttl: Duration) {
        let expires_at = now + ttl;
        if let Some((replaced, _)) = self.results.insert(handle, (bytes, expires_at)) {
            self.result_bytes -= replaced.0;
        }
        self.result_bytes += bytes.0;
        self.next_expiry = self.next_expiry.min(expires_at);
    }

    /// Removes a result and returns whether it was present.
    pub fn remove(&mut self, handle: &str) -> bool {
        let removed = self.results.remove(handle);
        self.result_bytes -= removed.map_or(0, |(bytes, _)| bytes.0);
        removed.is_some()
    }
}

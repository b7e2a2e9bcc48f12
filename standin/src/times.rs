//! How long calls spent at an endpoint, counted in buckets.

use std::collections::BTreeMap;
use std::time::Duration;

/// The leading bits kept of a time: buckets are at most 1/16 wide.
const BITS: u32 = 5;

/// Counts of times, by the lower end of their bucket in microseconds.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Times(BTreeMap<u64, u64>);

impl Times {
    /// Counts one time.
    pub fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let width = u64::BITS - micros.leading_zeros();
        let drop = width.saturating_sub(BITS);
        *self.0.entry(micros >> drop << drop).or_default() += 1;
    }

    /// Adds the counts of others.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in &other.0 {
            *self.0.entry(*bucket).or_default() += count;
        }
    }

    /// Returns the counts by bucket.
    #[must_use]
    pub const fn counts(&self) -> &BTreeMap<u64, u64> {
        &self.0
    }
}

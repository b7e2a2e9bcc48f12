//! Sums over the last few seconds.

use std::time::Duration;

use crate::time::Time;

/// The number of slots of a window.
const SLOTS: usize = 10;

/// The length of a slot.
const SLOT: Duration = Duration::from_millis(500);

/// The time that a window covers.
pub(super) const WINDOW: Duration = Duration::from_secs(5);

/// The sum of the amounts of the last [`WINDOW`].
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Window {
    slots: [f64; SLOTS],
    newest: u64,
    total: f64,
}

impl Window {
    pub(super) fn add(&mut self, now: Time, amount: f64) {
        self.advance(now);
        self.slots[(self.newest % SLOTS as u64) as usize] += amount;
        self.total += amount;
    }

    pub(super) fn total(&mut self, now: Time) -> f64 {
        self.advance(now);
        self.total
    }

    fn advance(&mut self, now: Time) {
        let slot = now.as_micros() / SLOT.as_micros() as u64;
        let passed = slot.saturating_sub(self.newest).min(SLOTS as u64);
        if passed == 0 {
            return;
        }
        for step in 1..=passed {
            self.slots[((self.newest + step) % SLOTS as u64) as usize] = 0.0;
        }
        if passed == SLOTS as u64 {
            self.slots = [0.0; SLOTS];
        }
        self.newest = slot;
        // Summed anew, so that rounding errors do not add up.
        self.total = self.slots.iter().sum();
    }
}

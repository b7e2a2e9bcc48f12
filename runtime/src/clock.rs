//! Monotonic and wall clocks.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use snipeyoke_lib::time::Time;
use snipeyoke_lib::time::WallTime;

/// Reads the monotonic clock and the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    zero: Instant,
}

impl Clock {
    /// Starts a clock whose zero point is now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            zero: Instant::now(),
        }
    }

    /// Returns the monotonic time since the start of the clock.
    #[must_use]
    pub fn now(&self) -> Time {
        let micros = self.zero.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Converts a time to an [`Instant`] for timers, or `None` on overflow.
    #[must_use]
    pub fn instant(&self, time: Time) -> Option<Instant> {
        self.zero.checked_add(time.since(Time::ZERO))
    }

    /// Returns the wall-clock time.
    #[must_use]
    pub fn wall() -> WallTime {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}

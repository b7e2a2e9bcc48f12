//! How long a starting process waits for what it lacks.
//!
//! A process that ends at the first obstacle leaves its host without a node until its
//! supervisor starts it again, and most obstacles of a start pass by themselves.

use std::time::Duration;

use crate::time::Time;

/// The time for which the system reserves the port of a closed connection.
const CLOSED_PORT_TIME: Duration = Duration::from_mins(1);

/// The time for which a predecessor may take longer than its grace period.
const PREDECESSOR_SLACK: Duration = Duration::from_secs(5);

/// The time until an address that belongs to the host is configured on it.
const ADDRESS_WAIT: Duration = Duration::from_secs(5);

/// The time in which a settings file is written.
const SETTINGS_WAIT: Duration = Duration::from_secs(3);

/// The first pause between two attempts.
const PAUSE_MIN: Duration = Duration::from_millis(20);

/// The longest pause between two attempts.
const PAUSE_MAX: Duration = Duration::from_millis(500);

/// What a starting process lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// Another socket has an address to listen on: that of a predecessor, or a
    /// connection to which the system gave the port.
    AddressInUse,
    /// An address to listen on is not configured on the host.
    AddressMissing,
    /// The settings can't be read, as while they are being written.
    SettingsUnfinished,
}

/// Decides how often a starting process attempts one step.
#[derive(Debug, Clone)]
pub struct StartRetries {
    predecessor_grace: Duration,
    pause: Duration,
    /// The last obstacle, and since when it has been there.
    obstacle: Option<(Obstacle, Time)>,
}

impl StartRetries {
    /// Creates the retries of a process whose predecessor has `predecessor_grace` between
    /// SIGTERM and SIGKILL.
    #[must_use]
    pub const fn new(predecessor_grace: Duration) -> Self {
        Self {
            predecessor_grace,
            pause: PAUSE_MIN,
            obstacle: None,
        }
    }

    /// Records a failed attempt and returns the pause before the next one; `None` if the
    /// start is to be given up.
    pub fn on_failure(&mut self, now: Time, obstacle: Obstacle) -> Option<Duration> {
        let since = match self.obstacle {
            Some((known, since)) if known == obstacle => since,
            _ => now,
        };
        self.obstacle = Some((obstacle, since));
        let left = self.patience(obstacle).saturating_sub(now.since(since));
        if left.is_zero() {
            return None;
        }
        let pause = self.pause.min(left);
        self.pause = (self.pause * 2).min(PAUSE_MAX);
        Some(pause)
    }

    /// Returns how long an obstacle may last.
    fn patience(&self, obstacle: Obstacle) -> Duration {
        match obstacle {
            Obstacle::AddressInUse => {
                let predecessor = self.predecessor_grace + PREDECESSOR_SLACK;
                predecessor.max(CLOSED_PORT_TIME + PREDECESSOR_SLACK)
            }
            Obstacle::AddressMissing => ADDRESS_WAIT,
            Obstacle::SettingsUnfinished => SETTINGS_WAIT,
        }
    }
}

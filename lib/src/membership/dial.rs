//! Dial attempts and their backoff, by address.

use core::net::SocketAddr;
use std::collections::BTreeMap;
use std::time::Duration;

use rapidhash::v3::rapidhash_v3;

use crate::time::Time;

/// The pause after the first failure.
const BACKOFF_MIN: Duration = Duration::from_millis(250);

/// The maximum pause before jitter, which bounds the delay until a returning node is dialed.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// How long a dial may stay pending before it counts as failed.
const DIAL_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
struct Dial {
    pending: bool,
    failures: u32,
    next: Time,
}

/// The dial state of one node, by address.
#[derive(Debug, Clone, Default)]
pub(super) struct Dials {
    dials: BTreeMap<SocketAddr, Dial>,
}

impl Dials {
    /// Starts a dial unless one is pending or paused.
    pub(super) fn start(&mut self, now: Time, address: SocketAddr) -> bool {
        let fresh = Dial {
            pending: false,
            failures: 0,
            next: Time::ZERO,
        };
        let dial = self.dials.entry(address).or_insert(fresh);
        // A dial whose end is never reported must not block its address for
        // good; after the time-out it counts as failed.
        if now < dial.next {
            return false;
        }
        dial.pending = true;
        dial.next = now + DIAL_TIMEOUT;
        true
    }

    /// Records that a dial failed or a link ended; the next dial waits longer.
    pub(super) fn failed(&mut self, now: Time, address: SocketAddr) {
        let Some(dial) = self.dials.get_mut(&address) else {
            return;
        };
        let pause = BACKOFF_MAX.min(BACKOFF_MIN * (1 << dial.failures.min(6)));
        dial.pending = false;
        dial.failures += 1;
        dial.next = now + pause + jitter(address, dial.failures, pause);
    }

    /// Records that a link to the address is established.
    pub(super) fn linked(&mut self, address: SocketAddr) {
        self.dials.remove(&address);
    }

    /// Returns the earliest time of a paused or pending dial.
    pub(super) fn next(&self) -> Time {
        self.dials
            .values()
            .map(|d| d.next)
            .min()
            .unwrap_or(Time::NEVER)
    }

    /// Drops the addresses that are neither pending nor accepted by `keep`.
    pub(super) fn retain(&mut self, now: Time, keep: impl Fn(&SocketAddr) -> bool) {
        self.dials
            .retain(|a, d| d.pending && now < d.next || keep(a));
    }
}

/// Returns a deterministic jitter of up to a quarter of the pause.
fn jitter(address: SocketAddr, failures: u32, pause: Duration) -> Duration {
    let hash = rapidhash_v3(format!("{address} {failures}").as_bytes());
    pause.mul_f64((hash % 256) as f64 / 1024.0)
}

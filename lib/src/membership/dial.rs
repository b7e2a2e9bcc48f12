//! When to dial an address again.

use core::net::SocketAddr;
use std::collections::BTreeMap;
use std::time::Duration;

use rapidhash::v3::rapidhash_v3;

use crate::time::Time;

/// The pause after a first failure.
const BACKOFF_MIN: Duration = Duration::from_millis(250);

/// The longest pause; a node that comes back is met within this time.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// How long a dial may stay without an answer before it counts as failed.
const DIAL_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
struct Dial {
    pending: bool,
    failures: u32,
    next: Time,
}

/// The dials of one node, by address.
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
        // A dial whose end was never reported would otherwise block its address
        // for good; after the timeout it counts as failed.
        if now < dial.next {
            return false;
        }
        dial.pending = true;
        dial.next = now + DIAL_TIMEOUT;
        true
    }

    /// Notes that a dial failed or a link ended; the next one waits longer.
    pub(super) fn failed(&mut self, now: Time, address: SocketAddr) {
        let Some(dial) = self.dials.get_mut(&address) else {
            return;
        };
        let pause = BACKOFF_MAX.min(BACKOFF_MIN * (1 << dial.failures.min(6)));
        dial.pending = false;
        dial.failures += 1;
        dial.next = now + pause + jitter(address, dial.failures, pause);
    }

    /// Notes that a link to the address stands.
    pub(super) fn linked(&mut self, address: SocketAddr) {
        self.dials.remove(&address);
    }

    /// Returns when the next paused or pending dial is due.
    pub(super) fn next(&self) -> Time {
        self.dials
            .values()
            .map(|d| d.next)
            .min()
            .unwrap_or(Time::NEVER)
    }

    /// Keeps only the addresses that are still of interest.
    pub(super) fn retain(&mut self, now: Time, keep: impl Fn(&SocketAddr) -> bool) {
        self.dials
            .retain(|a, d| d.pending && now < d.next || keep(a));
    }
}

/// Spreads redials of one cause, without a random source, over a quarter.
fn jitter(address: SocketAddr, failures: u32, pause: Duration) -> Duration {
    let hash = rapidhash_v3(format!("{address} {failures}").as_bytes());
    pause.mul_f64((hash % 256) as f64 / 1024.0)
}

//! An agent of the simulated pool.

use std::collections::BTreeSet;
use std::time::Duration;

use snipeyoke_lib::ids::Incarnation;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::lease::HeldLease;
use snipeyoke_lib::lease::LeaseHolder;
use snipeyoke_lib::lease::LeaseManager;
use snipeyoke_lib::lease::LeaseTerm;
use snipeyoke_lib::once::KeySlot;
use snipeyoke_lib::once::OnceGate;
use snipeyoke_lib::once::OnceKey;
use snipeyoke_lib::once::SlotShare;
use snipeyoke_lib::once::TableLimits;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::time::WallTime;
use snipeyoke_lib::units::Bytes;

use crate::world::Safeguards;

/// The term of the simulated leases.
pub const LEASE_TERM: Duration = Duration::from_secs(2);

/// The capacity of a simulated agent's key table.
pub const KEY_CAPACITY: usize = 3;

/// The number of key slots in use.
const SLOT_COUNT: usize = 4;

/// One agent, over all its incarnations.
#[derive(Debug)]
pub struct Agent {
    /// The current or last incarnation.
    pub incarnation: u64,
    /// Whether the agent is running.
    pub alive: bool,
    /// When a pause ends, in microseconds of real time.
    pub paused_until: u64,
    /// When a partition from the log ends, in microseconds of real time.
    pub partitioned_until: u64,
    /// Whether the agent is releasing its slots.
    pub leaving: bool,
    /// Whether a read of the log is in flight.
    pub reading: bool,
    /// The manager of its leases.
    pub holder: LeaseManager,
    /// The gate that admits its calls.
    pub gate: OnceGate,
    share: SlotShare,
    index: u64,
}

impl Agent {
    /// Creates an incarnation that reads the log from an offset.
    ///
    /// # Panics
    ///
    /// Never: the names and the term are well-formed.
    #[must_use]
    pub fn new(index: u64, incarnation: u64, from: Offset, guards: Safeguards) -> Self {
        let holder = LeaseHolder {
            node: format!("agent{index}").parse().expect("a name"),
            incarnation: Incarnation(incarnation),
        };
        let term = LeaseTerm::try_from(LEASE_TERM).expect("a term");
        let limits = TableLimits {
            keys: KEY_CAPACITY,
            bytes: Bytes(1_000),
        };
        Self {
            incarnation,
            alive: true,
            paused_until: 0,
            partitioned_until: 0,
            leaving: false,
            reading: false,
            share: SlotShare::from_slots(slots(), &pool(), &holder),
            holder: LeaseManager::with_guards(holder, term, from, index, guards.lease),
            gate: OnceGate::with_guards(limits, guards.once),
            index,
        }
    }

    /// Returns the agent's monotonic clock; rates differ by at most 6 in 1000.
    #[must_use]
    pub const fn clock(&self, real: u64) -> Time {
        Time::from_micros(real + real * (self.index % 3) * 3 / 1_000 + self.index * 1_000_000)
    }

    /// Returns the agent's wall-clock time, which is off by up to 0.9 s.
    #[must_use]
    pub const fn wall(&self, real: u64) -> WallTime {
        wall(real, (self.index % 3).cast_signed() * 900 - 900)
    }

    /// Returns the lease of the key's slot if the agent holds it.
    #[must_use]
    pub fn held(&self, real: u64, key: &OnceKey) -> Option<HeldLease> {
        self.holder
            .held(self.clock(real), &key.slot().lease(&pool()))
    }

    /// Updates the leases that the agent claims.
    pub fn plan(&mut self, real: u64) {
        let wanted = if self.leaving {
            BTreeSet::new()
        } else {
            self.share.wanted_leases(&self.holder, self.clock(real))
        };
        self.holder.set_wanted(wanted);
    }
}

/// Returns the pool of the simulated agents.
///
/// # Panics
///
/// Never: the name is well-formed.
#[must_use]
pub fn pool() -> PoolName {
    "desk".parse().expect("a name")
}

/// Returns the wall-clock time at a point in real time, with a skew.
#[must_use]
pub const fn wall(real: u64, skew_ms: i64) -> WallTime {
    const EPOCH_MS: u64 = 1_764_700_000_000;
    WallTime::from_millis((EPOCH_MS + real / 1_000).saturating_add_signed(skew_ms))
}

/// Returns the slots that simulated keys map to, few of them for speed.
pub fn slots() -> impl Iterator<Item = KeySlot> {
    KeySlot::all().take(SLOT_COUNT)
}

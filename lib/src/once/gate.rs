//! The decision whether a non-idempotent call may run.

use derive_more::Display;

use crate::lease::HeldLease;
use crate::once::KeyError;
use crate::once::OnceEnd;
use crate::once::OnceKey;
use crate::once::table::Answer;
use crate::once::table::Entry;
use crate::once::table::KeyId;
use crate::once::table::KeyState;
use crate::once::table::KeyTable;
use crate::once::table::TableLimits;
use crate::time::WallTime;
use crate::units::Bytes;

/// Why a call did not run.
///
/// It speaks of this try alone. Whether an earlier try of the same key ran is
/// for the owner of its slot to tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum NotRun {
    /// This agent holds no valid lease for the key's slot.
    #[display("no-lease")]
    NoLease,
    /// This agent is draining.
    #[display("draining")]
    Draining,
    /// Every key that the table may hold still runs.
    #[display("overload")]
    Full,
    /// The key was issued later than the clocks' skew explains.
    #[display("future-key")]
    FutureKey,
}

/// What is to be done with a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It may run; ask [`OnceGate::start`] right before the effect.
    Run,
    /// It ran already, with this answer.
    Replay(Answer),
    /// The first try still runs: ask again when it ends.
    Wait,
    /// The key was used with another body.
    Conflict,
    /// It may have run.
    Unknown,
    /// This try did not run and will not.
    NotRun(NotRun),
}

/// Safeguards of the gate, all on but in tests that show their worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each is a switch of its own")]
pub struct OnceGuards {
    /// A call needs a valid lease.
    pub lease: bool,
    /// A key issued before the ownership is unknown.
    pub issue: bool,
    /// A key issued in the future is refused.
    pub future: bool,
    /// A key that may have been dropped from the table is unknown.
    pub floor: bool,
}

impl OnceGuards {
    /// All safeguards on.
    pub const ON: Self = Self {
        lease: true,
        issue: true,
        future: true,
        floor: true,
    };
}

/// The gate of one agent incarnation to its endpoint.
#[derive(Debug, Clone)]
pub struct OnceGate {
    guards: OnceGuards,
    table: KeyTable,
    draining: bool,
}

impl OnceGate {
    /// Starts with no key.
    #[must_use]
    pub const fn new(limits: TableLimits) -> Self {
        Self::with_guards(limits, OnceGuards::ON)
    }

    /// Starts with some safeguards off, for tests that show their worth.
    #[must_use]
    pub const fn with_guards(limits: TableLimits, guards: OnceGuards) -> Self {
        Self {
            guards,
            table: KeyTable::new(limits, guards.floor),
            draining: false,
        }
    }

    /// Returns the keys in memory.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.table.len()
    }

    /// Returns the bytes of answers in memory.
    #[must_use]
    pub const fn bytes(&self) -> Bytes {
        self.table.bytes()
    }

    /// Starts or ends the drain: new keys are refused, known ones answered.
    pub const fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Decides on a call, given the lease of its slot as held at this moment.
    ///
    /// [`Verdict::Run`] enters the key into the table: end it with
    /// [`Self::end`], whatever happens, and tell the holder of the lease by
    /// [`crate::lease::LeaseManager::record_key`] under the same lock.
    pub fn admit(&mut self, wall: WallTime, key: &OnceKey, held: Option<HeldLease>) -> Verdict {
        let id = KeyId::from(key);
        if let Some(entry) = self.table.get(&id) {
            return verdict_for(entry, key);
        }
        // The caller's clock may run ahead. Taken in now, the key would look
        // issued after the next owner began, which would run it again.
        if self.guards.future && key.check_issue_time(wall) == Err(KeyError::Future) {
            return Verdict::NotRun(NotRun::FutureKey);
        }
        if let Err(verdict) = self.check_ownership(key, held) {
            return verdict;
        }
        if self.draining {
            return Verdict::NotRun(NotRun::Draining);
        }
        if !self.table.make_room() {
            return Verdict::NotRun(NotRun::Full);
        }
        // Making room raises the floor, perhaps above this key.
        if self.table.may_have_dropped(key.issued()) {
            return Verdict::Unknown;
        }
        self.table.begin(id, key.digest);
        Verdict::Run
    }

    /// Checks that this incarnation would know the key if it had run anywhere.
    fn check_ownership(&self, key: &OnceKey, held: Option<HeldLease>) -> Result<(), Verdict> {
        let Some(held) = held else {
            if self.guards.lease {
                return Err(Verdict::NotRun(NotRun::NoLease));
            }
            return Ok(());
        };
        // An earlier owner may have run the key and died with its answer. What
        // it took in was issued no later than this bound.
        if self.guards.issue && key.issued() <= held.issue_floor {
            return Err(Verdict::Unknown);
        }
        if self.table.may_have_dropped(key.issued()) {
            return Err(Verdict::Unknown);
        }
        Ok(())
    }

    /// Checks the lease right before the effect.
    ///
    /// # Errors
    ///
    /// Returns [`NotRun::NoLease`], and forgets the key, if the lease ran out
    /// while the call waited.
    pub fn start(&mut self, key: &OnceKey, held: Option<HeldLease>) -> Result<(), NotRun> {
        if held.is_none() && self.guards.lease {
            self.table.end(key, OnceEnd::NotRun);
            return Err(NotRun::NoLease);
        }
        Ok(())
    }

    /// Notes how a call ended.
    pub fn end(&mut self, key: &OnceKey, end: OnceEnd) {
        self.table.end(key, end);
    }

    /// Tells what became of a key, without running it.
    ///
    /// Other agents of the pool are asked too when the owner answers
    /// [`Verdict::Unknown`]: a former owner that still lives has the answer.
    #[must_use]
    pub fn lookup(&self, key: &OnceKey) -> Verdict {
        let entry = self.table.get(&KeyId::from(key));
        entry.map_or(Verdict::Unknown, |entry| verdict_for(entry, key))
    }
}

fn verdict_for(entry: &Entry, key: &OnceKey) -> Verdict {
    if entry.digest != key.digest {
        return Verdict::Conflict;
    }
    match &entry.state {
        KeyState::Running => Verdict::Wait,
        KeyState::Answered(answer) => Verdict::Replay(answer.clone()),
        KeyState::Unknown => Verdict::Unknown,
    }
}

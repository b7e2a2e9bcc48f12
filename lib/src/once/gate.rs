//! Decides whether a non-idempotent call may run.

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
/// This applies to the current attempt only. The owner of the key's slot knows
/// whether an earlier attempt ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum NotRun {
    /// This agent holds no valid lease for the key's slot.
    #[display("no-lease")]
    NoLease,
    /// This agent is draining.
    #[display("draining")]
    Draining,
    /// The table is full of keys whose calls still run.
    #[display("overload")]
    Full,
    /// The key was issued further in the future than clock skew allows.
    #[display("future-key")]
    FutureKey,
}

/// The decision on a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It may run; call [`OnceGate::start`] right before the effect.
    Run,
    /// It already ran, with this answer.
    Replay(Answer),
    /// An earlier attempt still runs: retry when it ends.
    Wait,
    /// The key was used with another body.
    Conflict,
    /// It may have run.
    Unknown,
    /// This attempt did not run and will not.
    NotRun(NotRun),
}

/// Safeguards of the gate; only tests that prove their need turn them off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each switch is independent")]
pub struct OnceGuards {
    /// Requires a valid lease for a call.
    pub lease: bool,
    /// Treats a key issued before the ownership began as unknown.
    pub issue: bool,
    /// Refuses a key issued in the future.
    pub future: bool,
    /// Treats a key that may have been dropped from the table as unknown.
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

/// The idempotency gate of one agent incarnation in front of its endpoint.
#[derive(Debug, Clone)]
pub struct OnceGate {
    guards: OnceGuards,
    table: KeyTable,
    draining: bool,
}

impl OnceGate {
    /// Creates a gate without keys.
    #[must_use]
    pub const fn new(limits: TableLimits) -> Self {
        Self::with_guards(limits, OnceGuards::ON)
    }

    /// Creates a gate with the given safeguards, for tests that prove their need.
    #[must_use]
    pub const fn with_guards(limits: TableLimits, guards: OnceGuards) -> Self {
        Self {
            guards,
            table: KeyTable::new(limits, guards.floor),
            draining: false,
        }
    }

    /// Returns the number of keys in memory.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.table.len()
    }

    /// Returns the bytes of answers in memory.
    #[must_use]
    pub const fn bytes(&self) -> Bytes {
        self.table.bytes()
    }

    /// Starts or ends the drain, which refuses new keys and answers known ones.
    pub const fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Decides on a call, given the lease of its slot if it is held now.
    ///
    /// [`Verdict::Run`] adds the key to the table. The caller must always finish
    /// it with [`Self::end`], and must record it under the same lock with
    /// [`crate::lease::LeaseManager::record_key`].
    pub fn admit(&mut self, wall: WallTime, key: &OnceKey, held: Option<HeldLease>) -> Verdict {
        let id = KeyId::from(key);
        if let Some(entry) = self.table.get(&id) {
            return verdict_for(entry, key);
        }
        // The caller's clock may run ahead. If such a key ran now, the next owner
        // would see an issue time after its own start and run the key again.
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
        // Making room may raise the floor above the issue time of this key.
        if self.table.may_have_dropped(key.issued()) {
            return Verdict::Unknown;
        }
        self.table.begin(id, key.digest);
        Verdict::Run
    }

    /// Checks that this incarnation would know the key if it had run before.
    fn check_ownership(&self, key: &OnceKey, held: Option<HeldLease>) -> Result<(), Verdict> {
        let Some(held) = held else {
            if self.guards.lease {
                return Err(Verdict::NotRun(NotRun::NoLease));
            }
            return Ok(());
        };
        // An earlier owner may have run the key and lost the answer in a crash.
        // All keys that it accepted were issued no later than this bound.
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
    /// Returns [`NotRun::NoLease`], and drops the key, if the lease expired
    /// while the call waited.
    pub fn start(&mut self, key: &OnceKey, held: Option<HeldLease>) -> Result<(), NotRun> {
        if held.is_none() && self.guards.lease {
            self.table.end(key, OnceEnd::NotRun);
            return Err(NotRun::NoLease);
        }
        Ok(())
    }

    /// Records how a call ended.
    pub fn end(&mut self, key: &OnceKey, end: OnceEnd) {
        self.table.end(key, end);
    }

    /// Returns the state of a key without running it.
    ///
    /// On [`Verdict::Unknown`] from the owner, other agents of the pool are
    /// queried too: a former owner that is still alive has the answer.
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

//! The idempotency keys of one agent incarnation, in bounded memory.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use uuid::Uuid;

use crate::ids::ClientAccount;
use crate::once::Digest;
use crate::once::OnceKey;
use crate::time::WallTime;
use crate::units::Bytes;

/// Identifies a key by its client account and UUID.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId {
    /// The client account.
    pub account: ClientAccount,
    /// The caller's key.
    pub key: Uuid,
}

impl From<&OnceKey> for KeyId {
    fn from(key: &OnceKey) -> Self {
        Self {
            account: key.account.clone(),
            key: key.key,
        }
    }
}

/// The endpoint's answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status code of the endpoint.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// How a call ended at the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceEnd {
    /// The endpoint answered.
    Answered(Answer),
    /// The endpoint provably did not run it.
    NotRun,
    /// It was sent, but no answer arrived.
    Unknown,
}

/// The bounds of a table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TableLimits {
    /// The maximum number of keys.
    pub keys: usize,
    /// The maximum size of all answers.
    pub bytes: Bytes,
}

impl Default for TableLimits {
    /// Holds 50,000 keys and 64 MiB of answers, enough for hours of requests.
    fn default() -> Self {
        Self {
            keys: 50_000,
            bytes: Bytes(64 * 1024 * 1024),
        }
    }
}

/// The state of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum KeyState {
    /// Its call is about to run or runs.
    Running,
    /// The endpoint answered.
    Answered(Answer),
    /// It may have run.
    Unknown,
}

#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) digest: Digest,
    pub(crate) state: KeyState,
}

impl Entry {
    fn bytes(&self) -> u64 {
        match &self.state {
            KeyState::Answered(answer) => answer.body.len() as u64,
            KeyState::Running | KeyState::Unknown => 0,
        }
    }
}

/// The table of keys of one incarnation.
///
/// Invariant: each key that this incarnation ran is in the table or was issued
/// no later than the floor.
#[derive(Debug, Clone)]
pub(crate) struct KeyTable {
    limits: TableLimits,
    entries: BTreeMap<KeyId, Entry>,
    ended: BTreeSet<(WallTime, KeyId)>,
    bytes: u64,
    floor: Option<WallTime>,
    raises_floor: bool,
}

impl KeyTable {
    pub(crate) const fn new(limits: TableLimits, raises_floor: bool) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            ended: BTreeSet::new(),
            bytes: 0,
            floor: None,
            raises_floor,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) const fn bytes(&self) -> Bytes {
        Bytes(self.bytes)
    }

    pub(crate) fn get(&self, id: &KeyId) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Returns whether a key that is not in the table may have been dropped.
    pub(crate) fn may_have_dropped(&self, issued: WallTime) -> bool {
        self.floor.is_some_and(|floor| issued <= floor)
    }

    /// Makes room for a key; returns false if the calls of all keys still run.
    pub(crate) fn make_room(&mut self) -> bool {
        while self.entries.len() >= self.limits.keys {
            if !self.drop_oldest() {
                return false;
            }
        }
        true
    }

    pub(crate) fn begin(&mut self, id: KeyId, digest: Digest) {
        let entry = Entry {
            digest,
            state: KeyState::Running,
        };
        self.entries.insert(id, entry);
    }

    pub(crate) fn end(&mut self, key: &OnceKey, end: OnceEnd) {
        let id = KeyId::from(key);
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        match end {
            OnceEnd::NotRun => {
                self.entries.remove(&id);
                return;
            }
            OnceEnd::Answered(answer) => entry.state = KeyState::Answered(answer),
            OnceEnd::Unknown => entry.state = KeyState::Unknown,
        }
        self.bytes += entry.bytes();
        self.ended.insert((key.issued(), id));
        while self.bytes > self.limits.bytes.0 && self.drop_oldest() {}
    }

    /// Drops the ended key with the oldest issue time and raises the floor to it.
    ///
    /// Without the floor a dropped key would look new, and a caller's late retry
    /// would run it again. With the floor the retry is refused as unknown.
    fn drop_oldest(&mut self) -> bool {
        let Some((issued, id)) = self.ended.pop_first() else {
            return false;
        };
        if let Some(entry) = self.entries.remove(&id) {
            self.bytes -= entry.bytes();
        }
        if self.raises_floor {
            self.floor = self.floor.max(Some(issued));
        }
        true
    }
}

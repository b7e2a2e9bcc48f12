//! The keys that one agent incarnation has seen, in bounded memory.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use uuid::Uuid;

use crate::ids::ClientAccount;
use crate::once::Digest;
use crate::once::OnceKey;
use crate::time::WallTime;
use crate::units::Bytes;

/// Names a key within its client account.
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
    /// The status that the endpoint gave.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// How a call ended at the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceEnd {
    /// The endpoint answered.
    Answered(Answer),
    /// It is proven that the endpoint did not run it.
    NotRun,
    /// It was sent and no answer came.
    Unknown,
}

/// The bounds of a table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TableLimits {
    /// The most keys.
    pub keys: usize,
    /// The most bytes of answers.
    pub bytes: Bytes,
}

impl Default for TableLimits {
    /// Holds 50,000 keys and 64 MiB of answers: hours of a desk's work.
    fn default() -> Self {
        Self {
            keys: 50_000,
            bytes: Bytes(64 * 1024 * 1024),
        }
    }
}

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum KeyState {
    /// It is about to run or runs.
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

/// The keys of one incarnation.
///
/// Every key that this incarnation ran is in the table or was issued no later
/// than the floor.
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

    /// Tells whether a key that isn't in the table may have been dropped from it.
    pub(crate) fn may_have_dropped(&self, issued: WallTime) -> bool {
        self.floor.is_some_and(|floor| issued <= floor)
    }

    /// Makes room for a key; false if every key in the table still runs.
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

    /// Drops the ended key that was issued first, and raises the floor to it.
    ///
    /// Without the floor a dropped key would look new, and a caller's late
    /// retry of it would run again. With it the retry is refused as unknown.
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

//! A log service with faults on command.

use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::record::Record;

/// The records of one topic.
#[derive(Debug, Default)]
pub struct FakeLog {
    first: u64,
    records: Vec<Record>,
    /// Whether the service can't be reached by anyone.
    pub down: bool,
    /// Whether answers are lost after their effect.
    pub mute: bool,
}

impl FakeLog {
    /// Appends a record and returns its offset.
    pub fn append(&mut self, record: Record) -> Offset {
        self.records.push(record);
        Offset(self.end().0 - 1)
    }

    /// Returns the lowest offset that is left.
    #[must_use]
    pub const fn first(&self) -> Offset {
        Offset(self.first)
    }

    /// Returns the offset after the newest record.
    #[must_use]
    pub fn end(&self) -> Offset {
        Offset(self.first + self.records.len() as u64)
    }

    /// Returns the records from an offset on, or `None` if retention took it.
    #[must_use]
    pub fn read(&self, from: Offset) -> Option<Vec<(Offset, Record)>> {
        let skip = usize::try_from(from.0.checked_sub(self.first)?).ok()?;
        let numbered = (self.first..).map(Offset).zip(self.records.iter().cloned());
        Some(numbered.skip(skip).collect())
    }

    /// Drops the records below an offset.
    pub fn retain(&mut self, from: Offset) {
        let from = from.min(self.end());
        while self.first < from.0 {
            self.records.remove(0);
            self.first += 1;
        }
    }
}

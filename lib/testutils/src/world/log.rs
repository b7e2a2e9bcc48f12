//! A log service with injected faults.

use std::collections::VecDeque;
use std::sync::Arc;

use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::record::Record;

/// The records of one topic.
#[derive(Debug, Default)]
pub struct FakeLog {
    first: u64,
    records: VecDeque<(u64, Arc<Record>)>,
    /// Whether the service is unreachable for all agents.
    pub down: bool,
    /// Whether appends take effect but their responses are lost.
    pub lose_responses: bool,
}

impl FakeLog {
    /// Appends a record and returns its offset.
    pub fn append(&mut self, real: u64, record: Arc<Record>) -> Offset {
        self.records.push_back((real, record));
        Offset(self.end().0 - 1)
    }

    /// Returns the lowest retained offset.
    #[must_use]
    pub const fn first(&self) -> Offset {
        Offset(self.first)
    }

    /// Returns the offset after the newest record.
    #[must_use]
    pub fn end(&self) -> Offset {
        Offset(self.first + self.records.len() as u64)
    }

    /// Returns the records from an offset on, or `None` if retention removed the
    /// offset.
    #[must_use]
    pub fn read(&self, from: Offset) -> Option<Vec<(Offset, Arc<Record>)>> {
        let skip = usize::try_from(from.0.checked_sub(self.first)?).ok()?;
        let wanted = self.records.iter().skip(skip).map(|(_, r)| Arc::clone(r));
        Some((from.0..).map(Offset).zip(wanted).collect())
    }

    /// Removes the records that were appended before a point in real time.
    pub fn retain(&mut self, since: u64) {
        while self.records.front().is_some_and(|(at, _)| *at < since) {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

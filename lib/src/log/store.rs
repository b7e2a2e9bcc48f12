//! The calls of the log service.

use std::fmt::Debug;
use std::pin::Pin;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::ids::Offset;
use crate::units::Bytes;

/// Names a topic of the log service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub struct Topic(String);

/// The reason why a text is no topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("a topic has 1 to 64 of a-z, 0-9, '-' and '.': correct its name")]
pub struct TopicError;

impl Topic {
    /// The topic of the configuration's records.
    #[must_use]
    pub fn config() -> Self {
        Self("config".to_owned())
    }

    /// The topic of the leases' records.
    #[must_use]
    pub fn leases() -> Self {
        Self("leases".to_owned())
    }

    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Topic {
    type Err = TopicError;

    fn from_str(text: &str) -> Result<Self, TopicError> {
        let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-.".contains(&b);
        let well_formed = (1..=64).contains(&text.len()) && text.bytes().all(allowed);
        if !well_formed {
            return Err(TopicError);
        }
        Ok(Self(text.to_owned()))
    }
}

/// Asks for an append of all records or none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Append {
    /// The topic.
    pub topic: Topic,
    /// The encoded records, in order.
    pub records: Vec<Vec<u8>>,
}

/// How an append ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendEnd {
    /// The records stand from this offset on.
    Done {
        /// The offset of the first record.
        offset: Offset,
    },
    /// Nothing was appended.
    NotDone {
        /// When the service asks to come back, if it does.
        retry_after: Option<Duration>,
    },
    /// No answer came: the records may stand in the log.
    Unanswered,
}

/// Asks for records from an offset on.
#[derive(Debug, Clone, PartialEq)]
pub struct Read {
    /// The topic.
    pub topic: Topic,
    /// The first offset wanted.
    pub from: Offset,
    /// How long the service may wait for a record.
    pub wait: Duration,
    /// The most bytes wanted.
    pub limit: Bytes,
}

/// How a read ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadEnd {
    /// Records in offset order; the first one lies at the offset asked for.
    Records {
        /// The lowest offset that retention left.
        first: Offset,
        /// The offset after the newest record.
        end: Offset,
        /// The records.
        records: Vec<Vec<u8>>,
    },
    /// Retention took the offset asked for.
    Gone {
        /// The lowest offset that is left.
        first: Offset,
    },
    /// No answer, or a failure.
    Failed,
}

/// A call to the log service that is under way.
pub type LogFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The log service, as the platform gives it.
///
/// An implementation makes one try for each call and adds no retry of its own:
/// the state machines above it decide when to repeat.
pub trait LogStore: Debug + Send + Sync {
    /// Appends records to a topic.
    fn append(&self, append: Append) -> LogFuture<'_, AppendEnd>;

    /// Reads records of a topic.
    fn read(&self, read: Read) -> LogFuture<'_, ReadEnd>;
}

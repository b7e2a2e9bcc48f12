//! The calls to the log service.

use std::fmt::Debug;
use std::pin::Pin;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::ids::Offset;
use crate::units::Bytes;

/// The name of a topic of the log service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub struct Topic(String);

/// The error for an invalid topic name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("a topic has 1 to 64 of a-z, 0-9, '-' and '.': correct its name")]
pub struct TopicError;

impl Topic {
    /// Returns the topic of configuration records.
    #[must_use]
    pub fn config() -> Self {
        Self("config".to_owned())
    }

    /// Returns the topic of lease records.
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

/// A request to append all records or none.
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
    /// The records are in the log from this offset on.
    Done {
        /// The offset of the first record.
        offset: Offset,
    },
    /// Nothing was appended.
    NotDone {
        /// The pause that the service requests before a retry, if any.
        retry_after: Option<Duration>,
    },
    /// No response arrived: the records may be in the log.
    Unanswered,
}

/// A request for records from an offset on.
#[derive(Debug, Clone, PartialEq)]
pub struct Read {
    /// The topic.
    pub topic: Topic,
    /// The first requested offset.
    pub from: Offset,
    /// How long the service may hold the request until a record exists.
    pub wait: Duration,
    /// The maximum number of bytes to return.
    pub limit: Bytes,
}

/// How a read ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadEnd {
    /// Records in offset order; the first one is at the requested offset.
    Records {
        /// The lowest retained offset.
        first: Offset,
        /// The offset after the newest record.
        end: Offset,
        /// The records.
        records: Vec<Vec<u8>>,
    },
    /// Retention has removed the requested offset.
    Gone {
        /// The lowest retained offset.
        first: Offset,
    },
    /// No response, or a failure.
    Failed,
}

/// The future of a call to the log service.
pub type LogFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The log service of the platform.
///
/// An implementation makes one attempt per call and never retries: the state
/// machines above it decide when to retry.
pub trait LogStore: Debug + Send + Sync {
    /// Appends records to a topic.
    fn append(&self, append: Append) -> LogFuture<'_, AppendEnd>;

    /// Reads records of a topic.
    fn read(&self, read: Read) -> LogFuture<'_, ReadEnd>;
}

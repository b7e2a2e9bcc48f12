//! The interface to the platform's log service, and its readers and writers.

mod backoff;
mod follower;
mod publisher;
mod store;

pub use backoff::Backoff;
pub use follower::FollowOutcome;
pub use follower::Follower;
pub use publisher::BATCH_BYTES;
pub use publisher::BATCH_RECORDS;
pub use publisher::Publisher;
pub use store::Append;
pub use store::AppendEnd;
pub use store::LogFuture;
pub use store::LogStore;
pub use store::Read;
pub use store::ReadEnd;
pub use store::Topic;
pub use store::TopicError;

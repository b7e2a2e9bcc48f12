//! The border to where routes, endpoints and nodes are registered.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use snipeyoke_lib::ids::NodeId;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::log::LogFuture;
use snipeyoke_lib::serving::catalog::Catalog;
use snipeyoke_lib::serving::directory::Entry;
use snipeyoke_lib::serving::replica::Record;
use snipeyoke_lib::serving::upkeep::Kept;
use snipeyoke_lib::units::MilliCores;

/// The topics of a registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum Topic {
    /// The configuration.
    #[display("config")]
    Config,
    /// The endpoints.
    #[display("endpoints")]
    Endpoints,
    /// The nodes.
    #[display("nodes")]
    Nodes,
}

impl From<Kept> for Topic {
    fn from(kept: Kept) -> Self {
        match kept {
            Kept::Config => Self::Config,
            Kept::Endpoints => Self::Endpoints,
        }
    }
}

/// A part of a list of all keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The newest record of each key.
    pub records: Vec<Record>,
    /// The key after which the list goes on, if it does.
    pub next_key: Option<String>,
    /// The offset after the newest record.
    pub end: Offset,
}

/// How a read of new records ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// The records, and the offset after them.
    Records {
        /// The records.
        records: Vec<Record>,
        /// The offset after them.
        next: Offset,
        /// The offset after the newest record of the topic.
        end: Offset,
    },
    /// The records asked for are no longer kept: the list has to be read.
    Truncated,
    /// No answer, or a failure.
    Failed(RegistryError),
}

/// Why a call to the registry brought nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum RegistryError {
    /// No connection, or one that failed.
    #[display("the connection failed: {what}; look at the way to the registry")]
    Connection {
        /// What was found.
        what: String,
    },
    /// No answer began in time.
    #[display("no answer began in time; look whether the registry is overloaded")]
    Timeout,
    /// An answer began and came no further.
    #[display("the answer came no further after {read} bytes; look at the link's load")]
    Stalled {
        /// The bytes that came.
        read: usize,
    },
    /// The registry refused.
    #[display("the registry answered {status}; look at its limits on calls")]
    Refused {
        /// The status.
        status: u16,
    },
    /// The answer can't be read.
    #[display("the answer is no list of records; look whether the registry's release is known")]
    Malformed,
}

/// Why a record can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum RecordError {
    /// The bytes are no record of this kind.
    #[display("the record can't be read: {what}; its writer has to mend it")]
    Malformed {
        /// What was found.
        what: String,
    },
}

/// What a node registers of itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeEntry {
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// The power of its host; a writer of another release may not say it.
    pub power: Option<MilliCores>,
}

/// Told each time that more of an answer's body has come.
///
/// A large answer takes seconds over a slow or full link. Who waits for it can
/// tell by this that it is on its way, and need not ask again.
pub type OnProgress<'a> = &'a (dyn Fn() + Send + Sync);

/// Where routes, endpoints and nodes are registered.
///
/// An implementation makes one try for each call. It gives a call up when no
/// answer begins in time, or when one that began comes no further.
pub trait Registry: Debug + Send + Sync + 'static {
    /// Reads a page of the newest records of a topic, after a key.
    fn list_page<'a>(
        &'a self,
        topic: Topic,
        after: Option<String>,
        on_progress: OnProgress<'a>,
    ) -> LogFuture<'a, Result<Page, RegistryError>>;

    /// Reads the records from an offset on, or waits for one.
    fn read<'a>(
        &'a self,
        topic: Topic,
        from: Offset,
        wait: Duration,
        on_progress: OnProgress<'a>,
    ) -> LogFuture<'a, Update>;

    /// Registers this node; tells whether it is registered for sure.
    fn register(&self, node: &NodeId, entry: NodeEntry) -> LogFuture<'_, bool>;

    /// Reads a record of the configuration; `None` if its key is another one.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if it can't be used.
    fn parse_catalog(&self, key: &str, value: &[u8]) -> Option<Result<Catalog, RecordError>>;

    /// Reads an endpoint's record.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if it can't be used.
    fn parse_endpoint(&self, key: &str, value: &[u8]) -> Result<Entry, RecordError>;

    /// Reads a node's record.
    fn parse_node(&self, value: &[u8]) -> Option<NodeEntry>;
}

//! The interface to the registry of routes, endpoints and nodes.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_lib::ids::NodeId;
use snipeyoke_lib::log::LogFuture;
use snipeyoke_lib::serving::catalog::Catalog;
use snipeyoke_lib::serving::directory::Entry;
use snipeyoke_lib::serving::position::Era;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::position::Rank;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::serving::replica::Record;
use snipeyoke_lib::serving::stream_origins::VersionSets;
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

impl From<ReplicaKind> for Topic {
    fn from(kind: ReplicaKind) -> Self {
        match kind {
            ReplicaKind::Config => Self::Config,
            ReplicaKind::Endpoints => Self::Endpoints,
        }
    }
}

/// A page of the list of all keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The newest record of each key.
    pub records: Vec<Record>,
    /// The key after which the next page starts, if there is one.
    pub next_key: Option<String>,
    /// The position after the newest record.
    pub end: Position,
}

/// The result of a read of new records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// The records, and the offset after them.
    Records {
        /// The records.
        records: Vec<Record>,
        /// The position after them.
        next: Position,
        /// The position after the newest record of the topic.
        end: Position,
    },
    /// The registry is of another era: its offsets have started anew, and the list has
    /// to be read.
    OtherEra(Era),
    /// The requested records are no longer retained; the list has to be read.
    Truncated,
    /// No response, or a failure.
    Failed(RegistryError),
}

/// Why a call to the registry failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum RegistryError {
    /// The connection could not be opened, or failed.
    #[display("the connection failed: {what}; check the network path to the registry")]
    Connection {
        /// The error found.
        what: String,
    },
    /// No response started in time.
    #[display("no response started in time; check whether the registry is overloaded")]
    Timeout,
    /// A response started but made no further progress.
    #[display("the response stalled after {read} bytes; check the load of the link")]
    Stalled {
        /// The bytes received.
        read: usize,
    },
    /// The registry refused the call.
    #[display("the registry responded with status {status}; check its rate limits")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The era changed between two pages.
    #[display("the registry came back from a copy during the call; it is made again")]
    EraChanged,
    /// The response can't be parsed.
    #[display(
        "the response is not a list of records; check that this release supports the registry"
    )]
    Malformed,
}

/// Why a record can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum RecordError {
    /// The bytes are not a record of this kind.
    #[display("the record can't be parsed: {what}; correct it at its writer")]
    Malformed {
        /// The error found.
        what: String,
    },
}

/// A record of the operator.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRecord {
    /// A version of the configuration.
    Catalog(Box<Catalog>),
    /// The evacuation of a failure domain.
    Evacuation {
        /// The failure domain.
        domain: FailureDomain,
        /// Whether it is evacuated; otherwise it is restored.
        active: bool,
    },
}

/// What a node registers about itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeEntry {
    /// The address for other nodes.
    pub address: SocketAddr,
    /// The processor power of its host; a writer of another release may omit
    /// it.
    pub power: Option<MilliCores>,
}

/// Called each time that more of a response's body has arrived.
///
/// A large response takes seconds over a slow or saturated link. The callback
/// shows that it is in progress and need not be requested again.
pub type OnProgress<'a> = &'a (dyn Fn() + Send + Sync);

/// The registry of routes, endpoints and nodes.
///
/// An implementation makes one attempt per call. It abandons a call when no
/// response starts in time, or when one that started makes no further progress.
pub trait Registry: Debug + Send + Sync + 'static {
    /// Reads a page of the newest records of a topic, after a key.
    fn list_page<'a>(
        &'a self,
        topic: Topic,
        after: Option<String>,
        on_progress: OnProgress<'a>,
    ) -> LogFuture<'a, Result<Page, RegistryError>>;

    /// Reads the records from a position on; waits up to `wait` if there is
    /// none.
    fn read<'a>(
        &'a self,
        topic: Topic,
        from: Position,
        wait: Duration,
        on_progress: OnProgress<'a>,
    ) -> LogFuture<'a, Update>;

    /// Registers this node; returns whether the registration is confirmed.
    fn register(&self, node: &NodeId, entry: NodeEntry) -> LogFuture<'_, bool>;

    /// Adds a record of the origins of streams; returns whether it is confirmed.
    fn append_origins(&self, value: Bytes) -> LogFuture<'_, bool>;

    /// Reads the records of the origins of streams from a position on, or from
    /// the oldest that is retained if it is of another era or no longer retained. Returns
    /// them with the position after them.
    fn read_origins(
        &self,
        from: Position,
    ) -> LogFuture<'_, Result<(Vec<Bytes>, Position), RegistryError>>;

    /// Records the versions of all services, among the nodes; returns whether
    /// the record is confirmed.
    fn write_versions(&self, sets: &VersionSets) -> LogFuture<'_, bool>;

    /// Parses a record of the topic of nodes as the versions of all services.
    /// Returns `None` for any other record.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if it can't be used.
    fn parse_versions(&self, record: &Record) -> Option<Result<VersionSets, RecordError>>;

    /// Records the quarantines, among the nodes; returns whether the record is
    /// confirmed.
    fn write_quarantines(&self, value: Bytes) -> LogFuture<'_, bool>;

    /// Returns the quarantines if a record of the topic of nodes holds them.
    fn quarantines_of(&self, record: &Record) -> Option<Bytes>;

    /// Returns the rank that its writer gave to a record, if it has one: the version of a
    /// configuration; the start and the number of an endpoint's record.
    fn rank(&self, topic: Topic, record: &Record) -> Option<Rank>;

    /// Parses a record of the topic of the configuration; `value` is `None` if
    /// its key was dropped. Returns `None` for a record without a meaning.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if it can't be used.
    fn parse_operator_record(
        &self,
        key: &str,
        value: Option<&[u8]>,
    ) -> Option<Result<OperatorRecord, RecordError>>;

    /// Parses an endpoint's record.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if it can't be used.
    fn parse_endpoint(&self, key: &str, value: &[u8]) -> Result<Entry, RecordError>;

    /// Parses a node's record.
    fn parse_node(&self, value: &[u8]) -> Option<NodeEntry>;
}

//! The dispatcher sends stage jobs to the owners of their services and returns
//! the results.
//!
//! One task on the traffic thread holds the work queues of the services that
//! this node owns, the jobs sent to other owners, and the links between nodes.

mod admission;
mod calls;
mod config_transfer;
mod convert;
mod crashes;
mod inbound;
mod links;
mod messages;
mod origins;
mod peers;
mod placement;
mod queues;
mod run;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::admission::Promise;
use snipeyoke_lib::serving::batching::Job;
use snipeyoke_lib::serving::bookings::PlacementRequest;
use snipeyoke_lib::serving::crashes::Casualty;
use snipeyoke_lib::serving::crashes::Clearance;
use snipeyoke_lib::serving::crashes::RunNumber;
use snipeyoke_lib::serving::crashes::Verdict;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;

pub(crate) use self::links::accept;
pub(crate) use self::messages::Message;
pub(crate) use self::placement::Booking;
pub(crate) use self::placement::PlacedRequest;
pub(crate) use self::run::run;

/// The number of a job submitted by a request of this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobNumber(pub(crate) u64);

/// A result and the endpoint that stores it.
#[derive(Debug, Clone)]
pub(crate) struct StageResult {
    pub(crate) item: u32,
    pub(crate) handle: String,
    pub(crate) endpoint: EndpointId,
}

/// Why a job did not produce all its results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::FromStr)]
pub(crate) enum JobFailure {
    /// The job could not be completed before its deadline.
    #[display("late")]
    Late,
    /// The request has no place; nothing of it ran.
    #[display("refused")]
    Refused,
    /// An input no longer exists.
    #[display("gone")]
    Gone,
    /// The job failed at its endpoint or was refused: its request is quarantined, its
    /// service is unknown, or no configuration arrived in time.
    #[display("failed")]
    Failed,
}

/// The outcome of a job.
#[derive(Debug, Clone)]
pub(crate) struct JobResult {
    pub(crate) number: JobNumber,
    pub(crate) results: Vec<StageResult>,
    pub(crate) failure: Option<JobFailure>,
    /// Time to process the owner's backlog, if the backlog is the reason.
    pub(crate) backlog: Duration,
    /// The place that is reserved, if the request was refused.
    pub(crate) promise: Option<Promise>,
    /// How often the request was refused before it was accepted.
    pub(crate) refusals: u32,
}

/// A handle to the dispatcher's task; clones send to the same task.
#[derive(Debug, Clone)]
pub(crate) struct Dispatcher {
    inbox: Sender<Message>,
    next: Arc<AtomicU64>,
}

impl Dispatcher {
    /// Creates a dispatcher handle and the receiver for its task.
    pub(crate) fn new() -> (Self, Receiver<Message>) {
        let (inbox, messages) = async_channel::unbounded();
        let next = Arc::default();
        (Self { inbox, next }, messages)
    }

    /// Submits a job; its outcome is sent over `reply`.
    pub(crate) fn submit(
        &self,
        service: PoolName,
        job: Job,
        reply: Sender<JobResult>,
    ) -> JobNumber {
        let number = JobNumber(self.next_number());
        self.send(Message::Submit {
            number,
            service,
            job,
            reply,
        });
        number
    }

    /// Requests a booked endpoint for a request.
    ///
    /// The receiver yields `None` if this node has to choose by itself.
    pub(crate) fn request_placement(
        &self,
        service: PoolName,
        request: PlacementRequest,
    ) -> (Booking, Receiver<Option<PlacedRequest>>) {
        let number = self.next_number();
        let (reply, endpoint) = async_channel::bounded(1);
        self.send(Message::RequestPlacement {
            number,
            service,
            request,
            reply,
        });
        (Booking::new(self.clone(), number), endpoint)
    }

    /// Cancels a job whose request no longer waits for it.
    pub(crate) fn cancel(&self, number: JobNumber) {
        self.send(Message::Cancel { number });
    }

    /// Releases results that are no longer needed.
    pub(crate) fn release_results(&self, service: PoolName, results: Vec<(EndpointId, String)>) {
        self.send(Message::ReleaseResults { service, results });
    }

    /// Reports that the connection of a request to an endpoint broke.
    pub(crate) fn connection_broke(
        &self,
        incarnation: Incarnation,
        address: SocketAddr,
        request: Casualty,
    ) {
        self.send(Message::ConnectionBroke {
            incarnation,
            address,
            request,
        });
    }

    /// Reports that a request was abandoned while an endpoint was processing it.
    pub(crate) fn request_abandoned(&self, incarnation: Incarnation, request: Casualty) {
        self.send(Message::RequestAbandoned {
            incarnation,
            request,
        });
    }

    /// Reports that an endpoint refused a connection.
    pub(crate) fn connection_refused(&self, incarnation: Incarnation, address: SocketAddr) {
        self.send(Message::ConnectionRefused {
            incarnation,
            address,
        });
    }

    /// Announces a quarantine verdict to all other nodes.
    pub(crate) fn announce_verdict(&self, verdict: Verdict) {
        self.send(Message::Verdict(verdict));
    }

    /// Passes on the quarantines that the registry holds.
    pub(crate) fn quarantines_read(&self, value: Bytes) {
        self.send(Message::QuarantinesRead(value));
    }

    /// Announces to all other nodes that an operator has lifted a quarantine.
    pub(crate) fn announce_lifted(&self, verdict: Verdict) {
        self.send(Message::Lifted(verdict));
    }

    /// Sends what clears suspects to the nodes that count lost endpoints.
    pub(crate) fn send_clearances(&self, clearances: Vec<Clearance>) {
        self.send(Message::Clearances(clearances));
    }

    /// Returns the number of a new run of a request at an endpoint.
    pub(crate) fn next_run(&self) -> RunNumber {
        RunNumber(self.next_number())
    }

    /// Notifies the task that the set of endpoints changed.
    pub(crate) fn endpoints_changed(&self) {
        self.send(Message::EndpointsChanged);
    }

    /// Announces to the other nodes that this node has a newer configuration.
    pub(crate) fn config_changed(&self) {
        self.send(Message::ConfigChanged);
    }

    /// Notifies the task that the registry came back from a copy.
    pub(crate) fn registry_returned(&self) {
        self.send(Message::RegistryReturned);
    }

    /// Announces to the other nodes that this node is leaving.
    pub(crate) fn announce_leaving(&self) {
        self.send(Message::Leaving);
    }

    fn next_number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    fn send(&self, message: Message) {
        // The task ends only with the process; no request waits for it then.
        let _closed = self.inbox.try_send(message);
    }
}

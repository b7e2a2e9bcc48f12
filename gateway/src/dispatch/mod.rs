//! The dispatcher: takes stage jobs to the owner of their service, and back.
//!
//! One task of the traffic thread holds the queues of the services that this
//! node owns, the jobs that others own, and the links to other nodes.

mod calls;
mod convert;
mod copies;
mod crashes;
mod inbound;
mod links;
mod messages;
mod peers;
mod places;
mod queues;
mod run;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::batching::Job;
use snipeyoke_lib::serving::bookings::PlacementRequest;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::crashes::Verdict;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;

pub(crate) use self::links::accept;
pub(crate) use self::messages::Message;
pub(crate) use self::places::Booking;
pub(crate) use self::run::run;

/// Numbers the jobs that this node's requests submit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobNumber(pub(crate) u64);

/// A result and the endpoint that holds it.
#[derive(Debug, Clone)]
pub(crate) struct StageResult {
    pub(crate) item: u32,
    pub(crate) handle: String,
    pub(crate) endpoint: EndpointId,
}

/// Why a job did not get all its results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::FromStr)]
pub(crate) enum JobFailure {
    /// It could not be done in time.
    #[display("late")]
    Late,
    /// An input is gone.
    #[display("gone")]
    Gone,
    /// The work failed.
    #[display("failed")]
    Failed,
}

/// The end of a job.
#[derive(Debug, Clone)]
pub(crate) struct JobResult {
    pub(crate) number: JobNumber,
    pub(crate) results: Vec<StageResult>,
    pub(crate) failure: Option<JobFailure>,
    /// How long what waits at the owner takes, if that is why.
    pub(crate) backlog: Duration,
}

/// Where requests hand in their jobs; clones share the dispatcher.
#[derive(Debug, Clone)]
pub(crate) struct Dispatcher {
    inbox: Sender<Message>,
    next: Arc<AtomicU64>,
}

impl Dispatcher {
    /// Builds a dispatcher and the messages that its task takes.
    pub(crate) fn new() -> (Self, Receiver<Message>) {
        let (inbox, messages) = async_channel::unbounded();
        let next = Arc::default();
        (Self { inbox, next }, messages)
    }

    /// Hands in a job; its end comes over `reply`.
    pub(crate) fn submit(
        &self,
        service: PoolName,
        job: Job,
        reply: Sender<JobResult>,
    ) -> JobNumber {
        let number = JobNumber(self.next.fetch_add(1, Ordering::Relaxed));
        self.tell(Message::Submit {
            number,
            service,
            job,
            reply,
        });
        number
    }

    /// Asks for the endpoint that a request is best sent to.
    ///
    /// Over the receiver comes `None` if this node has to choose by itself.
    pub(crate) fn request_placement(
        &self,
        service: PoolName,
        wish: PlacementRequest,
    ) -> (Booking, Receiver<Option<EndpointId>>) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (reply, endpoint) = async_channel::bounded(1);
        self.tell(Message::Place {
            number,
            service,
            wish,
            reply,
        });
        (Booking::new(self.clone(), number), endpoint)
    }

    /// Says that nobody waits for a job any more.
    pub(crate) fn cancel(&self, number: JobNumber) {
        self.tell(Message::Cancel { number });
    }

    /// Says that nobody needs these results any more.
    pub(crate) fn release_results(&self, service: PoolName, results: Vec<(EndpointId, String)>) {
        self.tell(Message::GiveBack { service, results });
    }

    /// Says that the connection of a request to an endpoint broke.
    pub(crate) fn connection_broke(
        &self,
        run: Incarnation,
        address: SocketAddr,
        request: Fingerprint,
    ) {
        self.tell(Message::Broke {
            run,
            address,
            request,
        });
    }

    /// Says that a request was given up while an endpoint had it.
    pub(crate) fn request_abandoned(&self, run: Incarnation, request: Fingerprint) {
        self.tell(Message::GivenUp { run, request });
    }

    /// Says that an endpoint refused a connection.
    pub(crate) fn connection_refused(&self, run: Incarnation, address: SocketAddr) {
        self.tell(Message::Refused { run, address });
    }

    /// Says what all other nodes are to know of a request.
    pub(crate) fn announce_verdict(&self, verdict: Verdict) {
        self.tell(Message::Verdict(verdict));
    }

    /// Says that the endpoints changed.
    pub(crate) fn endpoints_changed(&self) {
        self.tell(Message::EndpointsChanged);
    }

    /// Says that this node has a newer configuration.
    pub(crate) fn config_changed(&self) {
        self.tell(Message::ConfigGrew);
    }

    /// Says that this node leaves.
    pub(crate) fn announce_leaving(&self) {
        self.tell(Message::Leaving);
    }

    fn tell(&self, message: Message) {
        // The dispatcher is gone only when the process ends; nobody waits then.
        let _closed = self.inbox.try_send(message);
    }
}

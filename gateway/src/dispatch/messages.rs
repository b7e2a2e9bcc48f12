//! What the dispatcher's task is told.

use std::net::SocketAddr;

use async_channel::Sender;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::batching::CallResult;
use snipeyoke_lib::serving::batching::Job;
use snipeyoke_lib::serving::bookings::PlacementRequest;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::crashes::Verdict;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_runtime::link::LinkSender;
use snipeyoke_wire::frame::Body;

use super::JobNumber;
use super::JobResult;
use super::places::Note;

/// Numbers the links that other nodes opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkNumber(pub(crate) u64);

/// An event for the dispatcher.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request of this node hands in a job.
    Submit {
        number: JobNumber,
        service: PoolName,
        job: Job,
        reply: Sender<JobResult>,
    },
    /// A request of this node no longer waits for a job.
    Cancel { number: JobNumber },
    /// A request of this node no longer needs results.
    GiveBack {
        service: PoolName,
        results: Vec<(EndpointId, String)>,
    },
    /// A request of this node asks for an endpoint.
    Place {
        number: u64,
        service: PoolName,
        wish: PlacementRequest,
        reply: Sender<Option<EndpointId>>,
    },
    /// Something became of a booked request of this node.
    Noted { number: u64, note: Note },
    /// The connection of a request of this node to an endpoint broke.
    Broke {
        run: Incarnation,
        address: SocketAddr,
        request: Fingerprint,
    },
    /// A request of this node was given up while an endpoint had it.
    GivenUp {
        run: Incarnation,
        request: Fingerprint,
    },
    /// An endpoint refused a connection.
    Refused {
        run: Incarnation,
        address: SocketAddr,
    },
    /// A look at an endpoint whose connection broke tells whether it has ended.
    Looked { run: Incarnation, ended: bool },
    /// All other nodes are to know this of a request.
    Verdict(Verdict),
    /// The endpoints changed.
    EndpointsChanged,
    /// This node has a newer configuration.
    ConfigGrew,
    /// This node leaves.
    Leaving,
    /// A call for pieces ended.
    CallEnded {
        service: PoolName,
        call: u64,
        result: CallResult,
    },
    /// An endpoint was told to drop results.
    Dropped {
        service: PoolName,
        endpoint: EndpointId,
        handles: Vec<String>,
    },
    /// Another node opened a link.
    Accepted {
        link: LinkNumber,
        sender: LinkSender,
    },
    /// A frame came over a link that another node opened.
    Asked { link: LinkNumber, body: Body },
    /// A link that another node opened is gone.
    Hung { link: LinkNumber },
    /// A link that this node opened is up.
    Connected {
        peer: SocketAddr,
        sender: LinkSender,
    },
    /// A frame came over a link that this node opened.
    Answered { peer: SocketAddr, body: Body },
    /// A link that this node opened failed.
    Lost { peer: SocketAddr },
}

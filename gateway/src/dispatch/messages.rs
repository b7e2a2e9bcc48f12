//! Messages to the dispatcher's task.

use std::net::SocketAddr;

use async_channel::Sender;
use bytes::Bytes;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::batching::CallResult;
use snipeyoke_lib::serving::batching::Job;
use snipeyoke_lib::serving::bookings::PlacementRequest;
use snipeyoke_lib::serving::crashes::Casualty;
use snipeyoke_lib::serving::crashes::Clearance;
use snipeyoke_lib::serving::crashes::Verdict;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::stream_origins::OriginAnswer;
use snipeyoke_lib::serving::stream_origins::StreamId;
use snipeyoke_lib::serving::stream_origins::VersionSets;
use snipeyoke_runtime::link::LinkSender;
use snipeyoke_wire::frame::Body;

use super::JobNumber;
use super::JobResult;
use super::placement::BookingEvent;
use super::placement::PlacedRequest;
use crate::registry::RegistryError;

/// The number of a link that another node opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkNumber(pub(crate) u64);

/// A message to the dispatcher's task.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request of this node submits a job.
    Submit {
        number: JobNumber,
        service: PoolName,
        job: Job,
        reply: Sender<JobResult>,
    },
    /// A request of this node no longer waits for a job.
    Cancel { number: JobNumber },
    /// A request of this node no longer needs results.
    ReleaseResults {
        service: PoolName,
        results: Vec<(EndpointId, String)>,
    },
    /// A request of this node needs a booked endpoint.
    RequestPlacement {
        number: u64,
        service: PoolName,
        request: PlacementRequest,
        reply: Sender<Option<PlacedRequest>>,
    },
    /// A booked request of this node has progressed or ended.
    BookingEvent { number: u64, event: BookingEvent },
    /// A request of this node needs to know where its stream began.
    FindOrigin {
        number: u64,
        service: PoolName,
        stream: Option<StreamId>,
        reply: Sender<OriginAnswer>,
    },
    /// This node has begun a stream whose origin has to be kept.
    StreamBegun,
    /// The read of saved origins has ended.
    OriginsLoaded(Result<(Vec<Bytes>, Position), RegistryError>),
    /// The save of origins has ended.
    OriginsSaved { streams: Vec<StreamId>, saved: bool },
    /// The record of the versions of all services has ended.
    VersionsRecorded { sets: VersionSets, recorded: bool },
    /// The connection of a request of this node to an endpoint broke.
    ConnectionBroke {
        incarnation: Incarnation,
        address: SocketAddr,
        request: Casualty,
    },
    /// A request of this node was abandoned while an endpoint was processing it.
    RequestAbandoned {
        incarnation: Incarnation,
        request: Casualty,
    },
    /// An endpoint refused a connection.
    ConnectionRefused {
        incarnation: Incarnation,
        address: SocketAddr,
    },
    /// The probe of an endpoint whose connection broke has completed.
    Probed {
        incarnation: Incarnation,
        ended: bool,
    },
    /// This node has reached a verdict that all other nodes need.
    Verdict(Verdict),
    /// An operator has lifted the quarantine of a suspect.
    Lifted(Verdict),
    /// The registry holds quarantines.
    QuarantinesRead(Bytes),
    /// The record of the quarantines has ended.
    QuarantinesRecorded { change: u64, recorded: bool },
    /// Answers of this node clear suspects.
    Clearances(Vec<Clearance>),
    /// The set of endpoints changed.
    EndpointsChanged,
    /// This node has a newer configuration.
    ConfigChanged,
    /// The registry came back from a copy.
    RegistryReturned,
    /// This node is leaving.
    Leaving,
    /// A batch call ended.
    CallEnded {
        service: PoolName,
        call: u64,
        result: CallResult,
    },
    /// The call to an endpoint that releases results has ended.
    ResultsReleased {
        service: PoolName,
        endpoint: EndpointId,
        handles: Vec<String>,
    },
    /// Another node opened a link.
    InboundOpened {
        link: LinkNumber,
        sender: LinkSender,
    },
    /// A frame arrived over a link that another node opened.
    InboundFrame { link: LinkNumber, body: Body },
    /// A link that another node opened was closed.
    InboundClosed { link: LinkNumber },
    /// A link that this node opened is up.
    OutboundOpened {
        peer: SocketAddr,
        sender: LinkSender,
    },
    /// A frame arrived over a link that this node opened.
    OutboundFrame { peer: SocketAddr, body: Body },
    /// A link that this node opened was closed or could not be established.
    OutboundClosed { peer: SocketAddr },
}

//! The facts that a router provides to queries.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use super::edit;
use super::field::Field;
use super::value::Value;
use crate::config::Account;
use crate::config::Config;
use crate::config::Pipeline;
use crate::config::Pool;
use crate::ids::ClientAccount;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::ids::FencingNumber;
use crate::ids::HostId;
use crate::ids::ModelName;
use crate::ids::NodeId;
use crate::ids::PipelineName;
use crate::ids::PoolName;
use crate::ids::Region;
use crate::ids::RequestId;
use crate::ids::Revision;
use crate::ids::SoftwareVersion;
use crate::journal::Request;
use crate::serving::crashes::Suspect;
use crate::time::Time;
use crate::units::RequestRate;

/// The facts that a router can report to its operators.
pub trait Facts {
    /// Returns the current time of the router's clock.
    fn now(&self) -> Time;

    /// Calls `visit` with each recorded request, newest first.
    fn requests(&self, visit: &mut dyn FnMut(&Request));

    /// Returns the record of one request.
    fn request(&self, id: RequestId) -> Option<Request>;

    /// Returns the configuration, in force now or at an earlier revision.
    ///
    /// # Errors
    ///
    /// Returns a [`FactError`] if that revision is not in the history.
    fn config(&self, at: Option<Revision>) -> Result<ConfigFact, FactError>;

    /// Returns the number of an account's requests in flight at this router.
    fn active_requests(&self, account: &ClientAccount) -> u32;

    /// Returns the endpoints known to the router.
    fn endpoints(&self) -> Vec<EndpointFact>;

    /// Returns the hosts of the host list.
    ///
    /// # Errors
    ///
    /// Returns a [`FactError`] if the router does not know them.
    fn hosts(&self) -> Result<Vec<HostFact>, FactError>;

    /// Returns the nodes known to the router, including itself.
    fn nodes(&self) -> Vec<NodeFact>;

    /// Returns the leases as recorded in the log.
    ///
    /// # Errors
    ///
    /// Returns a [`FactError`] if the router does not know them.
    fn leases(&self) -> Result<Vec<LeaseFact>, FactError>;

    /// Returns the requests and parts of prompts that crashed endpoints.
    ///
    /// # Errors
    ///
    /// Returns a [`FactError`] if the router does not know them.
    fn quarantines(&self) -> Result<Vec<QuarantineFact>, FactError>;

    /// Returns the configuration changes, newest first.
    fn changes(&self) -> Vec<ChangeFact>;
}

/// The reason why a fact is not available.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum FactError {
    /// This router has no record of the request.
    #[display("this router has no record of request {id}: ask the router that accepted it")]
    NoRequest {
        /// The request.
        id: RequestId,
    },
    /// The router does not hold facts of this kind.
    #[display("this router knows nothing of {what}: {remedy}")]
    NotKept {
        /// The requested facts.
        what: &'static str,
        /// Where to find them instead.
        remedy: &'static str,
    },
    /// A revision is not in the history.
    #[display("revision {requested} is not remembered: ask for one of {first} to {last}")]
    NoRevision {
        /// The requested revision.
        requested: Revision,
        /// The oldest revision in the history.
        first: Revision,
        /// The revision in force.
        last: Revision,
    },
}

/// The configuration at a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigFact {
    /// The revision.
    pub revision: Revision,
    /// The configuration.
    pub config: Arc<Config>,
}

/// An endpoint as known to a router.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointFact {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its pool.
    pub pool: PoolName,
    /// Its host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// Calls in progress.
    pub active: u32,
    /// Calls in its queue.
    pub queued: u32,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Tokens of queued and running calls.
    pub pending: u64,
    /// The age of its last report.
    pub report_age: Duration,
    /// Whether the report is fresh enough for new work.
    pub fresh: bool,
    /// Whether the endpoint answered its last health probe.
    pub healthy: bool,
    /// Whether it accepts no new work.
    pub draining: bool,
    /// The models loaded.
    pub models: Vec<ModelName>,
    /// The limit on its requests, if it names one.
    pub limit: Option<LimitFact>,
    /// The remaining time of the rest that it asked for, if any.
    pub rest: Option<Duration>,
    /// The time since the router heard from its responses that it leaves, if it
    /// did.
    pub leave_age: Option<Duration>,
    /// Its lasting speed, where 1 is usual, if it names its service time.
    pub speed: Option<f64>,
    /// The contention on its host, where 1 is usual, if it names it.
    pub contention: Option<f64>,
    /// The version of its software, if known.
    pub version: Option<VersionFact>,
}

/// A request or a part of prompts that crashed endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineFact {
    /// The suspect.
    pub suspect: Suspect,
    /// The remaining time of its quarantine; zero if it is over.
    pub left: Duration,
    /// Whether it is refused.
    pub refused: bool,
    /// The time since the first crash that led to the verdict.
    pub age: Duration,
    /// Its trials so far.
    pub trials: u32,
    /// The requests that this node refused because of it.
    pub refusals: u64,
    /// The endpoints that it crashed, as far as this node counted them.
    pub endpoints: Vec<String>,
}

impl QuarantineFact {
    const fn state(&self) -> &'static str {
        if !self.refused {
            "lifted"
        } else if self.left.is_zero() {
            "awaits-trial"
        } else {
            "refused"
        }
    }
}

/// The software version of an endpoint, as known to the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionFact {
    /// The version.
    pub version: SoftwareVersion,
    /// How long the router has known of it.
    pub age: Duration,
    /// Whether it gets new streams.
    pub new_streams: bool,
}

/// The limit on the requests to an endpoint, as known to the router.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitFact {
    /// The requests per second that it accepts from all nodes together.
    pub rate: RequestRate,
    /// The time since it last named the rate.
    pub age: Duration,
    /// Where the router learned of it.
    pub source: String,
    /// The requests that went elsewhere or were refused because of it.
    pub held_back: u64,
}

/// A host of the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostFact {
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// Its state in the host list.
    pub state: String,
    /// Whether an operator is draining it.
    pub draining: bool,
}

/// A router or agent process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeFact {
    /// The node.
    pub node: NodeId,
    /// The kind: router or agent.
    pub kind: String,
    /// Its host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its network address.
    pub address: String,
    /// The revision in force there, as last reported.
    pub revision: Option<Revision>,
    /// The age of its last heartbeat.
    pub report_age: Duration,
    /// Whether the heartbeat is fresh enough for new work.
    pub fresh: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// The latest era of the registry that it knows, if the registry has eras.
    pub era: Option<u64>,
    /// The time since it noticed that the registry came back from a copy.
    pub returned: Option<Duration>,
}

/// A lease as recorded in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseFact {
    /// The resource that it covers.
    pub lease: String,
    /// The node that holds it.
    pub holder: Option<NodeId>,
    /// The fencing number.
    pub fence: FencingNumber,
    /// The remaining time.
    pub remaining: Duration,
    /// The state: held, waited out or free.
    pub state: String,
}

/// A configuration change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeFact {
    /// The revision that it created.
    pub revision: Revision,
    /// Its author.
    pub author: String,
    /// The state: accepted or lost.
    pub state: String,
    /// The content of the change.
    pub detail: String,
}

/// A record with queryable fields.
pub(super) trait Record {
    /// Returns the value of a field, [`Value::Absent`] if it has no such field.
    fn value(&self, field: Field) -> Value;
}

/// A request, evaluated at a point in time.
#[derive(Debug)]
pub(super) struct RequestAt<'a> {
    pub request: &'a Request,
    pub now: Time,
}

impl Record for RequestAt<'_> {
    fn value(&self, field: Field) -> Value {
        let request = self.request;
        let accepted = &request.accepted;
        match field {
            Field::Id => Value::from_display(&accepted.id),
            Field::Account => Value::from_display(&accepted.account),
            Field::Kind => Value::from_display(&accepted.kind),
            Field::Pipeline => Value::from_display(&accepted.pipeline),
            Field::State => Value::from(request_state(request)),
            Field::Reason => {
                Value::from_option(request.finish.and_then(|f| f.reason).map(|r| text(&r)))
            }
            Field::Age => self.now.since(request.at).into(),
            Field::Elapsed => request.elapsed(self.now).into(),
            Field::Predicted => Value::from_option(accepted.predicted),
            Field::Deadline => accepted.deadline.into(),
            Field::Stage => Value::from_option(request.stage().map(text)),
            Field::Endpoint => Value::from_option(request.endpoint().map(text)),
            Field::Attempts => {
                Value::from_count(request.attempts.len() as u64 + u64::from(request.unrecorded))
            }
            Field::Outcome => Value::from_option(request.finish.map(|f| text(&f.outcome))),
            Field::Late => request.is_late(self.now).into(),
            Field::Refused => request.is_refused().into(),
            Field::Running => request.is_running().into(),
            _ => Value::Absent,
        }
    }
}

fn request_state(request: &Request) -> &'static str {
    if request.is_running() {
        "running"
    } else if request.is_refused() {
        "refused"
    } else {
        "answered"
    }
}

fn text(value: &impl ToString) -> Value {
    Value::from_display(value)
}

fn number(value: u32) -> Value {
    Value::Number(f64::from(value))
}

impl Record for (&PipelineName, &Pipeline) {
    fn value(&self, field: Field) -> Value {
        let stages: Vec<_> = self.1.stages.iter().map(edit::stage_text).collect();
        match field {
            Field::Pipeline => text(self.0),
            Field::Deadline => self.1.deadline().into(),
            Field::Stages => Value::Text(stages.join(", ")),
            Field::Lateness => self.1.weights.lateness.into(),
            Field::Cost => self.1.weights.cost.into(),
            _ => Value::Absent,
        }
    }
}

/// A binding of an account's request kind to a pipeline.
#[derive(Debug)]
pub(super) struct Binding<'a> {
    pub account: &'a ClientAccount,
    pub kind: String,
    pub pipeline: &'a PipelineName,
}

impl Record for Binding<'_> {
    fn value(&self, field: Field) -> Value {
        match field {
            Field::Account => text(self.account),
            Field::Kind => Value::Text(self.kind.clone()),
            Field::Pipeline => text(self.pipeline),
            _ => Value::Absent,
        }
    }
}

/// A client account with its current usage.
#[derive(Debug)]
pub struct AccountFact<'a> {
    /// The account.
    pub name: &'a ClientAccount,
    /// Its limits and share.
    pub account: &'a Account,
    /// The number of its requests in flight at this router.
    pub active: u32,
}

impl Record for AccountFact<'_> {
    fn value(&self, field: Field) -> Value {
        let limits = &self.account.limits;
        match field {
            Field::Account => text(self.name),
            Field::Requests => limits.requests.0.into(),
            Field::Tokens => limits.tokens.0.into(),
            Field::Concurrency => number(limits.concurrency),
            Field::Share => self.account.share.into(),
            Field::Active => number(self.active),
            _ => Value::Absent,
        }
    }
}

impl Record for (&PoolName, &Pool) {
    fn value(&self, field: Field) -> Value {
        match field {
            Field::Pool => text(self.0),
            Field::Price => self.1.price.into(),
            Field::Path => Value::from_option(self.1.path.as_deref()),
            _ => Value::Absent,
        }
    }
}

impl Record for EndpointFact {
    fn value(&self, field: Field) -> Value {
        match field {
            Field::Endpoint => text(&self.endpoint),
            Field::Pool => text(&self.pool),
            Field::Host => text(&self.host),
            Field::Domain => text(&self.domain),
            Field::Region => text(&self.region),
            Field::Active => number(self.active),
            Field::Queued => number(self.queued),
            Field::Slots => number(self.slots),
            Field::Pending => Value::from_count(self.pending),
            Field::Report => self.report_age.into(),
            Field::Fresh => self.fresh.into(),
            Field::Healthy => self.healthy.into(),
            Field::Draining => self.draining.into(),
            Field::Models => {
                let models: Vec<_> = self.models.iter().map(ModelName::as_str).collect();
                Value::Text(models.join(","))
            }
            Field::Rate => Value::from_option(self.limit.as_ref().map(|l| l.rate.0)),
            Field::Named => Value::from_option(self.limit.as_ref().map(|l| l.age)),
            Field::Source => Value::from_option(self.limit.as_ref().map(|l| l.source.as_str())),
            Field::HeldBack => {
                let held_back = self.limit.as_ref().map(|l| l.held_back);
                Value::from_option(held_back.map(Value::from_count))
            }
            Field::Version => {
                let version = self.version.as_ref();
                Value::from_option(version.map(|v| Value::Text(v.version.to_string())))
            }
            Field::VersionAge => Value::from_option(self.version.as_ref().map(|v| v.age)),
            Field::Rest => Value::from_option(self.rest),
            Field::Leaving => Value::from_option(self.leave_age),
            Field::Speed => Value::from_option(self.speed),
            Field::Contention => Value::from_option(self.contention),
            Field::NewStreams => Value::from_option(self.version.as_ref().map(|v| v.new_streams)),
            _ => Value::Absent,
        }
    }
}

impl Record for QuarantineFact {
    fn value(&self, field: Field) -> Value {
        match field {
            Field::Suspect => text(&self.suspect),
            Field::Kind => text(&self.suspect.kind()),
            Field::State => Value::Text(self.state().to_owned()),
            Field::Left => self.left.into(),
            Field::Age => self.age.into(),
            Field::Trials => number(self.trials),
            Field::Refusals => Value::from_count(self.refusals),
            Field::Endpoint => Value::Text(self.endpoints.join(",")),
            _ => Value::Absent,
        }
    }
}

impl Record for HostFact {
    fn value(&self, field: Field) -> Value {
        match field {
            Field::Host => text(&self.host),
            Field::Domain => text(&self.domain),
            Field::Region => text(&self.region),
            Field::State => text(&self.state),
            Field::Draining => self.draining.into(),
            _ => Value::Absent,
        }
    }
}

/// A failure domain with the endpoints in it.
#[derive(Debug)]
pub(super) struct DomainFact {
    pub domain: FailureDomain,
    pub region: Region,
    pub draining: bool,
    pub evacuated: bool,
    pub count: u32,
    pub active: u32,
}

impl Record for DomainFact {
    fn value(&self, field: Field) -> Value {
        match field {
            Field::Domain => text(&self.domain),
            Field::Region => text(&self.region),
            Field::Draining => self.draining.into(),
            Field::Evacuated => self.evacuated.into(),
            Field::Count => number(self.count),
            Field::Active => number(self.active),
            _ => Value::Absent,
        }
    }
}

impl Record for NodeFact {
    fn value(&self, field: Field) -> Value {
        match field {
            Field::Node => text(&self.node),
            Field::Kind => text(&self.kind),
            Field::Host => text(&self.host),
            Field::Domain => text(&self.domain),
            Field::Address => text(&self.address),
            Field::Revision => Value::from_option(self.revision.map(|r| Value::from_count(r.0))),
            Field::Report => self.report_age.into(),
            Field::Fresh => self.fresh.into(),
            Field::Draining => self.draining.into(),
            Field::Era => Value::from_option(self.era.map(Value::from_count)),
            Field::Returned => Value::from_option(self.returned),
            _ => Value::Absent,
        }
    }
}

impl Record for LeaseFact {
    fn value(&self, field: Field) -> Value {
        match field {
            Field::Lease => text(&self.lease),
            Field::Holder => Value::from_option(self.holder.as_ref().map(text)),
            Field::Fence => Value::from_count(self.fence.0),
            Field::Left => self.remaining.into(),
            Field::State => text(&self.state),
            _ => Value::Absent,
        }
    }
}

impl Record for ChangeFact {
    fn value(&self, field: Field) -> Value {
        match field {
            Field::Revision => Value::from_count(self.revision.0),
            Field::Author => text(&self.author),
            Field::State => text(&self.state),
            Field::Detail => text(&self.detail),
            _ => Value::Absent,
        }
    }
}

//! The subjects of queries and their fields.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// The kind of value that a field holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum Kind {
    /// Text, compared as a whole, or by substring with `~`.
    #[display("text")]
    Text,
    /// A number.
    #[display("a number")]
    Number,
    /// A duration.
    #[display("a length of time")]
    Interval,
    /// True or false; the field without a comparison means "is true".
    #[display("yes or no")]
    Flag,
}

macro_rules! fields {
    ($($(#[doc = $doc:literal])+ $name:ident($text:literal, $kind:ident),)+) => {
        /// A column of an answer, or a field in a condition.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Display, Serialize, Deserialize)]
        pub enum Field {
            $(
                $(#[doc = $doc])+
                #[display($text)]
                #[serde(rename = $text)]
                $name,
            )+
        }

        impl Field {
            /// All fields.
            pub const ALL: &[Self] = &[$(Self::$name),+];

            /// Returns the kind of the field's values.
            #[must_use]
            pub const fn kind(self) -> Kind {
                match self {
                    $(Self::$name => Kind::$kind,)+
                }
            }

            /// Returns the field's name.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                }
            }
        }
    };
}

fields!(
    /// The client account.
    Account("account", Text),
    /// Requests or calls in progress.
    Active("active", Number),
    /// An address with its port.
    Address("address", Text),
    /// The time since the request was accepted.
    Age("age", Interval),
    /// The number of attempts.
    Attempts("attempts", Number),
    /// The operator who made the change.
    Author("author", Text),
    /// The maximum number of concurrent requests.
    Concurrency("concurrency", Number),
    /// The weight of cost.
    Cost("cost", Number),
    /// The number of rows with the same value, or of endpoints in a domain.
    Count("count", Number),
    /// The deadline, as a duration from the start.
    Deadline("deadline", Interval),
    /// A description.
    Detail("detail", Text),
    /// The failure domain.
    Domain("domain", Text),
    /// Whether it accepts no new work.
    Draining("draining", Flag),
    /// The elapsed time, so far or in total.
    Elapsed("elapsed", Interval),
    /// The endpoint.
    Endpoint("endpoint", Text),
    /// Whether its endpoints get no new calls.
    Evacuated("evacuated", Flag),
    /// The latest era of the registry that a node knows.
    Era("era", Number),
    /// The kind of event.
    Event("event", Text),
    /// The fencing number.
    Fence("fence", Number),
    /// Whether its last report is fresh enough for new work.
    Fresh("fresh", Flag),
    /// Whether the endpoint answered its last health probe.
    Healthy("healthy", Flag),
    /// The requests that were held back by an endpoint's rate.
    HeldBack("held-back", Number),
    /// The node that holds a lease.
    Holder("holder", Text),
    /// The host.
    Host("host", Text),
    /// The identifier of a request.
    Id("id", Text),
    /// The kind of a request or a node.
    Kind("kind", Text),
    /// Whether it exceeded its deadline.
    Late("late", Flag),
    /// The weight of lateness.
    Lateness("lateness", Number),
    /// The resource that a lease covers.
    Lease("lease", Text),
    /// The remaining time of a lease.
    Left("left", Interval),
    /// The loaded models.
    Models("models", Text),
    /// The lasting speed of an endpoint, where 1 is usual.
    Speed("speed", Number),
    /// The contention on an endpoint's host, where 1 is usual.
    Contention("contention", Number),
    /// The time since an endpoint said in a response that it leaves.
    Leaving("leaving", Interval),
    /// The time since an endpoint named its rate.
    Named("named", Interval),
    /// The node.
    Node("node", Text),
    /// The outcome of a request.
    Outcome("outcome", Text),
    /// The path at an endpoint.
    Path("path", Text),
    /// Tokens of queued and running calls.
    Pending("pending", Number),
    /// The pipeline.
    Pipeline("pipeline", Text),
    /// The pool of endpoints.
    Pool("pool", Text),
    /// The predicted duration.
    Predicted("predicted", Interval),
    /// The cost of one busy second of an endpoint.
    Price("price", Number),
    /// Calls in the queue of an endpoint.
    Queued("queued", Number),
    /// The requests per second that an endpoint accepts.
    Rate("rate", Number),
    /// The reason for a refusal or failure.
    Reason("reason", Text),
    /// Whether the request was refused with "not run".
    Refused("refused", Flag),
    /// The region.
    Region("region", Text),
    /// The requests that were refused because of a suspect.
    Refusals("refusals", Number),
    /// The time since the last report.
    Report("report", Interval),
    /// The limit of requests per second.
    Requests("requests", Number),
    /// The remaining time of the rest that an endpoint asked for.
    Rest("rest", Interval),
    /// The time since a node noticed that the registry came back from a copy.
    Returned("returned", Interval),
    /// A revision of the configuration.
    Revision("revision", Number),
    /// The router that answered.
    Router("router", Text),
    /// Whether the request has no outcome yet.
    Running("running", Flag),
    /// The share under contention.
    Share("share", Number),
    /// The maximum number of concurrent calls at an endpoint.
    Slots("slots", Number),
    /// Where an endpoint's rate was learned.
    Source("source", Text),
    /// The latest stage.
    Stage("stage", Text),
    /// The stages of a pipeline, in order.
    Stages("stages", Text),
    /// The state, in one word.
    State("state", Text),
    /// A request or a part of prompts that crashes endpoints.
    Suspect("suspect", Text),
    /// The limit of tokens per second.
    Tokens("tokens", Number),
    /// The trials of a suspect after its quarantine.
    Trials("trials", Number),
    /// The software version of an endpoint.
    Version("version", Text),
    /// How long the router has known of an endpoint's version.
    VersionAge("version-age", Interval),
    /// Whether an endpoint's version gets new streams.
    NewStreams("new-streams", Flag),
);

macro_rules! subjects {
    ($($(#[doc = $doc:literal])+ $name:ident($text:literal, [$($field:ident),+]),)+) => {
        /// What a query is about.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Display, Serialize, Deserialize)]
        pub enum Subject {
            $(
                $(#[doc = $doc])+
                #[display($text)]
                #[serde(rename = $text)]
                $name,
            )+
        }

        impl Subject {
            /// All subjects.
            pub const ALL: &[Self] = &[$(Self::$name),+];

            /// Returns the fields, in the order of the columns.
            #[must_use]
            pub const fn fields(self) -> &'static [Field] {
                match self {
                    $(Self::$name => &[$(Field::$field),+],)+
                }
            }
        }
    };
}

subjects!(
    /// Requests in the routers' journals.
    Requests("requests", [
        Id, Account, Kind, Pipeline, State, Reason, Age, Elapsed, Predicted, Deadline, Stage,
        Endpoint, Attempts, Outcome, Late, Refused, Running
    ]),
    /// Pipelines in force.
    Pipelines("pipelines", [Pipeline, Deadline, Stages, Lateness, Cost]),
    /// Bindings of an account and a request kind to a pipeline.
    Bindings("bindings", [Account, Kind, Pipeline]),
    /// Client accounts and their limits.
    Accounts("accounts", [Account, Requests, Tokens, Concurrency, Share, Active]),
    /// Pools of endpoints.
    Pools("pools", [Pool, Price, Path]),
    /// Endpoints as known to the router.
    Endpoints("endpoints", [
        Endpoint, Pool, Host, Domain, Region, Active, Queued, Slots, Pending, Report, Fresh,
        Healthy, Draining, Models, Rate, Named, Source, HeldBack, Version, VersionAge, NewStreams,
        Rest, Leaving, Speed, Contention
    ]),
    /// Hosts of the host list.
    Hosts("hosts", [Host, Domain, Region, State, Draining]),
    /// Failure domains, with their endpoint and call counts.
    Domains("domains", [Domain, Region, Draining, Evacuated, Count, Active]),
    /// Router and agent processes as known to the router.
    Nodes("nodes", [
        Node, Kind, Host, Domain, Address, Revision, Report, Fresh, Draining, Era, Returned
    ]),
    /// Leases as recorded in the log.
    Leases("leases", [Lease, Holder, Fence, Left, State]),
    /// Requests and parts of prompts that are refused because they crash endpoints.
    Quarantines("quarantines", [Suspect, Kind, State, Left, Age, Trials, Refusals, Endpoint]),
    /// Configuration changes, accepted or lost.
    Changes("changes", [Revision, Author, State, Detail]),
);

impl Subject {
    /// Finds the subject of that name.
    #[must_use]
    pub fn from_name(text: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|s| s.to_string() == text)
    }

    /// Finds the field of that name among the subject's.
    #[must_use]
    pub fn field(self, text: &str) -> Option<Field> {
        self.fields().iter().copied().find(|f| f.name() == text)
    }

    /// Returns the field that `since` is compared with, if the subject has one.
    #[must_use]
    pub fn age_field(self) -> Option<Field> {
        let has_age = self.fields().contains(&Field::Age);
        has_age.then_some(Field::Age)
    }
}

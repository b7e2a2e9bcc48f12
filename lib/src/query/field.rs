//! What can be asked about, and the fields of each.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// The kind of value that a field holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum Kind {
    /// Text, compared whole or with `~` by part.
    #[display("text")]
    Text,
    /// A number.
    #[display("a number")]
    Number,
    /// A length of time.
    #[display("a length of time")]
    Interval,
    /// True or false; the field alone stands for "is true".
    #[display("yes or no")]
    Flag,
}

macro_rules! fields {
    ($($(#[doc = $doc:literal])+ $name:ident($text:literal, $kind:ident),)+) => {
        /// A column of an answer, or a word of a condition.
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
    /// Requests or calls at work.
    Active("active", Number),
    /// An address with its port.
    Address("address", Text),
    /// The time since it began.
    Age("age", Interval),
    /// The attempts made.
    Attempts("attempts", Number),
    /// The operator who made a change.
    Author("author", Text),
    /// The requests allowed at the same time.
    Concurrency("concurrency", Number),
    /// The weight of cost.
    Cost("cost", Number),
    /// How many rows share a value.
    Count("count", Number),
    /// The time allowed.
    Deadline("deadline", Interval),
    /// What happened, in words.
    Detail("detail", Text),
    /// The failure domain.
    Domain("domain", Text),
    /// Whether it takes no new work.
    Draining("draining", Flag),
    /// The time used, so far or in all.
    Elapsed("elapsed", Interval),
    /// The endpoint.
    Endpoint("endpoint", Text),
    /// What kind of thing happened.
    Event("event", Text),
    /// The fencing number.
    Fence("fence", Number),
    /// Whether its own report is fresh enough for new work.
    Fresh("fresh", Flag),
    /// Whether the endpoint answered its last health probe.
    Healthy("healthy", Flag),
    /// The node that holds a lease.
    Holder("holder", Text),
    /// The host.
    Host("host", Text),
    /// The identifier of a request.
    Id("id", Text),
    /// The kind of a request or a node.
    Kind("kind", Text),
    /// Whether it outlived its deadline.
    Late("late", Flag),
    /// The weight of lateness.
    Lateness("lateness", Number),
    /// What a lease covers.
    Lease("lease", Text),
    /// The time that a lease has left.
    Left("left", Interval),
    /// Models that are loaded.
    Models("models", Text),
    /// The node.
    Node("node", Text),
    /// The outcome of a request.
    Outcome("outcome", Text),
    /// The path at an endpoint.
    Path("path", Text),
    /// Tokens that wait or are at work.
    Pending("pending", Number),
    /// The pipeline.
    Pipeline("pipeline", Text),
    /// The pool of endpoints.
    Pool("pool", Text),
    /// The time that was expected.
    Predicted("predicted", Interval),
    /// The price of a busy second.
    Price("price", Number),
    /// Calls that wait at an endpoint.
    Queued("queued", Number),
    /// Why it was refused or failed.
    Reason("reason", Text),
    /// Whether it was answered "not run".
    Refused("refused", Flag),
    /// The region.
    Region("region", Text),
    /// The time since the last report.
    Report("report", Interval),
    /// Requests a second that are allowed.
    Requests("requests", Number),
    /// A revision of the configuration.
    Revision("revision", Number),
    /// The router that answered.
    Router("router", Text),
    /// Whether it has no outcome yet.
    Running("running", Flag),
    /// The share under contention.
    Share("share", Number),
    /// Calls that an endpoint runs at the same time.
    Slots("slots", Number),
    /// The latest stage.
    Stage("stage", Text),
    /// The number of stages.
    Stages("stages", Text),
    /// Where it stands, in a word.
    State("state", Text),
    /// Tokens a second that are allowed.
    Tokens("tokens", Number),
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
    /// Requests that the routers' journals hold.
    Requests("requests", [
        Id, Account, Kind, Pipeline, State, Reason, Age, Elapsed, Predicted, Deadline, Stage,
        Endpoint, Attempts, Outcome, Late, Refused, Running
    ]),
    /// Pipelines in force.
    Pipelines("pipelines", [Pipeline, Deadline, Stages, Lateness, Cost]),
    /// Bindings of account and kind to a pipeline.
    Bindings("bindings", [Account, Kind, Pipeline]),
    /// Client accounts and their limits.
    Accounts("accounts", [Account, Requests, Tokens, Concurrency, Share, Active]),
    /// Pools of endpoints.
    Pools("pools", [Pool, Price, Path]),
    /// Endpoints as the router sees them.
    Endpoints("endpoints", [
        Endpoint, Pool, Host, Domain, Region, Active, Queued, Slots, Pending, Report, Fresh,
        Healthy, Draining, Models
    ]),
    /// Hosts of the host list.
    Hosts("hosts", [Host, Domain, Region, State, Draining]),
    /// Failure domains, with what lives there.
    Domains("domains", [Domain, Region, Draining, Count, Active]),
    /// Processes of snipeyoke as the router sees them.
    Nodes("nodes", [Node, Kind, Host, Domain, Address, Revision, Report, Fresh, Draining]),
    /// Leases as the log has them.
    Leases("leases", [Lease, Holder, Fence, Left, State]),
    /// Changes of the configuration, accepted or lost.
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

    /// Returns the field that `since` measures, if there is one.
    #[must_use]
    pub fn age_field(self) -> Option<Field> {
        let has_age = self.fields().contains(&Field::Age);
        has_age.then_some(Field::Age)
    }
}

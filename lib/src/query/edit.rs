//! Configuration changes in the form of the query language.

use derive_more::Display;
use derive_more::FromStr;

use super::interval::Interval;
use crate::config::DrainTarget;
use crate::config::KeyDigest;
use crate::config::Stage;
use crate::ids::ClientAccount;
use crate::ids::FailureDomain;
use crate::ids::PipelineName;
use crate::ids::PoolName;
use crate::ids::RequestKind;

/// A limit of a client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display, FromStr)]
pub enum LimitKey {
    /// Requests per second.
    #[display("requests")]
    Requests,
    /// Tokens per second.
    #[display("tokens")]
    Tokens,
    /// Requests in flight.
    #[display("concurrency")]
    Concurrency,
    /// The account's share under contention.
    #[display("share")]
    Share,
}

/// One limit with its value.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Display)]
#[display("{key} {value}")]
pub struct LimitEdit {
    /// The limit.
    pub key: LimitKey,
    /// The value.
    pub value: f64,
}

/// A weight of a pipeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display, FromStr)]
pub enum WeightKey {
    /// The weight of predicted lateness.
    #[display("lateness")]
    Lateness,
    /// The weight of cost.
    #[display("cost")]
    Cost,
}

/// A pipeline property to set.
#[derive(Debug, Clone, PartialEq)]
#[derive(Display)]
pub enum Clause {
    /// The deadline.
    #[display("deadline {_0}")]
    Deadline(Interval),
    /// A weight.
    #[display("{key} {value}")]
    Weight {
        /// The weight.
        key: WeightKey,
        /// The value.
        value: f64,
    },
    /// The stages, in order.
    #[display("stages ({})", stage_list(_0))]
    Stages(Vec<Stage>),
}

/// A configuration change.
#[derive(Debug, Clone, PartialEq)]
#[derive(Display)]
pub enum Edit {
    /// Adds a pipeline.
    #[display("create pipeline {name} {}", join_spaced(clauses))]
    CreatePipeline {
        /// The pipeline.
        name: PipelineName,
        /// Its clauses.
        clauses: Vec<Clause>,
    },
    /// Changes some clauses of a pipeline.
    #[display("alter pipeline {name} {}", join_spaced(clauses))]
    AlterPipeline {
        /// The pipeline.
        name: PipelineName,
        /// The clauses to set.
        clauses: Vec<Clause>,
    },
    /// Removes a pipeline.
    #[display("drop pipeline {_0}")]
    DropPipeline(PipelineName),
    /// Adds a client account.
    #[display(
        "create account {name} keys ({}) {}",
        join_commas(keys),
        join_spaced(limits)
    )]
    CreateAccount {
        /// The account.
        name: ClientAccount,
        /// The digests of its bearer keys.
        keys: Vec<KeyDigest>,
        /// Its limits.
        limits: Vec<LimitEdit>,
    },
    /// Removes a client account.
    #[display("drop account {_0}")]
    DropAccount(ClientAccount),
    /// Adds a pool.
    #[display("create pool {name} price {price}{}", path_clause(path.as_ref()))]
    CreatePool {
        /// The pool.
        name: PoolName,
        /// The cost of one busy second of an endpoint.
        price: f64,
        /// The path to post to, for a pool of plain services.
        path: Option<String>,
    },
    /// Removes a pool.
    #[display("drop pool {_0}")]
    DropPool(PoolName),
    /// Binds a request kind of an account to a pipeline.
    #[display("bind {account} {kind} to {pipeline}")]
    Bind {
        /// The account.
        account: ClientAccount,
        /// The request kind.
        kind: RequestKind,
        /// The pipeline.
        pipeline: PipelineName,
    },
    /// Removes a binding.
    #[display("unbind {account} {kind}")]
    Unbind {
        /// The account.
        account: ClientAccount,
        /// The request kind.
        kind: RequestKind,
    },
    /// Sets limits of an account.
    #[display("set limit {account} {}", join_spaced(limits))]
    SetLimit {
        /// The account.
        account: ClientAccount,
        /// The limits to set.
        limits: Vec<LimitEdit>,
    },
    /// Takes the target out of service.
    #[display("drain {_0}")]
    Drain(DrainTarget),
    /// Puts the target back into service.
    #[display("resume {_0}")]
    Resume(DrainTarget),
    /// Sends no new calls to the endpoints of a failure domain.
    #[display("evacuate domain {_0}")]
    Evacuate(FailureDomain),
    /// Ends the evacuation of a failure domain.
    #[display("restore domain {_0}")]
    Restore(FailureDomain),
}

fn join_spaced(items: &[impl ToString]) -> String {
    let items: Vec<_> = items.iter().map(ToString::to_string).collect();
    items.join(" ")
}

fn join_commas(items: &[impl ToString]) -> String {
    let items: Vec<_> = items.iter().map(ToString::to_string).collect();
    items.join(", ")
}

fn path_clause(path: Option<&String>) -> String {
    path.map_or_else(String::new, |p| format!(" path {p}"))
}

fn stage_list(stages: &[Stage]) -> String {
    let items: Vec<_> = stages.iter().map(stage_text).collect();
    items.join(", ")
}

/// Formats a stage as query text.
pub(super) fn stage_text(stage: &Stage) -> String {
    let model = stage.model.as_ref();
    let model = model.map_or_else(String::new, |m| format!(" model {m}"));
    let once = if stage.idempotent { "" } else { " once" };
    format!(
        "{} {} on {}{model}{once}",
        stage.role, stage.name, stage.pool
    )
}

//! How attempts and requests end.

use std::time::Duration;

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;

/// The one outcome of an accepted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, FromStr, Serialize, Deserialize)]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The caller got the whole answer.
    #[display("completed")]
    Completed,
    /// No attempt of any stage ran, with proof for each, and none will.
    #[display("not-run")]
    NotRun,
    /// It may have run; the caller has to ask before repeating it.
    #[display("unknown")]
    Unknown,
}

/// Why a request was refused or an attempt did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, FromStr, Serialize, Deserialize)]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The remaining stages can't make the deadline.
    #[display("deadline")]
    Deadline,
    /// The client account is over its limit.
    #[display("limit")]
    Limit,
    /// No endpoint of the pool can be reached.
    #[display("no-endpoint")]
    NoEndpoint,
    /// The endpoint or its agent has no room.
    #[display("overload")]
    Overload,
    /// The endpoint, agent or router is draining.
    #[display("draining")]
    Draining,
    /// The retry budget is spent.
    #[display("retry-budget")]
    RetryBudget,
    /// The connection failed before or during the attempt.
    #[display("connection")]
    Connection,
    /// The endpoint answered with a failure.
    #[display("endpoint-failure")]
    EndpointFailure,
    /// The attempt outlived its time.
    #[display("timeout")]
    Timeout,
    /// The caller went away.
    #[display("caller-gone")]
    CallerGone,
    /// An operator stopped the request.
    #[display("stopped")]
    Stopped,
    /// The holder of the key's slot can't vouch for the key.
    #[display("key-unknown")]
    KeyUnknown,
    /// The key was used with another body.
    #[display("key-conflict")]
    KeyConflict,
    /// The agent holds no valid lease for the key's slot.
    #[display("no-lease")]
    NoLease,
}

/// How one attempt of a stage ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The endpoint gave its whole answer.
    Completed,
    /// The agent, or the router before writing, vouches that it did not run.
    NotRun {
        /// Why it did not run.
        reason: Reason,
        /// When asking again may help, if that is known.
        retry_after: Option<Duration>,
    },
    /// The endpoint may have run it.
    Unknown {
        /// What was seen.
        reason: Reason,
    },
}

impl AttemptEnd {
    /// Tells whether the attempt is known not to have run.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }
}

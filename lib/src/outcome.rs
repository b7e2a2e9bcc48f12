//! How attempts and requests end.

use std::time::Duration;

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;

/// The final outcome of an accepted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, FromStr, Serialize, Deserialize)]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The caller received the whole response.
    #[display("completed")]
    Completed,
    /// No attempt of any stage ran or will run, with proof for each.
    #[display("not-run")]
    NotRun,
    /// It may have run; the caller has to check before repeating it.
    #[display("unknown")]
    Unknown,
}

/// Why a request was refused or an attempt did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, FromStr, Serialize, Deserialize)]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The remaining stages can't complete before the deadline.
    #[display("deadline")]
    Deadline,
    /// The client account is over its limit.
    #[display("limit")]
    Limit,
    /// No endpoint of the pool is reachable.
    #[display("no-endpoint")]
    NoEndpoint,
    /// The endpoint or its agent has no free capacity.
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
    /// The endpoint responded with a failure.
    #[display("endpoint-failure")]
    EndpointFailure,
    /// The attempt exceeded its time-out.
    #[display("timeout")]
    Timeout,
    /// The caller disconnected.
    #[display("caller-gone")]
    CallerGone,
    /// An operator stopped the request.
    #[display("stopped")]
    Stopped,
    /// The owner of the key's slot can't tell whether the key ran.
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
    /// The endpoint sent its whole response.
    Completed,
    /// It did not run, as confirmed by the agent or by the router before sending.
    NotRun {
        /// Why it did not run.
        reason: Reason,
        /// The delay after which a retry may succeed, if known.
        retry_after: Option<Duration>,
    },
    /// The endpoint may have run it.
    Unknown {
        /// The observed failure.
        reason: Reason,
    },
}

impl AttemptEnd {
    /// Returns whether the attempt is known not to have run.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }
}

//! What became of each request of a run.

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;

/// What a caller may think of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Complete, and its own.
    #[display("whole")]
    Whole,
    /// Another text than the right one: the worst there is.
    #[display("wrong")]
    Wrong,
    /// Part of the right text, passed off as whole.
    #[display("partial")]
    Partial,
    /// Refused with "not run".
    #[display("not-run")]
    NotRun,
    /// Said to have an unknown outcome, or cut off.
    #[display("unknown")]
    Unknown,
    /// Refused as malformed or unknown, which no request of a run is.
    #[display("rejected")]
    Rejected,
}

/// One request and its answer.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Sample {
    /// Its number in the run.
    pub serial: u64,
    /// The intended send time, in microseconds from the start.
    pub at_us: u64,
    /// The client account.
    pub account: String,
    /// The request kind.
    pub kind: String,
    /// The status, 0 without an answer.
    pub status: u16,
    /// What the checker found.
    pub verdict: Verdict,
    /// The reason given for a refusal.
    pub reason: String,
    /// From the intended send time to the last byte, in microseconds.
    pub latency_us: u64,
    /// From the intended send time to the first byte of the body.
    pub first_us: u64,
    /// The deadline, in microseconds.
    pub deadline_us: u64,
    /// The idempotency key, if the kind needs one.
    pub key: Option<String>,
    /// The router's id of the request.
    pub request: String,
}

impl Sample {
    /// Tells whether the answer was whole and within its deadline.
    #[must_use]
    pub fn is_attained(&self) -> bool {
        self.verdict == Verdict::Whole && self.latency_us <= self.deadline_us
    }

    /// Tells whether the answer was whole but past its deadline.
    #[must_use]
    pub fn is_late(&self) -> bool {
        self.verdict == Verdict::Whole && self.latency_us > self.deadline_us
    }
}

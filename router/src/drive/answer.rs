//! Messages from the driver of a request to the ingress.

use std::time::Duration;

use bytes::Bytes;
use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::outcome::Reason;

/// The final result of a request.
#[derive(Debug, Clone)]
pub(crate) struct RequestResult {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Option<Reason>,
    pub(crate) retry_after: Option<Duration>,
    /// The generated text; complete only if the outcome is `Completed`.
    pub(crate) text: String,
    /// The response body of a plain service.
    pub(crate) output: Option<Bytes>,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
}

/// A message from the driver to the ingress.
#[derive(Debug)]
pub(crate) enum DriverMessage {
    /// Text of the last stage, in order and without duplicate tokens.
    Text(Bytes),
    /// The final result, sent exactly once.
    Done(Box<RequestResult>),
}

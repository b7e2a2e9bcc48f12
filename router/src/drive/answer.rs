//! What the driver tells the door.

use std::time::Duration;

use bytes::Bytes;
use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::outcome::Reason;

/// The end of a request.
#[derive(Debug, Clone)]
pub(crate) struct RequestResult {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Option<Reason>,
    pub(crate) retry_after: Option<Duration>,
    /// The generated text, whole if the outcome is completed.
    pub(crate) text: String,
    /// The answer of a plain service.
    pub(crate) output: Option<Bytes>,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
}

/// A message from the driver to the door.
#[derive(Debug)]
pub(crate) enum DriverMessage {
    /// Text of the last stage, in order, each token once.
    Text(Bytes),
    /// The one end.
    Done(Box<RequestResult>),
}

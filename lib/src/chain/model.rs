//! What goes into a chain and what comes out.

use std::sync::Arc;
use std::time::Duration;

use super::Decision;
use crate::config::Pipeline;
use crate::ids::AttemptId;
use crate::ids::ClientAccount;
use crate::ids::EndpointId;
use crate::ids::PipelineName;
use crate::ids::RequestId;
use crate::ids::RequestKind;
use crate::outcome::AttemptEnd;
use crate::outcome::Outcome;
use crate::outcome::Reason;
use crate::time::Time;
use crate::units::Tokens;

/// The part of a prompt that decisions look at.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Prompt {
    /// The hashes of the prompt's prefix blocks, in order.
    pub prefix: Vec<u64>,
    /// The length of the prompt.
    pub tokens: Tokens,
    /// The most tokens that the answer may have.
    pub max_output: Tokens,
}

/// An accepted request.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// The request's id.
    pub request: RequestId,
    /// The client account that sent it.
    pub account: ClientAccount,
    /// The request kind that it asked for.
    pub kind: RequestKind,
    /// The name of the pipeline bound to account and kind.
    pub name: PipelineName,
    /// That pipeline, as it was when the request was accepted.
    pub pipeline: Arc<Pipeline>,
    /// When the whole answer is due.
    pub deadline: Time,
    /// The prompt.
    pub prompt: Prompt,
    /// Whether the caller takes tokens as they come.
    pub stream: bool,
    /// The only endpoint that may run a non-idempotent last stage.
    ///
    /// The owner of the key's slot; without one such a stage is not sent, and
    /// waits a bounded time for the next owner.
    pub slot_owner: Option<EndpointId>,
}

/// What an attempt used, as its agent reports it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Usage {
    /// The time in the endpoint's queue.
    pub queue: Duration,
    /// The time at work.
    pub work: Duration,
    /// The prompt tokens that the endpoint had cached.
    pub cached: Tokens,
    /// The tokens of the whole answer, those before `resume_from` included.
    pub output: Tokens,
}

/// What happened to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The driver is ready to carry out actions.
    Start,
    /// The frame of an attempt was written to its connection.
    Sent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Tokens of a streamed answer came.
    Chunk {
        /// The attempt.
        attempt: AttemptId,
        /// The index of the chunk's first token over the whole answer.
        index: u32,
        /// The number of tokens.
        tokens: u32,
    },
    /// An attempt ended.
    ///
    /// For a non-idempotent attempt the driver asks the agent first, where it
    /// can, and only then reports an unknown end.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
        /// What it used.
        usage: Usage,
    },
    /// The time asked for by [`Action::WakeAt`] has come.
    Wake,
    /// The caller went away.
    CallerGone,
    /// An operator stops the request.
    Stop,
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends an attempt of a stage.
    Send {
        /// The attempt's new number.
        attempt: AttemptId,
        /// The stage's index in the pipeline.
        stage: usize,
        /// The endpoint to send to.
        endpoint: EndpointId,
        /// The time after which its answer is of no use.
        remaining: Duration,
        /// The urgency; 0 is first.
        priority: u8,
        /// The tokens of the answer already held.
        resume_from: u32,
    },
    /// Tells the agent that nobody waits for an attempt any more.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Appends the chunk just reported to the stage's answer.
    ///
    /// The driver passes it on to the caller if the stage is the last one and
    /// the caller takes tokens as they come.
    Deliver {
        /// The attempt that the chunk belongs to.
        attempt: AttemptId,
        /// The first tokens of the chunk that were appended before.
        skip: u32,
    },
    /// Takes an attempt's answer as the stage's result.
    StageDone {
        /// The stage's index in the pipeline.
        stage: usize,
        /// The attempt whose answer counts.
        attempt: AttemptId,
    },
    /// Gives the caller the request's one outcome, at once.
    Finish {
        /// The outcome.
        outcome: Outcome,
        /// Why it is no answer, unless it is one.
        reason: Option<Reason>,
        /// When asking again may help.
        retry_after: Option<Duration>,
    },
    /// Asks for [`Event::Wake`] at a time; replaces the time asked for before.
    WakeAt(Time),
    /// Logs a decision.
    Decision(Decision),
}

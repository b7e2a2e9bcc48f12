//! The input and output types of a chain.

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

/// The properties of a prompt that routing decisions use.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Prompt {
    /// The hashes of the prompt's prefix blocks, in order.
    pub prefix: Vec<u64>,
    /// The length of the prompt in tokens.
    pub tokens: Tokens,
    /// The upper limit of output tokens.
    pub max_output: Tokens,
}

/// An accepted request.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// The request's id.
    pub request: RequestId,
    /// The client account that sent the request.
    pub account: ClientAccount,
    /// The requested kind.
    pub kind: RequestKind,
    /// The name of the pipeline bound to the account and kind.
    pub name: PipelineName,
    /// The pipeline as configured when the request was accepted.
    pub pipeline: Arc<Pipeline>,
    /// The deadline of the complete answer.
    pub deadline: Time,
    /// The prompt.
    pub prompt: Prompt,
    /// Whether the caller receives tokens as a stream.
    pub stream: bool,
    /// The only endpoint that may run a non-idempotent last stage.
    ///
    /// It owns the key's slot. Without an owner such a stage is not sent and
    /// waits for the next owner for a bounded time.
    pub slot_owner: Option<EndpointId>,
}

/// The resource usage of an attempt, as reported by its agent.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Usage {
    /// The time spent in the endpoint's queue.
    pub queue: Duration,
    /// The service time.
    pub work: Duration,
    /// The prompt tokens that the endpoint had cached.
    pub cached: Tokens,
    /// The tokens of the complete answer, including those before `resume_from`.
    pub output: Tokens,
}

/// An event of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The driver is ready to execute actions.
    Start,
    /// The frame of an attempt was written to its connection.
    Sent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Tokens of a streamed answer were received.
    Chunk {
        /// The attempt.
        attempt: AttemptId,
        /// The index of the chunk's first token within the complete answer.
        index: u32,
        /// The number of tokens.
        tokens: u32,
    },
    /// An attempt ended.
    ///
    /// For a non-idempotent attempt the driver queries the agent, if possible,
    /// before it reports an unknown end.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
        /// Its resource usage.
        usage: Usage,
    },
    /// The time requested by [`Action::WakeAt`] was reached.
    Wake,
    /// The caller disconnected.
    CallerGone,
    /// An operator stopped the request.
    Stop,
}

/// An action for the driver to execute.
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
        /// The remaining time in which a response is useful.
        remaining: Duration,
        /// The priority; 0 is the most urgent.
        priority: u8,
        /// The number of answer tokens already received.
        resume_from: u32,
    },
    /// Notifies the agent that an attempt was abandoned.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Appends the chunk of the current event to the stage's answer.
    ///
    /// The driver forwards it to the caller if the stage is the last one and
    /// the caller receives tokens as a stream.
    Deliver {
        /// The attempt that the chunk belongs to.
        attempt: AttemptId,
        /// The number of leading tokens of the chunk that were already appended.
        skip: u32,
    },
    /// Uses an attempt's response as the stage's result.
    StageDone {
        /// The stage's index in the pipeline.
        stage: usize,
        /// The attempt whose response is used.
        attempt: AttemptId,
    },
    /// Reports the request's single outcome to the caller immediately.
    Finish {
        /// The outcome.
        outcome: Outcome,
        /// The reason, unless the request completed.
        reason: Option<Reason>,
        /// The delay after which a retry may succeed.
        retry_after: Option<Duration>,
    },
    /// Requests [`Event::Wake`] at a time, replacing the time requested before.
    WakeAt(Time),
    /// Logs a decision.
    Decision(Decision),
}

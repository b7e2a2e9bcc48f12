//! State that a driver keeps for its attempts.

use std::time::Duration;

use snipeyoke_lib::config::StageRole;
use snipeyoke_lib::ids::AttemptId;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_wire::Call;

use super::work::StageOutput;
use crate::agents::CallHandle;

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) stage: usize,
    pub(super) role: StageRole,
    pub(super) call: Option<CallHandle>,
    pub(super) output: Option<StageOutput>,
    pub(super) output_tokens: u32,
    /// The call, kept so that it can be resent to resolve a missing reply.
    pub(super) resend: Option<Call>,
}

/// Events that the chain has received and must not receive twice.
///
/// The flags that trigger them stay set. A chain that continues because a
/// non-idempotent call still runs would receive the same event in a busy loop.
#[derive(Debug, Default)]
pub(super) struct Notified {
    pub(super) caller_gone: bool,
    pub(super) stopped: bool,
}

/// The parameters of a new attempt.
pub(super) struct AttemptRequest {
    pub(super) attempt: AttemptId,
    pub(super) stage: usize,
    pub(super) remaining: Duration,
    pub(super) priority: u8,
    pub(super) resume: u32,
}

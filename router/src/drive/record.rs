//! What a driver notes of its attempts.

use std::time::Duration;

use snipeyoke_lib::config::StageRole;
use snipeyoke_lib::ids::AttemptId;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_wire::Call;

use super::work::StageOutput;
use crate::agents::CallHandle;

/// One attempt on its way.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) stage: usize,
    pub(super) role: StageRole,
    pub(super) call: Option<CallHandle>,
    pub(super) output: Option<StageOutput>,
    pub(super) output_tokens: u32,
    /// The call, kept while a missing answer could be resolved by it.
    pub(super) resend: Option<Call>,
}

/// What the chain has heard once and need not hear again.
///
/// The flags behind it stay set: without this a chain that goes on, because a
/// non-idempotent call still runs, would be told without end and keep the
/// thread busy.
#[derive(Debug, Default)]
pub(super) struct Notified {
    pub(super) caller_gone: bool,
    pub(super) stopped: bool,
}

/// What an attempt is sent with.
pub(super) struct AttemptRequest {
    pub(super) attempt: AttemptId,
    pub(super) stage: usize,
    pub(super) remaining: Duration,
    pub(super) priority: u8,
    pub(super) resume: u32,
}

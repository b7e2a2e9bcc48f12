//! Conversion of an agent's frames to the end of an attempt.

use std::time::Duration;

use snipeyoke_lib::chain::Usage;
use snipeyoke_lib::config::StageRole;
use snipeyoke_lib::outcome::AttemptEnd;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_lib::units::Tokens;
use snipeyoke_wire::End;
use snipeyoke_wire::Reply;
use snipeyoke_wire::Role;

use super::work::PipelineData;
use super::work::StageOutput;
use crate::agents::Signal;

/// Returns the reason if the end of a call is unknown.
pub(super) fn unknown_end_reason(signal: &Signal) -> Option<Reason> {
    match signal {
        Signal::Lost { written: true } => Some(Reason::Connection),
        Signal::Reply(reply) if reply.end() == End::Unknown => {
            let reason = reply.reason.parse().unwrap_or(Reason::EndpointFailure);
            // A conflict is a definite result: the key was used with another body.
            (reason != Reason::KeyConflict).then_some(reason)
        }
        _ => None,
    }
}

pub(super) const fn wire_role(role: StageRole) -> Role {
    match role {
        StageRole::Encode => Role::Encode,
        StageRole::Retrieve => Role::Retrieve,
        StageRole::Rerank => Role::Rerank,
        StageRole::Generate => Role::Generate,
        StageRole::Call => Role::Call,
    }
}

pub(super) fn reply_usage(reply: &Reply) -> Usage {
    Usage {
        queue: Duration::from_micros(reply.queue_us),
        work: Duration::from_micros(reply.work_us),
        cached: Tokens(reply.cached_tokens),
        output: Tokens(reply.output_tokens),
    }
}

/// Parses the output of an attempt from its reply.
///
/// Output that lacks the fields its role requires ends the attempt as unknown;
/// if it counted as completed, the caller would receive an incomplete result.
///
/// # Errors
///
/// Returns the [`AttemptEnd`] of an attempt that did not complete.
pub(super) fn attempt_end(
    data: &PipelineData,
    role: StageRole,
    reply: &Reply,
) -> Result<StageOutput, AttemptEnd> {
    let reason = reply.reason.parse().unwrap_or(Reason::EndpointFailure);
    match reply.end() {
        End::Completed => data.parse_output(role, &reply.body).map_err(|error| {
            log::warn!(event = "answer-malformed", error = error.to_string().as_str(); "");
            let reason = Reason::EndpointFailure;
            AttemptEnd::Unknown { reason }
        }),
        End::NotRun => {
            let delay = Duration::from_millis(u64::from(reply.retry_after_ms));
            let retry_after = (reply.retry_after_ms > 0).then_some(delay);
            Err(AttemptEnd::NotRun {
                reason,
                retry_after,
            })
        }
        End::Unknown | End::Unspecified => Err(AttemptEnd::Unknown { reason }),
    }
}

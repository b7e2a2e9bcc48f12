//! The life of one non-idempotent call at the agent.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use snipeyoke_lib::once::Answer as StoredAnswer;
use snipeyoke_lib::once::NotRun;
use snipeyoke_lib::once::OnceEnd;
use snipeyoke_lib::once::OnceKey;
use snipeyoke_lib::once::Verdict;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_wire::Call;
use uuid::Uuid;

use crate::endpoint::CallOutcome;
use crate::endpoint::TokenUsage;
use crate::gate::Permit;
use crate::node::Node;
use crate::owner::Owner;

/// The longest time for an effect, whoever still waits for it.
///
/// Beyond it the key counts as unknown, so that a service that never answers
/// can't fill the key table with calls that run for good.
const EFFECT_TIMEOUT: Duration = Duration::from_mins(1);

/// When a caller may come back after a refusal for lack of a lease.
const LEASE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Runs a call at most once, or answers from the key table.
pub(crate) async fn run(node: &Arc<Node>, call: &Call, permit: Permit) -> CallOutcome {
    let Some(owner) = &node.owner else {
        return not_run(NotRun::NoLease);
    };
    let Some(key) = call.once.as_ref().and_then(key_of) else {
        return unknown(Reason::KeyUnknown);
    };
    let mut permit = Some(permit);
    loop {
        // The listener comes before the look at the table: an end between the
        // two would otherwise be missed.
        let listener = owner.listen_ended();
        match owner.admit(&key) {
            Verdict::Run => {
                let Some(permit) = permit.take() else {
                    // The first try of two turned out not to have run. Taking
                    // the room again is for the router to ask for.
                    owner.end(&key, OnceEnd::NotRun);
                    return not_run(NotRun::Full);
                };
                return run_effect(node, owner, call, key, permit).await;
            }
            Verdict::Wait => {
                permit = None;
                listener.await;
            }
            verdict => return outcome_of_verdict(verdict),
        }
    }
}

/// Answers a question about a key, once the call under way has ended.
pub(crate) async fn look_up(owner: &Owner, key: &OnceKey) -> CallOutcome {
    loop {
        let listener = owner.listen_ended();
        match owner.look_up(key) {
            Verdict::Wait => listener.await,
            verdict => return outcome_of_verdict(verdict),
        }
    }
}

/// Starts the effect on its own task and waits for its end.
///
/// The effect goes on when the router, its link or the caller are gone: called
/// off, it would end as unknown where waiting gives the key an answer.
async fn run_effect(
    node: &Arc<Node>,
    owner: &Arc<Owner>,
    call: &Call,
    key: OnceKey,
    permit: Permit,
) -> CallOutcome {
    let (sender, receiver) = async_channel::bounded(1);
    let effect = Effect {
        node: Arc::clone(node),
        owner: Arc::clone(owner),
        call: call.clone(),
        key,
        permit,
    };
    node.scope.spawn(effect.run(sender));
    let outcome = receiver.recv().await;
    outcome.unwrap_or_else(|_closed| unknown(Reason::Connection))
}

struct Effect {
    node: Arc<Node>,
    owner: Arc<Owner>,
    call: Call,
    key: OnceKey,
    permit: Permit,
}

impl Effect {
    async fn run(self, sender: Sender<CallOutcome>) {
        let outcome = match self.owner.start(&self.key) {
            Ok(()) => self.call_endpoint().await,
            Err(cause) => not_run(cause),
        };
        self.owner.end(&self.key, once_end_of(&outcome));
        drop(self.permit);
        if sender.try_send(outcome).is_err() {
            log::debug!(event = "effect-unwatched", key = self.key.key.to_string().as_str(); "");
        }
    }

    async fn call_endpoint(&self) -> CallOutcome {
        let work = self.node.endpoint.run(&self.call, |_chunk| {});
        let limit = async {
            Timer::after(EFFECT_TIMEOUT).await;
            unknown(Reason::Timeout)
        };
        work.or(limit).await
    }
}

fn once_end_of(outcome: &CallOutcome) -> OnceEnd {
    match outcome {
        CallOutcome::Completed { status, body, .. } => OnceEnd::Answered(StoredAnswer {
            status: *status,
            body: body.to_vec(),
        }),
        CallOutcome::NotRun { .. } => OnceEnd::NotRun,
        CallOutcome::Unknown { .. } => OnceEnd::Unknown,
    }
}

fn outcome_of_verdict(verdict: Verdict) -> CallOutcome {
    match verdict {
        Verdict::Replay(stored) => CallOutcome::Completed {
            status: stored.status,
            body: Bytes::from(stored.body),
            usage: TokenUsage::default(),
        },
        Verdict::Conflict => unknown(Reason::KeyConflict),
        Verdict::NotRun(cause) => not_run(cause),
        Verdict::Unknown | Verdict::Run | Verdict::Wait => unknown(Reason::KeyUnknown),
    }
}

const fn unknown(reason: Reason) -> CallOutcome {
    CallOutcome::Unknown { reason, status: 0 }
}

const fn not_run(cause: NotRun) -> CallOutcome {
    let reason = match cause {
        NotRun::NoLease => Reason::NoLease,
        NotRun::Draining => Reason::Draining,
        NotRun::Full => Reason::Overload,
        NotRun::FutureKey => Reason::KeyUnknown,
    };
    CallOutcome::NotRun {
        reason,
        retry_after: Some(LEASE_RETRY_DELAY),
    }
}

/// Reads a key out of a frame; `None` if it is malformed.
pub(crate) fn key_of(key: &snipeyoke_wire::OnceKey) -> Option<OnceKey> {
    Some(OnceKey {
        account: key.account.parse().ok()?,
        key: Uuid::from_slice(&key.key).ok()?,
        digest: key.digest.as_ref().try_into().ok()?,
    })
}

//! At-most-once execution of non-idempotent calls.

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

/// The timeout of an effect, even if a router still waits for it.
///
/// After it, the key counts as unknown, so that a service that never responds can't
/// fill the key table with running calls.
const EFFECT_TIMEOUT: Duration = Duration::from_mins(1);

/// When a router may retry after a refusal, for example for lack of a lease.
const LEASE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Runs a call at most once, or returns the stored result for its key.
pub(crate) async fn run(node: &Arc<Node>, call: &Call, permit: Permit) -> CallOutcome {
    let Some(owner) = &node.owner else {
        return not_run(NotRun::NoLease);
    };
    let Some(key) = call.once.as_ref().and_then(key_of) else {
        return unknown(Reason::KeyUnknown);
    };
    let mut permit = Some(permit);
    loop {
        // Listen before reading the table: an end between the two would otherwise be
        // missed.
        let listener = owner.listen_ended();
        match owner.admit(&key) {
            Verdict::Run => {
                let Some(permit) = permit.take() else {
                    // The concurrent attempt did not run, but this one has released
                    // its permit, so the router has to retry.
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

/// Returns the result for a key, once any running call for it has ended.
pub(crate) async fn look_up(owner: &Owner, key: &OnceKey) -> CallOutcome {
    loop {
        let listener = owner.listen_ended();
        match owner.look_up(key) {
            Verdict::Wait => listener.await,
            verdict => return outcome_of_verdict(verdict),
        }
    }
}

/// Runs the effect in a separate task and waits for its end.
///
/// The effect continues even if the router, its link or the caller is gone: if
/// cancelled, it would end as unknown, while waiting yields a result for the key.
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

/// Parses a key from a frame; returns `None` if it is malformed.
pub(crate) fn key_of(key: &snipeyoke_wire::OnceKey) -> Option<OnceKey> {
    Some(OnceKey {
        account: key.account.parse().ok()?,
        key: Uuid::from_slice(&key.key).ok()?,
        digest: key.digest.as_ref().try_into().ok()?,
    })
}

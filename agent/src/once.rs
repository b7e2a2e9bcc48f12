//! The life of one non-idempotent call at the agent.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use snipeyoke_lib::once::Answer as Kept;
use snipeyoke_lib::once::NotRun;
use snipeyoke_lib::once::OnceEnd;
use snipeyoke_lib::once::OnceKey;
use snipeyoke_lib::once::Verdict;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_wire::Call;
use uuid::Uuid;

use crate::endpoint::Answer;
use crate::endpoint::TokenUse;
use crate::gate::Permit;
use crate::node::Node;
use crate::owner::Owner;

/// The longest time for an effect, whoever still waits for it.
///
/// Beyond it the key counts as unknown, so that a service that never answers
/// can't fill the key table with calls that run for good.
const EFFECT_LIMIT: Duration = Duration::from_mins(1);

/// When a caller may come back after a refusal for lack of a lease.
const LEASE_RETRY: Duration = Duration::from_millis(500);

/// Runs a call at most once, or answers from the key table.
pub(crate) async fn run(node: &Arc<Node>, call: &Call, permit: Permit) -> Answer {
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
        let listener = owner.listen();
        match owner.admit(&key) {
            Verdict::Run => {
                let Some(permit) = permit.take() else {
                    // The first try of two turned out not to have run. Taking
                    // the room again is for the router to ask for.
                    owner.end(&key, OnceEnd::NotRun);
                    return not_run(NotRun::Full);
                };
                return effect(node, owner, call, key, permit).await;
            }
            Verdict::Wait => {
                permit = None;
                listener.await;
            }
            verdict => return told(verdict),
        }
    }
}

/// Answers a question about a key, once the call under way has ended.
pub(crate) async fn ask(owner: &Owner, key: &OnceKey) -> Answer {
    loop {
        let listener = owner.listen();
        match owner.ask(key) {
            Verdict::Wait => listener.await,
            verdict => return told(verdict),
        }
    }
}

/// Starts the effect on its own task and waits for its end.
///
/// The effect goes on when the router, its link or the caller are gone: called
/// off, it would end as unknown where waiting gives the key an answer.
async fn effect(
    node: &Arc<Node>,
    owner: &Arc<Owner>,
    call: &Call,
    key: OnceKey,
    permit: Permit,
) -> Answer {
    let (send, receive) = async_channel::bounded(1);
    let work = Work {
        node: Arc::clone(node),
        owner: Arc::clone(owner),
        call: call.clone(),
        key,
        permit,
    };
    node.scope.spawn(work.run(send));
    let answer = receive.recv().await;
    answer.unwrap_or_else(|_closed| unknown(Reason::Connection))
}

struct Work {
    node: Arc<Node>,
    owner: Arc<Owner>,
    call: Call,
    key: OnceKey,
    permit: Permit,
}

impl Work {
    async fn run(self, to: Sender<Answer>) {
        let answer = match self.owner.start(&self.key) {
            Ok(()) => self.call_endpoint().await,
            Err(why) => not_run(why),
        };
        self.owner.end(&self.key, end_of(&answer));
        drop(self.permit);
        if to.try_send(answer).is_err() {
            log::debug!(event = "effect-unwatched", key = self.key.key.to_string().as_str(); "");
        }
    }

    async fn call_endpoint(&self) -> Answer {
        let work = self.node.endpoint.run(&self.call, |_piece| {});
        let limit = async {
            Timer::after(EFFECT_LIMIT).await;
            unknown(Reason::Timeout)
        };
        work.or(limit).await
    }
}

fn end_of(answer: &Answer) -> OnceEnd {
    match answer {
        Answer::Completed { status, body, .. } => OnceEnd::Answered(Kept {
            status: *status,
            body: body.to_vec(),
        }),
        Answer::NotRun { .. } => OnceEnd::NotRun,
        Answer::Unknown { .. } => OnceEnd::Unknown,
    }
}

fn told(verdict: Verdict) -> Answer {
    match verdict {
        Verdict::Replay(kept) => Answer::Completed {
            status: kept.status,
            body: Bytes::from(kept.body),
            usage: TokenUse::default(),
        },
        Verdict::Conflict => unknown(Reason::KeyConflict),
        Verdict::NotRun(why) => not_run(why),
        Verdict::Unknown | Verdict::Run | Verdict::Wait => unknown(Reason::KeyUnknown),
    }
}

const fn unknown(reason: Reason) -> Answer {
    Answer::Unknown { reason, status: 0 }
}

const fn not_run(why: NotRun) -> Answer {
    let reason = match why {
        NotRun::NoLease => Reason::NoLease,
        NotRun::Draining => Reason::Draining,
        NotRun::Full => Reason::Overload,
        NotRun::FutureKey => Reason::KeyUnknown,
    };
    Answer::NotRun {
        reason,
        retry: Some(LEASE_RETRY),
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

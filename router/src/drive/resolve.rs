//! Resolves the outcome of a non-idempotent call whose reply is missing.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::ids::AttemptId;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::once::KeySlot;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_lib::time::Time;
use snipeyoke_wire::Call;
use snipeyoke_wire::End;
use snipeyoke_wire::OnceKey;
use snipeyoke_wire::Reply;

use crate::agents::Input;
use crate::agents::Signal;
use crate::node::Node;

/// The pause between attempts, for a link or slot owner to recover.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The time-out of an outcome request to one agent.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// The time reserved before the deadline for sending the response.
const REPLY_MARGIN: Duration = Duration::from_millis(20);

/// The idempotency key of a request that must not run twice.
#[derive(Debug, Clone)]
pub(crate) struct IdempotencyKey {
    pub(crate) key: OnceKey,
    pub(crate) slot: KeySlot,
}

/// Resolves the outcome of one call.
#[derive(Debug)]
pub(crate) struct Resolver {
    pub(crate) attempt: AttemptId,
    pub(crate) call: Call,
    pub(crate) pool: PoolName,
    pub(crate) slot: KeySlot,
    pub(crate) deadline: Time,
    /// The reason to report if the outcome stays unknown.
    pub(crate) reason: Reason,
    pub(crate) input_sender: Sender<Input>,
}

impl Resolver {
    /// Resolves the call and reports its end to the driver before the deadline.
    pub(crate) async fn run(self, node: Arc<Node>) {
        let limit = (self.deadline - REPLY_MARGIN).since(node.clock.now());
        let timeout = async {
            Timer::after(limit).await;
            None
        };
        let found = self.find_reply(&node).or(timeout).await;
        let unknown_reply = || Reply {
            end: End::Unknown.into(),
            reason: self.reason.to_string(),
            ..Reply::default()
        };
        let signal = Signal::Resolved(found.unwrap_or_else(unknown_reply));
        let attempt = self.attempt;
        if self
            .input_sender
            .try_send(Input { attempt, signal })
            .is_err()
        {
            log::debug!(event = "driver-gone", attempt = attempt.0; "");
        }
    }

    /// Resends the call until the slot owner reports how it ended.
    ///
    /// Resending is safe: an owner runs each key once, and a new owner refuses
    /// keys older than its claim. A "not run" reply proves nothing here, as it
    /// does not cover the first attempt.
    async fn find_reply(&self, node: &Node) -> Option<Reply> {
        loop {
            if let Some(reply) = self.send(node).await {
                match reply.end() {
                    End::Completed => return Some(reply),
                    End::Unknown | End::Unspecified => {
                        return self.query_pool(node).await.or(Some(reply));
                    }
                    End::NotRun => {}
                }
            }
            Timer::after(RETRY_PAUSE).await;
        }
    }

    async fn send(&self, node: &Node) -> Option<Reply> {
        let owner = node.owner(&self.pool, self.slot)?;
        let mut call = self.call.clone();
        let remaining = self.deadline.since(node.clock.now());
        call.left_us = u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX);
        let (send, receive) = async_channel::unbounded();
        let _handle = node.agents.call(&owner, self.attempt, call, send)?;
        match receive.recv().await.ok()?.signal {
            Signal::Reply(reply) => Some(reply),
            Signal::Chunk(_) | Signal::Lost { .. } | Signal::Resolved(_) => None,
        }
    }

    /// Queries every agent of the pool, as a former owner may have the result.
    async fn query_pool(&self, node: &Node) -> Option<Reply> {
        let key = self.call.once.as_ref()?;
        let endpoints: Vec<EndpointId> = {
            let shared = node.shared();
            let pool = shared.fleet.pool(&self.pool)?;
            let ids = pool.endpoints().iter().map(|e| e.id().clone());
            ids.collect()
        };
        for endpoint in endpoints {
            let Some(receiver) = node.agents.request_outcome(&endpoint, key.clone()) else {
                continue;
            };
            let response = async { receiver.recv().await.ok() };
            let timeout = async {
                Timer::after(QUERY_TIMEOUT).await;
                None
            };
            let reply = response.or(timeout).await;
            if let Some(reply) = reply.filter(|r| r.end() == End::Completed) {
                return Some(reply);
            }
        }
        None
    }
}

//! Links to agents, and the calls in flight on them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use snipeyoke_lib::ids::AttemptId;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::link::LinkSender;
use snipeyoke_runtime::link::Written;
use snipeyoke_wire::Ask;
use snipeyoke_wire::Call;
use snipeyoke_wire::Cancel;
use snipeyoke_wire::Chunk;
use snipeyoke_wire::OnceKey;
use snipeyoke_wire::Reply;
use snipeyoke_wire::Told;
use snipeyoke_wire::frame::Body;

/// The delay before the same configuration offer or request is sent again.
const SYNC_RETRY: Duration = Duration::from_secs(2);

/// A signal about one attempt, for its driver.
#[derive(Debug)]
pub(crate) struct Input {
    pub(crate) attempt: AttemptId,
    pub(crate) signal: Signal,
}

/// An event of an attempt's call.
#[derive(Debug)]
pub(crate) enum Signal {
    /// Tokens arrived.
    Chunk(Chunk),
    /// The agent replied.
    Reply(Reply),
    /// The end of a call without a reply was resolved.
    Resolved(Reply),
    /// The link failed; `written` is set if the agent may have received the call.
    Lost { written: bool },
}

/// The last configuration sync over a link: its offsets and its time.
#[derive(Debug, Default)]
struct LastSync {
    offsets: Option<(Offset, Offset)>,
    time: Time,
}

/// The link to one agent.
#[derive(Debug)]
pub(crate) struct AgentLink {
    pub(crate) address: SocketAddr,
    sender: LinkSender,
    next: AtomicU64,
    /// Set after the first load report of the agent on this link.
    pub(crate) reported: Flag,
    calls: Mutex<BTreeMap<u64, PendingCall>>,
    outcome_requests: Mutex<BTreeMap<u64, Sender<Reply>>>,
    last_sync: Mutex<LastSync>,
}

#[derive(Debug)]
struct PendingCall {
    attempt: AttemptId,
    input_sender: Sender<Input>,
    written: Option<Written>,
}

/// A handle to cancel a call in flight.
#[derive(Debug)]
pub(crate) struct CallHandle {
    link: Arc<AgentLink>,
    number: u64,
}

/// The open links, by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Agents {
    links: Mutex<BTreeMap<EndpointId, Arc<AgentLink>>>,
}

impl Agents {
    /// Adds an open link, replacing an older one to the same endpoint.
    pub(crate) fn open(&self, endpoint: EndpointId, link: Arc<AgentLink>) {
        self.links().insert(endpoint, link);
    }

    /// Removes a link unless a newer one has replaced it.
    ///
    /// Returns whether the endpoint has no link any more.
    pub(crate) fn close(&self, endpoint: &EndpointId, link: &Arc<AgentLink>) -> bool {
        let mut links = self.links();
        let same = links.get(endpoint).is_some_and(|l| Arc::ptr_eq(l, link));
        if same {
            links.remove(endpoint);
        }
        same
    }

    /// Sends a call; `None` guarantees that nothing was or will be written.
    pub(crate) fn call(
        &self,
        endpoint: &EndpointId,
        attempt: AttemptId,
        call: Call,
        input_sender: Sender<Input>,
    ) -> Option<CallHandle> {
        let link = self.links().get(endpoint).cloned()?;
        link.call(attempt, call, input_sender)
    }

    /// Requests the outcome of a key from an agent; `None` if it has no link.
    pub(crate) fn request_outcome(
        &self,
        endpoint: &EndpointId,
        key: OnceKey,
    ) -> Option<Receiver<Reply>> {
        let link = self.links().get(endpoint).cloned()?;
        link.request_outcome(key)
    }

    /// Sends a frame without a response to an agent, if it has a link.
    pub(crate) fn send(&self, endpoint: &EndpointId, body: Body) {
        let link = self.links().get(endpoint).cloned();
        if let Some(link) = link {
            link.send(body);
        }
    }

    /// Returns the number of links whose agent has reported its load.
    pub(crate) fn reported_count(&self) -> usize {
        let links = self.links();
        links.values().filter(|l| l.reported.is_set()).count()
    }

    fn links(&self) -> MutexGuard<'_, BTreeMap<EndpointId, Arc<AgentLink>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AgentLink {
    pub(crate) fn new(address: SocketAddr, sender: LinkSender) -> Self {
        Self {
            address,
            sender,
            next: AtomicU64::new(1),
            reported: Flag::default(),
            calls: Mutex::default(),
            outcome_requests: Mutex::default(),
            last_sync: Mutex::default(),
        }
    }

    /// Returns whether the configuration needs a sync between these offsets.
    ///
    /// An agent reports twice a second, also while a snapshot of a megabyte is
    /// in flight to it; without the delay each report would queue it again.
    pub(crate) fn needs_sync(&self, now: Time, own: Offset, theirs: Offset) -> bool {
        let mut last = self
            .last_sync
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if last.offsets == Some((own, theirs)) && now.since(last.time) < SYNC_RETRY {
            return false;
        }
        *last = LastSync {
            offsets: Some((own, theirs)),
            time: now,
        };
        own != theirs
    }

    fn call(
        self: Arc<Self>,
        attempt: AttemptId,
        mut call: Call,
        input_sender: Sender<Input>,
    ) -> Option<CallHandle> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        call.call = number;
        // One lock covers sending and inserting the entry: otherwise a reply could
        // arrive before the entry exists, or the link could fail before it is
        // known whether the frame was written.
        let mut calls = self.calls();
        let written = self.sender.send_tracked(Body::Call(call)).ok()?;
        let pending = PendingCall {
            attempt,
            input_sender,
            written: Some(written),
        };
        calls.insert(number, pending);
        drop(calls);
        Some(CallHandle { link: self, number })
    }

    fn request_outcome(&self, key: OnceKey) -> Option<Receiver<Reply>> {
        let ask = self.next.fetch_add(1, Ordering::Relaxed);
        let (send, receive) = async_channel::bounded(1);
        self.outcome_requests().insert(ask, send);
        let frame = Ask {
            ask,
            key: Some(key),
        };
        if self.sender.send(Body::Ask(frame)).is_err() {
            self.outcome_requests().remove(&ask);
            return None;
        }
        Some(receive)
    }

    /// Sends a frame without a response.
    pub(crate) fn send(&self, body: Body) {
        if let Err(error) = self.sender.send(body) {
            log::debug!(event = "frame-unsent", error = error.to_string().as_str(); "");
        }
    }

    /// Passes the response of an outcome request on to the requester.
    pub(crate) fn on_outcome_response(&self, response: Told) {
        let requester = self.outcome_requests().remove(&response.ask);
        if let (Some(requester), Some(reply)) = (requester, response.reply)
            && requester.try_send(reply).is_err()
        {
            log::debug!(event = "asker-gone", ask = response.ask; "");
        }
    }

    fn outcome_requests(&self) -> MutexGuard<'_, BTreeMap<u64, Sender<Reply>>> {
        self.outcome_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes a chunk on to its driver.
    pub(crate) fn on_chunk(&self, chunk: Chunk) {
        let calls = self.calls();
        // A late chunk of a cancelled call has no entry and is dropped.
        if let Some(pending) = calls.get(&chunk.call) {
            pending.notify(Signal::Chunk(chunk));
        }
    }

    /// Passes a reply on to its driver.
    pub(crate) fn on_reply(&self, reply: Reply) {
        let pending = self.calls().remove(&reply.call);
        if let Some(pending) = pending {
            pending.notify(Signal::Reply(reply));
        }
    }

    /// Returns whether no call is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.calls().is_empty()
    }

    /// Ends every call after the link is lost.
    ///
    /// Must be called after the writer has ended: only then is it certain which
    /// calls were never written.
    pub(crate) fn on_link_lost(&self) {
        self.outcome_requests().clear();
        let calls = std::mem::take(&mut *self.calls());
        for pending in calls.into_values() {
            let written = pending.written.as_ref().is_none_or(Written::is_set);
            pending.notify(Signal::Lost { written });
        }
    }

    fn calls(&self) -> MutexGuard<'_, BTreeMap<u64, PendingCall>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PendingCall {
    fn notify(&self, signal: Signal) {
        let input = Input {
            attempt: self.attempt,
            signal,
        };
        if self.input_sender.try_send(input).is_err() {
            log::debug!(event = "driver-gone", attempt = self.attempt.0; "");
        }
    }
}

impl CallHandle {
    /// Cancels the call at the agent; a late reply is dropped.
    pub(crate) fn cancel(self) {
        let known = self.link.calls().remove(&self.number).is_some();
        let cancel = Cancel { call: self.number };
        if known && self.link.sender.send(Body::Cancel(cancel)).is_err() {
            log::debug!(event = "cancel-unsent", call = self.number; "");
        }
    }
}

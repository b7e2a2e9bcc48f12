//! Checks and preparation common to all requests before they are driven.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use hyper::HeaderMap;
use sha2::Digest;
use sha2::Sha256;
use snipeyoke_lib::admission::Refusal;
use snipeyoke_lib::chain::Prompt;
use snipeyoke_lib::chain::RequestSpec;
use snipeyoke_lib::config::Pipeline;
use snipeyoke_lib::ids::ClientAccount;
use snipeyoke_lib::ids::PipelineName;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_lib::ids::RequestKind;
use snipeyoke_lib::once as lib;
use snipeyoke_lib::outcome::Outcome;
use snipeyoke_runtime::clock::Clock;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::http::BodyError;
use snipeyoke_runtime::http::CallerConnection;
use snipeyoke_runtime::http::HeldBody;
use snipeyoke_runtime::http::HeldMemory;
use snipeyoke_runtime::http::Request;
use snipeyoke_wire::OnceKey;

use super::auth;
use super::error::IngressError;
use crate::board::ConfigFact;
use crate::drive::DriverMessage;
use crate::drive::IdempotencyKey;
use crate::drive::Job;
use crate::drive::PipelineData;
use crate::drive::RequestResult;
use crate::drive::drive;
use crate::node::Node;

/// A request whose client account is known.
#[derive(Debug)]
pub(crate) struct AuthenticatedRequest {
    pub(crate) id: RequestId,
    pub(crate) fact: Arc<ConfigFact>,
    pub(crate) account: ClientAccount,
}

/// A request bound to its pipeline.
#[derive(Debug)]
pub(crate) struct PipelineBinding {
    pub(crate) kind: RequestKind,
    pub(crate) name: PipelineName,
    pub(crate) pipeline: Arc<Pipeline>,
}

/// A request while it is handled.
#[derive(Debug)]
pub(crate) struct RequestContext {
    pub(crate) messages: Receiver<DriverMessage>,
    pub(crate) guard: CallerGuard,
}

/// Notifies the driver on drop that the caller disconnected.
#[derive(Debug)]
pub(crate) struct CallerGuard {
    gone: Flag,
    /// The memory of the request's body.
    _memory: HeldMemory,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.gone.set();
    }
}

/// Authenticates the caller.
///
/// # Errors
///
/// Returns [`IngressError`] while draining, without configuration, or for a key
/// that is missing or unknown.
pub(crate) fn authenticate(
    node: &Node,
    id: RequestId,
    headers: &HeaderMap,
) -> Result<AuthenticatedRequest, IngressError> {
    if node.board.drain.is_set() {
        return Err(IngressError::Draining);
    }
    let fact = node.board.config.get();
    if !fact.is_known() {
        return Err(IngressError::NoConfig);
    }
    let account = auth::account(headers, &fact)?;
    Ok(AuthenticatedRequest { id, fact, account })
}

/// Reads the caller's body within the limits of size and time.
///
/// # Errors
///
/// Returns [`IngressError`] for a body that is too large, too slow or incomplete.
pub(crate) async fn read_body(node: &Node, mut request: Request) -> Result<HeldBody, IngressError> {
    let bounds = node.settings.bounds;
    let connection = request.extensions_mut().remove::<Arc<CallerConnection>>();
    let read = async {
        let connection = connection.ok_or(IngressError::NoMemory)?;
        let (head, body) = request.into_parts();
        let body = connection.receive(&head.headers, body, bounds.body_bytes);
        body.await.map_err(|error| match error {
            BodyError::TooLarge { max } => IngressError::TooLarge { max },
            BodyError::Connection(_) => IngressError::SlowBody,
            BodyError::NoMemory => IngressError::NoMemory,
        })
    };
    let timeout = async {
        Timer::after(Duration::from_millis(bounds.body_ms)).await;
        Err(IngressError::SlowBody)
    };
    read.or(timeout).await
}

impl AuthenticatedRequest {
    /// Returns the pipeline bound to the caller's request kind.
    ///
    /// # Errors
    ///
    /// Returns [`IngressError`] if there is none.
    pub(crate) fn bind(&self, kind: &str) -> Result<PipelineBinding, IngressError> {
        let not_found = || IngressError::NoKind {
            kind: kind.to_owned(),
        };
        let Ok(kind) = kind.parse::<RequestKind>() else {
            return Err(not_found());
        };
        let bound = self.fact.config.bound(&self.account, &kind);
        let (name, pipeline) = bound.ok_or_else(not_found)?;
        Ok(PipelineBinding {
            kind,
            name: name.clone(),
            pipeline: Arc::new(pipeline.clone()),
        })
    }

    /// Parses the idempotency key if the pipeline needs one.
    ///
    /// # Errors
    ///
    /// Returns [`IngressError`] if it is missing or not a `UUIDv7`.
    pub(crate) fn idempotency_key(
        &self,
        pipeline: &Pipeline,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Result<Option<IdempotencyKey>, IngressError> {
        if pipeline.is_idempotent() {
            return Ok(None);
        }
        let value = headers
            .get("idempotency-key")
            .ok_or(IngressError::KeyMissing)?;
        let text = value
            .to_str()
            .map_err(|_binary| IngressError::KeyMalformed)?;
        // The IETF draft defines the key as a quoted string; many clients omit
        // the quotes.
        let key = lib::OnceKey {
            account: self.account.clone(),
            key: lib::OnceKey::parse(text.trim().trim_matches('"')).map_err(IngressError::Key)?,
            digest: Sha256::digest(body).into(),
        };
        key.check_issue_time(Clock::wall())
            .map_err(IngressError::Key)?;
        let slot = key.slot();
        let key = OnceKey {
            key: Bytes::copy_from_slice(key.key.as_bytes()),
            digest: Bytes::copy_from_slice(&key.digest),
            account: self.account.to_string(),
            slot: u32::from(slot.number()),
            fence: 0,
        };
        Ok(Some(IdempotencyKey { key, slot }))
    }

    /// Starts driving a request.
    pub(crate) fn start(
        self,
        node: &Arc<Node>,
        binding: PipelineBinding,
        prompt: Prompt,
        (data, memory): (PipelineData, HeldMemory),
        key: Option<IdempotencyKey>,
        stream: bool,
    ) -> RequestContext {
        let last = binding.pipeline.stages.last();
        let owner = key.as_ref().zip(last);
        let owner = owner.and_then(|(key, stage)| node.owner(&stage.pool, key.slot));
        let now = node.clock.now();
        let deadline = now + binding.pipeline.deadline();
        let spec = RequestSpec {
            request: self.id,
            account: self.account,
            kind: binding.kind,
            name: binding.name,
            pipeline: binding.pipeline,
            deadline,
            prompt,
            stream,
            slot_owner: owner,
        };
        let (sender, messages) = async_channel::unbounded();
        let caller_gone = Flag::default();
        let stop = Flag::default();
        node.control.records.begin(now, &spec, stop.clone());
        let guard = CallerGuard {
            gone: caller_gone.clone(),
            _memory: memory,
        };
        let admitted = node.admission.admit(now, &spec, &mut node.shared());
        if let Err(refusal) = admitted {
            refuse(node, &spec, refusal, &sender);
            return RequestContext { messages, guard };
        }
        let job = Job {
            spec,
            config: Arc::clone(&self.fact.config),
            data,
            idempotency_key: key,
            messages: sender,
            caller_gone: caller_gone.clone(),
            stop,
        };
        node.outcomes.begin(self.id);
        node.requests.spawn(drive(Arc::clone(node), job));
        RequestContext { messages, guard }
    }
}

/// Sends the result of a request that was not admitted.
fn refuse(node: &Node, spec: &RequestSpec, refusal: Refusal, messages: &Sender<DriverMessage>) {
    let result = RequestResult {
        outcome: Outcome::NotRun,
        reason: Some(refusal.reason),
        retry_after: Some(refusal.retry_after),
        text: String::new(),
        output: None,
        prompt_tokens: 0,
        output_tokens: 0,
    };
    node.outcomes.begin(spec.request);
    node.on_outcome(spec, &result);
    // The caller of this function holds the receiver.
    let _sent = messages.try_send(DriverMessage::Done(Box::new(result)));
}

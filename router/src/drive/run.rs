//! The event loop that drives the chain of one request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use snipeyoke_lib::chain::Action;
use snipeyoke_lib::chain::Chain;
use snipeyoke_lib::chain::Decision;
use snipeyoke_lib::chain::Event;
use snipeyoke_lib::chain::RequestSpec;
use snipeyoke_lib::chain::Usage;
use snipeyoke_lib::config::Config;
use snipeyoke_lib::config::StageRole;
use snipeyoke_lib::ids::AttemptId;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::outcome::AttemptEnd;
use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::logs;
use snipeyoke_wire::Call;
use snipeyoke_wire::Chunk;

use super::answer::DriverMessage;
use super::answer::RequestResult;
use super::ends::attempt_end;
use super::ends::reply_usage;
use super::ends::unknown_end_reason;
use super::ends::wire_role;
use super::record::Attempt;
use super::record::AttemptRequest;
use super::record::Notified;
use super::resolve::IdempotencyKey;
use super::resolve::Resolver;
use super::work::PipelineData;
use crate::agents::Input;
use crate::agents::Signal;
use crate::node::Node;

/// A request to drive, as passed on by the ingress.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: RequestSpec,
    pub(crate) config: Arc<Config>,
    pub(crate) data: PipelineData,
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    /// Receives the text chunks and the final result.
    pub(crate) messages: Sender<DriverMessage>,
    /// Set when the caller disconnects.
    pub(crate) caller_gone: Flag,
    /// Set when an operator stops the request.
    pub(crate) stop: Flag,
}

struct Driver {
    node: Arc<Node>,
    job: Job,
    chain: Chain,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// The chunk that the chain is processing.
    chunk: Option<Chunk>,
    /// The number of the stage's output tokens received so far.
    received_tokens: u32,
    wake: Time,
    input_sender: Sender<Input>,
    /// Events caused by executing actions.
    pending: Vec<Event>,
    output_tokens: u32,
    /// Whether the chain was notified of a disconnected caller or a stop.
    notified: Notified,
    done: bool,
}

/// Drives a request to its outcome.
pub(crate) async fn drive(node: Arc<Node>, job: Job) {
    let (input_sender, inputs) = async_channel::unbounded();
    let chain = Chain::new(job.spec.clone());
    let mut driver = Driver {
        node,
        job,
        chain,
        attempts: BTreeMap::new(),
        chunk: None,
        received_tokens: 0,
        wake: Time::NEVER,
        input_sender,
        pending: vec![Event::Start],
        output_tokens: 0,
        notified: Notified::default(),
        done: false,
    };
    driver.run(inputs).await;
}

/// The events that wake the driver.
enum Wakeup {
    Input(Box<Input>),
    Timer,
    CallerGone,
    Stopped,
}

impl Driver {
    async fn run(&mut self, inputs: Receiver<Input>) {
        loop {
            while let Some(event) = self.next_pending() {
                self.step(event);
                if self.done {
                    return;
                }
            }
            let event = match self.next(&inputs).await {
                Wakeup::Input(input) => self.event_from(*input),
                Wakeup::Timer => {
                    self.wake = Time::NEVER;
                    Some(Event::Wake)
                }
                Wakeup::CallerGone => {
                    self.notified.caller_gone = true;
                    Some(Event::CallerGone)
                }
                Wakeup::Stopped => {
                    self.notified.stopped = true;
                    Some(Event::Stop)
                }
            };
            self.pending.extend(event);
        }
    }

    fn next_pending(&mut self) -> Option<Event> {
        let first = !self.pending.is_empty();
        first.then(|| self.pending.remove(0))
    }

    async fn next(&self, inputs: &Receiver<Input>) -> Wakeup {
        let input = async {
            // `self` holds a sender, so the channel stays open.
            match inputs.recv().await {
                Ok(input) => Wakeup::Input(Box::new(input)),
                Err(_closed) => std::future::pending().await,
            }
        };
        let wake = async {
            match self.node.clock.instant(self.wake) {
                Some(at) if self.wake != Time::NEVER => Timer::at(at).await,
                _ => std::future::pending().await,
            };
            Wakeup::Timer
        };
        let caller_gone = async {
            if self.notified.caller_gone {
                return std::future::pending().await;
            }
            self.job.caller_gone.wait().await;
            Wakeup::CallerGone
        };
        let stopped = async {
            if self.notified.stopped {
                return std::future::pending().await;
            }
            self.job.stop.wait().await;
            Wakeup::Stopped
        };
        input.or(wake).or(caller_gone).or(stopped).await
    }

    fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        let now = self.node.clock.now();
        self.record_end(now, &event);
        self.update_owner();
        self.chain
            .on_event(now, event, &mut self.node.shared(), &mut actions);
        for action in actions {
            self.execute(action);
        }
        self.chunk = None;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send {
                attempt,
                stage,
                endpoint,
                remaining,
                priority,
                resume_from,
            } => {
                let request = AttemptRequest {
                    attempt,
                    stage,
                    remaining,
                    priority,
                    resume: resume_from,
                };
                self.send(&request, endpoint);
            }
            Action::Cancel { attempt } => self.cancel(attempt),
            Action::Deliver { attempt, skip } => self.deliver(attempt, skip),
            Action::StageDone { stage, attempt } => self.stage_done(stage, attempt),
            Action::Finish {
                outcome,
                reason,
                retry_after,
            } => self.finish(outcome, reason, retry_after),
            Action::WakeAt(at) => self.wake = at,
            Action::Decision(decision) => self.log(&decision),
        }
    }

    fn send(&mut self, request: &AttemptRequest, endpoint: EndpointId) {
        let attempt = request.attempt;
        let stage = &self.job.spec.pipeline.stages[request.stage];
        let role = stage.role;
        let call = self.call(request);
        let resend = call.once.is_some().then(|| call.clone());
        let handle = self
            .node
            .agents
            .call(&endpoint, attempt, call, self.input_sender.clone());
        let record = Attempt {
            endpoint,
            stage: request.stage,
            role,
            call: handle,
            output: None,
            output_tokens: 0,
            resend,
        };
        let event = if record.call.is_some() {
            Event::Sent { attempt }
        } else {
            // Nothing was queued on a connection, so nothing can have run.
            let end = AttemptEnd::NotRun {
                reason: Reason::Connection,
                retry_after: None,
            };
            let usage = Usage::default();
            Event::Ended {
                attempt,
                end,
                usage,
            }
        };
        self.attempts.insert(attempt, record);
        self.pending.push(event);
    }

    fn call(&self, request: &AttemptRequest) -> Call {
        let spec = &self.job.spec;
        let stage = &spec.pipeline.stages[request.stage];
        let pool = &self.job.config.pools[&stage.pool];
        let id = spec.request;
        let (path, body) =
            self.job
                .data
                .build_request(id, stage, pool, request.priority, request.resume);
        let generates = stage.role == StageRole::Generate;
        let key = if stage.idempotent {
            None
        } else {
            self.job.idempotency_key.as_ref()
        };
        Call {
            call: 0,
            request: Bytes::copy_from_slice(id.0.as_bytes()),
            account: spec.account.to_string(),
            pipeline: spec.name.to_string(),
            stage: stage.name.to_string(),
            role: wire_role(stage.role).into(),
            path,
            body,
            left_us: u64::try_from(request.remaining.as_micros()).unwrap_or(u64::MAX),
            priority: u32::from(request.priority),
            stream: generates,
            once: key.map(|k| k.key.clone()),
            prefix: Vec::new(),
            prompt_tokens: if generates { spec.prompt.tokens.0 } else { 0 },
            max_tokens: if generates {
                spec.prompt.max_output.0
            } else {
                0
            },
            resume_from: request.resume,
            attempt: request.attempt.0,
        }
    }

    fn cancel(&mut self, attempt: AttemptId) {
        let record = self.attempts.get_mut(&attempt);
        if let Some(call) = record.and_then(|a| a.call.take()) {
            call.cancel();
        }
    }

    /// Delivers the current chunk unless all its tokens were received before.
    fn deliver(&mut self, attempt: AttemptId, skip: u32) {
        let Some(chunk) = self.chunk.take() else {
            return;
        };
        if skip >= chunk.tokens {
            return;
        }
        self.received_tokens = chunk.index + chunk.tokens;
        let text = String::from_utf8_lossy(&chunk.data);
        self.job.data.text.push_str(&text);
        // Text of an earlier stage is input of the next one, not output.
        let spec = &self.job.spec;
        let stage = self.attempts.get(&attempt).map(|a| a.stage);
        let last = stage == Some(spec.pipeline.stages.len() - 1);
        if last
            && spec.stream
            && self
                .job
                .messages
                .try_send(DriverMessage::Text(chunk.data))
                .is_err()
        {
            self.job.caller_gone.set();
        }
    }

    fn stage_done(&mut self, stage: usize, attempt: AttemptId) {
        let Some(record) = self.attempts.remove(&attempt) else {
            return;
        };
        if self.job.spec.pipeline.stages[stage].role == StageRole::Generate {
            self.output_tokens = record.output_tokens;
        }
        if let Some(output) = record.output {
            self.job.data.apply(output);
        }
        self.received_tokens = 0;
    }

    fn finish(&mut self, outcome: Outcome, reason: Option<Reason>, retry_after: Option<Duration>) {
        self.done = true;
        let result = RequestResult {
            outcome,
            reason,
            retry_after,
            text: std::mem::take(&mut self.job.data.draft),
            output: self.job.data.output.take(),
            prompt_tokens: self.job.spec.prompt.tokens.0,
            output_tokens: self.output_tokens,
        };
        self.node.on_request_end(&self.job.spec, &result);
        let sent = self
            .job
            .messages
            .try_send(DriverMessage::Done(Box::new(result)));
        if sent.is_err() {
            log::debug!(event = "caller-left", request = self.job.spec.request.to_string().as_str(); "");
        }
    }

    fn event_from(&mut self, input: Input) -> Option<Event> {
        let attempt = input.attempt;
        let unknown_end = unknown_end_reason(&input.signal);
        if let Some(reason) = unknown_end
            && self.resolve(attempt, reason)
        {
            return None;
        }
        let record = self.attempts.get_mut(&attempt)?;
        match input.signal {
            // Text can't be split between the tokens of a chunk. If an engine
            // resumes inside a delivered chunk, the caller would get some tokens
            // twice, so the attempt fails.
            Signal::Chunk(chunk) if partly_received(&chunk, self.received_tokens) => {
                if let Some(call) = record.call.take() {
                    call.cancel();
                }
                let reason = Reason::EndpointFailure;
                Some(Event::Ended {
                    attempt,
                    end: AttemptEnd::Unknown { reason },
                    usage: Usage::default(),
                })
            }
            Signal::Chunk(chunk) => {
                let (index, tokens) = (chunk.index, chunk.tokens);
                self.chunk = Some(chunk);
                Some(Event::Chunk {
                    attempt,
                    index,
                    tokens,
                })
            }
            Signal::Reply(reply) | Signal::Resolved(reply) => {
                record.call = None;
                let usage = reply_usage(&reply);
                record.output_tokens = reply.output_tokens;
                let end = match attempt_end(&self.job.data, record.role, &reply) {
                    Ok(output) => {
                        record.output = Some(output);
                        AttemptEnd::Completed
                    }
                    Err(end) => end,
                };
                Some(Event::Ended {
                    attempt,
                    end,
                    usage,
                })
            }
            Signal::Lost { written } => {
                record.call = None;
                log::info!(event = "attempt-lost", request = self.job.spec.request.to_string().as_str(), endpoint = record.endpoint.as_str(), written; "");
                let reason = Reason::Connection;
                let end = if written {
                    AttemptEnd::Unknown { reason }
                } else {
                    AttemptEnd::NotRun {
                        reason,
                        retry_after: None,
                    }
                };
                let usage = Usage::default();
                Some(Event::Ended {
                    attempt,
                    end,
                    usage,
                })
            }
        }
    }

    /// Starts resolving how a non-idempotent attempt ended.
    ///
    /// Returns whether the end will be reported later.
    fn resolve(&mut self, attempt: AttemptId, reason: Reason) -> bool {
        let call = self
            .attempts
            .get_mut(&attempt)
            .and_then(|a| a.resend.take());
        let (Some(call), Some(key)) = (call, &self.job.idempotency_key) else {
            return false;
        };
        let Some(stage) = self.job.spec.pipeline.stages.last() else {
            return false;
        };
        let resolver = Resolver {
            attempt,
            call,
            pool: stage.pool.clone(),
            slot: key.slot,
            deadline: self.job.spec.deadline,
            reason,
            input_sender: self.input_sender.clone(),
        };
        log::info!(event = "attempt-unresolved", request = self.job.spec.request.to_string().as_str(), reason = reason.to_string().as_str(); "");
        let node = Arc::clone(&self.node);
        self.node.requests.spawn(resolver.run(node));
        true
    }

    /// Updates the current slot owner in the chain, which may wait for it.
    fn update_owner(&mut self) {
        if let (Some(key), Some(stage)) = (
            &self.job.idempotency_key,
            self.job.spec.pipeline.stages.last(),
        ) {
            self.chain.set_owner(self.node.owner(&stage.pool, key.slot));
        }
    }

    /// Records the end of an attempt in the journal for later queries.
    fn record_end(&self, now: Time, event: &Event) {
        if let Event::Ended { attempt, end, .. } = event {
            let id = self.job.spec.request;
            self.node
                .control
                .records
                .on_attempt_end(now, id, *attempt, end);
        }
    }

    fn log(&self, decision: &Decision) {
        let spec = &self.job.spec;
        let now = self.node.clock.now();
        self.node.control.records.on_decision(now, spec, decision);
        let mut pairs = decision.pairs();
        pairs.push(("account", spec.account.to_string()));
        pairs.push(("pipeline", spec.name.to_string()));
        logs::event("decision", &pairs);
    }
}

/// Returns whether some, but not all, tokens of a chunk were received.
const fn partly_received(chunk: &Chunk, received_tokens: u32) -> bool {
    chunk.index < received_tokens && received_tokens < chunk.index.saturating_add(chunk.tokens)
}

impl Drop for Driver {
    fn drop(&mut self) {
        // The results of these attempts are no longer needed.
        for record in self.attempts.values_mut() {
            if let Some(call) = record.call.take() {
                call.cancel();
            }
        }
    }
}

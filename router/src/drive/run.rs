//! The loop around one chain.

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

use super::answer::Finish;
use super::answer::Up;
use super::ends::end_of;
use super::ends::missing_end;
use super::ends::role_of;
use super::ends::usage_of;
use super::record::Attempt;
use super::record::Sending;
use super::record::Told;
use super::resolve::Once;
use super::resolve::Resolve;
use super::work::Work;
use crate::agents::Input;
use crate::agents::Signal;
use crate::node::Node;

/// A request as the door hands it over.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: RequestSpec,
    pub(crate) config: Arc<Config>,
    pub(crate) work: Work,
    pub(crate) once: Option<Once>,
    /// Where pieces and the end go.
    pub(crate) up: Sender<Up>,
    /// Set when the caller goes away.
    pub(crate) gone: Flag,
    /// Set when an operator stops the request.
    pub(crate) stop: Flag,
}

struct Driver {
    node: Arc<Node>,
    job: Job,
    chain: Chain,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// The chunk that the chain is being told of.
    chunk: Option<Chunk>,
    /// The tokens of the stage's answer that have been taken.
    held: u32,
    wake: Time,
    feed: Sender<Input>,
    /// Events that arose while actions were carried out.
    pending: Vec<Event>,
    output_tokens: u32,
    /// Whether the chain has heard that the caller left or an operator stops.
    told: Told,
    done: bool,
}

/// Drives a request to its one outcome.
pub(crate) async fn drive(node: Arc<Node>, job: Job) {
    let (feed, inputs) = async_channel::unbounded();
    let chain = Chain::new(job.spec.clone());
    let mut driver = Driver {
        node,
        job,
        chain,
        attempts: BTreeMap::new(),
        chunk: None,
        held: 0,
        wake: Time::NEVER,
        feed,
        pending: vec![Event::Start],
        output_tokens: 0,
        told: Told::default(),
        done: false,
    };
    driver.run(inputs).await;
}

/// What the driver waits for.
enum Next {
    Input(Box<Input>),
    Wake,
    Gone,
    Stopped,
}

impl Driver {
    async fn run(&mut self, inputs: Receiver<Input>) {
        loop {
            while let Some(event) = self.take_pending() {
                self.step(event);
                if self.done {
                    return;
                }
            }
            let event = match self.next(&inputs).await {
                Next::Input(input) => self.event_of(*input),
                Next::Wake => {
                    self.wake = Time::NEVER;
                    Some(Event::Wake)
                }
                Next::Gone => {
                    self.told.gone = true;
                    Some(Event::CallerGone)
                }
                Next::Stopped => {
                    self.told.stopped = true;
                    Some(Event::Stop)
                }
            };
            self.pending.extend(event);
        }
    }

    fn take_pending(&mut self) -> Option<Event> {
        let first = !self.pending.is_empty();
        first.then(|| self.pending.remove(0))
    }

    async fn next(&self, inputs: &Receiver<Input>) -> Next {
        let input = async {
            // The feed has a sender in `self`, so the channel stays open.
            match inputs.recv().await {
                Ok(input) => Next::Input(Box::new(input)),
                Err(_closed) => std::future::pending().await,
            }
        };
        let wake = async {
            match self.node.clock.instant(self.wake) {
                Some(at) if self.wake != Time::NEVER => Timer::at(at).await,
                _ => std::future::pending().await,
            };
            Next::Wake
        };
        let gone = async {
            if self.told.gone {
                return std::future::pending().await;
            }
            self.job.gone.wait().await;
            Next::Gone
        };
        let stopped = async {
            if self.told.stopped {
                return std::future::pending().await;
            }
            self.job.stop.wait().await;
            Next::Stopped
        };
        input.or(wake).or(gone).or(stopped).await
    }

    fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        let now = self.node.clock.now();
        self.record_end(now, &event);
        self.follow_owner();
        self.chain
            .on_event(now, event, &mut self.node.shared(), &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        self.chunk = None;
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send {
                attempt,
                stage,
                endpoint,
                remaining,
                priority,
                resume_from,
            } => {
                let send = Sending {
                    attempt,
                    stage,
                    left: remaining,
                    priority,
                    resume: resume_from,
                };
                self.send(&send, endpoint);
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

    fn send(&mut self, send: &Sending, endpoint: EndpointId) {
        let attempt = send.attempt;
        let stage = &self.job.spec.pipeline.stages[send.stage];
        let role = stage.role;
        let call = self.call(send);
        let once = call.once.is_some().then(|| call.clone());
        let handle = self
            .node
            .agents
            .call(&endpoint, attempt, call, self.feed.clone());
        let record = Attempt {
            endpoint,
            stage: send.stage,
            role,
            call: handle,
            taken: None,
            output_tokens: 0,
            once,
        };
        let event = if record.call.is_some() {
            Event::Sent { attempt }
        } else {
            // Nothing was queued for a connection, so nothing can have run.
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

    fn call(&self, send: &Sending) -> Call {
        let spec = &self.job.spec;
        let stage = &spec.pipeline.stages[send.stage];
        let pool = &self.job.config.pools[&stage.pool];
        let id = spec.request;
        let (path, body) = self
            .job
            .work
            .request(id, stage, pool, send.priority, send.resume);
        let generates = stage.role == StageRole::Generate;
        let once = if stage.idempotent {
            None
        } else {
            self.job.once.as_ref()
        };
        Call {
            call: 0,
            request: Bytes::copy_from_slice(id.0.as_bytes()),
            account: spec.account.to_string(),
            pipeline: spec.name.to_string(),
            stage: stage.name.to_string(),
            role: role_of(stage.role).into(),
            path,
            body,
            left_us: u64::try_from(send.left.as_micros()).unwrap_or(u64::MAX),
            priority: u32::from(send.priority),
            stream: generates,
            once: once.map(|o| o.key.clone()),
            prefix: Vec::new(),
            prompt_tokens: if generates { spec.prompt.tokens.0 } else { 0 },
            max_tokens: if generates {
                spec.prompt.max_output.0
            } else {
                0
            },
            resume_from: send.resume,
            attempt: send.attempt.0,
        }
    }

    fn cancel(&mut self, attempt: AttemptId) {
        let record = self.attempts.get_mut(&attempt);
        if let Some(call) = record.and_then(|a| a.call.take()) {
            call.cancel();
        }
    }

    /// Takes the chunk at hand, unless all its tokens were there before.
    fn deliver(&mut self, attempt: AttemptId, skip: u32) {
        let Some(chunk) = self.chunk.take() else {
            return;
        };
        if skip >= chunk.tokens {
            return;
        }
        self.held = chunk.index + chunk.tokens;
        let text = String::from_utf8_lossy(&chunk.data);
        self.job.work.text.push_str(&text);
        // Text of an earlier stage is an input of the next one, not an answer.
        let spec = &self.job.spec;
        let stage = self.attempts.get(&attempt).map(|a| a.stage);
        let last = stage == Some(spec.pipeline.stages.len() - 1);
        if last && spec.stream && self.job.up.try_send(Up::Piece(chunk.data)).is_err() {
            self.job.gone.set();
        }
    }

    fn stage_done(&mut self, stage: usize, attempt: AttemptId) {
        let Some(record) = self.attempts.remove(&attempt) else {
            return;
        };
        if self.job.spec.pipeline.stages[stage].role == StageRole::Generate {
            self.output_tokens = record.output_tokens;
        }
        if let Some(taken) = record.taken {
            self.job.work.take(taken);
        }
        self.held = 0;
    }

    fn finish(&mut self, outcome: Outcome, reason: Option<Reason>, retry: Option<Duration>) {
        self.done = true;
        let finish = Finish {
            outcome,
            reason,
            retry,
            text: std::mem::take(&mut self.job.work.draft),
            output: self.job.work.output.take(),
            prompt_tokens: self.job.spec.prompt.tokens.0,
            output_tokens: self.output_tokens,
        };
        self.node.ended(&self.job.spec, &finish);
        let told = self.job.up.try_send(Up::Done(Box::new(finish)));
        if told.is_err() {
            log::debug!(event = "caller-left", request = self.job.spec.request.to_string().as_str(); "");
        }
    }

    fn event_of(&mut self, input: Input) -> Option<Event> {
        let attempt = input.attempt;
        let missing = missing_end(&input.signal);
        if let Some(reason) = missing
            && self.resolve(attempt, reason)
        {
            return None;
        }
        let record = self.attempts.get_mut(&attempt)?;
        match input.signal {
            // Text can't be cut between the tokens of one chunk. An engine that
            // takes an answer up inside a chunk that was taken would make the
            // caller read some of its tokens twice, so its attempt ends here.
            Signal::Chunk(chunk) if straddles(&chunk, self.held) => {
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
                let usage = usage_of(&reply);
                record.output_tokens = reply.output_tokens;
                let end = match end_of(&self.job.work, record.role, &reply) {
                    Ok(taken) => {
                        record.taken = Some(taken);
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

    /// Starts to find out how a non-idempotent attempt ended.
    ///
    /// Returns whether the end will be reported later.
    fn resolve(&mut self, attempt: AttemptId, reason: Reason) -> bool {
        let call = self.attempts.get_mut(&attempt).and_then(|a| a.once.take());
        let (Some(call), Some(once)) = (call, &self.job.once) else {
            return false;
        };
        let Some(stage) = self.job.spec.pipeline.stages.last() else {
            return false;
        };
        let resolve = Resolve {
            attempt,
            call,
            pool: stage.pool.clone(),
            slot: once.slot,
            deadline: self.job.spec.deadline,
            reason,
            feed: self.feed.clone(),
        };
        log::info!(event = "attempt-unresolved", request = self.job.spec.request.to_string().as_str(), reason = reason.to_string().as_str(); "");
        let node = Arc::clone(&self.node);
        self.node.requests.spawn(resolve.run(node));
        true
    }

    /// Names the slot's present owner to the chain, which may wait for it.
    fn follow_owner(&mut self) {
        if let (Some(once), Some(stage)) = (&self.job.once, self.job.spec.pipeline.stages.last()) {
            self.chain
                .set_owner(self.node.owner(&stage.pool, once.slot));
        }
    }

    /// Tells the journal how an attempt ended, for those who ask why.
    fn record_end(&self, now: Time, event: &Event) {
        if let Event::Ended { attempt, end, .. } = event {
            let id = self.job.spec.request;
            self.node.control.records.ended(now, id, *attempt, end);
        }
    }

    fn log(&self, decision: &Decision) {
        let spec = &self.job.spec;
        let now = self.node.clock.now();
        self.node.control.records.route(now, spec, decision);
        let mut pairs = decision.pairs();
        pairs.push(("account", spec.account.to_string()));
        pairs.push(("pipeline", spec.name.to_string()));
        logs::event("decision", &pairs);
    }
}

/// Tells whether some, but not all, of a chunk's tokens have been taken.
const fn straddles(chunk: &Chunk, held: u32) -> bool {
    chunk.index < held && held < chunk.index.saturating_add(chunk.tokens)
}

impl Drop for Driver {
    fn drop(&mut self) {
        // Attempts whose request has ended are of no use to anybody.
        for record in self.attempts.values_mut() {
            if let Some(call) = record.call.take() {
                call.cancel();
            }
        }
    }
}

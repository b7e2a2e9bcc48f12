//! The state machine, which turns events into actions.

use super::Action;
use super::Decision;
use super::Event;
use super::RequestSpec;
use super::Shared;
use super::attempt::Attempt;
use super::attempt::State;
use super::select;
use super::timing;
use crate::config::Stage;
use crate::ids::AttemptId;
use crate::ids::EndpointId;
use crate::outcome::Reason;
use crate::time::Time;

/// The most attempts per stage, including hedges.
pub(super) const ATTEMPTS_MAX: usize = 5;

/// The context of one event: the time, the shared state and the actions so far.
pub(super) struct EventContext<'a> {
    pub(super) now: Time,
    pub(super) shared: &'a mut Shared,
    pub(super) out: &'a mut Vec<Action>,
}

/// Owns an accepted request until its single outcome.
#[derive(Debug, Clone)]
pub struct Chain {
    pub(super) spec: RequestSpec,
    pub(super) stage: usize,
    pub(super) attempts: Vec<Attempt>,
    pub(super) held_tokens: u32,
    pub(super) token_source: Option<AttemptId>,
    pub(super) retry_at: Option<Time>,
    /// When the wait for the slot's next owner ends, if one is in progress.
    pub(super) owner_deadline: Option<Time>,
    /// The endpoint that refused the key, until another owner is known.
    pub(super) refused_by: Option<EndpointId>,
    pub(super) stage_started: Time,
    pub(super) finished: bool,
    started: bool,
    wake: Option<Time>,
}

impl Chain {
    /// Builds a chain for an accepted request; it is idle until [`Event::Start`].
    #[must_use]
    pub const fn new(spec: RequestSpec) -> Self {
        Self {
            spec,
            stage: 0,
            attempts: Vec::new(),
            held_tokens: 0,
            token_source: None,
            retry_at: None,
            owner_deadline: None,
            refused_by: None,
            stage_started: Time::ZERO,
            finished: false,
            started: false,
            wake: None,
        }
    }

    /// Returns the request.
    #[must_use]
    pub const fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// Sets the endpoint that currently owns the key's slot.
    ///
    /// Must be called before each event, so that a waiting chain sees a new owner.
    pub fn set_owner(&mut self, owner: Option<EndpointId>) {
        if self.refused_by != owner {
            self.refused_by = None;
        }
        self.spec.slot_owner = owner;
    }

    /// Returns the index of the current stage.
    #[must_use]
    pub const fn stage(&self) -> usize {
        self.stage
    }

    /// Returns whether [`Action::Finish`] was emitted.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn on_event(
        &mut self,
        now: Time,
        event: Event,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        // Events after the outcome belong to abandoned attempts; handling one
        // would give the caller a second answer.
        if self.finished {
            return;
        }
        let mut ctx = EventContext { now, shared, out };
        self.dispatch(event, &mut ctx);
        if self.started && !self.finished {
            self.check_timers(&mut ctx);
        }
        if self.started && !self.finished {
            self.request_wake(&mut ctx);
        }
    }

    fn dispatch(&mut self, event: Event, ctx: &mut EventContext<'_>) {
        match event {
            Event::Start => self.start(ctx),
            Event::Sent { attempt } => self.on_sent(attempt, ctx),
            Event::Chunk {
                attempt,
                index,
                tokens,
            } => self.on_chunk(attempt, index, tokens, ctx),
            Event::Ended {
                attempt,
                end,
                usage,
            } => self.on_ended(attempt, &end, usage, ctx),
            Event::Wake => self.wake = None,
            Event::CallerGone => self.give_up(Reason::CallerGone, None, ctx),
            Event::Stop => self.give_up(Reason::Stopped, None, ctx),
        }
    }

    fn start(&mut self, ctx: &mut EventContext<'_>) {
        if !self.started {
            self.started = true;
            self.start_stage(0, ctx);
        }
    }

    pub(super) fn start_stage(&mut self, stage: usize, ctx: &mut EventContext<'_>) {
        self.stage = stage;
        self.stage_started = ctx.now;
        self.held_tokens = 0;
        self.token_source = None;
        self.retry_at = None;
        self.owner_deadline = None;
        self.refused_by = None;
        ctx.shared.retry.earn(&self.current_stage().pool);
        ctx.shared.hedge.earn();
        self.send(ctx);
    }

    pub(super) fn current_stage(&self) -> &Stage {
        &self.spec.pipeline.stages[self.stage]
    }

    pub(super) fn is_last(&self) -> bool {
        self.stage + 1 == self.spec.pipeline.stages.len()
    }

    /// Returns the attempts at the current stage.
    pub(super) fn stage_attempts(&self) -> impl Iterator<Item = &Attempt> {
        let stage = self.stage;
        self.attempts.iter().filter(move |a| a.stage == stage)
    }

    pub(super) fn open_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.stage_attempts().filter(|a| a.is_open())
    }

    pub(super) fn find_open(&self, id: AttemptId) -> Option<usize> {
        self.attempts.iter().position(|a| a.id == id && a.is_open())
    }

    /// Sends a new attempt of the current stage, or ends the request.
    pub(super) fn send(&mut self, ctx: &mut EventContext<'_>) {
        if ctx.now >= timing::stage_deadline(ctx.now, self, ctx.shared) {
            self.give_up(Reason::Deadline, None, ctx);
            return;
        }
        // An approval that runs twice is invoiced twice. Another attempt is safe
        // only with proof that no earlier one ran.
        let may_have_run = self.stage_attempts().any(|a| a.state != State::NotRun);
        if !self.current_stage().idempotent && may_have_run {
            self.give_up(Reason::Connection, None, ctx);
            return;
        }
        match select::pick(ctx.now, self, ctx.shared) {
            Ok(picked) => self.send_to(picked, ctx),
            Err(_) if self.open_attempts().next().is_some() => {}
            Err(reason) if self.needs_other_owner(reason) => self.wait_for_owner(reason, None, ctx),
            Err(reason) => {
                let after = timing::retry_after(ctx.shared);
                self.give_up(reason, Some(after), ctx);
            }
        }
    }

    fn send_to(&mut self, picked: select::PickedEndpoint, ctx: &mut EventContext<'_>) {
        let id = AttemptId(self.attempts.len() as u64);
        let now = ctx.now;
        let pool = &self.current_stage().pool;
        let booking = ctx.shared.fleet.book(now, pool, picked.slot);
        let timers = timing::timers(now, self, picked.predicted, ctx.shared);
        ctx.out.push(Action::Decision(Decision::Chosen {
            request: self.spec.request,
            stage: self.stage,
            attempt: id,
            endpoint: picked.endpoint.clone(),
            why: picked.why,
            predicted: picked.predicted,
            others: picked.others,
        }));
        ctx.out.push(Action::Send {
            attempt: id,
            stage: self.stage,
            endpoint: picked.endpoint.clone(),
            remaining: timing::stage_deadline(ctx.now, self, ctx.shared).since(now),
            priority: timing::priority(now, self, ctx.shared),
            resume_from: self.held_tokens,
        });
        self.attempts.push(Attempt {
            id,
            stage: self.stage,
            slot: picked.slot,
            domain: picked.domain,
            endpoint: picked.endpoint,
            booking,
            started_at: now,
            predicted: picked.predicted,
            nominal: picked.nominal,
            occupancy: picked.occupancy,
            state: State::Open,
            sent: false,
            first_token: None,
            last_progress: now,
            hedge_at: timers.hedge_at,
            timeout_at: timers.timeout_at,
        });
    }

    fn request_wake(&mut self, ctx: &mut EventContext<'_>) {
        let at = timing::next_wake(ctx.now, self, ctx.shared);
        if self.wake != Some(at) {
            self.wake = Some(at);
            ctx.out.push(Action::WakeAt(at));
        }
    }
}

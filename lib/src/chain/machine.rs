//! The state machine itself: events in, actions out.

use std::time::Duration;

use super::Action;
use super::Decision;
use super::Event;
use super::Shared;
use super::Spec;
use super::Usage;
use super::attempt::Attempt;
use super::attempt::State;
use super::select;
use super::timing;
use crate::config::Stage;
use crate::ids::AttemptId;
use crate::outcome::AttemptEnd;
use crate::outcome::Outcome;
use crate::outcome::Reason;
use crate::time::Time;

/// The most attempts at one stage, hedges included.
const ATTEMPTS_MAX: usize = 5;

/// The first pause before asking a full pool again; it doubles.
const PAUSE_FIRST: Duration = Duration::from_millis(10);

/// Owns one accepted request until its one outcome.
#[derive(Debug, Clone)]
pub struct Chain {
    pub(super) spec: Spec,
    pub(super) stage: usize,
    pub(super) attempts: Vec<Attempt>,
    pub(super) tokens: u32,
    pub(super) source: Option<AttemptId>,
    pub(super) again: Option<Time>,
    pub(super) entered: Time,
    started: bool,
    finished: bool,
    wake: Option<Time>,
}

impl Chain {
    /// Takes over an accepted request; nothing happens before [`Event::Start`].
    #[must_use]
    pub const fn new(spec: Spec) -> Self {
        Self {
            spec,
            stage: 0,
            attempts: Vec::new(),
            tokens: 0,
            source: None,
            again: None,
            entered: Time::ZERO,
            started: false,
            finished: false,
            wake: None,
        }
    }

    /// Returns the request.
    #[must_use]
    pub const fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns the index of the stage that it is at.
    #[must_use]
    pub const fn stage(&self) -> usize {
        self.stage
    }

    /// Tells whether [`Action::Finish`] was given.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Takes in an event and appends what has to be done to `out`.
    pub fn on_event(
        &mut self,
        now: Time,
        event: Event,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        // Events that come after the outcome belong to attempts that were
        // dropped with it: acting on one would give the caller a second answer.
        if self.finished {
            return;
        }
        match event {
            Event::Start => self.start(now, shared, out),
            Event::Sent { attempt } => self.on_sent(now, attempt, shared),
            Event::Chunk {
                attempt,
                index,
                tokens,
            } => self.on_chunk(now, attempt, index, tokens, shared, out),
            Event::Ended {
                attempt,
                end,
                usage,
            } => self.on_ended(now, attempt, &end, usage, shared, out),
            Event::Wake => self.wake = None,
            Event::CallerGone => self.give_up(now, Reason::CallerGone, None, shared, out),
            Event::Stop => self.give_up(now, Reason::Stopped, None, shared, out),
        }
        if self.started {
            self.check_time(now, shared, out);
            self.ask_wake(shared, out);
        }
    }

    fn start(&mut self, now: Time, shared: &mut Shared, out: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            self.enter(now, 0, shared, out);
        }
    }

    fn enter(&mut self, now: Time, stage: usize, shared: &mut Shared, out: &mut Vec<Action>) {
        self.stage = stage;
        self.entered = now;
        self.tokens = 0;
        self.source = None;
        self.again = None;
        shared.retry.earn(&self.current().pool);
        shared.hedge.earn();
        self.send(now, shared, out);
    }

    pub(super) fn current(&self) -> &Stage {
        &self.spec.pipeline.stages[self.stage]
    }

    fn is_last(&self) -> bool {
        self.stage + 1 == self.spec.pipeline.stages.len()
    }

    fn here(&self) -> impl Iterator<Item = &Attempt> {
        let stage = self.stage;
        self.attempts.iter().filter(move |a| a.stage == stage)
    }

    pub(super) fn open(&self) -> impl Iterator<Item = &Attempt> {
        self.here().filter(|a| a.is_open())
    }

    fn find_open(&self, id: AttemptId) -> Option<usize> {
        self.attempts
            .iter()
            .position(|a| a.id == id && a.is_open() && a.stage == self.stage)
    }

    /// Sends a new attempt at the current stage, or gives the request up.
    fn send(&mut self, now: Time, shared: &mut Shared, out: &mut Vec<Action>) {
        if now >= timing::latest(self, shared) {
            self.give_up(now, Reason::Deadline, None, shared, out);
            return;
        }
        // An approval sent twice is invoiced twice. Only a proof for every
        // earlier attempt makes another one safe, whatever led here.
        let may_have_run = self.here().any(|a| a.state != State::NotRun);
        if !self.current().idempotent && may_have_run {
            self.give_up(now, Reason::Connection, None, shared, out);
            return;
        }
        match select::pick(now, self, shared) {
            Ok(picked) => self.send_to(now, picked, shared, out),
            Err(_) if self.open().next().is_some() => {}
            Err(reason) => {
                let after = Some(timing::come_back(shared));
                self.give_up(now, reason, after, shared, out);
            }
        }
    }

    fn send_to(
        &mut self,
        now: Time,
        picked: select::Picked,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        let id = AttemptId(self.attempts.len() as u64);
        let booking = shared.fleet.book(now, &self.current().pool, picked.slot);
        let left = timing::latest(self, shared).since(now);
        let priority = timing::priority(now, self, shared);
        let limits = timing::limits(now, self, picked.predicted, shared);
        out.push(Action::Decision(Decision::Chosen {
            request: self.spec.request,
            stage: self.stage,
            attempt: id,
            endpoint: picked.endpoint.clone(),
            why: picked.why,
            predicted: picked.predicted,
            others: picked.others,
        }));
        out.push(Action::Send {
            attempt: id,
            stage: self.stage,
            endpoint: picked.endpoint.clone(),
            left,
            priority,
            resume_from: self.tokens,
        });
        self.attempts.push(Attempt {
            id,
            stage: self.stage,
            slot: picked.slot,
            domain: picked.domain,
            endpoint: picked.endpoint,
            booking,
            began: now,
            predicted: picked.predicted,
            state: State::Open,
            first: None,
            progress: now,
            hedge: limits.hedge,
            patience: limits.patience,
        });
    }

    fn on_sent(&mut self, now: Time, id: AttemptId, shared: &Shared) {
        let Some(index) = self.find_open(id) else {
            return;
        };
        // The wait for the connection is the router's, not the endpoint's.
        let predicted = self.attempts[index].predicted;
        let limits = timing::limits(now, self, predicted, shared);
        let attempt = &mut self.attempts[index];
        if attempt.first.is_none() {
            attempt.began = now;
            attempt.progress = now;
            attempt.hedge = limits.hedge;
            attempt.patience = limits.patience;
        }
    }

    fn on_chunk(
        &mut self,
        now: Time,
        id: AttemptId,
        first: u32,
        count: u32,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        let Some(index) = self.find_open(id) else {
            return;
        };
        self.note_progress(now, index, shared);
        if self.source != Some(id) {
            self.choose_source(now, id, shared, out);
        }
        let end = first.saturating_add(count);
        if first > self.tokens {
            // Tokens are missing before this chunk. Appending it would give the
            // caller an answer with a hole, so the rest is asked for elsewhere,
            // from the first missing token.
            self.drop_attempt(now, index, shared, out);
            self.retry(now, Reason::Connection, None, shared, out);
        } else if end > self.tokens {
            out.push(Action::Deliver {
                attempt: id,
                skip: self.tokens - first,
            });
            self.tokens = end;
        }
    }

    fn note_progress(&mut self, now: Time, index: usize, shared: &mut Shared) {
        let began = self.attempts[index].began;
        if self.attempts[index].first.is_none() {
            self.attempts[index].first = Some(now);
            let entry = shared.times.entry(&self.spec.name, self.stage);
            entry.first.observe(now.since(began));
        }
        self.attempts[index].progress = now;
    }

    // Two engines may word an answer differently, so tokens of two attempts
    // must not be mixed: the first to give one wins, the others are cancelled.
    fn choose_source(
        &mut self,
        now: Time,
        id: AttemptId,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        self.source = Some(id);
        self.drop_others(now, id, shared, out);
    }

    fn on_ended(
        &mut self,
        now: Time,
        id: AttemptId,
        end: &AttemptEnd,
        usage: Usage,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        let Some(index) = self.find_open(id) else {
            self.note_proof(id, end);
            return;
        };
        match end {
            AttemptEnd::Completed if self.is_whole(id, usage) => {
                self.complete(now, index, usage, shared, out);
            }
            AttemptEnd::Completed => {
                self.settle(now, index, State::Ran, shared, out);
                self.retry(now, Reason::Connection, None, shared, out);
            }
            AttemptEnd::NotRun {
                reason,
                retry_after,
            } => {
                self.settle(now, index, State::NotRun, shared, out);
                select::note_refusal(now, &self.attempts[index], *reason, self, shared);
                self.retry(now, *reason, *retry_after, shared, out);
            }
            AttemptEnd::Unknown { reason } => {
                self.settle(now, index, State::Ran, shared, out);
                select::note_failure(now, &self.attempts[index], self, shared);
                if self.current().idempotent {
                    self.retry(now, *reason, None, shared, out);
                } else {
                    self.give_up(now, *reason, None, shared, out);
                }
            }
        }
    }

    // A cancelled attempt may still prove that it never ran, which decides
    // between the outcomes not-run and unknown.
    fn note_proof(&mut self, id: AttemptId, end: &AttemptEnd) {
        let dropped = |a: &&mut Attempt| a.id == id && a.state == State::Dropped;
        if let Some(attempt) = self.attempts.iter_mut().find(dropped) {
            attempt.state = if end.is_not_run() {
                State::NotRun
            } else {
                State::Ran
            };
        }
    }

    /// Tells whether a completed attempt's answer has all its tokens.
    fn is_whole(&self, id: AttemptId, usage: Usage) -> bool {
        let streams = self.spec.stream && self.is_last() && select::generates(self.current());
        let chunked = self.source == Some(id) || self.tokens > 0;
        !(streams || chunked) || self.tokens >= usage.output.0
    }

    fn complete(
        &mut self,
        now: Time,
        index: usize,
        usage: Usage,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        self.settle(now, index, State::Ran, shared, out);
        let attempt = &self.attempts[index];
        let id = attempt.id;
        select::note_answer(now, attempt, usage, self, shared);
        self.drop_others(now, id, shared, out);
        out.push(Action::StageDone {
            stage: self.stage,
            attempt: id,
        });
        if self.is_last() {
            self.finish(Outcome::Completed, None, None, out);
        } else {
            self.enter(now, self.stage + 1, shared, out);
        }
    }

    /// Tries the stage again where that is allowed, or gives the request up.
    fn retry(
        &mut self,
        now: Time,
        reason: Reason,
        after: Option<Duration>,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        if self.open().next().is_some() {
            return;
        }
        let tries = self.here().count();
        let free = matches!(reason, Reason::Draining);
        let paid = free || shared.retry.take(&self.current().pool);
        if tries >= ATTEMPTS_MAX || !paid {
            let reason = if paid { reason } else { Reason::RetryBudget };
            let after = after.unwrap_or_else(|| timing::come_back(shared));
            self.give_up(now, reason, Some(after), shared, out);
            return;
        }
        if matches!(reason, Reason::Overload) {
            let pause = PAUSE_FIRST * (1 << tries.min(6)) as u32;
            self.again = Some(now + timing::jitter(pause.max(after.unwrap_or_default()), shared));
        } else {
            self.send(now, shared, out);
        }
    }

    fn settle(
        &mut self,
        now: Time,
        index: usize,
        state: State,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        self.release(index, state, shared);
        let attempt = &self.attempts[index];
        out.push(Action::Decision(Decision::Settled {
            request: self.spec.request,
            stage: attempt.stage,
            attempt: attempt.id,
            endpoint: attempt.endpoint.clone(),
            predicted: attempt.predicted,
            actual: now.since(attempt.began),
        }));
    }

    fn release(&mut self, index: usize, state: State, shared: &mut Shared) {
        let pool = &self.spec.pipeline.stages[self.attempts[index].stage].pool;
        let attempt = &mut self.attempts[index];
        attempt.state = state;
        if let Some(booking) = attempt.booking.take() {
            shared.fleet.release(pool, booking);
        }
    }

    fn drop_attempt(
        &mut self,
        now: Time,
        index: usize,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        select::note_overdue(now, &self.attempts[index], self, shared);
        self.release(index, State::Dropped, shared);
        // An effect that has begun is not called off: it would end as unknown
        // where waiting for nobody gives an answer that the key remembers.
        if self.current().idempotent {
            out.push(Action::Cancel {
                attempt: self.attempts[index].id,
            });
        }
    }

    fn drop_others(
        &mut self,
        now: Time,
        winner: AttemptId,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        for index in 0..self.attempts.len() {
            if self.attempts[index].is_open() && self.attempts[index].id != winner {
                self.drop_attempt(now, index, shared, out);
            }
        }
    }

    /// Ends the request without an answer, at once.
    fn give_up(
        &mut self,
        now: Time,
        reason: Reason,
        after: Option<Duration>,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        for index in 0..self.attempts.len() {
            if self.attempts[index].is_open() {
                self.drop_attempt(now, index, shared, out);
            }
        }
        // "Not run" is a promise about every attempt of every stage. One
        // attempt without proof, and the caller would repeat what did run.
        let proven = self.attempts.iter().all(|a| a.state == State::NotRun);
        let outcome = if proven {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        self.finish(outcome, Some(reason), after, out);
    }

    fn finish(
        &mut self,
        outcome: Outcome,
        reason: Option<Reason>,
        retry_after: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        self.finished = true;
        out.push(Action::Finish {
            outcome,
            reason,
            retry_after,
        });
    }

    fn check_time(&mut self, now: Time, shared: &mut Shared, out: &mut Vec<Action>) {
        if self.finished {
            return;
        }
        if now >= timing::latest(self, shared) {
            let after = Some(timing::come_back(shared));
            self.give_up(now, Reason::Timeout, after, shared, out);
            return;
        }
        if self.again.is_some_and(|at| now >= at) {
            self.again = None;
            self.send(now, shared, out);
        }
        self.check_patience(now, shared, out);
        self.check_hedge(now, shared, out);
    }

    // Waiting on a silent endpoint to the deadline loses the request although
    // others could still answer in time. What a stage may do twice is moved.
    fn check_patience(&mut self, now: Time, shared: &mut Shared, out: &mut Vec<Action>) {
        if self.finished || !self.current().idempotent {
            return;
        }
        let silent = self
            .attempts
            .iter()
            .position(|a| a.is_open() && now >= timing::silent_at(a));
        let Some(index) = silent else {
            return;
        };
        let alone = self.open().count() == 1;
        if alone && self.here().count() < ATTEMPTS_MAX && shared.retry.take(&self.current().pool) {
            self.drop_attempt(now, index, shared, out);
            self.send(now, shared, out);
        } else {
            select::note_overdue(now, &self.attempts[index], self, shared);
            timing::postpone(now, &mut self.attempts[index]);
        }
    }

    fn check_hedge(&mut self, now: Time, shared: &mut Shared, out: &mut Vec<Action>) {
        let Some(at) = timing::hedge_at(self) else {
            return;
        };
        if self.finished || now < at {
            return;
        }
        let Some(index) = self.attempts.iter().position(Attempt::is_open) else {
            return;
        };
        select::note_overdue(now, &self.attempts[index], self, shared);
        self.attempts[index].hedge = Time::NEVER;
        if self.here().count() < ATTEMPTS_MAX && shared.hedge.take() {
            self.send(now, shared, out);
        }
    }

    fn ask_wake(&mut self, shared: &Shared, out: &mut Vec<Action>) {
        if self.finished {
            return;
        }
        let at = timing::next_wake(self, shared);
        if self.wake != Some(at) {
            self.wake = Some(at);
            out.push(Action::WakeAt(at));
        }
    }
}

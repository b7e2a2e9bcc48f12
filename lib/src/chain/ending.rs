//! How a chain tries again, lets attempts go, and ends.

use std::time::Duration;

use super::Action;
use super::Chain;
use super::Decision;
use super::attempt::State;
use super::machine::ATTEMPTS_MAX;
use super::machine::EventContext;
use super::select;
use super::timing;
use crate::ids::AttemptId;
use crate::outcome::Outcome;
use crate::outcome::Reason;

/// The first pause before asking a full pool again; it doubles.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(5);

/// The part of the time left in which a key waits for its slot's next owner.
///
/// What remains is for the call itself: 250 ms of the deadline of 1 s that
/// approvals have.
const OWNER_WAIT_FRACTION: f32 = 0.75;

/// The longest wait for a slot's next owner.
///
/// A slot changes hands in about a second; one that has no owner for longer
/// belonged to an agent that died, and its lease may run for minutes.
const OWNER_WAIT_MAX: Duration = Duration::from_secs(3);

/// The pause between two looks for a slot's next owner.
///
/// Agents report their slots each half second, so that an earlier look sees
/// nothing new; spread by jitter, waiting keys don't reach a new owner at once.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Chain {
    /// Tries the stage again where that is allowed, or gives the request up.
    pub(super) fn retry(
        &mut self,
        reason: Reason,
        after: Option<Duration>,
        ctx: &mut EventContext<'_>,
    ) {
        if self.open_attempts().next().is_some() {
            return;
        }
        let attempts = self.stage_attempts().count();
        if attempts >= ATTEMPTS_MAX {
            self.refuse(reason, after, ctx);
            return;
        }
        if self.needs_other_owner(reason) {
            self.refused_by = self.stage_attempts().last().map(|a| a.endpoint.clone());
            self.retry_at_owner(reason, after, ctx);
            return;
        }
        // A drain moves work that nobody meant to fail; it is bounded by the
        // number of attempts. All else draws from the budget: without it, each
        // failure would add calls to a pool that fails because of its calls.
        let exempt = reason == Reason::Draining;
        if !exempt && !ctx.shared.retry.take(&self.current_stage().pool) {
            self.refuse(Reason::RetryBudget, after, ctx);
            return;
        }
        if reason == Reason::Overload {
            let backoff = OVERLOAD_BACKOFF * (1 << attempts);
            let backoff = timing::jitter(backoff.max(after.unwrap_or_default()), ctx.shared);
            self.schedule_retry(backoff, ctx);
        } else {
            self.send(ctx);
        }
    }

    // A pause that ends too late for an answer would only hold the refusal back.
    fn schedule_retry(&mut self, backoff: Duration, ctx: &mut EventContext<'_>) {
        let retry_at = ctx.now + backoff;
        if retry_at >= timing::stage_deadline(ctx.now, self, ctx.shared) {
            self.refuse(Reason::Overload, Some(backoff), ctx);
            return;
        }
        self.retry_at = Some(retry_at);
    }

    /// Tells whether only another owner of the key's slot can help.
    pub(super) fn needs_other_owner(&self, reason: Reason) -> bool {
        let moves = matches!(reason, Reason::NoLease | Reason::Draining);
        moves && !self.current_stage().idempotent
    }

    // The refusal proves that the attempt did not run, so an owner that is
    // known already gets the key at once. It costs no retry: attempts are
    // bounded, and nobody but the owner may take the call anyway.
    fn retry_at_owner(
        &mut self,
        reason: Reason,
        after: Option<Duration>,
        ctx: &mut EventContext<'_>,
    ) {
        if self.spec.slot_owner == self.refused_by {
            self.wait_for_owner(reason, after, ctx);
        } else {
            self.send(ctx);
        }
    }

    /// Waits for the next owner of the key's slot, or gives the request up.
    ///
    /// While a slot changes hands nobody may run its keys. Refused at once,
    /// every planned restart would show to callers as failed approvals. The
    /// wait ends as soon as it can't help any more, and so does the request.
    pub(super) fn wait_for_owner(
        &mut self,
        reason: Reason,
        after: Option<Duration>,
        ctx: &mut EventContext<'_>,
    ) {
        let remaining = timing::stage_deadline(ctx.now, self, ctx.shared).since(ctx.now);
        let wait = remaining.mul_f32(OWNER_WAIT_FRACTION).min(OWNER_WAIT_MAX);
        let deadline = *self.owner_deadline.get_or_insert(ctx.now + wait);
        let retry_at = ctx.now + timing::jitter(OWNER_POLL_INTERVAL, ctx.shared);
        if retry_at >= deadline {
            self.refuse(reason, after, ctx);
            return;
        }
        self.retry_at = Some(retry_at);
    }

    fn refuse(&mut self, reason: Reason, after: Option<Duration>, ctx: &mut EventContext<'_>) {
        let after = after.unwrap_or_else(|| timing::retry_after(ctx.shared));
        self.give_up(reason, Some(after), ctx);
    }

    /// Closes an attempt that ended.
    pub(super) fn settle(&mut self, index: usize, state: State, ctx: &mut EventContext<'_>) {
        self.release(index, state, ctx);
        let attempt = &self.attempts[index];
        ctx.out.push(Action::Decision(Decision::Settled {
            request: self.spec.request,
            stage: attempt.stage,
            attempt: attempt.id,
            endpoint: attempt.endpoint.clone(),
            predicted: attempt.predicted,
            actual: ctx.now.since(attempt.started_at),
        }));
    }

    fn release(&mut self, index: usize, state: State, ctx: &mut EventContext<'_>) {
        let attempt = &mut self.attempts[index];
        attempt.state = state;
        if let Some(booking) = attempt.booking.take() {
            let pool = &self.spec.pipeline.stages[attempt.stage].pool;
            ctx.shared.fleet.release(pool, booking);
        }
    }

    /// Stops waiting for an attempt.
    pub(super) fn drop_attempt(&mut self, index: usize, ctx: &mut EventContext<'_>) {
        select::record_overdue(ctx.now, &self.attempts[index], self, ctx.shared);
        self.release(index, State::Dropped, ctx);
        // An effect that has begun is not called off: it would end as unknown
        // where waiting for nobody gives an answer that the key remembers.
        if self.current_stage().idempotent {
            ctx.out.push(Action::Cancel {
                attempt: self.attempts[index].id,
            });
        }
    }

    pub(super) fn drop_others(&mut self, winner: AttemptId, ctx: &mut EventContext<'_>) {
        for index in 0..self.attempts.len() {
            if self.attempts[index].is_open() && self.attempts[index].id != winner {
                self.drop_attempt(index, ctx);
            }
        }
    }

    /// Ends the request without an answer, at once.
    pub(super) fn give_up(
        &mut self,
        reason: Reason,
        after: Option<Duration>,
        ctx: &mut EventContext<'_>,
    ) {
        for index in 0..self.attempts.len() {
            if self.attempts[index].is_open() {
                self.drop_attempt(index, ctx);
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
        self.finish(outcome, Some(reason), after, ctx);
    }

    pub(super) fn finish(
        &mut self,
        outcome: Outcome,
        reason: Option<Reason>,
        retry_after: Option<Duration>,
        ctx: &mut EventContext<'_>,
    ) {
        self.finished = true;
        ctx.out.push(Action::Finish {
            outcome,
            reason,
            retry_after,
        });
    }
}

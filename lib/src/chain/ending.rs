//! Retries, abandoned attempts and the end of a chain.

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

/// The initial back-off of retries to a full pool; it doubles per attempt.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(5);

/// The fraction of the remaining time spent waiting for the slot's next owner.
///
/// The rest is for the call itself: 250 ms of the deadline of 1 s that
/// approvals have.
const OWNER_WAIT_FRACTION: f32 = 0.75;

/// The longest wait for a slot's next owner.
///
/// Handing over a slot takes about a second. A slot without an owner for longer
/// belonged to an agent that died, and its lease may run for minutes.
const OWNER_WAIT_MAX: Duration = Duration::from_secs(3);

/// The interval of checks for the slot's next owner.
///
/// Agents report their slots each half second, so shorter intervals gain little.
/// Jitter keeps waiting requests from reaching a new owner at the same time.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Chain {
    /// Retries the stage if permitted, or ends the request.
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
        // Retries after a drain are exempt; the number of attempts bounds them.
        // All others spend the retry budget: otherwise each failure would add
        // calls to a pool that fails because of overload.
        let exempt = reason == Reason::Draining;
        if !exempt && !ctx.shared.retry.try_spend(&self.current_stage().pool) {
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

    // A retry that comes too late for a response would only delay the refusal.
    fn schedule_retry(&mut self, backoff: Duration, ctx: &mut EventContext<'_>) {
        let retry_at = ctx.now + backoff;
        if retry_at >= timing::stage_deadline(ctx.now, self, ctx.shared) {
            self.refuse(Reason::Overload, Some(backoff), ctx);
            return;
        }
        self.retry_at = Some(retry_at);
    }

    /// Returns whether only another owner of the key's slot could run the call.
    pub(super) fn needs_other_owner(&self, reason: Reason) -> bool {
        let moves = matches!(reason, Reason::NoLease | Reason::Draining);
        moves && !self.current_stage().idempotent
    }

    // The refusal proves that the attempt did not run, so a known new owner gets
    // the key at once. It spends no retry budget: attempts are bounded, and only
    // the owner may run the call.
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

    /// Waits for the next owner of the key's slot, or ends the request.
    ///
    /// During a handover no endpoint may run the slot's keys. Without the wait,
    /// every planned restart would fail approvals. The request ends as soon as
    /// further waiting can't succeed.
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

    /// Records the end of an attempt and releases its booking.
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

    /// Abandons an attempt.
    pub(super) fn drop_attempt(&mut self, index: usize, ctx: &mut EventContext<'_>) {
        select::record_overdue(ctx.now, &self.attempts[index], self, ctx.shared);
        self.release(index, State::Dropped, ctx);
        // A non-idempotent call is not cancelled: its outcome would be unknown,
        // whereas a call that completes leaves its response under the key.
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

    /// Ends the request immediately without an answer.
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
        // The outcome `NotRun` holds for every attempt of every stage. If one
        // attempt lacked proof, the caller might repeat a call that ran.
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

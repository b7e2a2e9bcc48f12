//! How a chain tries again, lets attempts go, and ends.

use std::time::Duration;

use super::Action;
use super::Chain;
use super::Decision;
use super::attempt::State;
use super::machine::ATTEMPTS_MAX;
use super::machine::Turn;
use super::select;
use super::timing;
use crate::ids::AttemptId;
use crate::outcome::Outcome;
use crate::outcome::Reason;

/// The first pause before asking a full pool again; it doubles.
const PAUSE_FIRST: Duration = Duration::from_millis(5);

/// The part of the time left in which a key waits for its slot's next owner.
///
/// What remains is for the call itself: 250 ms of the deadline of 1 s that
/// approvals have.
const OWNER_PART: f32 = 0.75;

/// The longest wait for a slot's next owner.
///
/// A slot changes hands in about a second; one that has no owner for longer
/// belonged to an agent that died, and its lease may run for minutes.
const OWNER_WAIT: Duration = Duration::from_secs(3);

/// The pause between two looks for a slot's next owner.
///
/// Agents report their slots each half second, so that an earlier look sees
/// nothing new; spread by jitter, waiting keys don't reach a new owner at once.
const OWNER_PAUSE: Duration = Duration::from_millis(50);

impl Chain {
    /// Tries the stage again where that is allowed, or gives the request up.
    pub(super) fn retry(&mut self, reason: Reason, after: Option<Duration>, turn: &mut Turn<'_>) {
        if self.open().next().is_some() {
            return;
        }
        let tries = self.here().count();
        if tries >= ATTEMPTS_MAX {
            self.refuse(reason, after, turn);
            return;
        }
        if self.is_ownerless(reason) {
            self.refuser = self.here().last().map(|a| a.endpoint.clone());
            self.seek_owner(reason, after, turn);
            return;
        }
        // A drain moves work that nobody meant to fail; it is bounded by the
        // number of attempts. All else draws from the budget: without it, each
        // failure would add calls to a pool that fails because of its calls.
        let free = reason == Reason::Draining;
        if !free && !turn.shared.retry.try_spend(&self.current().pool) {
            self.refuse(Reason::RetryBudget, after, turn);
            return;
        }
        if reason == Reason::Overload {
            let pause = PAUSE_FIRST * (1 << tries);
            let pause = timing::jitter(pause.max(after.unwrap_or_default()), turn.shared);
            self.pause(pause, turn);
        } else {
            self.send(turn);
        }
    }

    // A pause that ends too late for an answer would only hold the refusal back.
    fn pause(&mut self, pause: Duration, turn: &mut Turn<'_>) {
        let again = turn.now + pause;
        if again >= timing::latest(turn.now, self, turn.shared) {
            self.refuse(Reason::Overload, Some(pause), turn);
            return;
        }
        self.again = Some(again);
    }

    /// Tells whether only another owner of the key's slot can help.
    pub(super) fn is_ownerless(&self, reason: Reason) -> bool {
        let moves = matches!(reason, Reason::NoLease | Reason::Draining);
        moves && !self.current().idempotent
    }

    // The refusal proves that the attempt did not run, so an owner that is
    // known already gets the key at once. It costs no retry: attempts are
    // bounded, and nobody but the owner may take the call anyway.
    fn seek_owner(&mut self, reason: Reason, after: Option<Duration>, turn: &mut Turn<'_>) {
        if self.spec.slot == self.refuser {
            self.await_owner(reason, after, turn);
        } else {
            self.send(turn);
        }
    }

    /// Waits for the next owner of the key's slot, or gives the request up.
    ///
    /// While a slot changes hands nobody may run its keys. Refused at once,
    /// every planned restart would show to callers as failed approvals. The
    /// wait ends as soon as it can't help any more, and so does the request.
    pub(super) fn await_owner(
        &mut self,
        reason: Reason,
        after: Option<Duration>,
        turn: &mut Turn<'_>,
    ) {
        let left = timing::latest(turn.now, self, turn.shared).since(turn.now);
        let wait = left.mul_f32(OWNER_PART).min(OWNER_WAIT);
        let until = *self.until.get_or_insert(turn.now + wait);
        let again = turn.now + timing::jitter(OWNER_PAUSE, turn.shared);
        if again >= until {
            self.refuse(reason, after, turn);
            return;
        }
        self.again = Some(again);
    }

    fn refuse(&mut self, reason: Reason, after: Option<Duration>, turn: &mut Turn<'_>) {
        let after = after.unwrap_or_else(|| timing::come_back(turn.shared));
        self.give_up(reason, Some(after), turn);
    }

    /// Closes an attempt that ended.
    pub(super) fn settle(&mut self, index: usize, state: State, turn: &mut Turn<'_>) {
        self.release(index, state, turn);
        let attempt = &self.attempts[index];
        turn.out.push(Action::Decision(Decision::Settled {
            request: self.spec.request,
            stage: attempt.stage,
            attempt: attempt.id,
            endpoint: attempt.endpoint.clone(),
            predicted: attempt.predicted,
            actual: turn.now.since(attempt.began),
        }));
    }

    fn release(&mut self, index: usize, state: State, turn: &mut Turn<'_>) {
        let attempt = &mut self.attempts[index];
        attempt.state = state;
        if let Some(booking) = attempt.booking.take() {
            let pool = &self.spec.pipeline.stages[attempt.stage].pool;
            turn.shared.fleet.release(pool, booking);
        }
    }

    /// Stops waiting for an attempt.
    pub(super) fn drop_attempt(&mut self, index: usize, turn: &mut Turn<'_>) {
        select::note_overdue(turn.now, &self.attempts[index], self, turn.shared);
        self.release(index, State::Dropped, turn);
        // An effect that has begun is not called off: it would end as unknown
        // where waiting for nobody gives an answer that the key remembers.
        if self.current().idempotent {
            turn.out.push(Action::Cancel {
                attempt: self.attempts[index].id,
            });
        }
    }

    pub(super) fn drop_others(&mut self, winner: AttemptId, turn: &mut Turn<'_>) {
        for index in 0..self.attempts.len() {
            if self.attempts[index].is_open() && self.attempts[index].id != winner {
                self.drop_attempt(index, turn);
            }
        }
    }

    /// Ends the request without an answer, at once.
    pub(super) fn give_up(&mut self, reason: Reason, after: Option<Duration>, turn: &mut Turn<'_>) {
        for index in 0..self.attempts.len() {
            if self.attempts[index].is_open() {
                self.drop_attempt(index, turn);
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
        self.finish(outcome, Some(reason), after, turn);
    }

    pub(super) fn finish(
        &mut self,
        outcome: Outcome,
        reason: Option<Reason>,
        retry_after: Option<Duration>,
        turn: &mut Turn<'_>,
    ) {
        self.finished = true;
        turn.out.push(Action::Finish {
            outcome,
            reason,
            retry_after,
        });
    }
}

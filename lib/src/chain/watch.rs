//! What a chain does as time passes.

use super::Chain;
use super::attempt::Attempt;
use super::machine::ATTEMPTS_MAX;
use super::machine::Turn;
use super::select;
use super::timing;
use crate::outcome::Reason;
use crate::time::Time;

impl Chain {
    pub(super) fn check_time(&mut self, turn: &mut Turn<'_>) {
        if turn.now >= timing::latest(turn.now, self, turn.shared) {
            let after = timing::come_back(turn.shared);
            self.give_up(Reason::Timeout, Some(after), turn);
            return;
        }
        if self.again.is_some_and(|at| turn.now >= at) {
            self.again = None;
            self.send(turn);
        }
        if !self.finished && self.current().idempotent {
            self.check_silence(turn);
        }
        if !self.finished && self.current().idempotent {
            self.check_hedge(turn);
        }
    }

    // Waiting on a silent endpoint to the deadline loses the request although
    // others could still answer in time. What a stage may do twice is moved.
    fn check_silence(&mut self, turn: &mut Turn<'_>) {
        let silent = |a: &Attempt| a.is_open() && turn.now >= timing::silent_at(a);
        let Some(index) = self.attempts.iter().position(silent) else {
            return;
        };
        let alone = self.open().count() == 1;
        let more = self.here().count() < ATTEMPTS_MAX;
        if alone && more && turn.shared.retry.try_spend(&self.current().pool) {
            self.drop_attempt(index, turn);
            self.send(turn);
        } else {
            select::note_overdue(turn.now, &self.attempts[index], self, turn.shared);
            timing::postpone(turn.now, &mut self.attempts[index]);
        }
    }

    fn check_hedge(&mut self, turn: &mut Turn<'_>) {
        if timing::hedge_at(self).is_none_or(|at| turn.now < at) {
            return;
        }
        let Some(index) = self.attempts.iter().position(Attempt::is_open) else {
            return;
        };
        select::note_overdue(turn.now, &self.attempts[index], self, turn.shared);
        self.attempts[index].hedge = Time::NEVER;
        let may_send = self.here().count() < ATTEMPTS_MAX;
        if may_send
            && select::has_other(turn.now, self, turn.shared)
            && turn.shared.hedge.try_spend()
        {
            self.send(turn);
        }
    }
}

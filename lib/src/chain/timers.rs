//! Time-outs, scheduled retries and hedges of a chain.

use super::Chain;
use super::attempt::Attempt;
use super::machine::ATTEMPTS_MAX;
use super::machine::EventContext;
use super::select;
use super::timing;
use crate::outcome::Reason;
use crate::time::Time;

impl Chain {
    pub(super) fn check_timers(&mut self, ctx: &mut EventContext<'_>) {
        if ctx.now >= timing::stage_deadline(ctx.now, self, ctx.shared) {
            let after = timing::retry_after(ctx.shared);
            self.give_up(Reason::Timeout, Some(after), ctx);
            return;
        }
        if self.retry_at.is_some_and(|at| ctx.now >= at) {
            self.retry_at = None;
            self.send(ctx);
        }
        if !self.finished && self.current_stage().idempotent {
            self.check_timeouts(ctx);
        }
        if !self.finished && self.current_stage().idempotent {
            self.check_hedge(ctx);
        }
    }

    // Waiting for a hung endpoint until the deadline would fail the request
    // although others could respond in time, so an idempotent stage is retried.
    fn check_timeouts(&mut self, ctx: &mut EventContext<'_>) {
        let timed_out = |a: &Attempt| a.is_open() && ctx.now >= timing::progress_deadline(a);
        let Some(index) = self.attempts.iter().position(timed_out) else {
            return;
        };
        let alone = self.open_attempts().count() == 1;
        let may_retry = self.stage_attempts().count() < ATTEMPTS_MAX;
        if alone && may_retry && ctx.shared.retry.try_spend(&self.current_stage().pool) {
            self.drop_attempt(index, ctx);
            self.send(ctx);
        } else {
            select::record_overdue(ctx.now, &self.attempts[index], self, ctx.shared);
            timing::extend_timeout(ctx.now, &mut self.attempts[index]);
        }
    }

    fn check_hedge(&mut self, ctx: &mut EventContext<'_>) {
        if timing::hedge_at(self).is_none_or(|at| ctx.now < at) {
            return;
        }
        let Some(index) = self.attempts.iter().position(Attempt::is_open) else {
            return;
        };
        select::record_overdue(ctx.now, &self.attempts[index], self, ctx.shared);
        self.attempts[index].hedge_at = Time::NEVER;
        let may_send = self.stage_attempts().count() < ATTEMPTS_MAX;
        if may_send
            && select::has_untried_endpoint(ctx.now, self, ctx.shared)
            && ctx.shared.hedge.try_spend()
        {
            self.send(ctx);
        }
    }
}

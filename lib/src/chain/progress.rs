//! Handling of events of a chain's attempts.

use super::Action;
use super::Chain;
use super::Usage;
use super::attempt::State;
use super::machine::EventContext;
use super::select;
use super::timing;
use crate::ids::AttemptId;
use crate::outcome::AttemptEnd;
use crate::outcome::Outcome;
use crate::outcome::Reason;

impl Chain {
    pub(super) fn on_sent(&mut self, id: AttemptId, ctx: &mut EventContext<'_>) {
        let Some(index) = self.find_open(id) else {
            return;
        };
        // Waiting for the connection doesn't count against the endpoint.
        let predicted = self.attempts[index].predicted;
        let timers = timing::timers(ctx.now, self, predicted, ctx.shared);
        let attempt = &mut self.attempts[index];
        if !attempt.sent && attempt.first_token.is_none() {
            attempt.sent = true;
            attempt.started_at = ctx.now;
            attempt.last_progress = ctx.now;
            attempt.hedge_at = timers.hedge_at;
            attempt.timeout_at = timers.timeout_at;
        }
    }

    pub(super) fn on_chunk(
        &mut self,
        id: AttemptId,
        first: u32,
        count: u32,
        ctx: &mut EventContext<'_>,
    ) {
        let Some(index) = self.find_open(id) else {
            return;
        };
        self.record_progress(index, ctx);
        // Two engines may generate different answers, so tokens of two attempts
        // are never mixed: the first to send one wins, the others are dropped.
        if self.token_source != Some(id) {
            self.token_source = Some(id);
            self.drop_others(id, ctx);
        }
        let end = first.saturating_add(count);
        if first > self.held_tokens {
            // Tokens before this chunk were lost. Appending it would leave a gap
            // in the answer, so a retry resumes at the first missing token.
            self.drop_attempt(index, ctx);
            self.retry(Reason::Connection, None, ctx);
        } else if end > self.held_tokens {
            ctx.out.push(Action::Deliver {
                attempt: id,
                skip: self.held_tokens - first,
            });
            self.held_tokens = end;
        }
    }

    fn record_progress(&mut self, index: usize, ctx: &mut EventContext<'_>) {
        let attempt = &mut self.attempts[index];
        attempt.last_progress = ctx.now;
        if attempt.first_token.is_none() {
            attempt.first_token = Some(ctx.now);
            let elapsed = ctx.now.since(attempt.started_at);
            let times = &mut ctx.shared.times;
            times
                .entry(&self.spec.name, self.stage)
                .first_token
                .observe(elapsed);
        }
    }

    pub(super) fn on_ended(
        &mut self,
        id: AttemptId,
        end: &AttemptEnd,
        usage: Usage,
        ctx: &mut EventContext<'_>,
    ) {
        let Some(index) = self.find_open(id) else {
            self.record_proof(id, end);
            return;
        };
        match end {
            AttemptEnd::Completed => self.on_completed(index, usage, ctx),
            AttemptEnd::NotRun {
                reason,
                retry_after,
            } => {
                self.settle(index, State::NotRun, ctx);
                select::record_refusal(ctx.now, &self.attempts[index], *reason, self, ctx.shared);
                self.retry(*reason, *retry_after, ctx);
            }
            AttemptEnd::Unknown { reason } => {
                self.settle(index, State::Ran, ctx);
                select::record_failure(ctx.now, &self.attempts[index], self, ctx.shared);
                if self.current_stage().idempotent {
                    self.retry(*reason, None, ctx);
                } else {
                    self.give_up(*reason, None, ctx);
                }
            }
        }
    }

    // A dropped attempt may still prove that it never ran, which decides between
    // the outcomes not-run and unknown.
    fn record_proof(&mut self, id: AttemptId, end: &AttemptEnd) {
        let dropped = self
            .attempts
            .iter_mut()
            .find(|a| a.id == id && a.state == State::Dropped);
        if let Some(attempt) = dropped {
            attempt.state = if end.is_not_run() {
                State::NotRun
            } else {
                State::Ran
            };
        }
    }

    fn on_completed(&mut self, index: usize, usage: Usage, ctx: &mut EventContext<'_>) {
        let id = self.attempts[index].id;
        let complete = self.is_complete(id, usage);
        self.settle(index, State::Ran, ctx);
        if !complete {
            self.retry(Reason::Connection, None, ctx);
            return;
        }
        select::record_completion(ctx.now, &self.attempts[index], usage, self, ctx.shared);
        self.drop_others(id, ctx);
        ctx.out.push(Action::StageDone {
            stage: self.stage,
            attempt: id,
        });
        if self.is_last() {
            self.finish(Outcome::Completed, None, None, ctx);
        } else {
            self.start_stage(self.stage + 1, ctx);
        }
    }

    /// Returns whether all tokens of a completed attempt were received.
    fn is_complete(&self, id: AttemptId, usage: Usage) -> bool {
        let streams = self.spec.stream && self.is_last() && select::generates(self.current_stage());
        let chunked = self.token_source == Some(id) || self.held_tokens > 0;
        !(streams || chunked) || self.held_tokens >= usage.output.0
    }
}

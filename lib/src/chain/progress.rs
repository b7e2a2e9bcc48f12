//! What a chain does with news of its attempts.

use super::Action;
use super::Chain;
use super::Usage;
use super::attempt::State;
use super::machine::Turn;
use super::select;
use super::timing;
use crate::ids::AttemptId;
use crate::outcome::AttemptEnd;
use crate::outcome::Outcome;
use crate::outcome::Reason;

impl Chain {
    pub(super) fn on_sent(&mut self, id: AttemptId, turn: &mut Turn<'_>) {
        let Some(index) = self.find_open(id) else {
            return;
        };
        // The wait for the connection is the router's, not the endpoint's.
        let predicted = self.attempts[index].predicted;
        let limits = timing::limits(turn.now, self, predicted, turn.shared);
        let attempt = &mut self.attempts[index];
        if !attempt.sent && attempt.first.is_none() {
            attempt.sent = true;
            attempt.began = turn.now;
            attempt.progress = turn.now;
            attempt.hedge = limits.hedge;
            attempt.patience = limits.patience;
        }
    }

    pub(super) fn on_chunk(&mut self, id: AttemptId, first: u32, count: u32, turn: &mut Turn<'_>) {
        let Some(index) = self.find_open(id) else {
            return;
        };
        self.note_progress(index, turn);
        // Two engines may word an answer differently, so tokens of two attempts
        // must not be mixed: the first to give one wins, others are cancelled.
        if self.source != Some(id) {
            self.source = Some(id);
            self.drop_others(id, turn);
        }
        let end = first.saturating_add(count);
        if first > self.tokens {
            // Tokens are missing before this chunk. Appending it would give the
            // caller an answer with a hole, so the rest is asked for elsewhere,
            // from the first missing token.
            self.drop_attempt(index, turn);
            self.retry(Reason::Connection, None, turn);
        } else if end > self.tokens {
            turn.out.push(Action::Deliver {
                attempt: id,
                skip: self.tokens - first,
            });
            self.tokens = end;
        }
    }

    fn note_progress(&mut self, index: usize, turn: &mut Turn<'_>) {
        let attempt = &mut self.attempts[index];
        attempt.progress = turn.now;
        if attempt.first.is_none() {
            attempt.first = Some(turn.now);
            let took = turn.now.since(attempt.began);
            let times = &mut turn.shared.times;
            times
                .entry(&self.spec.name, self.stage)
                .first_token
                .observe(took);
        }
    }

    pub(super) fn on_ended(
        &mut self,
        id: AttemptId,
        end: &AttemptEnd,
        usage: Usage,
        turn: &mut Turn<'_>,
    ) {
        let Some(index) = self.find_open(id) else {
            self.note_proof(id, end);
            return;
        };
        match end {
            AttemptEnd::Completed => self.on_completed(index, usage, turn),
            AttemptEnd::NotRun {
                reason,
                retry_after,
            } => {
                self.settle(index, State::NotRun, turn);
                select::note_refusal(turn.now, &self.attempts[index], *reason, self, turn.shared);
                self.retry(*reason, *retry_after, turn);
            }
            AttemptEnd::Unknown { reason } => {
                self.settle(index, State::Ran, turn);
                select::note_failure(turn.now, &self.attempts[index], self, turn.shared);
                if self.current().idempotent {
                    self.retry(*reason, None, turn);
                } else {
                    self.give_up(*reason, None, turn);
                }
            }
        }
    }

    // A cancelled attempt may still prove that it never ran, which decides
    // between the outcomes not-run and unknown.
    fn note_proof(&mut self, id: AttemptId, end: &AttemptEnd) {
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

    fn on_completed(&mut self, index: usize, usage: Usage, turn: &mut Turn<'_>) {
        let id = self.attempts[index].id;
        let whole = self.is_whole(id, usage);
        self.settle(index, State::Ran, turn);
        if !whole {
            self.retry(Reason::Connection, None, turn);
            return;
        }
        select::note_answer(turn.now, &self.attempts[index], usage, self, turn.shared);
        self.drop_others(id, turn);
        turn.out.push(Action::StageDone {
            stage: self.stage,
            attempt: id,
        });
        if self.is_last() {
            self.finish(Outcome::Completed, None, None, turn);
        } else {
            self.enter(self.stage + 1, turn);
        }
    }

    /// Tells whether a completed attempt's answer has all its tokens.
    fn is_whole(&self, id: AttemptId, usage: Usage) -> bool {
        let streams = self.spec.stream && self.is_last() && select::generates(self.current());
        let chunked = self.source == Some(id) || self.tokens > 0;
        !(streams || chunked) || self.tokens >= usage.output.0
    }
}

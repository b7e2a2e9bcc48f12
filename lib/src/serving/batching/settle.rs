//! What the end of a call means for its endpoint, its pieces and their jobs.

use std::time::Duration;

use super::queue::AGAIN_MAX;
use super::queue::BatchQueue;
use super::queue::Call;
use super::queue::CallResult;
use super::queue::FULL_PAUSE;
use super::queue::ItemOutcome;
use super::queue::JobId;
use super::queue::JobOutcome;
use crate::time::Time;
use crate::units::Bytes;

impl BatchQueue {
    pub(super) fn note_maker(&mut self, now: Time, call: &Call, result: &CallResult) {
        self.note_pace(now, call);
        let Some(maker) = self.makers.get_mut(&call.endpoint) else {
            return;
        };
        if !call.given_up {
            maker.calls = maker.calls.saturating_sub(1);
            maker.room.unbook(call.booked);
        }
        if maker.calls == 0 {
            maker.free_at = now;
        }
        let ratio = now.since(call.began).as_secs_f32() / call.expected.as_secs_f32();
        match result {
            CallResult::Answered(outcomes) => {
                maker.health.record_response(now, ratio);
                if outcomes.contains(&ItemOutcome::Failed) {
                    maker.health.record_failure(now);
                }
                let made = outcomes
                    .iter()
                    .filter(|o| matches!(o, ItemOutcome::Produced(_)));
                let all_made = made.clone().count() == outcomes.len();
                if outcomes.contains(&ItemOutcome::Full) {
                    maker.full = now + FULL_PAUSE;
                    maker.most = made.count().max(1);
                } else if all_made {
                    maker.most = maker.most.saturating_mul(2);
                }
            }
            // Someone else's calls fill it; it is not sick.
            CallResult::Refused => maker.full = now + FULL_PAUSE,
            CallResult::WrongEndpoint => maker.present = false,
            CallResult::Broken => maker.health.record_broken(now),
        }
    }

    pub(super) fn piece_ended(
        &mut self,
        now: Time,
        call: &Call,
        (id, piece): (JobId, u32),
        each: Bytes,
        outcome: ItemOutcome,
    ) {
        if let ItemOutcome::Produced(handle) = &outcome
            && let Some(maker) = self.makers.get_mut(&call.endpoint)
        {
            maker
                .room
                .hold(now, handle.clone(), each, self.limits.result_ttl);
        }
        let Some(held) = self.jobs.get_mut(&id) else {
            if let ItemOutcome::Produced(handle) = outcome {
                self.release(now, &call.endpoint, handle);
            }
            return;
        };
        let Some(state) = held.pieces.get_mut(&piece) else {
            return;
        };
        if !call.given_up {
            state.running = state.running.saturating_sub(1);
        }
        match outcome {
            ItemOutcome::Produced(handle) if state.made.is_some() => {
                self.release(now, &call.endpoint, handle);
            }
            ItemOutcome::Produced(handle) => {
                state.made = Some((handle, call.endpoint.clone()));
                state.waiting = false;
                if held.is_done() {
                    self.end(id, None, Duration::ZERO);
                }
            }
            _ if state.made.is_some() || state.running > 0 || call.given_up => {}
            ItemOutcome::Full | ItemOutcome::Failed if held.again < AGAIN_MAX => {
                held.again += 1;
                state.waiting = true;
            }
            failure => self.end(id, Some(failure), Duration::ZERO),
        }
    }

    /// Gives the pieces of a call that did not answer to another endpoint.
    pub(super) fn again(&mut self, call: &Call, counted: bool) {
        let mut exhausted = Vec::new();
        for &(id, piece) in &call.items {
            let Some(held) = self.jobs.get_mut(&id) else {
                continue;
            };
            let Some(state) = held.pieces.get_mut(&piece) else {
                continue;
            };
            if call.given_up {
                continue;
            }
            state.running = state.running.saturating_sub(1);
            if state.made.is_none() && state.running == 0 && !state.waiting {
                state.waiting = true;
                held.again += u32::from(counted);
            }
            if held.again > AGAIN_MAX * held.pieces.len() as u32 {
                exhausted.push(id);
            }
        }
        for id in exhausted {
            self.end(id, Some(ItemOutcome::Failed), Duration::ZERO);
        }
    }

    pub(super) fn end(&mut self, id: JobId, failure: Option<ItemOutcome>, backlog: Duration) {
        let Some(held) = self.jobs.remove(&id) else {
            return;
        };
        let made = held.pieces.into_iter();
        let made = made.filter_map(|(p, s)| s.made.map(|(handle, e)| (p, handle, e)));
        self.ends.push(JobOutcome {
            job: id,
            produced: made.collect(),
            failure,
            backlog,
        });
    }
}

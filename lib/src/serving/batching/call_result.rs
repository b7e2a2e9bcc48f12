//! Handles the end of a call: updates its endpoint, its items and their jobs.

use std::time::Duration;

use super::queue::BatchQueue;
use super::queue::CallResult;
use super::queue::FULL_PAUSE;
use super::queue::InFlightCall;
use super::queue::ItemOutcome;
use super::queue::JobId;
use super::queue::JobOutcome;
use super::queue::MAX_RETRIES;
use super::speeds::CallTime;
use crate::time::Time;
use crate::units::Bytes;

impl BatchQueue {
    pub(super) fn update_endpoint(&mut self, now: Time, call: &InFlightCall, result: &CallResult) {
        self.record_rate(now, call);
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else {
            return;
        };
        if !call.abandoned {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            endpoint.memory.unreserve(call.reserved);
        }
        if endpoint.in_flight == 0 {
            endpoint.free_at = now;
        }
        // Calls of one slot run one after the other.
        let began = if call.waits {
            endpoint.last_end.max(call.sent_at)
        } else {
            call.started_at
        };
        endpoint.last_end = now;
        let ratio = now.since(call.started_at).as_secs_f32() / call.expected.as_secs_f32();
        match result {
            CallResult::Answered(outcomes) => {
                endpoint.health.record_response(now, ratio);
                let waited = call.abandoned || call.waits && self.limits.slots > 1;
                if let Some(speed) = &endpoint.speed {
                    // Contention may have begun during the call.
                    let expected = call.expected_here.max(speed.stretched(now, call.expected));
                    let elapsed = now.since(began).as_secs_f32();
                    let own_ratio = elapsed / expected.as_secs_f32();
                    endpoint.health.record_own_ratio(now, own_ratio);
                    self.speed_samples.push(CallTime {
                        entry: endpoint.entry.clone(),
                        ratio: elapsed / call.expected.as_secs_f32(),
                        waited,
                    });
                }
                if outcomes.contains(&ItemOutcome::Failed) {
                    endpoint.health.record_failure(now);
                }
                let produced = outcomes
                    .iter()
                    .filter(|o| matches!(o, ItemOutcome::Produced(_)));
                let all_produced = produced.clone().count() == outcomes.len();
                if outcomes.contains(&ItemOutcome::Full) {
                    endpoint.full_until = now + FULL_PAUSE;
                    endpoint.max_items = produced.count().max(1);
                } else if all_produced {
                    endpoint.max_items = endpoint.max_items.saturating_mul(2);
                }
            }
            // The calls of another owner fill the endpoint; it is healthy.
            CallResult::Refused => endpoint.full_until = now + FULL_PAUSE,
            CallResult::WrongEndpoint => endpoint.present = false,
            CallResult::Broken => endpoint.health.record_connection_failure(now),
        }
    }

    pub(super) fn on_item_outcome(
        &mut self,
        now: Time,
        call: &InFlightCall,
        (id, item): (JobId, u32),
        result_bytes: Bytes,
        outcome: ItemOutcome,
    ) {
        if let ItemOutcome::Produced(handle) = &outcome
            && let Some(endpoint) = self.endpoints.get_mut(&call.endpoint)
        {
            endpoint
                .memory
                .insert(now, handle.clone(), result_bytes, self.limits.result_ttl);
        }
        let Some(job_state) = self.jobs.get_mut(&id) else {
            if let ItemOutcome::Produced(handle) = outcome {
                self.release(now, &call.endpoint, handle);
            }
            return;
        };
        let Some(item_state) = job_state.items.get_mut(&item) else {
            return;
        };
        if !call.abandoned {
            item_state.in_flight = item_state.in_flight.saturating_sub(1);
        }
        match outcome {
            ItemOutcome::Produced(handle) if item_state.result.is_some() => {
                self.release(now, &call.endpoint, handle);
            }
            ItemOutcome::Produced(handle) => {
                item_state.result = Some((handle, call.endpoint.clone()));
                item_state.waiting = false;
                if job_state.is_done() {
                    self.finish_job(id, None, Duration::ZERO);
                }
            }
            _ if item_state.result.is_some() || item_state.in_flight > 0 || call.abandoned => {}
            ItemOutcome::Full | ItemOutcome::Failed if job_state.retries < MAX_RETRIES => {
                job_state.retries += 1;
                item_state.waiting = true;
            }
            failure => self.finish_job(id, Some(failure), Duration::ZERO),
        }
    }

    /// Queues the items of a call without a response again; `counted` counts it as a retry.
    pub(super) fn retry_items(&mut self, call: &InFlightCall, counted: bool) {
        let mut exhausted = Vec::new();
        for &(id, item) in &call.items {
            let Some(job_state) = self.jobs.get_mut(&id) else {
                continue;
            };
            let Some(item_state) = job_state.items.get_mut(&item) else {
                continue;
            };
            if call.abandoned {
                continue;
            }
            item_state.in_flight = item_state.in_flight.saturating_sub(1);
            if item_state.result.is_none() && item_state.in_flight == 0 && !item_state.waiting {
                item_state.waiting = true;
                job_state.retries += u32::from(counted);
            }
            if job_state.retries > MAX_RETRIES * job_state.items.len() as u32 {
                exhausted.push(id);
            }
        }
        for id in exhausted {
            self.finish_job(id, Some(ItemOutcome::Failed), Duration::ZERO);
        }
    }

    pub(super) fn finish_job(
        &mut self,
        id: JobId,
        failure: Option<ItemOutcome>,
        backlog: Duration,
    ) {
        let Some(job_state) = self.jobs.remove(&id) else {
            return;
        };
        let produced = job_state.items.into_iter();
        let produced = produced.filter_map(|(i, s)| s.result.map(|(handle, e)| (i, handle, e)));
        self.results.push(JobOutcome {
            job: id,
            produced: produced.collect(),
            failure,
            backlog,
        });
    }
}

//! Work queue of one stage service, which batches items of many requests.
//!
//! A call costs much more than an item in it, so throughput depends on full batches. Work
//! goes to the endpoint that would finish first; while all are busy, items wait here, ordered
//! by urgency, and are sent together.

use std::collections::BTreeMap;
use std::time::Duration;

use super::endpoint::EndpointState;
use super::endpoint::StageEndpoint;
use super::first_targets::FirstTargets;
use super::plan::StageInput;
use super::speeds::CallTime;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::serving::admission::FairShares;
use crate::serving::admission::RequestChain;
use crate::serving::catalog::BatchLimits;
use crate::serving::cold_start::AdmitterRank;
use crate::serving::crashes::Fingerprint;
use crate::serving::directory::Entry;
use crate::serving::homes::Homes;
use crate::time::Time;
use crate::units::Bytes;

/// Multiple of its expected time after which a call is overdue and its items are retried.
///
/// Usual calls stay below one and a half; a stopped endpoint never responds.
pub(super) const OVERDUE_FACTOR: u32 = 3;

/// Added to the overdue time for the network round trip.
pub(super) const OVERDUE_MARGIN: Duration = Duration::from_millis(60);

/// The maximum number of retries of a job.
pub(super) const MAX_RETRIES: u32 = 4;

/// The longest time for which an unneeded result waits to be released with others.
///
/// About one call: long enough to batch releases, short enough that an endpoint's memory never
/// holds more than the work of two calls.
const MAX_RELEASE_DELAY: Duration = Duration::from_millis(250);

/// The used fraction of an endpoint's memory above which results are released at once.
const RELEASE_FILL_FRACTION: f64 = 0.3;

/// How long no calls are sent to an endpoint that reported full memory.
///
/// It rejects calls at once, so an early retry costs more than waiting until a result is read.
pub(super) const FULL_PAUSE: Duration = Duration::from_millis(120);

/// The fraction of a late job's remaining time within which the backlog must clear.
///
/// Meanwhile more urgent work arrives about as fast as work is done; at a third the job still
/// has a fair chance.
const MAX_BACKLOG_FRACTION: f64 = 0.33;

/// The number of a job, unique within its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(derive_more::Display)]
pub struct JobId(pub u64);

/// Items of one stage of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// The request id given by the caller.
    pub request: String,
    /// Identifies the request across its attempts, if known.
    pub fingerprint: Option<Fingerprint>,
    /// The stage.
    pub stage: usize,
    /// The numbers of the items within the stage.
    pub items: Vec<u32>,
    /// The input of each item.
    pub input: StageInput,
    /// The request's key, the input of stages without dependencies.
    pub key: String,
    /// The usual size of one result.
    pub result_bytes: Bytes,
    /// When the stage should be done for the request to be on time.
    pub target: Time,
    /// When the results are no longer needed.
    pub deadline: Time,
    /// The request's priority; 0 is the most urgent.
    pub priority: u8,
    /// The failure domain in which the results will be read.
    pub result_domain: Option<FailureDomain>,
    /// The failure domain that holds most of the inputs, and the bytes that each item reads.
    pub input_source: Option<(FailureDomain, Bytes)>,
    /// The regions in which it may run.
    pub homes: Homes,
    /// The request's chain, where callers compete for capacity.
    pub chain: Option<RequestChain>,
}

/// One item of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchItem {
    /// The job that it belongs to.
    pub job: JobId,
    /// The request id given by the caller.
    pub request: String,
    /// Identifies the request across its attempts, if known.
    pub fingerprint: Option<Fingerprint>,
    /// The stage.
    pub stage: usize,
    /// The number of the item within the stage.
    pub item: u32,
    /// The time until its deadline.
    pub remaining: Duration,
    /// Its input.
    pub input: StageInput,
    /// The request's key.
    pub key: String,
}

/// A batch to send to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchCall {
    /// The number of the call, unique within the queue.
    pub id: u64,
    /// The endpoint.
    pub entry: Entry,
    /// The items of the batch.
    pub items: Vec<BatchItem>,
    /// How long the call is expected to take.
    pub expected: Duration,
    /// The time after which the call is abandoned.
    pub timeout: Duration,
}

/// The outcome of one item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemOutcome {
    /// The result is stored under this handle.
    Produced(String),
    /// Its deadline had passed before it ran.
    Late,
    /// One of its inputs is gone.
    Gone,
    /// There was no memory for its result.
    Full,
    /// The item failed.
    Failed,
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The endpoint responded with an outcome for each item.
    Answered(Vec<ItemOutcome>),
    /// The endpoint refused the call.
    Refused,
    /// Another endpoint now has this address; nothing ran.
    WrongEndpoint,
    /// The connection failed or went silent.
    Broken,
}

/// The end of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobOutcome {
    /// The job.
    pub job: JobId,
    /// The completed items: number, result handle and endpoint.
    pub produced: Vec<(u32, String, EndpointId)>,
    /// Why the other items failed; `None` if all completed.
    pub failure: Option<ItemOutcome>,
    /// The time needed to clear the backlog, if the job failed because of it.
    pub backlog: Duration,
}

#[derive(Debug, Clone, Default)]
pub(super) struct ItemState {
    pub(super) in_flight: u32,
    pub(super) waiting: bool,
    pub(super) result: Option<(String, EndpointId)>,
}

#[derive(Debug, Clone)]
pub(super) struct JobState {
    pub(super) job: Job,
    pub(super) items: BTreeMap<u32, ItemState>,
    pub(super) retries: u32,
    /// Whether it is expected to miss its target time.
    pub(super) late: bool,
    /// Whether its account got more than its share.
    pub(super) over_share: bool,
}

impl JobState {
    pub(super) fn waiting_items(&self) -> usize {
        self.items.values().filter(|i| i.waiting).count()
    }

    pub(super) fn is_accepted(&self) -> bool {
        self.job.chain.as_ref().is_some_and(|c| c.accepted)
    }

    pub(super) fn is_running(&self) -> bool {
        let mut items = self.items.values();
        items.any(|i| i.in_flight > 0 && i.result.is_none())
    }

    pub(super) fn is_done(&self) -> bool {
        self.items.values().all(|i| i.result.is_some())
    }
}

#[derive(Debug, Clone)]
pub(super) struct InFlightCall {
    pub(super) endpoint: EndpointId,
    pub(super) items: Vec<(JobId, u32)>,
    pub(super) reserved: Bytes,
    pub(super) result_bytes: Vec<Bytes>,
    pub(super) sent_at: Time,
    pub(super) started_at: Time,
    pub(super) expected: Duration,
    /// The expected time at its endpoint, as fast as that is.
    pub(super) expected_here: Duration,
    /// Whether it was sent while the endpoint's slots were taken.
    pub(super) waits: bool,
    pub(super) overdue_at: Option<Time>,
    /// Whether it was overdue and its slot was freed for other calls.
    pub(super) abandoned: bool,
    /// Whether a full batch or more was still waiting when it was sent.
    pub(super) backlogged: bool,
}

/// The waiting items of one service and its calls in flight.
#[derive(Debug, Clone)]
pub struct BatchQueue {
    pub(super) limits: BatchLimits,
    pub(super) endpoints: BTreeMap<EndpointId, StageEndpoint>,
    pub(super) jobs: BTreeMap<JobId, JobState>,
    pub(super) calls: BTreeMap<u64, InFlightCall>,
    pub(super) next_job: u64,
    pub(super) next_call: u64,
    pub(super) results: Vec<JobOutcome>,
    first_targets: FirstTargets,
    /// Moving average of the items per second of an endpoint under backlog.
    pub(super) item_rate: Option<f64>,
    /// When late jobs were last marked.
    pub(super) late_updated_at: Time,
    /// The calls per second to a cold endpoint; `None` if it has no limit.
    pub(super) cold_share: Option<usize>,
    /// What ended calls show of the speed of their endpoints.
    pub(super) speed_samples: Vec<CallTime>,
    /// This node's rank among those that send calls to endpoints that name a
    /// rate, and the number of places that do so for the same endpoints.
    granter: (Option<AdmitterRank>, u32),
    /// What each account got, where callers compete for capacity.
    pub(super) shares: Option<FairShares>,
}

impl BatchQueue {
    /// Creates an empty queue without endpoints.
    #[must_use]
    pub fn new(limits: BatchLimits) -> Self {
        Self {
            limits,
            endpoints: BTreeMap::new(),
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_job: 0,
            next_call: 0,
            results: Vec::new(),
            first_targets: FirstTargets::default(),
            item_rate: None,
            late_updated_at: Time::ZERO,
            cold_share: None,
            speed_samples: Vec::new(),
            granter: (None, 1),
            shares: None,
        }
    }

    /// Sets the batch limits of the endpoints.
    pub fn set_limits(&mut self, limits: BatchLimits) {
        self.limits = limits;
    }

    /// Returns how long an endpoint keeps a result.
    #[must_use]
    pub const fn result_ttl(&self) -> Duration {
        self.limits.result_ttl
    }

    /// Sets the calls per second that this node may send to a cold endpoint; `None` if there is
    /// no limit.
    pub const fn set_cold_share(&mut self, share: Option<usize>) {
        self.cold_share = share;
    }

    /// Sets this node's rank among those that send calls to endpoints that name a
    /// rate; `uses` is the number of places that do so for the same endpoints.
    pub const fn set_granter(&mut self, rank: Option<AdmitterRank>, uses: u32) {
        self.granter = (rank, uses);
    }

    /// Sets the endpoints that may receive calls, now or after an evacuation.
    pub fn set_endpoints<'a>(&mut self, endpoints: impl Iterator<Item: Into<EndpointState<'a>>>) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.present = false;
        }
        for state in endpoints {
            let state: EndpointState<'_> = state.into();
            let entry = state.entry;
            let is_same = |e: &StageEndpoint| {
                e.entry.started_at == entry.started_at && e.entry.address == entry.address
            };
            match self.endpoints.get_mut(&entry.id) {
                Some(endpoint) if is_same(endpoint) => endpoint.update(state),
                _ => {
                    let mut endpoint = StageEndpoint::new(entry.clone());
                    endpoint.update(state);
                    self.endpoints.insert(entry.id.clone(), endpoint);
                }
            }
        }
        self.endpoints.retain(|_, e| e.present || e.in_flight > 0);
    }

    /// Returns the number of unfinished jobs.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of items that wait for a call.
    #[must_use]
    pub fn waiting_items(&self) -> usize {
        self.jobs.values().map(JobState::waiting_items).sum()
    }

    /// Adds a job to the queue.
    pub fn submit(&mut self, mut job: Job) -> JobId {
        job.target = self.first_targets.target(&job);
        let id = JobId(self.next_job);
        self.next_job += 1;
        let waiting = ItemState {
            waiting: true,
            ..ItemState::default()
        };
        let items = job.items.iter().map(|&i| (i, waiting.clone()));
        let job_state = JobState {
            items: items.collect(),
            job,
            retries: 0,
            late: false,
            over_share: false,
        };
        self.jobs.insert(id, job_state);
        id
    }

    /// Fails the jobs of a quarantined request.
    pub fn fail_request(&mut self, request: Fingerprint) {
        let is_of_request = |j: &JobState| j.job.fingerprint == Some(request);
        let found = self.jobs.iter().filter(|(_, j)| is_of_request(j));
        let ids: Vec<JobId> = found.map(|(&id, _)| id).collect();
        for id in ids {
            self.finish_job(id, Some(ItemOutcome::Failed), Duration::ZERO);
        }
    }

    /// Drops a job that is no longer needed and releases its results.
    pub fn cancel(&mut self, now: Time, id: JobId) {
        let Some(job_state) = self.jobs.remove(&id) else {
            return;
        };
        for item in job_state.items.into_values() {
            if let Some((handle, endpoint)) = item.result {
                self.release(now, &endpoint, handle);
            }
        }
    }

    /// Marks a result as unneeded, to be released at its endpoint.
    pub fn release(&mut self, now: Time, endpoint: &EndpointId, handle: String) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.releases.push(handle);
            endpoint.releases_since.get_or_insert(now);
        }
    }

    /// Takes the results to release now, by endpoint.
    ///
    /// A result left to expire holds memory for seconds, even after its owner is gone, and the
    /// next owner would find idle endpoints full. So all results are released, in batches while
    /// memory allows.
    pub fn take_releases(&mut self, now: Time) -> Vec<(Entry, Vec<String>)> {
        let capacity = self.limits.result_memory.0 as f64;
        let items_wait = self.waiting_items() > 0;
        let mut out = Vec::new();
        for endpoint in self.endpoints.values_mut() {
            // An evacuated endpoint gets no calls at all. Its results expire by themselves.
            let Some(since) = endpoint.releases_since.filter(|_| !endpoint.is_evacuated()) else {
                continue;
            };
            let is_short = endpoint.memory.used(now).0 as f64 > RELEASE_FILL_FRACTION * capacity;
            let is_held_back = endpoint.is_resting(now) || endpoint.is_limited();
            if is_held_back && now.since(since) >= self.limits.result_ttl {
                // These results have expired: a release would only take up its rate.
                endpoint.releases_since = None;
                endpoint.releases.clear();
                continue;
            }
            let is_due = is_short || now.since(since) >= MAX_RELEASE_DELAY;
            // Calls go first at an endpoint that names a rate.
            let is_granted = !(endpoint.is_resting(now) || endpoint.is_limited() && items_wait);
            if is_due && is_granted && endpoint.try_grant(now) {
                endpoint.releases_since = None;
                let handles = std::mem::take(&mut endpoint.releases);
                out.push((endpoint.entry.clone(), handles));
            }
        }
        out
    }

    /// Handles the delivery of releases to an endpoint.
    ///
    /// Until then the results still count: a call that overtakes the release would find no memory.
    pub fn on_released(&mut self, endpoint: &EndpointId, handles: &[String]) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            for handle in handles {
                endpoint.memory.remove(handle);
            }
        }
    }

    /// Takes the jobs that ended since the last call.
    pub fn take_results(&mut self) -> Vec<JobOutcome> {
        std::mem::take(&mut self.results)
    }

    /// Returns the time of the next timer, when [`Self::poll`] must be called.
    #[must_use]
    pub fn wake(&self, now: Time) -> Time {
        let overdue = self.calls.values().filter_map(|c| c.overdue_at);
        // A job with an item in flight ends with that item, not at its deadline. A deadline
        // that has passed would wake the owner again and again.
        let can_expire = |j: &&JobState| j.waiting_items() > 0 && !j.is_running();
        let waiting = self.jobs.values().filter(can_expire);
        let expiry = waiting.map(|j| j.job.deadline - self.expected_time(1));
        let full_until = self.endpoints.values().map(|e| e.full_until);
        let full_until = full_until.filter(|&at| at > Time::ZERO);
        let releasing = self.endpoints.values().filter(|e| !e.is_evacuated());
        let releases = releasing.filter_map(|e| self.next_release(now, e));
        let paused = self.endpoints.values();
        let paused = paused.map(|e| e.pause_end(now, self.cold_share));
        let paused = paused.filter(|&at| at > now);
        let send_ahead = self.next_send_ahead().filter(|&at| at > now);
        let all = overdue
            .chain(expiry)
            .chain(full_until)
            .chain(releases)
            .chain(send_ahead)
            .chain(paused);
        all.min().unwrap_or(Time::NEVER)
    }

    /// Returns when the results of an endpoint are released, or expire unreleased.
    fn next_release(&self, now: Time, endpoint: &StageEndpoint) -> Option<Time> {
        let since = endpoint.releases_since?;
        let due = since + MAX_RELEASE_DELAY;
        let expiry = since + self.limits.result_ttl;
        if !endpoint.is_limited() {
            return Some(due.max(endpoint.rest_until().min(expiry)));
        }
        let granted = due.max(endpoint.pause_end(now, self.cold_share));
        let items_wait = self.waiting_items() > 0;
        Some(if items_wait {
            expiry
        } else {
            granted.min(expiry)
        })
    }

    /// Runs the timers and returns the batches to send now.
    pub fn poll(&mut self, now: Time) -> Vec<BatchCall> {
        self.first_targets.sweep(now);
        self.requeue_overdue(now);
        self.mark_late_jobs(now);
        self.fail_hopeless(now);
        for endpoint in self.endpoints.values_mut() {
            if endpoint.full_until <= now {
                endpoint.full_until = Time::ZERO;
            }
            endpoint.update_quota(now, self.granter);
        }
        let mut calls = Vec::new();
        while let Some(call) = self.next_batch(now) {
            calls.push(call);
        }
        calls
    }

    /// Handles the result of a call.
    pub fn on_call_ended(&mut self, now: Time, call: u64, result: CallResult) {
        let Some(call) = self.calls.remove(&call) else {
            return;
        };
        self.update_endpoint(now, &call, &result);
        match result {
            CallResult::Answered(outcomes) if outcomes.len() == call.items.len() => {
                let items = call.items.iter().zip(&call.result_bytes).zip(outcomes);
                for ((&(job, item), &each), outcome) in items {
                    self.on_item_outcome(now, &call, (job, item), each, outcome);
                }
            }
            CallResult::Answered(_) | CallResult::Broken => self.retry_items(&call, true),
            CallResult::Refused | CallResult::WrongEndpoint => self.retry_items(&call, false),
        }
    }

    // A stopped endpoint keeps its connection open and never responds, while others could finish
    // the item in time. The first result counts; a second one is released.
    fn requeue_overdue(&mut self, now: Time) {
        let is_overdue = |c: &&mut InFlightCall| c.overdue_at.is_some_and(|at| at <= now);
        let mut requeued = Vec::new();
        for call in self.calls.values_mut().filter(is_overdue) {
            call.overdue_at = None;
            let ratio = now.since(call.started_at).as_secs_f32() / call.expected.as_secs_f32();
            if let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) {
                endpoint.health.record_response(now, ratio);
                if endpoint.speed.is_some() {
                    let elapsed = now.since(call.started_at).as_secs_f32();
                    let own_ratio = elapsed / call.expected_here.as_secs_f32();
                    endpoint.health.record_own_ratio(now, own_ratio);
                }
                endpoint.health.record_connection_failure(now);
                // The response may be lost, so that the endpoint is idle while its slot looks
                // busy. If it is only slow, the next call waits in its queue.
                endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
                endpoint.memory.unreserve(call.reserved);
            }
            call.abandoned = true;
            requeued.extend(call.items.iter().copied());
        }
        for (id, item) in requeued {
            let Some(job_state) = self.jobs.get_mut(&id) else {
                continue;
            };
            if let Some(item_state) = job_state.items.get_mut(&item) {
                // The abandoned call may never end: an item that fails elsewhere must not
                // wait for it.
                item_state.in_flight = item_state.in_flight.saturating_sub(1);
                item_state.waiting |= item_state.result.is_none() && item_state.in_flight == 0;
            }
        }
    }

    /// Fails the waiting jobs that can't be done before their deadline.
    ///
    /// A request held until its deadline and then refused leaves its caller no time to retry, so
    /// it is refused as soon as it is known to be too late.
    fn fail_hopeless(&mut self, now: Time) {
        let min_time = self.expected_time(1);
        let backlog = self.backlog_time(now);
        let hopeless = |j: &JobState| {
            let remaining = j.job.deadline.since(now);
            let crowded = j.late && backlog > remaining.mul_f64(MAX_BACKLOG_FRACTION);
            // An accepted request has a place until its deadline.
            let late = crowded && !j.is_accepted();
            let in_rest = self.rest_time(now, j) + min_time > remaining;
            let hopeless = in_rest || late || self.is_evacuated_for(j);
            j.waiting_items() > 0 && !j.is_running() && hopeless
        };
        let found = self.jobs.iter().filter(|(_, j)| hopeless(j));
        let found = found.map(|(&id, j)| (id, backlog.max(self.rest_time(now, j))));
        let found: Vec<(JobId, Duration)> = found.collect();
        for (id, backlog) in found {
            self.finish_job(id, Some(ItemOutcome::Late), backlog);
        }
    }
}

//! Fills calls of one stage service with pieces of many requests.
//!
//! A call costs much more than a piece in it, so full calls decide how much a
//! service can do. Work goes to the endpoint that is done first; while all are
//! at work pieces wait here, where the most urgent goes first, and leave
//! together.

use std::collections::BTreeMap;
use std::time::Duration;

use super::endpoint::StageEndpoint;
use super::first_targets::FirstTargets;
use super::plan::StageInput;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::serving::catalog::BatchLimits;
use crate::serving::crashes::Fingerprint;
use crate::serving::directory::Entry;
use crate::time::Time;
use crate::units::Bytes;

/// How many times its expected time a call takes before its pieces are also
/// given to another endpoint.
///
/// Usual calls stay below one and a half; a stopped endpoint never answers.
pub(super) const OVERDUE_FACTOR: u32 = 3;

/// The time on top of it, for the way there and back.
pub(super) const OVERDUE_MARGIN: Duration = Duration::from_millis(60);

/// The most times that the pieces of one job are given out again.
pub(super) const MAX_RETRIES: u32 = 4;

/// How long a result that nobody needs may wait to be given back with others.
///
/// About one call: long enough to tell an endpoint of several at once, short
/// enough that its memory never holds more than the work of two calls.
const MAX_RELEASE_DELAY: Duration = Duration::from_millis(250);

/// The part of an endpoint's memory at which results are given back at once.
const RELEASE_FILL_FRACTION: f64 = 0.3;

/// How long an endpoint without room is left alone.
///
/// It answers so at once, so that asking again costs it and us more than the
/// wait for the next result to be read does.
pub(super) const FULL_PAUSE: Duration = Duration::from_millis(120);

/// The part of a late job's time within which all that waits must be done.
///
/// More urgent work goes on arriving in the meantime, usually about as much as
/// is done: at a third there is still a fair chance.
const MAX_BACKLOG_FRACTION: f64 = 0.33;

/// Numbers the jobs of one queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(derive_more::Display)]
pub struct JobId(pub u64);

/// Pieces of one stage of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// The request, as its caller names it.
    pub request: String,
    /// By what other attempts at the same request are recognized, if known.
    pub fingerprint: Option<Fingerprint>,
    /// The stage.
    pub stage: usize,
    /// The pieces.
    pub items: Vec<u32>,
    /// What they start from.
    pub input: StageInput,
    /// The request's own key, for stages that start from it.
    pub key: String,
    /// The usual size of one result.
    pub result_bytes: Bytes,
    /// When the stage should be done for the request to be on time.
    pub target: Time,
    /// When nobody needs the results any more.
    pub deadline: Time,
    /// The request's urgency, 0 is first.
    pub priority: u8,
    /// Where the results will be read.
    pub result_domain: Option<FailureDomain>,
    /// Where most of its inputs lie, and how much of them each piece reads.
    pub input_source: Option<(FailureDomain, Bytes)>,
}

/// One piece of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchItem {
    /// The job it belongs to.
    pub job: JobId,
    /// The request, as its caller names it.
    pub request: String,
    /// By what other attempts at the same request are recognized, if known.
    pub fingerprint: Option<Fingerprint>,
    /// The stage.
    pub stage: usize,
    /// The piece.
    pub item: u32,
    /// The time left for it.
    pub remaining: Duration,
    /// What it starts from.
    pub input: StageInput,
    /// The request's own key.
    pub key: String,
}

/// A call that is to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchCall {
    /// The number of the call in this queue.
    pub id: u64,
    /// The endpoint.
    pub entry: Entry,
    /// The pieces.
    pub items: Vec<BatchItem>,
    /// How long the call is expected to take.
    pub expected: Duration,
    /// When the call is given up.
    pub timeout: Duration,
}

/// What became of one piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemOutcome {
    /// The result stands under this handle.
    Produced(String),
    /// Its time was over at its turn.
    Late,
    /// One of its inputs is gone.
    Gone,
    /// There was no room for its result.
    Full,
    /// The work failed.
    Failed,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The endpoint answered, piece by piece.
    Answered(Vec<ItemOutcome>),
    /// The endpoint did not take the call.
    Refused,
    /// Another endpoint has this one's address; nothing ran.
    WrongEndpoint,
    /// The connection failed or was silent.
    Broken,
}

/// A job's end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobResult {
    /// The job.
    pub job: JobId,
    /// The pieces that are done: number, handle and endpoint.
    pub produced: Vec<(u32, String, EndpointId)>,
    /// Why the others are not; `None` if all are done.
    pub failure: Option<ItemOutcome>,
    /// How long what waits takes, if that is why it failed.
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
    /// Whether it is not among those that can be on time together.
    pub(super) late: bool,
}

impl JobState {
    pub(super) fn waiting_items(&self) -> usize {
        self.items.values().filter(|i| i.waiting).count()
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
    pub(super) started_at: Time,
    pub(super) expected: Duration,
    pub(super) overdue_at: Option<Time>,
    /// Whether its slot was given to other calls.
    pub(super) abandoned: bool,
    /// Whether a batch or more still waited when it left.
    pub(super) backlogged: bool,
}

/// The pieces that wait for one service, and the calls under way.
#[derive(Debug, Clone)]
pub struct BatchQueue {
    pub(super) limits: BatchLimits,
    pub(super) endpoints: BTreeMap<EndpointId, StageEndpoint>,
    pub(super) jobs: BTreeMap<JobId, JobState>,
    pub(super) calls: BTreeMap<u64, InFlightCall>,
    pub(super) next_job: u64,
    pub(super) next_call: u64,
    pub(super) results: Vec<JobResult>,
    first_targets: FirstTargets,
    /// The pieces that an endpoint does in a second while many wait.
    pub(super) item_rate: Option<f64>,
    /// When it was last looked at which jobs can be on time.
    pub(super) late_updated_at: Time,
}

impl BatchQueue {
    /// Starts empty, without endpoints.
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
        }
    }

    /// Sets how its endpoints take pieces.
    pub fn set_limits(&mut self, limits: BatchLimits) {
        self.limits = limits;
    }

    /// Returns how long an endpoint keeps a result.
    #[must_use]
    pub const fn result_ttl(&self) -> Duration {
        self.limits.result_ttl
    }

    /// Sets the endpoints that may get calls.
    pub fn set_endpoints<'a>(&mut self, entries: impl Iterator<Item = &'a Entry>) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.present = false;
        }
        for entry in entries {
            let is_same =
                |e: &StageEndpoint| e.entry.born == entry.born && e.entry.address == entry.address;
            match self.endpoints.get_mut(&entry.id) {
                Some(endpoint) if is_same(endpoint) => {
                    endpoint.present = true;
                    endpoint.entry = entry.clone();
                }
                _ => {
                    self.endpoints
                        .insert(entry.id.clone(), StageEndpoint::new(entry.clone()));
                }
            }
        }
        self.endpoints.retain(|_, e| e.present || e.in_flight > 0);
    }

    /// Returns the number of jobs that are not done.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of pieces that wait for a call.
    #[must_use]
    pub fn waiting_items(&self) -> usize {
        self.jobs.values().map(JobState::waiting_items).sum()
    }

    /// Takes in a job.
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
        };
        self.jobs.insert(id, job_state);
        id
    }

    /// Ends the jobs of a request that is quarantined.
    pub fn fail_request(&mut self, request: Fingerprint) {
        let is_of_request = |j: &JobState| j.job.fingerprint == Some(request);
        let found = self.jobs.iter().filter(|(_, j)| is_of_request(j));
        let ids: Vec<JobId> = found.map(|(&id, _)| id).collect();
        for id in ids {
            self.finish_job(id, Some(ItemOutcome::Failed), Duration::ZERO);
        }
    }

    /// Drops a job that nobody waits for; its results are given back.
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

    /// Notes that nobody needs a result any more.
    pub fn release(&mut self, now: Time, endpoint: &EndpointId, handle: String) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.releases.push(handle);
            endpoint.releases_since.get_or_insert(now);
        }
    }

    /// Returns the results that an endpoint is to be told to drop.
    ///
    /// A result that is left to lapse takes memory for seconds, also after its
    /// owner has gone, and the next owner finds endpoints full that nobody
    /// uses. So all are given back, several at once as long as there is room.
    pub fn take_releases(&mut self, now: Time) -> Vec<(Entry, Vec<String>)> {
        let capacity = self.limits.result_memory.0 as f64;
        let mut out = Vec::new();
        for endpoint in self.endpoints.values_mut() {
            let Some(since) = endpoint.releases_since else {
                continue;
            };
            let is_short = endpoint.memory.used(now).0 as f64 > RELEASE_FILL_FRACTION * capacity;
            if is_short || now.since(since) >= MAX_RELEASE_DELAY {
                endpoint.releases_since = None;
                let handles = std::mem::take(&mut endpoint.releases);
                out.push((endpoint.entry.clone(), handles));
            }
        }
        out
    }

    /// Notes that an endpoint was told to drop results.
    ///
    /// Before this they still take its memory: a call that overtakes the word
    /// would find no room.
    pub fn on_released(&mut self, endpoint: &EndpointId, handles: &[String]) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            for handle in handles {
                endpoint.memory.remove(handle);
            }
        }
    }

    /// Returns the jobs that ended since the last call.
    pub fn take_results(&mut self) -> Vec<JobResult> {
        std::mem::take(&mut self.results)
    }

    /// Returns when [`Self::poll`] has something to do though nothing happens.
    #[must_use]
    pub fn wake(&self, now: Time) -> Time {
        let overdue = self.calls.values().filter_map(|c| c.overdue_at);
        // A job with a piece at work ends with that piece, not with its time.
        // Its time, once over, would ask for a look again and again.
        let can_expire = |j: &&JobState| j.waiting_items() > 0 && !j.is_running();
        let waiting = self.jobs.values().filter(can_expire);
        let expiry = waiting.map(|j| j.job.deadline - self.expected_time(1));
        let full_until = self.endpoints.values().map(|e| e.full_until);
        let full_until = full_until.filter(|&at| at > Time::ZERO);
        let releases = self.endpoints.values().filter_map(|e| e.releases_since);
        let releases = releases.map(|since| since + MAX_RELEASE_DELAY);
        let send_ahead = self.next_send_ahead().filter(|&at| at > now);
        let all = overdue
            .chain(expiry)
            .chain(full_until)
            .chain(releases)
            .chain(send_ahead);
        all.min().unwrap_or(Time::NEVER)
    }

    /// Returns the calls to make now.
    pub fn poll(&mut self, now: Time) -> Vec<BatchCall> {
        self.first_targets.sweep(now);
        self.requeue_overdue(now);
        self.mark_late_jobs(now);
        self.fail_hopeless(now);
        for endpoint in self.endpoints.values_mut() {
            if endpoint.full_until <= now {
                endpoint.full_until = Time::ZERO;
            }
        }
        let mut calls = Vec::new();
        while let Some(call) = self.next_batch(now) {
            calls.push(call);
        }
        calls
    }

    /// Takes in what became of a call.
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

    // A stopped endpoint keeps its connection open and never answers. Waiting
    // for it loses the request although others could do the piece in time; the
    // first result is taken, a second one is given back.
    fn requeue_overdue(&mut self, now: Time) {
        let is_overdue = |c: &&mut InFlightCall| c.overdue_at.is_some_and(|at| at <= now);
        let mut requeued = Vec::new();
        for call in self.calls.values_mut().filter(is_overdue) {
            call.overdue_at = None;
            let ratio = now.since(call.started_at).as_secs_f32() / call.expected.as_secs_f32();
            if let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) {
                endpoint.health.record_response(now, ratio);
                endpoint.health.record_broken(now);
                // An answer that was lost on its way never comes: the endpoint
                // stands idle while its slot looks taken. If it is only slow,
                // the next call waits in its own queue.
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
                // The call that was given up may never end: what fails elsewhere
                // must not wait for it.
                item_state.in_flight = item_state.in_flight.saturating_sub(1);
                item_state.waiting |= item_state.result.is_none() && item_state.in_flight == 0;
            }
        }
    }

    /// Ends the jobs that wait and can't be done while anyone needs them.
    ///
    /// A request that is held to its end and then refused costs its caller the
    /// time in which it could have come back. What is known to be too late is
    /// told at once.
    fn fail_hopeless(&mut self, now: Time) {
        let min_time = self.expected_time(1);
        let backlog = self.backlog_time(now);
        let hopeless = |j: &JobState| {
            let remaining = j.job.deadline.since(now);
            let late = j.late && backlog > remaining.mul_f64(MAX_BACKLOG_FRACTION);
            j.waiting_items() > 0 && !j.is_running() && (min_time > remaining || late)
        };
        let found = self.jobs.iter().filter(|(_, j)| hopeless(j));
        let ids: Vec<JobId> = found.map(|(&id, _)| id).collect();
        for id in ids {
            self.finish_job(id, Some(ItemOutcome::Late), backlog);
        }
    }
}

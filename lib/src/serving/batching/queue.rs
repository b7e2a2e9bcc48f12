//! Fills calls of one stage service with pieces of many requests.
//!
//! A call costs much more than a piece in it, so full calls decide how much a
//! service can do. Work goes to the endpoint that is done first; while all are
//! at work pieces wait here, where the most urgent goes first, and leave
//! together.

use std::collections::BTreeMap;
use std::time::Duration;

use super::first_goals::FirstGoals;
use super::maker::Maker;
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
pub(super) const OVERDUE: u32 = 3;

/// The time on top of it, for the way there and back.
pub(super) const OVERDUE_MORE: Duration = Duration::from_millis(60);

/// The most times that the pieces of one job are given out again.
pub(super) const AGAIN_MAX: u32 = 4;

/// How long a result that nobody needs may wait to be given back with others.
///
/// About one call: long enough to tell an endpoint of several at once, short
/// enough that its memory never holds more than the work of two calls.
const GIVE_BACK_AFTER: Duration = Duration::from_millis(250);

/// The part of an endpoint's memory at which results are given back at once.
const PRESSURE: f64 = 0.3;

/// How long an endpoint without room is left alone.
///
/// It answers so at once, so that asking again costs it and us more than the
/// wait for the next result to be read does.
pub(super) const FULL_PAUSE: Duration = Duration::from_millis(120);

/// The part of a late job's time within which all that waits must be done.
///
/// More urgent work goes on arriving in the meantime, usually about as much as
/// is done: at a third there is still a fair chance.
const HOPE: f64 = 0.33;

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
pub struct JobOutcome {
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
pub(super) struct Piece {
    pub(super) running: u32,
    pub(super) waiting: bool,
    pub(super) made: Option<(String, EndpointId)>,
}

#[derive(Debug, Clone)]
pub(super) struct Held {
    pub(super) job: Job,
    pub(super) pieces: BTreeMap<u32, Piece>,
    pub(super) again: u32,
    /// Whether it is not among those that can be on time together.
    pub(super) late: bool,
}

impl Held {
    pub(super) fn waiting_items(&self) -> usize {
        self.pieces.values().filter(|p| p.waiting).count()
    }

    pub(super) fn is_running(&self) -> bool {
        let mut pieces = self.pieces.values();
        pieces.any(|p| p.running > 0 && p.made.is_none())
    }

    pub(super) fn is_done(&self) -> bool {
        self.pieces.values().all(|p| p.made.is_some())
    }
}

#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) endpoint: EndpointId,
    pub(super) items: Vec<(JobId, u32)>,
    pub(super) booked: Bytes,
    pub(super) each: Vec<Bytes>,
    pub(super) began: Time,
    pub(super) expected: Duration,
    pub(super) overdue: Option<Time>,
    /// Whether its slot was given to other calls.
    pub(super) given_up: bool,
    /// Whether a batch or more still waited when it left.
    pub(super) crowded: bool,
}

/// The pieces that wait for one service, and the calls under way.
#[derive(Debug, Clone)]
pub struct BatchQueue {
    pub(super) limits: BatchLimits,
    pub(super) makers: BTreeMap<EndpointId, Maker>,
    pub(super) jobs: BTreeMap<JobId, Held>,
    pub(super) calls: BTreeMap<u64, Call>,
    pub(super) next_job: u64,
    pub(super) next_call: u64,
    pub(super) ends: Vec<JobOutcome>,
    first_goals: FirstGoals,
    /// The pieces that an endpoint does in a second while many wait.
    pub(super) pace: Option<f64>,
    /// When it was last looked at which jobs can be on time.
    pub(super) sorted: Time,
}

impl BatchQueue {
    /// Starts empty, without endpoints.
    #[must_use]
    pub fn new(limits: BatchLimits) -> Self {
        Self {
            limits,
            makers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_job: 0,
            next_call: 0,
            ends: Vec::new(),
            first_goals: FirstGoals::default(),
            pace: None,
            sorted: Time::ZERO,
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
        for maker in self.makers.values_mut() {
            maker.present = false;
        }
        for entry in entries {
            let same = |m: &Maker| {
                m.entry.started_at == entry.started_at && m.entry.address == entry.address
            };
            match self.makers.get_mut(&entry.id) {
                Some(maker) if same(maker) => {
                    maker.present = true;
                    maker.entry = entry.clone();
                }
                _ => {
                    self.makers
                        .insert(entry.id.clone(), Maker::new(entry.clone()));
                }
            }
        }
        self.makers.retain(|_, m| m.present || m.calls > 0);
    }

    /// Returns the number of jobs that are not done.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of pieces that wait for a call.
    #[must_use]
    pub fn waiting_items(&self) -> usize {
        self.jobs.values().map(Held::waiting_items).sum()
    }

    /// Takes in a job.
    pub fn submit(&mut self, mut job: Job) -> JobId {
        job.target = self.first_goals.goal(&job);
        let id = JobId(self.next_job);
        self.next_job += 1;
        let waiting = Piece {
            waiting: true,
            ..Piece::default()
        };
        let pieces = job.items.iter().map(|&p| (p, waiting.clone()));
        let held = Held {
            pieces: pieces.collect(),
            job,
            again: 0,
            late: false,
        };
        self.jobs.insert(id, held);
        id
    }

    /// Ends the jobs of a request that is quarantined.
    pub fn fail_request(&mut self, request: Fingerprint) {
        let theirs = |h: &Held| h.job.fingerprint == Some(request);
        let found = self.jobs.iter().filter(|(_, h)| theirs(h));
        let ids: Vec<JobId> = found.map(|(&id, _)| id).collect();
        for id in ids {
            self.end(id, Some(ItemOutcome::Failed), Duration::ZERO);
        }
    }

    /// Drops a job that nobody waits for; its results are given back.
    pub fn cancel(&mut self, now: Time, id: JobId) {
        let Some(held) = self.jobs.remove(&id) else {
            return;
        };
        for piece in held.pieces.into_values() {
            if let Some((handle, endpoint)) = piece.made {
                self.release(now, &endpoint, handle);
            }
        }
    }

    /// Notes that nobody needs a result any more.
    pub fn release(&mut self, now: Time, endpoint: &EndpointId, handle: String) {
        if let Some(maker) = self.makers.get_mut(endpoint) {
            maker.unneeded.push(handle);
            maker.unneeded_since.get_or_insert(now);
        }
    }

    /// Returns the results that an endpoint is to be told to drop.
    ///
    /// A result that is left to lapse takes memory for seconds, also after its
    /// owner has gone, and the next owner finds endpoints full that nobody
    /// uses. So all are given back, several at once as long as there is room.
    pub fn take_releases(&mut self, now: Time) -> Vec<(Entry, Vec<String>)> {
        let room = self.limits.result_memory.0 as f64;
        let mut out = Vec::new();
        for maker in self.makers.values_mut() {
            let Some(since) = maker.unneeded_since else {
                continue;
            };
            let short = maker.room.taken(now).0 as f64 > PRESSURE * room;
            if short || now.since(since) >= GIVE_BACK_AFTER {
                maker.unneeded_since = None;
                let handles = std::mem::take(&mut maker.unneeded);
                out.push((maker.entry.clone(), handles));
            }
        }
        out
    }

    /// Notes that an endpoint was told to drop results.
    ///
    /// Before this they still take its memory: a call that overtakes the word
    /// would find no room.
    pub fn on_released(&mut self, endpoint: &EndpointId, handles: &[String]) {
        if let Some(maker) = self.makers.get_mut(endpoint) {
            for handle in handles {
                maker.room.free(handle);
            }
        }
    }

    /// Returns the jobs that ended since the last call.
    pub fn take_results(&mut self) -> Vec<JobOutcome> {
        std::mem::take(&mut self.ends)
    }

    /// Returns when [`Self::poll`] has something to do though nothing happens.
    #[must_use]
    pub fn wake(&self, now: Time) -> Time {
        let overdue = self.calls.values().filter_map(|c| c.overdue);
        // A job with a piece at work ends with that piece, not with its time.
        // Its time, once over, would ask for a look again and again.
        let ends = |h: &&Held| h.waiting_items() > 0 && !h.is_running();
        let waiting = self.jobs.values().filter(ends);
        let due = waiting.map(|h| h.job.deadline - self.expected(1));
        let full = self.makers.values().map(|m| m.full);
        let full = full.filter(|&at| at > Time::ZERO);
        let unneeded = self.makers.values().filter_map(|m| m.unneeded_since);
        let unneeded = unneeded.map(|since| since + GIVE_BACK_AFTER);
        let lead = self.lead().filter(|&at| at > now);
        let all = overdue.chain(due).chain(full).chain(unneeded).chain(lead);
        all.min().unwrap_or(Time::NEVER)
    }

    /// Returns the calls to make now.
    pub fn poll(&mut self, now: Time) -> Vec<BatchCall> {
        self.first_goals.sweep(now);
        self.give_out_overdue(now);
        self.sort_out(now);
        self.end_hopeless(now);
        for maker in self.makers.values_mut() {
            if maker.full <= now {
                maker.full = Time::ZERO;
            }
        }
        let mut sends = Vec::new();
        while let Some(send) = self.next_send(now) {
            sends.push(send);
        }
        sends
    }

    /// Takes in what became of a call.
    pub fn on_call_ended(&mut self, now: Time, call: u64, result: CallResult) {
        let Some(call) = self.calls.remove(&call) else {
            return;
        };
        self.note_maker(now, &call, &result);
        match result {
            CallResult::Answered(outcomes) if outcomes.len() == call.items.len() => {
                let items = call.items.iter().zip(&call.each).zip(outcomes);
                for ((&(job, piece), &each), outcome) in items {
                    self.piece_ended(now, &call, (job, piece), each, outcome);
                }
            }
            CallResult::Answered(_) | CallResult::Broken => self.again(&call, true),
            CallResult::Refused | CallResult::WrongEndpoint => self.again(&call, false),
        }
    }

    // A stopped endpoint keeps its connection open and never answers. Waiting
    // for it loses the request although others could do the piece in time; the
    // first result is taken, a second one is given back.
    fn give_out_overdue(&mut self, now: Time) {
        let due = |c: &&mut Call| c.overdue.is_some_and(|at| at <= now);
        let mut given = Vec::new();
        for call in self.calls.values_mut().filter(due) {
            call.overdue = None;
            let ratio = now.since(call.began).as_secs_f32() / call.expected.as_secs_f32();
            if let Some(maker) = self.makers.get_mut(&call.endpoint) {
                maker.health.record_response(now, ratio);
                maker.health.record_broken(now);
                // An answer that was lost on its way never comes: the endpoint
                // stands idle while its slot looks taken. If it is only slow,
                // the next call waits in its own queue.
                maker.calls = maker.calls.saturating_sub(1);
                maker.room.unbook(call.booked);
            }
            call.given_up = true;
            given.extend(call.items.iter().copied());
        }
        for (id, piece) in given {
            let Some(held) = self.jobs.get_mut(&id) else {
                continue;
            };
            if let Some(state) = held.pieces.get_mut(&piece) {
                // The call that was given up may never end: what fails elsewhere
                // must not wait for it.
                state.running = state.running.saturating_sub(1);
                state.waiting |= state.made.is_none() && state.running == 0;
            }
        }
    }

    /// Ends the jobs that wait and can't be done while anyone needs them.
    ///
    /// A request that is held to its end and then refused costs its caller the
    /// time in which it could have come back. What is known to be too late is
    /// told at once.
    fn end_hopeless(&mut self, now: Time) {
        let least = self.expected(1);
        let clear = self.clear_time(now);
        let hopeless = |h: &Held| {
            let left = h.job.deadline.since(now);
            let late = h.late && clear > left.mul_f64(HOPE);
            h.waiting_items() > 0 && !h.is_running() && (least > left || late)
        };
        let found = self.jobs.iter().filter(|(_, h)| hopeless(h));
        let ids: Vec<JobId> = found.map(|(&id, _)| id).collect();
        for id in ids {
            self.end(id, Some(ItemOutcome::Late), clear);
        }
    }
}

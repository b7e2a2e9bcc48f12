//! Simulates a pool's agents, their log, callers and an endpoint that counts effects.
//!
//! Clocks drift, messages are delayed and faults occur at any time. A run is
//! deterministic: it depends on the steps and the seed alone.

mod agent;
mod caller;
mod log;
mod schedule;
mod step;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::lease::LeaseGuards;
use snipeyoke_lib::lease::LeaseName;
use snipeyoke_lib::log::AppendEnd;
use snipeyoke_lib::once::Answer;
use snipeyoke_lib::once::OnceEnd;
use snipeyoke_lib::once::OnceGuards;
use snipeyoke_lib::once::OnceKey;
use snipeyoke_lib::once::Verdict;
use snipeyoke_lib::record::Record;
use snipeyoke_lib::record::RecordId;
use uuid::Uuid;

use self::caller::Caller;
pub use agent::Agent;
pub use agent::KEY_CAPACITY;
pub use agent::pool;
pub use agent::slots;
pub use agent::wall;
pub use caller::CallOutcome;
pub use log::FakeLog;
pub use schedule::run;
pub use schedule::schedule;
pub use schedule::schedules;
pub use step::Step;
pub use step::Target;

/// The number of agents.
pub const AGENTS: usize = 3;

/// The interval between an agent's polls of its lease manager.
const TICK_MICROS: u64 = 100_000;

/// The safeguards of the agents; tests turn them off one by one.
#[derive(Debug, Clone, Copy)]
pub struct Safeguards {
    /// The safeguards of the lease managers.
    pub lease: LeaseGuards,
    /// The safeguards of the gates.
    pub once: OnceGuards,
}

impl Safeguards {
    /// All safeguards enabled.
    pub const ON: Self = Self {
        lease: LeaseGuards::ON,
        once: OnceGuards::ON,
    };
}

#[derive(Debug, Clone)]
enum Event {
    Tick(usize),
    AppendArrives(usize, u64, RecordId, Arc<Record>),
    AppendAnswer(usize, u64, RecordId, AppendEnd),
    ReadArrives(usize, u64, Offset),
    ReadAnswer(usize, u64, Option<Vec<(Offset, Arc<Record>)>>, Offset),
    Call(usize, u64, usize, usize),
    Start(usize, u64, usize, usize),
    Effect(usize, u64, usize, usize),
    Ended(usize, u64, usize, usize, Answer),
}

/// The simulated deployment.
#[derive(Debug)]
pub struct World {
    /// Real time, in microseconds.
    pub now: u64,
    /// The log.
    pub log: FakeLog,
    /// The agents.
    pub agents: Vec<Agent>,
    guards: Safeguards,
    callers: Vec<Caller>,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    effect_delay: u64,
    rng: Pcg64Mcg,
    /// The first violated invariant.
    pub violation: Option<String>,
}

impl World {
    /// Creates a world whose agents start on an empty log.
    #[must_use]
    pub fn new(seed: u64, guards: Safeguards) -> Self {
        let mut world = Self {
            now: 0,
            log: FakeLog::default(),
            agents: Vec::new(),
            guards,
            callers: Vec::new(),
            events: BTreeMap::new(),
            event_count: 0,
            effect_delay: 0,
            rng: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            violation: None,
        };
        for index in 0..AGENTS {
            let agent = Agent::new(index as u64, 1, Offset(0), guards);
            world.agents.push(agent);
            world.schedule(0, Event::Tick(index));
        }
        world
    }

    /// Executes a step.
    pub fn step(&mut self, step: Step) {
        match step {
            Step::Wait(ms) => self.run_until(self.now + ms * 1_000),
            Step::Call(skew, target) => self.call(skew, target),
            Step::Retry(back, target) => {
                if let Some(caller) = self.callers.len().checked_sub(1 + back) {
                    self.retry(caller, target);
                }
            }
            Step::Pause(index, ms) => self.agents[index].paused_until = self.now + ms * 1_000,
            Step::Kill(index) => self.kill(index),
            Step::Leave(index) => {
                self.agents[index].leaving = true;
                self.run_until(self.now + 600_000);
                self.kill(index);
            }
            Step::Cut(index, ms) => self.agents[index].partitioned_until = self.now + ms * 1_000,
            Step::Down => self.log.down = true,
            Step::Mute => self.log.lose_responses = true,
            Step::Up => (self.log.down, self.log.lose_responses) = (false, false),
            Step::Slow(ms) => self.effect_delay = ms * 1_000,
            Step::Retain(ms) => self.log.retain(self.now.saturating_sub(ms * 1_000)),
        }
    }

    /// Waits for calls in flight to end and checks the guarantees to callers.
    pub fn finish(&mut self) {
        self.step(Step::Up);
        self.run_until(self.now + 15_000_000);
        for (index, caller) in self.callers.iter().enumerate() {
            if let Some(fault) = caller.violation() {
                self.violation
                    .get_or_insert(format!("key {index}: {fault}"));
            }
        }
    }

    /// Returns the reported outcome of each attempt with a caller's key.
    #[must_use]
    pub fn outcomes(&self, caller: usize) -> Vec<String> {
        let outcomes = self.callers[caller]
            .attempts
            .iter()
            .map(|outcome| match outcome {
                Some(CallOutcome::Completed(answer)) => {
                    String::from_utf8_lossy(&answer.body).into_owned()
                }
                Some(CallOutcome::NotRun(why)) => format!("not-run ({why})"),
                Some(CallOutcome::Unknown) => "unknown".to_owned(),
                Some(CallOutcome::Conflict) => "conflict".to_owned(),
                None => "no answer".to_owned(),
            });
        outcomes.collect()
    }

    /// Returns how many times a caller's call took effect.
    #[must_use]
    pub fn effects(&self, caller: usize) -> u32 {
        self.callers[caller].effects
    }

    /// Returns the agents that hold a lease according to their own clocks.
    #[must_use]
    pub fn holders(&self, lease: &LeaseName) -> Vec<usize> {
        let alive = (0..AGENTS).filter(|&i| self.agents[i].alive);
        let holding = alive.filter(|&i| {
            let agent = &self.agents[i];
            agent.holder.held(agent.clock(self.now), lease).is_some()
        });
        holding.collect()
    }

    /// Returns the agent that owns the slot of a caller's key, if any.
    #[must_use]
    pub fn owner(&self, caller: usize) -> Option<usize> {
        let slot = self.callers[caller].key.slot().lease(&pool());
        self.holders(&slot).first().copied()
    }

    /// Changes the body that a caller sends with its key in later attempts.
    pub fn change_body(&mut self, caller: usize) {
        self.callers[caller].key.digest[0] += 1;
    }

    fn call(&mut self, skew: i64, target: Target) {
        let mut key = self.issue_key(skew);
        while slots().all(|slot| slot != key.slot()) {
            key = self.issue_key(skew);
        }
        self.callers.push(Caller {
            key,
            attempts: Vec::new(),
            effects: 0,
        });
        self.retry(self.callers.len() - 1, target);
    }

    fn issue_key(&mut self, skew: i64) -> OnceKey {
        let issued = u128::from(wall(self.now, skew).as_millis());
        let noise = u128::from(self.rng.random::<u64>()) >> 4;
        OnceKey {
            account: "print".parse().expect("a name"),
            key: Uuid::from_u128(issued << 80 | 0x7 << 76 | 0x8 << 60 | noise),
            digest: [0; 32],
        }
    }

    fn retry(&mut self, caller: usize, target: Target) {
        let index = match target {
            Target::Owner => self.owner(caller).unwrap_or(0),
            Target::Agent(index) => index,
        };
        let attempts = &mut self.callers[caller].attempts;
        attempts.push(None);
        let number = attempts.len() - 1;
        let incarnation = self.agents[index].incarnation;
        let delay = self.delay();
        self.schedule(delay, Event::Call(index, incarnation, caller, number));
    }

    fn kill(&mut self, index: usize) {
        let incarnation = self.agents[index].incarnation + 1;
        let first = self.log.first();
        self.agents[index] = Agent::new(index as u64, incarnation, first, self.guards);
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(200..60_000)
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay, self.event_count), event);
    }

    fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
        self.check_leases();
    }

    /// Defers an event to the end of its agent's pause and returns whether it did.
    fn defer_if_paused(&mut self, index: usize, event: &Event) -> bool {
        let wake = self.agents[index].paused_until;
        if wake <= self.now {
            return false;
        }
        self.schedule(wake - self.now, event.clone());
        true
    }

    fn is_stale(&self, index: usize, incarnation: u64) -> bool {
        self.agents[index].incarnation != incarnation
    }

    fn handle(&mut self, event: Event) {
        match &event {
            Event::Tick(i)
            | Event::AppendAnswer(i, ..)
            | Event::ReadAnswer(i, ..)
            | Event::Call(i, ..)
            | Event::Start(i, ..)
            | Event::Ended(i, ..)
                if self.defer_if_paused(*i, &event) =>
            {
                return;
            }
            _ => {}
        }
        match event {
            Event::Tick(index) => self.tick(index),
            Event::AppendArrives(index, inc, id, record) => {
                self.append_arrives(index, inc, id, record);
            }
            Event::AppendAnswer(index, inc, id, end) => {
                if !self.is_stale(index, inc) {
                    let now = self.agents[index].clock(self.now);
                    self.agents[index].holder.on_append_end(now, id, &end);
                }
            }
            Event::ReadArrives(index, inc, from) => self.read_arrives(index, inc, from),
            Event::ReadAnswer(index, inc, records, first) => {
                if !self.is_stale(index, inc) {
                    self.read_answer(index, records, first);
                }
            }
            Event::Call(index, inc, caller, number) => self.admit(index, inc, caller, number),
            Event::Start(index, inc, caller, number) => self.start(index, inc, caller, number),
            Event::Effect(index, inc, caller, number) => self.effect(index, inc, caller, number),
            Event::Ended(index, inc, caller, number, answer) => {
                if !self.is_stale(index, inc) {
                    let key = self.callers[caller].key.clone();
                    let gate = &mut self.agents[index].gate;
                    gate.end(&key, OnceEnd::Answered(answer.clone()));
                    self.record_outcome(caller, number, CallOutcome::Completed(answer));
                }
            }
        }
    }

    fn tick(&mut self, index: usize) {
        self.schedule(TICK_MICROS, Event::Tick(index));
        let id = RecordId(Uuid::from_u128(self.rng.random()));
        let now = self.now;
        let agent = &mut self.agents[index];
        agent.plan(now);
        let inc = agent.incarnation;
        let record = agent.holder.poll(agent.clock(now), agent.wall(now), id);
        let from = agent.holder.fold().next();
        let read = !std::mem::replace(&mut agent.reading, true);
        if let Some(record) = record {
            let delay = self.delay();
            self.schedule(
                delay,
                Event::AppendArrives(index, inc, id, Arc::new(record)),
            );
        }
        if read {
            let delay = self.delay();
            self.schedule(delay, Event::ReadArrives(index, inc, from));
        }
    }

    fn append_arrives(&mut self, index: usize, inc: u64, id: RecordId, record: Arc<Record>) {
        let partitioned = self.agents[index].partitioned_until > self.now;
        let end = if self.log.down {
            AppendEnd::NotDone { retry_after: None }
        } else if partitioned {
            AppendEnd::Unanswered
        } else {
            let offset = self.log.append(self.now, record);
            if self.log.lose_responses {
                AppendEnd::Unanswered
            } else {
                AppendEnd::Done { offset }
            }
        };
        let delay = self.delay();
        self.schedule(delay, Event::AppendAnswer(index, inc, id, end));
    }

    fn read_arrives(&mut self, index: usize, inc: u64, from: Offset) {
        let unreachable = self.log.down || self.agents[index].partitioned_until > self.now;
        let records = if unreachable {
            Some(Vec::new())
        } else {
            self.log.read(from)
        };
        let first = self.log.first();
        let delay = self.delay();
        self.schedule(delay, Event::ReadAnswer(index, inc, records, first));
    }

    fn read_answer(
        &mut self,
        index: usize,
        records: Option<Vec<(Offset, Arc<Record>)>>,
        first: Offset,
    ) {
        let real = self.now;
        let agent = &mut self.agents[index];
        agent.reading = false;
        let now = agent.clock(real);
        match records {
            Some(records) => {
                for (offset, record) in records {
                    agent.holder.apply(now, offset, Some(&record));
                }
            }
            None => agent.holder.reset(first),
        }
        self.check_leases();
    }

    fn admit(&mut self, index: usize, inc: u64, caller: usize, number: usize) {
        if self.is_stale(index, inc) {
            // The connection was lost; whether the agent read the request is unknown.
            return self.record_outcome(caller, number, CallOutcome::Unknown);
        }
        let key = self.callers[caller].key.clone();
        let real = self.now;
        let agent = &mut self.agents[index];
        let held = agent.held(real, &key);
        let verdict = agent.gate.admit(agent.wall(real), &key, held);
        if agent.gate.keys() > KEY_CAPACITY {
            self.violation
                .get_or_insert("the key table exceeds its capacity".to_owned());
        }
        match verdict {
            Verdict::Run => {
                let lease = key.slot().lease(&pool());
                agent.holder.record_key(&lease, key.issued());
                let delay = self.delay();
                self.schedule(delay, Event::Start(index, inc, caller, number));
            }
            Verdict::Replay(answer) => {
                self.record_outcome(caller, number, CallOutcome::Completed(answer));
            }
            Verdict::Wait | Verdict::Unknown => {
                self.record_outcome(caller, number, CallOutcome::Unknown);
            }
            Verdict::Conflict => self.record_outcome(caller, number, CallOutcome::Conflict),
            Verdict::NotRun(why) => {
                self.record_outcome(caller, number, CallOutcome::NotRun(why.to_string()));
            }
        }
    }

    fn start(&mut self, index: usize, inc: u64, caller: usize, number: usize) {
        if self.is_stale(index, inc) {
            return self.record_outcome(caller, number, CallOutcome::Unknown);
        }
        let key = self.callers[caller].key.clone();
        let held = self.agents[index].held(self.now, &key);
        match self.agents[index].gate.start(&key, held) {
            Ok(()) => {
                let delay = self.delay() + self.effect_delay;
                self.schedule(delay, Event::Effect(index, inc, caller, number));
            }
            Err(why) => self.record_outcome(caller, number, CallOutcome::NotRun(why.to_string())),
        }
    }

    fn effect(&mut self, index: usize, inc: u64, caller: usize, number: usize) {
        self.callers[caller].effects += 1;
        let answer = Answer {
            status: 200,
            body: format!("done #{}", self.callers[caller].effects).into_bytes(),
        };
        let delay = self.delay();
        self.schedule(delay, Event::Ended(index, inc, caller, number, answer));
    }

    fn record_outcome(&mut self, caller: usize, number: usize, outcome: CallOutcome) {
        self.callers[caller].attempts[number] = Some(outcome);
    }

    fn check_leases(&mut self) {
        for slot in slots() {
            let lease = slot.lease(&pool());
            let holders = self.holders(&lease);
            if holders.len() > 1 {
                let fault = format!("{lease} is held by agents {holders:?} at {} us", self.now);
                self.violation.get_or_insert(fault);
            }
        }
    }
}

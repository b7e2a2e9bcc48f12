//! Stage services in a row under an open load, in simulated time.
//!
//! Requests of several kinds pass the queues of all services, as one node that
//! owns them would drive them. Endpoints work on one call after the other and
//! keep results in bounded memory until the next stage has read them.

use std::collections::BTreeMap;
use std::time::Duration;

use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::batching::BatchCall;
use snipeyoke_lib::serving::batching::BatchQueue;
use snipeyoke_lib::serving::batching::CallResult;
use snipeyoke_lib::serving::batching::ItemOutcome;
use snipeyoke_lib::serving::batching::Job;
use snipeyoke_lib::serving::batching::JobId;
use snipeyoke_lib::serving::batching::StagePlan;
use snipeyoke_lib::serving::batching::StageTimes;
use snipeyoke_lib::serving::catalog::BatchLimits;
use snipeyoke_lib::serving::catalog::Stage;
use snipeyoke_lib::serving::directory::Entry;
use snipeyoke_lib::time::Time;

/// The way from a node to an endpoint, and back.
const WAY: Duration = Duration::from_millis(3);

/// The time of the model to its first event, prompt and all.
const MODEL: Duration = Duration::from_millis(350);

/// How many times longer calls take than the services say.
///
/// Said times are approximate, and fetching the inputs comes on top.
const SLOWER: f64 = 1.1;

/// The resolution of simulated time.
const TICK: Duration = Duration::from_millis(1);

/// A stage service and its endpoints.
pub(crate) struct ServiceSpec {
    pub(crate) name: &'static str,
    pub(crate) limits: BatchLimits,
    pub(crate) endpoints: usize,
}

/// A kind of request.
pub(crate) struct KindSpec {
    pub(crate) stages: Vec<Stage>,
    pub(crate) counts: Vec<u32>,
    pub(crate) aim: Duration,
    pub(crate) deadline: Duration,
    pub(crate) priority: u8,
    /// Requests a second, from a moment on.
    pub(crate) rates: Vec<(u64, f64)>,
}

/// What became of the requests of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    pub(crate) asked: u32,
    pub(crate) on_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
}

struct Request {
    kind: usize,
    plan: StagePlan,
    began: Time,
    open: BTreeMap<(usize, JobId), usize>,
    staged: bool,
}

struct Worker {
    free_at: Time,
    held: BTreeMap<String, u64>,
}

enum Event {
    /// A call's turn at its endpoint comes.
    Turn(usize, BatchCall),
    /// A call's answer arrives.
    Answer(usize, u64, CallResult),
    /// A request's first event arrives.
    First(usize),
    /// An endpoint drops results.
    Drop(usize, EndpointId, Vec<String>),
}

/// The services, their endpoints and the requests under way.
pub(crate) struct World {
    now: Time,
    services: Vec<ServiceSpec>,
    kinds: Vec<KindSpec>,
    queues: Vec<BatchQueue>,
    workers: BTreeMap<EndpointId, Worker>,
    requests: BTreeMap<usize, Request>,
    origins: BTreeMap<(usize, JobId), usize>,
    makers: BTreeMap<String, (usize, EndpointId)>,
    events: BTreeMap<(Time, u64), Event>,
    next: u64,
    owed: Vec<f64>,
    tallies: Vec<Tally>,
}

impl World {
    pub(crate) fn new(services: Vec<ServiceSpec>, kinds: Vec<KindSpec>) -> Self {
        let mut workers = BTreeMap::new();
        let mut queues = Vec::new();
        for service in &services {
            let entries: Vec<Entry> = (0..service.endpoints).map(|n| entry(service, n)).collect();
            let mut queue = BatchQueue::new(service.limits.clone());
            queue.set_endpoints(entries.iter());
            queues.push(queue);
            for entry in entries {
                let worker = Worker {
                    free_at: Time::ZERO,
                    held: BTreeMap::new(),
                };
                workers.insert(entry.id, worker);
            }
        }
        Self {
            now: Time::from_millis(1_000),
            queues,
            workers,
            requests: BTreeMap::new(),
            origins: BTreeMap::new(),
            makers: BTreeMap::new(),
            events: BTreeMap::new(),
            next: 0,
            owed: vec![0.0; kinds.len()],
            tallies: vec![Tally::default(); kinds.len()],
            services,
            kinds,
        }
    }

    /// Plays a day of `seconds` and the end of what is under way.
    pub(crate) fn play(mut self, seconds: u64) -> Vec<Tally> {
        let start = self.now;
        let end = start + Duration::from_secs(seconds);
        while self.now < end || !self.requests.is_empty() {
            if self.now < end {
                self.arrive(self.now.since(start).as_millis() as u64);
            }
            self.happen();
            self.turn();
            self.now = self.now + TICK;
        }
        self.tallies
    }

    fn arrive(&mut self, ms: u64) {
        for kind in 0..self.kinds.len() {
            let rates = &self.kinds[kind].rates;
            let rate = rates.iter().rfind(|(from, _)| *from <= ms);
            self.owed[kind] += rate.map_or(0.0, |&(_, r)| r) * TICK.as_secs_f64();
            while self.owed[kind] >= 1.0 {
                self.owed[kind] -= 1.0;
                self.begin(kind);
            }
        }
    }

    fn begin(&mut self, kind: usize) {
        let spec = &self.kinds[kind];
        let plan = StagePlan::new(&spec.stages, &spec.counts).expect("a count for each stage");
        let number = self.next as usize;
        self.next += 1;
        self.tallies[kind].asked += 1;
        let request = Request {
            kind,
            plan,
            began: self.now,
            open: BTreeMap::new(),
            staged: false,
        };
        self.requests.insert(number, request);
        self.go_on(number);
    }

    /// Submits what may begin of a request, or sends it to the model.
    fn go_on(&mut self, number: usize) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let spec = &self.kinds[request.kind];
        let services = &self.services;
        let limits = |name: &PoolName| {
            let found = services.iter().find(|s| s.name == name.as_str());
            found.map(|s| s.limits.clone())
        };
        let times = StageTimes::new(&spec.stages, &spec.counts, MODEL, limits);
        if request.plan.is_done() {
            if !request.staged {
                request.staged = true;
                self.at(self.now + MODEL, Event::First(number));
            }
            return;
        }
        let goal = request.began + spec.aim;
        let due = request.began + spec.deadline;
        for order in request.plan.start_ready(&times) {
            let stage = &spec.stages[order.stage];
            let service = services
                .iter()
                .position(|s| s.name == stage.service.as_str())
                .expect("a known service");
            let job = Job {
                request: number.to_string(),
                fingerprint: None,
                stage: order.stage,
                items: order.items,
                input: order.input,
                key: number.to_string(),
                result_bytes: stage.result_bytes,
                target: times.target(order.stage, goal).max(self.now),
                deadline: times.deadline(order.stage, due).max(self.now),
                priority: spec.priority,
                result_domain: None,
                input_source: None,
            };
            let id = self.queues[service].submit(job);
            self.origins.insert((service, id), number);
            request.open.insert((service, id), order.stage);
        }
    }

    fn happen(&mut self) {
        while let Some((&(at, key), _)) = self.events.first_key_value() {
            if at > self.now {
                break;
            }
            let event = self.events.remove(&(at, key)).expect("the first one");
            self.take(event);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Turn(service, call) => self.work(service, &call),
            Event::Answer(service, call, result) => {
                self.queues[service].on_call_ended(self.now, call, result);
            }
            Event::First(number) => self.finish(number, false),
            Event::Drop(service, endpoint, handles) => {
                let worker = self.workers.get_mut(&endpoint).expect("a known endpoint");
                for handle in &handles {
                    worker.held.remove(handle);
                }
                self.queues[service].on_released(&endpoint, &handles);
            }
        }
    }

    fn work(&mut self, service: usize, call: &BatchCall) {
        let limits = &self.services[service].limits;
        let worker = self.workers.get_mut(&call.entry.id);
        let worker = worker.expect("a known endpoint");
        let mut taken: u64 = worker.held.values().sum();
        let mut outcomes = Vec::new();
        let mut done = 0;
        for item in &call.items {
            let number: usize = item.request.parse().expect("a number");
            let kind = self.requests.get(&number).map_or(0, |r| r.kind);
            let each = self.kinds[kind].stages[item.stage].result_bytes.0;
            if taken + each > limits.result_memory.0 {
                outcomes.push(ItemOutcome::Full);
                continue;
            }
            taken += each;
            done += 1;
            let handle = format!(
                "{}/{}.{}.{}",
                call.entry.id, item.request, item.stage, item.item
            );
            worker.held.insert(handle.clone(), each);
            self.makers
                .insert(handle.clone(), (service, call.entry.id.clone()));
            outcomes.push(ItemOutcome::Produced(handle));
        }
        let took = if done > 0 {
            (limits.call_overhead + limits.item_time * done).mul_f64(SLOWER)
        } else {
            Duration::ZERO
        };
        let answer = Event::Answer(service, call.id, CallResult::Answered(outcomes));
        self.at(self.now + took + WAY, answer);
    }

    fn turn(&mut self) {
        for service in 0..self.queues.len() {
            for call in self.queues[service].poll(self.now) {
                let worker = &self.workers[&call.entry.id];
                let turn = worker.free_at.max(self.now + WAY);
                let took = call.expected.mul_f64(SLOWER);
                if let Some(worker) = self.workers.get_mut(&call.entry.id) {
                    worker.free_at = turn + took;
                }
                self.at(turn, Event::Turn(service, call));
            }
            for (entry, handles) in self.queues[service].take_releases(self.now) {
                self.at(self.now + WAY, Event::Drop(service, entry.id, handles));
            }
            for end in self.queues[service].take_results() {
                let Some(number) = self.origins.remove(&(service, end.job)) else {
                    continue;
                };
                let Some(request) = self.requests.get_mut(&number) else {
                    continue;
                };
                let stage = request.open.remove(&(service, end.job));
                let stage = stage.expect("an open job");
                for (piece, handle, _) in end.produced {
                    request.plan.on_result(stage, piece, handle);
                }
                if end.failure.is_some() {
                    self.finish(number, true);
                    continue;
                }
                let unneeded = request.plan.take_unneeded();
                self.give_back(unneeded);
                self.go_on(number);
            }
        }
    }

    fn finish(&mut self, number: usize, refused: bool) {
        let Some(mut request) = self.requests.remove(&number) else {
            return;
        };
        let spec = &self.kinds[request.kind];
        let tally = &mut self.tallies[request.kind];
        let took = self.now.since(request.began);
        if refused {
            tally.refused += 1;
        } else if took <= spec.aim {
            tally.on_time += 1;
        } else {
            tally.late += 1;
        }
        for (service, id) in request.open.into_keys() {
            self.queues[service].cancel(self.now, id);
        }
        let remaining = request.plan.take_remaining();
        self.give_back(remaining);
    }

    fn give_back(&mut self, handles: Vec<String>) {
        for handle in handles {
            if let Some((service, endpoint)) = self.makers.remove(&handle) {
                self.queues[service].release(self.now, &endpoint, handle);
            }
        }
    }

    fn at(&mut self, time: Time, event: Event) {
        self.events.insert((time, self.next), event);
        self.next += 1;
    }
}

fn entry(service: &ServiceSpec, number: usize) -> Entry {
    Entry {
        id: format!("{}-{number}", service.name)
            .parse()
            .expect("a name"),
        started_at: None,
        service: service.name.parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".parse().expect("a name"),
        slots: 1,
        draining: false,
    }
}

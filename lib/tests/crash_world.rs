//! Nodes and endpoints of which some crash because of what they are sent, in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snipeyoke_lib::serving::crashes::Casualty;
use snipeyoke_lib::serving::crashes::Clearance;
use snipeyoke_lib::serving::crashes::CrashTracker;
use snipeyoke_lib::serving::crashes::EndReport;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::crashes::Inquiry;
use snipeyoke_lib::serving::crashes::PartId;
use snipeyoke_lib::serving::crashes::RunNumber;
use snipeyoke_lib::serving::crashes::Suspect;
use snipeyoke_lib::serving::crashes::Verdict;
use snipeyoke_lib::serving::crashes::VerdictOutcome;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::MilliCores;

/// How long a node has to be up to know what the others know.
pub(crate) const SYNC_TIME: Duration = Duration::from_secs(3);

/// One step of the virtual clock, in milliseconds.
const STEP: u64 = 10;

/// The interval between two polls of a node, in milliseconds.
const POLL_INTERVAL: u64 = 250;

/// How long other nodes take to detect a silent node.
const SILENCE_LIMIT: Duration = Duration::from_millis(750);

/// How long a report of an end is sent again.
const RESEND_TIME: Duration = Duration::from_secs(5);

/// How long a crashed endpoint is down, in milliseconds.
const DOWN_MILLIS: u64 = 2_000;

/// How long after its send an answer begins, in milliseconds.
const READ_MILLIS: u64 = 40;

/// A request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) parts: Arc<[PartId]>,
    /// How long the answer takes, or the crash of the endpoint.
    pub(crate) millis: u64,
    /// The suspect that crashes each endpoint that runs the request.
    pub(crate) crashes: Option<Suspect>,
    /// How many more endpoints get the request after a broken connection.
    pub(crate) repeats: u32,
}

#[derive(Debug, Clone)]
enum Event {
    /// A run crashes its endpoint.
    Crashes(u64),
    /// The answer of a run begins.
    Begins(u64),
    /// A run gets a complete response.
    Answered(u64),
    /// An endpoint that crashed is back.
    Returns(usize),
    Repeated(Request),
    Reported(EndReport),
    Inquired(Vec<Inquiry>),
    Cleared(Vec<Clearance>),
    VerdictReceived(Verdict),
    Down,
    Up,
}

#[derive(Debug)]
pub(crate) struct Node {
    owners: Owners,
    pub(crate) crashes: CrashTracker,
    pub(crate) up: bool,
    pub(crate) since: Time,
    /// The last change sent to each other node, by the start time of that node.
    sent_changes: BTreeMap<(usize, Time), u64>,
    recent: Vec<EndReport>,
    counters: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Endpoint {
    up: bool,
    starts: u64,
}

#[derive(Debug)]
struct Run {
    node: usize,
    endpoint: usize,
    request: Request,
    sent: Time,
    began: Option<Time>,
}

#[derive(Debug)]
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) nodes: Vec<Node>,
    endpoints: Vec<Endpoint>,
    runs: BTreeMap<u64, Run>,
    /// By time, then by number.
    events: BTreeMap<(Time, u64), (usize, Event)>,
    count: u64,
    /// Random samples, used in turn.
    samples: Vec<u8>,
    /// The number of counted ends from which sends are late.
    counted: usize,
    /// The ends of each culprit.
    pub(crate) ends: BTreeMap<Suspect, Vec<Time>>,
    /// The late sends of each culprit by nodes that are up for long enough.
    pub(crate) late_sends: BTreeMap<Suspect, usize>,
    /// The refused requests that crash nothing, with what they were refused for.
    pub(crate) refused: Vec<(Time, Suspect)>,
    /// The suspects that some node has quarantined.
    pub(crate) quarantined: BTreeSet<Suspect>,
    /// The last answer to each request, and the node that had it.
    answers: BTreeMap<Fingerprint, (Time, usize)>,
    /// The ends that each request that crashes nothing had.
    cuts: BTreeMap<Fingerprint, Vec<Time>>,
}

fn address(n: usize) -> SocketAddr {
    ([10, 0, 0, 1], 1_000 + n as u16).into()
}

fn index(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1_000
}

impl World {
    pub(crate) fn new(nodes: usize, endpoints: usize, counted: usize, samples: Vec<u8>) -> Self {
        let now = Time::from_millis(10_000_000);
        let node = |n| {
            let mut owners = Owners::new(address(n), MilliCores(500));
            for other in 0..nodes {
                owners.discover(now, address(other));
            }
            Node {
                owners,
                crashes: CrashTracker::default(),
                up: true,
                since: Time::ZERO,
                sent_changes: BTreeMap::new(),
                recent: Vec::new(),
                counters: Vec::new(),
            }
        };
        let endpoint = |_| Endpoint {
            up: true,
            starts: 1,
        };
        Self {
            now,
            nodes: (0..nodes).map(node).collect(),
            endpoints: (0..endpoints).map(endpoint).collect(),
            runs: BTreeMap::new(),
            events: BTreeMap::new(),
            count: 0,
            samples,
            counted,
            ends: BTreeMap::new(),
            late_sends: BTreeMap::new(),
            refused: Vec::new(),
            quarantined: BTreeSet::new(),
            answers: BTreeMap::new(),
            cuts: BTreeMap::new(),
        }
    }

    /// Returns a random number below `bound`.
    pub(crate) fn sample(&mut self, bound: u64) -> u64 {
        self.count += 1;
        let place = self.count.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let sample = self.samples[place as usize % self.samples.len()];
        (place >> 32 ^ u64::from(sample).wrapping_mul(0x5851_f42d_4c95_7f2d) >> 20) % bound
    }

    fn schedule(&mut self, millis: u64, node: usize, event: Event) {
        self.count += 1;
        let at = self.now + Duration::from_millis(millis);
        self.events.insert((at, self.count), (node, event));
    }

    /// Schedules the loss of a node and its return.
    pub(crate) fn schedule_loss(&mut self, millis: u64, node: usize, down: u64) {
        self.schedule(millis, node, Event::Down);
        self.schedule(millis + down, node, Event::Up);
    }

    /// Returns whether all nodes that are up for long enough should know a culprit.
    fn is_late(&self, culprit: Suspect, node: usize) -> bool {
        let ends = self.ends.get(&culprit);
        let counted = ends.and_then(|ends| ends.get(self.counted - 1));
        let since = self.nodes[node].since;
        counted.is_some_and(|&at| self.now.since(at) > SYNC_TIME)
            && self.now.since(since) > SYNC_TIME
    }

    /// Handles a request that a caller sends to a node.
    pub(crate) fn submit(&mut self, node: usize, request: Request) {
        let now = self.now;
        let held = &mut self.nodes[node];
        if !held.up {
            return;
        }
        let refused = held
            .crashes
            .quarantined(now, request.fingerprint, &request.parts);
        let trial = match refused[..] {
            [(suspect, _)] if held.owners.trial_node(now, suspect) == Some(address(node)) => {
                held.crashes.try_start_trial(now, suspect)
            }
            _ => None,
        };
        if let Some(trial) = trial {
            self.broadcast(node, &Event::VerdictReceived(trial));
        } else if let Some(&(suspect, _)) = refused.first() {
            if request.crashes.is_none() {
                self.refused.push((now, suspect));
            }
            return;
        }
        let up = (0..self.endpoints.len()).filter(|&e| self.endpoints[e].up);
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            return;
        }
        let endpoint = up[self.sample(up.len() as u64) as usize];
        if let Some(culprit) = request.crashes
            && self.is_late(culprit, node)
        {
            *self.late_sends.entry(culprit).or_default() += 1;
        }
        self.count += 1;
        let number = self.count;
        let millis = request.millis;
        let crashes = request.crashes.is_some();
        let run = Run {
            node,
            endpoint,
            request,
            sent: now,
            began: None,
        };
        self.runs.insert(number, run);
        if crashes {
            self.schedule(millis, node, Event::Crashes(number));
        } else {
            self.schedule(READ_MILLIS.min(millis), node, Event::Begins(number));
            self.schedule(millis, node, Event::Answered(number));
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = self.now;
        match event {
            Event::Crashes(number) => {
                if let Some(run) = self.runs.get(&number) {
                    let culprit = run.request.crashes;
                    let endpoint = run.endpoint;
                    if let Some(culprit) = culprit {
                        self.ends.entry(culprit).or_default().push(now);
                    }
                    self.end_endpoint(endpoint);
                }
            }
            Event::Returns(endpoint) => {
                let endpoint = &mut self.endpoints[endpoint];
                endpoint.up = true;
                endpoint.starts += 1;
            }
            Event::Down => {
                let held = &mut self.nodes[node];
                held.up = false;
                held.recent.clear();
                self.runs.retain(|_, run| run.node != node);
            }
            Event::Up => {
                let held = &mut self.nodes[node];
                held.up = true;
                held.since = now;
                held.crashes = CrashTracker::new(now);
                held.sent_changes.clear();
                held.counters.clear();
            }
            _ if !self.nodes[node].up => {}
            Event::Begins(number) => {
                if let Some(run) = self.runs.get_mut(&number) {
                    run.began = Some(now);
                    let parts = Arc::clone(&run.request.parts);
                    let crashes = &mut self.nodes[node].crashes;
                    crashes.on_answer_began(now, RunNumber(number), parts);
                }
            }
            Event::Answered(number) => self.finish(node, number),
            Event::Repeated(request) => self.submit(node, request),
            Event::Reported(report) => {
                let failed_trials = self.nodes[node].crashes.on_end(now, &report);
                for verdict in failed_trials {
                    self.impose(node, verdict);
                }
            }
            Event::Inquired(inquiries) => {
                let crashes = &mut self.nodes[node].crashes;
                let cleared = inquiries.into_iter();
                let cleared = cleared.filter_map(|inquiry| crashes.on_inquiry(now, inquiry));
                let cleared: Vec<Clearance> = cleared.collect();
                self.send_clearances(node, &cleared);
            }
            Event::Cleared(cleared) => self.apply_clearances(node, &cleared),
            Event::VerdictReceived(verdict) => {
                let outcome = self.nodes[node].crashes.apply_verdict(now, verdict);
                if let VerdictOutcome::Overruled(lifted) = outcome {
                    self.broadcast(node, &Event::VerdictReceived(lifted));
                }
            }
        }
    }

    fn finish(&mut self, node: usize, number: u64) {
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        let now = self.now;
        let Request {
            fingerprint, parts, ..
        } = run.request;
        self.answers.insert(fingerprint, (now, node));
        let crashes = &mut self.nodes[node].crashes;
        crashes.on_run_ended(RunNumber(number));
        let (lifted, cleared) = crashes.on_answered(now, fingerprint, &parts);
        for verdict in lifted {
            self.broadcast(node, &Event::VerdictReceived(verdict));
        }
        self.send_clearances(node, &cleared);
    }

    /// Ends an endpoint, with all that it has.
    pub(crate) fn end_endpoint(&mut self, endpoint: usize) {
        if !std::mem::take(&mut self.endpoints[endpoint].up) {
            return;
        }
        let now = self.now;
        self.schedule(DOWN_MILLIS, 0, Event::Returns(endpoint));
        let incarnation = Incarnation {
            endpoint: format!("i-{endpoint}").parse().expect("a name"),
            started_at: Some(self.endpoints[endpoint].starts),
        };
        let on_it = |_: &u64, run: &mut Run| run.endpoint == endpoint;
        let lost: Vec<(u64, Run)> = self.runs.extract_if(.., on_it).collect();
        let mut by_node: BTreeMap<usize, Vec<Casualty>> = BTreeMap::new();
        for (number, run) in lost {
            let Request {
                fingerprint,
                ref parts,
                repeats,
                ..
            } = run.request;
            by_node.entry(run.node).or_default().push(Casualty {
                request: fingerprint,
                parts: Arc::clone(parts),
                sent: run.sent,
                answered: run.began.map_or(Duration::ZERO, |began| now.since(began)),
            });
            self.nodes[run.node].crashes.on_run_ended(RunNumber(number));
            if run.request.crashes.is_none() {
                self.cuts.entry(fingerprint).or_default().push(now);
            }
            if repeats > 0 {
                let request = Request {
                    repeats: repeats - 1,
                    ..run.request
                };
                self.schedule(10, run.node, Event::Repeated(request));
            }
        }
        for (node, casualties) in by_node {
            let report = EndReport {
                at: now,
                incarnation: incarnation.clone(),
                casualties,
            };
            self.report(node, &report);
            self.nodes[node].recent.push(report);
        }
    }

    fn report(&mut self, node: usize, report: &EndReport) {
        let counters = self.nodes[node].owners.crash_counters(self.now);
        self.nodes[node].counters.clone_from(&counters);
        for counter in counters {
            let to = index(counter);
            let delay = if to == node { 0 } else { 1 + self.sample(40) };
            self.schedule(delay, to, Event::Reported(report.clone()));
        }
    }

    fn impose(&mut self, node: usize, verdict: Verdict) {
        let ends = self.ends.get(&verdict.suspect).map_or(0, Vec::len);
        let cuts = match verdict.suspect {
            Suspect::Request(request) => self.cuts.get(&request).map_or(0, Vec::len),
            Suspect::Part(_) => usize::MAX,
        };
        assert!(ends.max(cuts) >= 3, "{} has too few ends", verdict.suspect);
        self.quarantined.insert(verdict.suspect);
        self.broadcast(node, &Event::VerdictReceived(verdict));
    }

    fn send_clearances(&mut self, node: usize, cleared: &[Clearance]) {
        if cleared.is_empty() {
            return;
        }
        for counter in self.nodes[node].owners.crash_counters(self.now) {
            let delay = 1 + self.sample(40);
            let to = index(counter);
            if to != node {
                self.schedule(delay, to, Event::Cleared(cleared.to_vec()));
            }
        }
        self.apply_clearances(node, cleared);
    }

    fn apply_clearances(&mut self, node: usize, cleared: &[Clearance]) {
        for &clearance in cleared {
            let lifted = self.nodes[node].crashes.on_clearance(self.now, clearance);
            if let Some(lifted) = lifted {
                self.broadcast(node, &Event::VerdictReceived(lifted));
            }
        }
    }

    /// Sends a message to all other nodes; one in four verdicts is lost with its link.
    fn broadcast(&mut self, node: usize, event: &Event) {
        for to in 0..self.nodes.len() {
            let delay = 1 + self.sample(40);
            let lost = matches!(event, Event::VerdictReceived(_)) && delay.is_multiple_of(4);
            if to != node && !lost {
                self.schedule(delay, to, event.clone());
            }
        }
    }

    /// Polls another node, in turn, and decides what is due.
    fn poll(&mut self, node: usize) {
        let turn = self.now.as_micros() / 1_000 / POLL_INTERVAL;
        let other = (node + 1 + turn as usize % (self.nodes.len() - 1)) % self.nodes.len();
        let now = self.now;
        if !self.nodes[other].up {
            let owners = &mut self.nodes[node].owners;
            owners.mark_silent(now + SILENCE_LIMIT, address(other));
            return;
        }
        self.nodes[node].owners.mark_heard(now, address(other));
        let since = self.nodes[node].since;
        let sent = self.nodes[other].sent_changes.get(&(node, since)).copied();
        let crashes = &self.nodes[other].crashes;
        let (verdicts, last) = crashes.changes_since(now, sent.unwrap_or_default(), 64);
        self.nodes[other].sent_changes.insert((node, since), last);
        for verdict in verdicts {
            let delay = 1 + self.sample(40);
            self.schedule(delay, node, Event::VerdictReceived(verdict));
        }
    }

    fn decide(&mut self, node: usize) {
        let now = self.now;
        let held = &mut self.nodes[node];
        let counters = held.owners.crash_counters(now);
        if counters != held.counters {
            let recent = held.recent.iter();
            let recent = recent.filter(|r| now.since(r.at) < RESEND_TIME);
            let recent: Vec<EndReport> = recent.cloned().collect();
            for report in recent {
                self.report(node, &report);
            }
        }
        let held = &mut self.nodes[node];
        let rank = counters.iter().position(|&c| c == address(node));
        let findings = held.crashes.poll(now, rank.map(|r| r as u32));
        let cleared = held.crashes.take_clearances(now);
        self.send_clearances(node, &cleared);
        if !findings.inquiries.is_empty() {
            self.broadcast(node, &Event::Inquired(findings.inquiries));
        }
        for verdict in findings.verdicts {
            self.impose(node, verdict);
        }
    }

    pub(crate) fn run(&mut self, until: Time) {
        while self.now < until {
            self.now = self.now + Duration::from_millis(STEP);
            let millis = self.now.as_micros() / 1_000;
            for node in 0..self.nodes.len() {
                if self.nodes[node].up && millis.is_multiple_of(POLL_INTERVAL) {
                    self.poll(node);
                }
                if self.nodes[node].up && millis.is_multiple_of(50) {
                    self.decide(node);
                }
            }
            while let Some((&(at, number), _)) = self.events.first_key_value()
                && at <= self.now
            {
                let event = self.events.remove(&(at, number));
                let (node, event) = event.expect("it was just there");
                self.handle(node, event);
            }
        }
    }

    /// Returns whether a request was answered by a node that still knows it, and has had fewer
    /// than three ends since.
    pub(crate) fn is_cleared(&self, request: Fingerprint) -> bool {
        let Some(&(answered, node)) = self.answers.get(&request) else {
            return false;
        };
        let node = &self.nodes[node];
        let cuts = self.cuts.get(&request);
        let since = cuts.map_or(0, |cuts| cuts.iter().filter(|&&at| at >= answered).count());
        node.up && node.since < answered && since < 3
    }
}

//! Requests under which endpoints end, on several nodes that fail and restart.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_lib::serving::crashes::CrashTracker;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::crashes::Verdict;
use snipeyoke_lib::serving::crashes::VerdictOutcome;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::MilliCores;

/// How long a node has to be up to know what the others know.
const SYNC_TIME: Duration = Duration::from_secs(3);

/// The maximum sends of a request later than this after its third end.
const SENDS_MAX: usize = 3;

/// One step of the virtual clock, in milliseconds.
const STEP: u64 = 10;

/// The interval between two polls of a node, in milliseconds.
const POLL_INTERVAL: u64 = 250;

/// How long other nodes take to detect a silent node.
const SILENCE_LIMIT: Duration = Duration::from_millis(750);

/// A request that ends every endpoint that runs it.
const CRASHING: Fingerprint = Fingerprint(7);

/// A request that is answered, unless its endpoint ends for another reason.
const HARMLESS: Fingerprint = Fingerprint(500);

/// How long an answered request may be refused for ends before its answer.
const CLEARED_WITHIN: Duration = Duration::from_secs(10);

#[derive(Debug, Clone)]
enum Event {
    /// An attempt of a request ends its endpoint.
    Ends(Fingerprint, Incarnation),
    /// Another node reports the end of an endpoint, and when it was.
    Reported(Time, Fingerprint, Incarnation),
    /// An attempt of a request gets a complete response.
    Answered(Fingerprint),
    VerdictReceived(Verdict),
    Down,
    Up,
}

#[derive(Debug)]
struct Node {
    owners: Owners,
    crashes: CrashTracker,
    up: bool,
    since: Time,
    /// The last change sent to each other node, by the start time of that node.
    sent_changes: BTreeMap<(usize, Time), u64>,
    recent_ends: Vec<(Time, Fingerprint, Incarnation)>,
}

#[derive(Debug)]
struct World {
    now: Time,
    nodes: Vec<Node>,
    /// By time, then by number.
    events: BTreeMap<(Time, usize), (usize, Event)>,
    count: usize,
    endpoints: u64,
    /// Random samples for the delays of messages, used in turn.
    samples: Vec<u8>,
    /// The ends observed by a running node, by request.
    ends: BTreeMap<Fingerprint, BTreeSet<Incarnation>>,
    third: Option<Time>,
    late_sends: usize,
    /// The ends under the harmless request, and its answers with their nodes.
    harmless: Vec<Time>,
    answers: Vec<(Time, usize)>,
}

fn address(n: usize) -> SocketAddr {
    ([10, 0, 0, 1], 1_000 + n as u16).into()
}

impl World {
    fn new(nodes: usize, samples: Vec<u8>) -> Self {
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
                recent_ends: Vec::new(),
            }
        };
        Self {
            now,
            nodes: (0..nodes).map(node).collect(),
            events: BTreeMap::new(),
            count: 0,
            endpoints: 0,
            samples,
            ends: BTreeMap::new(),
            third: None,
            late_sends: 0,
            harmless: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn next_sample(&self) -> u64 {
        u64::from(self.samples[self.count % self.samples.len()])
    }

    fn schedule(&mut self, millis: u64, node: usize, event: Event) {
        self.count += 1;
        let at = self.now + Duration::from_millis(millis);
        self.events.insert((at, self.count), (node, event));
    }

    /// Handles a request that a caller sends to a node.
    fn submit(&mut self, node: usize, request: Fingerprint, millis: u64) {
        let now = self.now;
        let held = &mut self.nodes[node];
        let refused = held.crashes.quarantine_remaining(now, request).is_some();
        let counters = held.owners.crash_counters(now, request);
        let is_trial = refused
            && counters.first() == Some(&address(node))
            && held.crashes.try_start_trial(now, request);
        if !held.up || refused && !is_trial {
            return;
        }
        let is_synced = self.now.since(held.since) > SYNC_TIME;
        let is_late = self.third.is_some_and(|t| self.now.since(t) > SYNC_TIME);
        if request == CRASHING && is_synced && is_late {
            self.late_sends += 1;
        }
        if request == HARMLESS && self.next_sample().is_multiple_of(3) {
            return self.schedule(millis, node, Event::Answered(request));
        }
        self.endpoints += 1;
        let run = Incarnation {
            endpoint: format!("i-{}", self.endpoints).parse().expect("a name"),
            started_at: None,
        };
        self.schedule(millis, node, Event::Ends(request, run));
    }

    fn handle(&mut self, node: usize, event: Event) {
        match event {
            Event::Down => {
                self.nodes[node].up = false;
                self.nodes[node].crashes = CrashTracker::default();
                self.nodes[node].recent_ends.clear();
            }
            Event::Up => {
                self.nodes[node].up = true;
                self.nodes[node].since = self.now;
                self.nodes[node].sent_changes.clear();
            }
            _ if !self.nodes[node].up => {}
            Event::Ends(request, run) => {
                let ends = self.ends.entry(request).or_default();
                ends.insert(run.clone());
                if request == CRASHING && ends.len() == 3 {
                    self.third = Some(self.now);
                }
                let now = self.now;
                if request == HARMLESS {
                    self.harmless.push(now);
                }
                self.count_end(node, now, request, &run);
                self.nodes[node]
                    .recent_ends
                    .push((now, request, run.clone()));
                self.report(node, now, request, &run);
            }
            Event::Reported(at, request, run) => self.count_end(node, at, request, &run),
            Event::Answered(request) => {
                let now = self.now;
                self.answers.push((now, node));
                if let Some(lifted) = self.nodes[node].crashes.on_answered(now, request) {
                    self.broadcast(node, lifted);
                }
            }
            Event::VerdictReceived(verdict) => {
                let now = self.now;
                let outcome = self.nodes[node].crashes.apply_verdict(now, verdict);
                if let VerdictOutcome::Overruled(lifted) = outcome {
                    assert_eq!(verdict.request, HARMLESS, "no other is answered");
                    self.broadcast(node, lifted);
                }
            }
        }
    }

    fn report(&mut self, node: usize, at: Time, request: Fingerprint, run: &Incarnation) {
        let counters = self.nodes[node].owners.crash_counters(self.now, request);
        for counter in counters {
            let to = usize::from(counter.port()) - 1_000;
            let delay = 1 + self.next_sample() % 40;
            if to != node {
                self.schedule(delay, to, Event::Reported(at, request, run.clone()));
            }
        }
    }

    fn count_end(&mut self, node: usize, at: Time, request: Fingerprint, run: &Incarnation) {
        let now = self.now;
        let crashes = &mut self.nodes[node].crashes;
        let Some(verdict) = crashes.on_reported_end(now, at, request, run) else {
            return;
        };
        assert!(self.ends[&request].len() >= 3, "{request} has too few ends");
        self.broadcast(node, verdict);
    }

    fn broadcast(&mut self, node: usize, verdict: Verdict) {
        for to in 0..self.nodes.len() {
            // One verdict in four is lost with its link.
            let sample = self.next_sample();
            if to != node && !sample.is_multiple_of(4) {
                self.schedule(1 + sample % 40, to, Event::VerdictReceived(verdict));
            } else {
                self.count += 1;
            }
        }
    }

    /// Polls another node, in turn.
    fn poll(&mut self, node: usize) {
        let turn = self.now.as_micros() / 1_000 / POLL_INTERVAL;
        let other = (node + 1 + turn as usize % (self.nodes.len() - 1)) % self.nodes.len();
        if !self.nodes[node].up {
            return;
        }
        let now = self.now;
        if !self.nodes[other].up {
            self.nodes[node]
                .owners
                .mark_silent(now + SILENCE_LIMIT, address(other));
            let recent = self.nodes[node].recent_ends.clone();
            for (at, request, run) in recent {
                if now.since(at) < Duration::from_secs(5) {
                    self.report(node, at, request, &run);
                }
            }
            return;
        }
        self.nodes[node].owners.mark_heard(now, address(other));
        let since = self.nodes[node].since;
        let sent = self.nodes[other].sent_changes.get(&(node, since)).copied();
        let crashes = &self.nodes[other].crashes;
        let (verdicts, last) = crashes.changes_since(now, sent.unwrap_or_default(), 64);
        self.nodes[other].sent_changes.insert((node, since), last);
        for verdict in verdicts {
            let delay = 1 + self.next_sample() % 40;
            self.schedule(delay, node, Event::VerdictReceived(verdict));
        }
    }

    /// Returns whether the harmless request was answered by a node that still
    /// knows it, and has had fewer than three ends since.
    fn is_cleared(&self) -> bool {
        let remembers = |&&(at, node): &&(Time, usize)| {
            let node = &self.nodes[node];
            node.up && node.since < at
        };
        let Some(&(answered, _)) = self.answers.iter().rfind(remembers) else {
            return false;
        };
        self.harmless.iter().filter(|&&at| at >= answered).count() < 3
    }

    fn run(&mut self, until: Time) {
        while self.now < until {
            self.now = self.now + Duration::from_millis(STEP);
            if (self.now.as_micros() / 1_000).is_multiple_of(POLL_INTERVAL) {
                for node in 0..self.nodes.len() {
                    self.poll(node);
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
}

/// Guards against a request that continues to crash endpoints because nodes
/// that counted it are lost or nodes that have just started do not know it, and
/// against one that is refused although it was answered after its ends.
#[test]
fn a_crashing_request_is_stopped_on_all_nodes_while_nodes_fail_and_restart() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let input = (
        3..9_usize,
        vec((0..4_000_u64, any::<usize>(), 20..700_u64), 20..120),
        vec((0..40_000_u64, any::<usize>(), 500..9_000_u64), 0..3),
        vec(any::<u8>(), 64),
    );
    let outcome =
        TestRunner::new_with_rng(config, rng).run(&input, |(count, sends, losses, samples)| {
            let mut world = World::new(count, samples);
            for (at, node, down) in losses {
                world.schedule(at, node % count, Event::Down);
                world.schedule(at + down, node % count, Event::Up);
            }
            let mut bystanders = 0;
            for (gap, node, millis) in sends {
                let until = world.now + Duration::from_millis(gap);
                world.run(until);
                world.submit(node % count, CRASHING, millis);
                // Other requests use the endpoints that end, each on one or
                // two.
                bystanders += 1;
                let bystander = Fingerprint(1_000 + bystanders / 2);
                world.submit((node + 1) % count, bystander, millis);
                world.submit((node + 2) % count, HARMLESS, millis);
            }
            let until = world.now + CLEARED_WITHIN;
            world.run(until);
            assert!(
                world.late_sends <= SENDS_MAX,
                "sent {} times more",
                world.late_sends
            );
            let now = world.now;
            for node in world.nodes.iter().filter(|n| n.up) {
                let (quarantined, suspects) = node.crashes.counts(now);
                assert!(quarantined <= 2 && suspects <= 2_048);
                if world.is_cleared() && now.since(node.since) > SYNC_TIME {
                    assert_eq!(node.crashes.quarantine_remaining(now, HARMLESS), None);
                }
                if world.third.is_some() && now.since(node.since) > SYNC_TIME {
                    assert!(node.crashes.quarantine_remaining(now, CRASHING).is_some());
                }
            }
            Ok(())
        });
    outcome.expect("it reaches three endpoints more at most");
}

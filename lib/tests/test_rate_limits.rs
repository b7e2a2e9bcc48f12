//! The bound on requests to an endpoint that names a rate, over nodes that join,
//! restart, freeze and are cut off.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::sample::select;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::bookings::BookingId;
use snipeyoke_lib::serving::bookings::Bookings;
use snipeyoke_lib::serving::bookings::PlacementRequest;
use snipeyoke_lib::serving::bookings::Shard;
use snipeyoke_lib::serving::cold_start::AdmitterRank;
use snipeyoke_lib::serving::directory::Directory;
use snipeyoke_lib::serving::directory::Entry;
use snipeyoke_lib::serving::rate_limit::NamedRate;
use snipeyoke_lib::serving::rate_limit::NewsSource;
use snipeyoke_lib::serving::rate_limit::Quota;
use snipeyoke_lib::serving::rate_limit::RateChange;
use snipeyoke_lib::serving::rate_limit::RateError;
use snipeyoke_lib::serving::rate_limit::RateNotice;
use snipeyoke_lib::serving::rate_limit::RateState;
use snipeyoke_lib::time::Time;

use crate::node_world::Fault;
use crate::node_world::LENGTH;
use crate::node_world::World;
use crate::node_world::address;
use crate::node_world::fault;

/// The random schedules of the property.
const CASES: u32 = 48;

/// The window of the bound, in milliseconds.
const WINDOW: u64 = 4_000;

/// The time from which a rate binds after it was first named, and for which a
/// fault of a node excuses its requests, in milliseconds.
const CONTACT: u64 = 3_000;

/// The time after which a response with a rate binds its node, in milliseconds.
const NOTICE_DELAY: u64 = 500;

/// The longest time from the choice of an endpoint to the arrival of the
/// request, in milliseconds.
const TRANSIT_MAX: usize = 400;

/// The longest time until an endpoint responds, in milliseconds.
const RESPONSE_MAX: usize = 1_500;

const SHARD: Shard = Shard { index: 0, count: 1 };

fn service() -> PoolName {
    "llm".parse().expect("a name")
}

fn endpoint() -> EndpointId {
    "m1".parse().expect("a name")
}

fn rate(per_second: f64) -> NamedRate {
    NamedRate::try_from(per_second).expect("a rate")
}

/// What a node knows since its last start.
#[derive(Debug)]
struct NodeState {
    starts: u32,
    directory: Directory,
    bookings: Bookings,
}

impl NodeState {
    fn new(starts: u32) -> Self {
        let mut directory = Directory::new(BTreeMap::new());
        directory.set(Entry {
            id: endpoint(),
            started_at: Some(1),
            service: service(),
            version: "v1".into(),
            address: ([10, 0, 0, 1], 9_000).into(),
            domain: "a".parse().expect("a name"),
            slots: 64,
            draining: false,
            cold_left: Duration::ZERO,
        });
        Self {
            starts,
            directory,
            bookings: Bookings::default(),
        }
    }
}

/// A request under way, or its response.
#[derive(Debug, Clone, Copy)]
struct Flight {
    node: usize,
    starts: u32,
    /// By the clock of the node.
    sent: Time,
    /// The node that granted it, if any, and the booking.
    granter: Option<(usize, u32, BookingId)>,
    /// Whether that node knew of a rate.
    granted: bool,
    /// What the endpoint said, once it has responded.
    notice: Option<RateNotice>,
}

/// A request that arrived at the endpoint.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: u64,
    /// Whether a node that knew of a rate granted it.
    granted: bool,
    /// Whether the endpoint had told the node its rate, and nothing excuses the
    /// node.
    counts: bool,
}

/// Nodes with one endpoint that names a rate now and then.
#[derive(Debug)]
struct RateWorld {
    world: World,
    states: Vec<NodeState>,
    /// The rates that the endpoint names, by the time from which on.
    rates: BTreeMap<u64, Option<NamedRate>>,
    flights: BTreeMap<u64, Vec<Flight>>,
    arrivals: Vec<Arrival>,
    /// When each node was first told of a rate since the endpoint names one, and
    /// its start.
    told_at: BTreeMap<usize, (u32, u64)>,
    /// When each node last had a fault.
    faulty_at: BTreeMap<usize, u64>,
    number: u64,
}

impl RateWorld {
    fn new(count: usize, samples: Vec<u8>) -> Self {
        Self {
            world: World::new(count, samples),
            states: Vec::new(),
            rates: BTreeMap::new(),
            flights: BTreeMap::new(),
            arrivals: Vec::new(),
            told_at: BTreeMap::new(),
            faulty_at: BTreeMap::new(),
            number: 0,
        }
    }

    fn rate_at(&self, at: u64) -> Option<NamedRate> {
        self.rates
            .range(..=at)
            .next_back()
            .and_then(|(_, rate)| *rate)
    }

    fn clock(&self, n: usize) -> Time {
        self.world.nodes[n].clock(self.world.now)
    }

    /// Starts the state of nodes that have joined or started again, and notes
    /// the nodes with faults.
    fn update_states(&mut self) {
        let now = self.world.now;
        for (n, node) in self.world.nodes.iter().enumerate() {
            if self.states.len() <= n {
                self.states.push(NodeState::new(node.starts));
            }
            if self.states[n].starts != node.starts {
                self.states[n] = NodeState::new(node.starts);
                self.faulty_at.insert(n, now);
            }
            if !node.is_running(now) || !self.world.reaches_registry(n) {
                self.faulty_at.insert(n, now);
            }
        }
    }

    /// Two nodes tell each other the rates that they know.
    fn exchange_rates(&mut self, a: usize, b: usize) {
        self.send_news(a, b);
        self.send_news(b, a);
    }

    fn send_news(&mut self, from: usize, to: usize) {
        let (then, now) = (self.clock(from), self.clock(to));
        let news = self.states[from].directory.recent_rates(then);
        let news: Vec<(NamedRate, Duration)> = news.map(|(_, rate, age)| (rate, age)).collect();
        for (rate, age) in news {
            let news = (&endpoint(), rate, age);
            let directory = &mut self.states[to].directory;
            directory.on_rate_news(now, news, address(from));
        }
    }

    /// Tells a node the rate that another one knows, however old it is.
    fn send_limit(&mut self, from: usize, to: usize) {
        let (then, now) = (self.clock(from), self.clock(to));
        let limits = self.states[from].directory.limits();
        let limit = limits.map(|(_, l)| (l.rate, then.since(l.named_at))).next();
        if let Some((rate, age)) = limit {
            let news = (&endpoint(), rate, age);
            let directory = &mut self.states[to].directory;
            directory.on_rate_news(now, news, address(from));
        }
    }

    /// Returns whether a node knows of a rate.
    fn is_limited(&self, n: usize) -> bool {
        self.states[n].directory.limits().next().is_some()
    }

    /// Has a node send a request, if it may; a prompt is always placed by the
    /// booker. Returns whether it was sent.
    fn request(&mut self, n: usize, is_prompt: bool) -> bool {
        if !self.world.nodes[n].is_running(self.world.now) {
            return false;
        }
        if !is_prompt && !self.is_limited(n) {
            self.send(n, None);
            return true;
        }
        let Some(booker) = self.world.reachable_booker(n, &service(), SHARD) else {
            let alone = !self.is_limited(n);
            if alone {
                self.send(n, None);
            }
            return alone;
        };
        if booker != n {
            self.send_limit(n, booker);
        }
        let id = BookingId {
            link: n as u64,
            number: self.number,
        };
        self.number += 1;
        if !self.place(booker, id) {
            return false;
        }
        if booker != n {
            self.send_limit(booker, n);
        }
        let starts = self.world.nodes[booker].starts;
        self.send(n, Some((booker, starts, id)));
        true
    }

    /// Has a node place a request.
    fn place(&mut self, n: usize, id: BookingId) -> bool {
        let now = self.clock(n);
        let rank = self.world.nodes[n]
            .owners
            .shard_granter_rank(now, &service(), SHARD);
        let state = &mut self.states[n];
        state.bookings.set_granter(rank, 1);
        let request = PlacementRequest::default();
        let shard = (&service(), SHARD);
        let placed = state
            .bookings
            .place(now, &state.directory, shard, id, &request);
        placed.is_some()
    }

    fn send(&mut self, n: usize, granter: Option<(usize, u32, BookingId)>) {
        let flight = Flight {
            node: n,
            starts: self.world.nodes[n].starts,
            sent: self.clock(n),
            granter,
            granted: granter.is_some_and(|(granter, ..)| self.is_limited(granter)),
            notice: None,
        };
        let at = self.world.now + (self.world.sample() * TRANSIT_MAX / 255) as u64;
        self.flights.entry(at).or_default().push(flight);
    }

    /// Has requests and responses arrive that are due.
    fn deliver(&mut self) {
        let later = self.flights.split_off(&(self.world.now + 1));
        let due = std::mem::replace(&mut self.flights, later);
        for flight in due.into_values().flatten() {
            if flight.notice.is_some() {
                self.deliver_response(flight);
            } else {
                self.arrive(flight);
            }
        }
    }

    fn arrive(&mut self, mut flight: Flight) {
        let now = self.world.now;
        let n = flight.node;
        let told = self.told_at.get(&n);
        let told =
            told.is_some_and(|&(starts, at)| starts == flight.starts && now >= at + NOTICE_DELAY);
        let excused = self.faulty_at.get(&n).is_some_and(|&at| now < at + CONTACT);
        self.arrivals.push(Arrival {
            at: now,
            granted: flight.granted,
            counts: told && !excused,
        });
        let notice = self
            .rate_at(now)
            .map_or(RateNotice::Unlimited, RateNotice::Limited);
        flight.notice = Some(notice);
        let at = now + (self.world.sample() * RESPONSE_MAX / 255) as u64 + 1;
        self.flights.entry(at).or_default().push(flight);
    }

    fn deliver_response(&mut self, flight: Flight) {
        let now = self.world.now;
        let n = flight.node;
        let node = &self.world.nodes[n];
        if node.starts != flight.starts {
            return;
        }
        if !node.is_running(now) {
            // It reads the response once it runs again.
            self.flights.entry(now + 20).or_default().push(flight);
            return;
        }
        let notice = flight.notice.unwrap_or(RateNotice::Unlimited);
        if matches!(notice, RateNotice::Limited(_)) {
            let told = self.told_at.entry(n).or_insert((flight.starts, now));
            if told.0 != flight.starts {
                *told = (flight.starts, now);
            }
        }
        let here = self.clock(n);
        let directory = &mut self.states[n].directory;
        directory.on_rate_notice(here, &endpoint(), (flight.sent, notice));
        let Some((granter, starts, id)) = flight.granter else {
            return;
        };
        if granter == n
            || starts != self.world.nodes[granter].starts
            || !self.world.reaches(n, granter)
        {
            return;
        }
        let there = self.clock(granter);
        let state = &mut self.states[granter];
        if let Some((_, since)) = state.bookings.booked(id) {
            let news = (since, notice);
            state.directory.on_rate_notice(there, &endpoint(), news);
        }
        state.bookings.end(id);
    }

    /// Returns the first window in which more requests of a kind arrived than the
    /// bound allows.
    fn violation(&self, counts: fn(&Arrival) -> bool) -> Option<String> {
        let counted = self.arrivals.iter().filter(|a| counts(a)).map(|a| a.at);
        let mut window: VecDeque<u64> = VecDeque::new();
        for at in counted {
            window.push_back(at);
            while window.front().is_some_and(|&first| first + WINDOW <= at) {
                window.pop_front();
            }
            let start = at.saturating_sub(WINDOW);
            // A lower rate binds once all nodes in touch can know it.
            let since = start.saturating_sub(CONTACT);
            let before = self.rate_at(since);
            let changes = self.rates.range(since..=at).map(|(_, rate)| *rate);
            let named: Option<Vec<NamedRate>> = std::iter::once(before).chain(changes).collect();
            let Some(named) = named else {
                continue;
            };
            let rate = named.iter().map(|r| r.per_second()).fold(0.0, f64::max);
            let allowed = (1.5 * rate * WINDOW as f64 / 1e3 + 5.0) as usize;
            if window.len() > allowed {
                return Some(format!(
                    "{} requests until {at} at a rate of {rate}, allowed {allowed}",
                    window.len()
                ));
            }
        }
        None
    }

    /// Returns the arrivals per second between two times since the start.
    fn used(&self, from: u64, until: u64) -> f64 {
        let start = 100_000;
        let span = start + from..start + until;
        let count = self
            .arrivals
            .iter()
            .filter(|a| span.contains(&a.at))
            .count();
        count as f64 * 1e3 / (until - from) as f64
    }
}

/// The rates that the endpoint names, by the time since the start.
type Rates = Vec<(u64, Option<f64>)>;

/// Plays a schedule with `demand` requests from random nodes in each step.
fn play(
    count: usize,
    (faults, rates): (Vec<(u64, Fault)>, Rates),
    samples: Vec<u8>,
    demand: usize,
) -> RateWorld {
    let mut played = RateWorld::new(count, samples);
    let start = played.world.now;
    let rates = rates.into_iter();
    played.rates = rates.map(|(at, r)| (start + at, r.map(rate))).collect();
    played.world.schedule(faults);
    while played.world.is_playing() {
        let was_named = played.rate_at(played.world.now).is_some();
        let polls = played.world.step();
        if was_named && played.rate_at(played.world.now).is_none() {
            played.told_at.clear();
        }
        played.update_states();
        for (a, b) in polls {
            played.exchange_rates(a, b);
        }
        played.deliver();
        for k in 0..demand {
            let n = played.world.random_node();
            played.request(n, k % 2 == 0);
        }
    }
    played
}

fn named_rate() -> impl Strategy<Value = (u64, Option<f64>)> {
    let rates = [0.0, 0.25, 0.5, 1.0, 2.0, 5.0, 20.0].map(Some);
    let rates = [rates.as_slice(), &[None, None]].concat();
    (0..LENGTH, select(rates))
}

/// Plays random schedules and checks the bound for a kind of requests.
fn check_bound(counts: fn(&Arrival) -> bool) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let schedule = (
        3..24_usize,
        (vec(fault(), 0..24), vec(named_rate(), 1..6)),
        vec(0..=255_u8, 16..64),
    );
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let outcome = TestRunner::new_with_rng(config, rng).run(&schedule, |(count, plan, samples)| {
        let violation = play(count, plan, samples, 3).violation(counts);
        proptest::prop_assert!(violation.is_none(), "{violation:?}");
        Ok(())
    });
    outcome.expect("the sum over all nodes stays within the bound");
}

#[test]
fn the_bound_holds_for_all_nodes_that_were_told() {
    check_bound(|arrival| arrival.counts);
}

#[test]
fn the_bound_holds_for_all_grants_also_of_nodes_with_faults() {
    // Guards against granting nodes that are thought to be gone and are not.
    check_bound(|arrival| arrival.granted);
}

#[test]
fn an_endpoint_in_need_gets_the_rate_that_it_names() {
    // With more demand than it accepts, at least 0.8 of the rate is used, and not
    // more than the rate, whatever the number of nodes.
    for count in [3, 23, 103, 340] {
        for per_second in [0.5, 1.0, 4.0, 20.0] {
            let plan = (Vec::new(), vec![(0, Some(per_second))]);
            let played = play(count, plan, vec![3, 50, 180, 90], 3);
            let used = played.used(20_000, LENGTH);
            assert!(
                used >= 0.8 * per_second,
                "{count} nodes, {per_second}: {used}"
            );
            assert!(
                used <= 1.05 * per_second,
                "{count} nodes, {per_second}: {used}"
            );
            assert_eq!(played.violation(|a| a.counts), None);
        }
    }
}

#[test]
fn an_endpoint_is_fully_used_soon_after_it_names_no_rate_any_more() {
    // Guards against a limit that lasts because no request finds out its end.
    for count in [3, 23, 103, 340] {
        for per_second in [0.0, 0.5, 4.0] {
            let plan = (Vec::new(), vec![(0, Some(per_second)), (30_000, None)]);
            let played = play(count, plan, vec![3, 50, 180, 90], 1);
            let used = played.used(40_000, LENGTH);
            assert!(used >= 45.0, "{count} nodes, {per_second}: {used}");
        }
    }
}

#[test]
fn the_second_node_grants_requests_while_the_first_is_gone() {
    let mut world = World::new(9, vec![1]);
    // Each node has to hear from another one first.
    for _ in 0..50 {
        let _polls = world.step();
    }
    let rank = |n: usize| {
        let now = world.nodes[n].clock(world.now);
        let owners = &world.nodes[n].owners;
        owners.shard_granter_rank(now, &service(), SHARD)
    };
    let first = (0..9).find(|&n| rank(n) == Some(AdmitterRank::First));
    let first = first.expect("one is first");
    for fault in [Fault::Cut(first, LENGTH), Fault::Freeze(first, LENGTH)] {
        let plan = (vec![(0, fault)], vec![(0, Some(1.0))]);
        let played = play(9, plan, vec![3, 50, 180, 90], 3);
        let used = played.used(20_000, LENGTH);
        assert!(used >= 0.4, "{fault:?}: {used} requests a second");
        assert_eq!(played.violation(|a| a.counts), None);
    }
}

#[test]
fn shares_add_up_to_the_bound_at_most() {
    for per_second in [0.0, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 8.4, 20.0, 1_000.0] {
        let first = rate(per_second).share(Some(AdmitterRank::First), 1);
        let second = rate(per_second).share(Some(AdmitterRank::Second), 1);
        // Each has saved up all that it may at the begin of the window.
        let granted: usize = [first, second]
            .map(|share| grants(share, 4_500))
            .iter()
            .sum();
        let allowed = (1.5 * 4.0 * per_second + 5.0) as usize;
        assert!(granted <= allowed, "{per_second}: {granted} of {allowed}");
        let none = rate(per_second).share(None, 1);
        assert_eq!(grants(none, 4_500), 0);
    }
}

/// Returns the grants within a time in milliseconds after a long pause.
fn grants(share: snipeyoke_lib::serving::rate_limit::Share, length: u64) -> usize {
    let start = Time::from_millis(3_600_000);
    let mut quota = Quota::new(Time::ZERO, share);
    let mut at = start;
    let mut count = 0;
    while at < start + Duration::from_millis(length) {
        count += usize::from(quota.try_grant(at));
        at = quota.next_grant(at).max(at + Duration::from_micros(10));
    }
    count
}

#[test]
fn a_quota_starts_empty() {
    // Guards against a node that grants its burst again after each restart.
    let share = rate(1.0).share(Some(AdmitterRank::First), 1);
    let mut quota = Quota::new(Time::from_millis(50), share);
    assert!(!quota.try_grant(Time::from_millis(50)));
    assert!(quota.try_grant(Time::from_millis(1_051)));
}

#[test]
fn rates_that_are_not_usable_are_refused() {
    let parse = str::parse::<NamedRate>;
    for (text, error) in [
        ("", RateError::NotANumber),
        ("many", RateError::NotANumber),
        ("1,5", RateError::NotANumber),
        ("NaN", RateError::NotFinite),
        ("inf", RateError::NotFinite),
        ("1e999", RateError::NotFinite),
        ("-0.5", RateError::Negative),
    ] {
        assert_eq!(parse(text), Err(error), "{text:?}");
    }
    for text in ["0", "0.5", " 2 ", "1e300"] {
        let share = parse(text).expect(text).share(Some(AdmitterRank::First), 1);
        assert!(share.per_second().is_finite(), "{text}");
    }
}

#[test]
fn a_limit_ends_only_with_evidence() {
    // Guards against responses that were written before the endpoint named its
    // rate, and against other nodes that heard of it before it ended.
    let at = Time::from_millis;
    let node = address(1);
    let mut state = RateState::default();
    let named = RateNotice::Limited(rate(1.0));
    let change = state.on_response(at(10_000), at(9_000), named);
    assert!(matches!(
        change,
        Some(RateChange::Named { previous: None, .. })
    ));
    let early = state.on_response(at(10_100), at(9_900), RateNotice::Unlimited);
    assert_eq!(early, None);
    assert!(state.limit().is_some());
    let malformed = RateNotice::Malformed(RateError::Negative);
    let refused = state.on_response(at(10_200), at(10_100), malformed);
    assert_eq!(refused, Some(RateChange::Refused(RateError::Negative)));
    assert_eq!(state.on_response(at(10_300), at(10_200), malformed), None);
    assert_eq!(state.limit().map(|l| l.rate), Some(rate(1.0)));
    let ended = state.on_response(at(12_000), at(11_000), RateNotice::Unlimited);
    assert!(matches!(ended, Some(RateChange::Ended(_))));
    let old = (rate(1.0), Duration::from_millis(1_500));
    assert_eq!(state.on_news(at(12_100), old, node), None);
    let new = (rate(2.0), Duration::from_millis(100));
    assert!(state.on_news(at(12_100), new, node).is_some());
    assert_eq!(
        state.limit().map(|l| l.source),
        Some(NewsSource::Node(node))
    );
}

#[test]
fn a_rate_outlives_a_registration_that_lapses() {
    // Guards against endpoints whose registration expires while the registry is
    // away: they are back within seconds and are still in need.
    let mut state = NodeState::new(1);
    let entry = state.directory.get(&endpoint()).expect("it is there");
    let entry = entry.entry().clone();
    let at = Time::from_millis;
    let named = (at(900), RateNotice::Limited(rate(1.0)));
    state
        .directory
        .on_rate_notice(at(1_000), &endpoint(), named);
    assert!(state.directory.remove(at(2_000), &endpoint()));
    state.directory.set(entry.clone());
    assert_eq!(state.directory.limits().count(), 1);
    assert!(state.directory.remove(at(3_000), &endpoint()));
    let restarted = Entry {
        started_at: Some(2),
        ..entry
    };
    state.directory.set(restarted);
    assert_eq!(state.directory.limits().count(), 0);
}

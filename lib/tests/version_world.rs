//! Nodes, a store, endpoints and streams of several software versions, in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::ids::SoftwareVersion;
use snipeyoke_lib::serving::owners::OriginKeepers;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::serving::stream_origins::Origin;
use snipeyoke_lib::serving::stream_origins::OriginAnswer;
use snipeyoke_lib::serving::stream_origins::StreamId;
use snipeyoke_lib::serving::stream_origins::StreamOrigins;
use snipeyoke_lib::serving::stream_origins::VersionSets;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::MilliCores;

/// The step of the simulation.
const TICK: Duration = Duration::from_millis(20);

/// The simulated time of a schedule.
const LENGTH: Duration = Duration::from_secs(30);

/// The time for which a fault excuses a node.
const CONTACT: Duration = Duration::from_secs(3);

/// The age from which a node's replica of the endpoints is stale.
pub(crate) const STALE_AFTER: Duration = Duration::from_millis(1_600);

/// How long a node waits for the keeper of a stream.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

pub(crate) fn service() -> PoolName {
    "llm".parse().expect("a name")
}

pub(crate) fn version(number: u32) -> SoftwareVersion {
    SoftwareVersion::from(format!("v{number}").as_str())
}

pub(crate) fn origin(number: u32) -> Origin {
    Origin {
        service: service(),
        version: version(number),
    }
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 200) as u8, (node % 200) as u8], 8_000))
}

#[derive(Debug, Clone)]
enum Frame {
    Begun(Vec<(StreamId, Origin)>),
    Ask(usize, StreamId),
    Told(usize, OriginAnswer),
    Recorded(VersionSets),
}

#[derive(Debug, Clone)]
struct Delivery {
    at: Time,
    from: (usize, u32),
    to: (usize, u32),
    frame: Frame,
}

/// One node, and what it believes.
struct Node {
    run: u32,
    up: bool,
    restart_at: Time,
    started_at: Time,
    frozen_until: Time,
    cut_until: Time,
    /// The last time at which it had a fault.
    fault_at: Time,
    origins: StreamOrigins,
    owners: Owners,
    /// The keepers as of the last review.
    keepers: OriginKeepers,
    /// The endpoints that it knows, and their versions.
    view: BTreeMap<u32, u32>,
    viewed_at: Time,
    next_view: Time,
    next_review: Time,
    silent_since: BTreeMap<usize, Time>,
    /// The saved origins that it has read.
    loaded: usize,
}

impl Node {
    fn local(&self, now: Time) -> Time {
        Time::from_micros(now.since(self.started_at).as_micros() as u64)
    }

    fn versions(&self) -> BTreeSet<SoftwareVersion> {
        self.view.values().map(|&v| version(v)).collect()
    }

    fn tracks_streams(&self, now: Time) -> bool {
        let local = self.local(now);
        self.origins
            .needs_tracking(local, &service(), &self.versions())
    }

    fn answer(&self, now: Time, stream: StreamId) -> OriginAnswer {
        let local = self.local(now);
        let is_stale = now.since(self.viewed_at) > STALE_AFTER;
        let current = (&service(), &self.versions());
        self.origins.answer(local, Some(stream), current, is_stale)
    }
}

/// A stream and its caller.
#[derive(Debug, Clone)]
pub(crate) struct Stream {
    id: StreamId,
    pub(crate) version: u32,
    node: (usize, u32),
    endpoint: u32,
    ends_at: Time,
    state: State,
    pub(crate) returns: u32,
    /// Whether its node reached no other node and not the store when it began.
    ///
    /// If that node dies, nobody can know where the stream began.
    cut_off: bool,
    /// Whether it was taken up again where the second rule counts it.
    counted: bool,
    pub(crate) went_on: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Returning { at: Time },
    Asking { node: (usize, u32), since: Time },
    Over,
}

pub(crate) struct World {
    pub(crate) random: Pcg64Mcg,
    pub(crate) now: Time,
    nodes: Vec<Node>,
    pub(crate) endpoints: BTreeMap<u32, u32>,
    pub(crate) next_endpoint: u32,
    newest_version: u32,
    store_down_until: Time,
    saved: Vec<(StreamId, Origin)>,
    record: Option<VersionSets>,
    frames: Vec<Delivery>,
    pub(crate) streams: Vec<Stream>,
    /// The frames sent, for the cost of one version.
    pub(crate) sent: usize,
    /// The calls that write to the store.
    pub(crate) writes: usize,
    pub(crate) violations: Vec<String>,
}

impl World {
    pub(crate) fn new(seed: u64, nodes: usize, endpoints: u32) -> Self {
        let mut world = Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            now: Time::ZERO,
            nodes: Vec::new(),
            endpoints: (0..endpoints).map(|n| (n, 1)).collect(),
            next_endpoint: endpoints,
            newest_version: 1,
            store_down_until: Time::ZERO,
            saved: Vec::new(),
            record: None,
            frames: Vec::new(),
            streams: Vec::new(),
            sent: 0,
            writes: 0,
            violations: Vec::new(),
        };
        for node in 0..nodes {
            let started = world.started_node(node, nodes);
            world.nodes.push(started);
        }
        world
    }

    /// Returns a node that has just started and has read the registry.
    fn started_node(&mut self, node: usize, count: usize) -> Node {
        let mut owners = Owners::new(address(node), MilliCores(200));
        for other in 0..count {
            owners.discover(Time::ZERO, address(other));
        }
        let mut origins = StreamOrigins::default();
        let store_up = self.now >= self.store_down_until;
        if store_up {
            origins.apply_record(Time::ZERO, self.record.clone().unwrap_or_default());
        }
        Node {
            run: 0,
            up: true,
            restart_at: Time::ZERO,
            started_at: self.now,
            frozen_until: Time::ZERO,
            cut_until: Time::ZERO,
            fault_at: self.now,
            origins,
            keepers: owners.origin_keepers(Time::ZERO),
            owners,
            view: BTreeMap::new(),
            viewed_at: self.now,
            next_view: self.now,
            next_review: self.now,
            silent_since: BTreeMap::new(),
            loaded: 0,
        }
    }

    fn is_active(&self, node: usize) -> bool {
        self.nodes[node].up && self.nodes[node].frozen_until <= self.now
    }

    fn is_cut(&self, node: usize) -> bool {
        self.nodes[node].cut_until > self.now
    }

    fn reaches_store(&self, node: usize) -> bool {
        !self.is_cut(node) && self.now >= self.store_down_until
    }

    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        self.sent += 1;
        if self.is_cut(from) != self.is_cut(to) || !self.nodes[to].up {
            return;
        }
        let delay = Duration::from_millis(self.random.random_range(1..30));
        let frame = Delivery {
            at: self.now + delay,
            from: (from, self.nodes[from].run),
            to: (to, self.nodes[to].run),
            frame,
        };
        self.frames.push(frame);
    }

    fn node_of(address: SocketAddr) -> usize {
        let SocketAddr::V4(address) = address else {
            unreachable!("nodes have IPv4 addresses");
        };
        let [.., high, low] = address.ip().octets();
        usize::from(high) * 200 + usize::from(low)
    }

    pub(crate) fn run(&mut self, mut faults: impl FnMut(&mut Self)) {
        let end = Time::ZERO + LENGTH;
        while self.now < end {
            self.now = self.now + TICK;
            faults(self);
            self.restart();
            for node in 0..self.nodes.len() {
                if self.is_active(node) {
                    self.step_node(node);
                }
            }
            self.deliver();
            self.step_streams();
        }
    }

    pub(crate) fn kill(&mut self, node: usize, down: Duration) {
        let now = self.now;
        let node = &mut self.nodes[node];
        if node.up {
            node.up = false;
            node.restart_at = now + down;
        }
    }

    fn restart(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].up || self.nodes[index].restart_at > self.now {
                continue;
            }
            let count = self.nodes.len();
            let run = self.nodes[index].run + 1;
            let cut_until = self.nodes[index].cut_until;
            let started = self.started_node(index, count);
            self.nodes[index] = Node {
                run,
                cut_until,
                ..started
            };
        }
    }

    fn step_node(&mut self, index: usize) {
        self.read_endpoints(index);
        self.review(index);
        let now = self.now;
        let is_kept = self.nodes[index].tracks_streams(now);
        let local = self.nodes[index].local(now);
        let node = &mut self.nodes[index];
        let keepers = node.keepers.clone();
        let unreported = node
            .origins
            .take_unreported(local, |_| is_kept, &keepers, |_| true);
        for (keeper, streams) in unreported {
            let keeper = Self::node_of(keeper);
            if keeper == index {
                for (stream, origin) in streams {
                    self.nodes[index].origins.keep(local, stream, origin);
                }
            } else {
                self.send(index, keeper, Frame::Begun(streams));
            }
        }
        if !self.reaches_store(index) {
            return;
        }
        let node = &mut self.nodes[index];
        let is_first = |stream| keepers.first(stream) == Some(address(index));
        let unsaved = node.origins.take_unsaved(local, |_| is_kept, is_first);
        if !unsaved.is_empty() {
            self.writes += 1;
            self.saved.extend(unsaved);
        }
        let node = &mut self.nodes[index];
        if keepers.recorder() == Some(address(index)) {
            let current = BTreeMap::from([(service(), node.versions())]);
            if let Some(sets) = node.origins.versions_to_record(local, &current, &current) {
                node.origins.apply_record(local, sets.clone());
                self.record = Some(sets.clone());
                self.writes += 1;
                if sets.values().any(|versions| versions.len() > 1) {
                    for other in (0..self.nodes.len()).filter(|&n| n != index) {
                        self.send(index, other, Frame::Recorded(sets.clone()));
                    }
                }
            }
        }
    }

    /// Reads the endpoints, some hundred milliseconds after they changed.
    fn read_endpoints(&mut self, index: usize) {
        let now = self.now;
        let local = self.nodes[index].local(now);
        if !self.reaches_store(index) && now.since(self.nodes[index].viewed_at) > STALE_AFTER {
            self.nodes[index].origins.mark_unwatched(local);
        }
        if now < self.nodes[index].next_view || !self.reaches_store(index) {
            return;
        }
        let pause = Duration::from_millis(self.random.random_range(50..600));
        let endpoints = self.endpoints.clone();
        let record = self.record.clone();
        let node = &mut self.nodes[index];
        let old = std::mem::replace(&mut node.view, endpoints);
        if old != node.view {
            let before = old.values().map(|&v| version(v)).collect();
            node.origins.record_versions(local, &service(), &before);
            let after = node.versions();
            node.origins.record_versions(local, &service(), &after);
        }
        node.origins.confirm_endpoints(local, local, STALE_AFTER);
        if node.origins.lacks_record(local) {
            node.origins.apply_record(local, record.unwrap_or_default());
        }
        node.viewed_at = now;
        node.next_view = now + pause;
    }

    /// Notices which other nodes are silent, and tells new keepers.
    fn review(&mut self, index: usize) {
        let now = self.now;
        if now < self.nodes[index].next_review {
            return;
        }
        let cut: Vec<bool> = (0..self.nodes.len()).map(|n| self.is_cut(n)).collect();
        let active: Vec<bool> = (0..self.nodes.len()).map(|n| self.is_active(n)).collect();
        let local = self.nodes[index].local(now);
        let mut lost = Vec::new();
        let node = &mut self.nodes[index];
        node.next_review = now + Duration::from_millis(250);
        for other in (0..cut.len()).filter(|&n| n != index) {
            if active[other] && cut[other] == cut[index] {
                node.silent_since.remove(&other);
                node.owners.mark_heard(local, address(other));
                continue;
            }
            let since = *node.silent_since.entry(other).or_insert(now);
            if now.since(since) >= Duration::from_millis(500) {
                node.owners.mark_silent(local, address(other));
                lost.push(other);
            }
        }
        for other in lost {
            node.origins.on_link_lost(address(other));
        }
        node.keepers = node.owners.origin_keepers(local);
        node.origins.requeue_moved(&node.keepers);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<Delivery> = self.frames.extract_if(.., |f| f.at <= now).collect();
        for delivery in due {
            let (to, run) = delivery.to;
            if !self.nodes[to].up || self.nodes[to].run != run {
                continue;
            }
            if !self.is_active(to) {
                let at = self.nodes[to].frozen_until;
                self.frames.push(Delivery { at, ..delivery });
                continue;
            }
            let local = self.nodes[to].local(now);
            let from = delivery.from.0;
            match delivery.frame {
                Frame::Begun(streams) => {
                    for (stream, origin) in streams {
                        self.nodes[to].origins.keep(local, stream, origin);
                    }
                }
                Frame::Ask(number, stream) => {
                    let answer = self.answer_as_keeper(to, stream);
                    self.send(to, from, Frame::Told(number, answer));
                }
                Frame::Recorded(sets) => {
                    for (service, versions) in &sets {
                        for version in versions {
                            let origins = &mut self.nodes[to].origins;
                            origins.record_open(local, service, version);
                        }
                    }
                }
                Frame::Told(number, answer) => self.on_answer(number, to, &answer),
            }
        }
    }

    fn answer_as_keeper(&mut self, node: usize, stream: StreamId) -> OriginAnswer {
        let answer = self.nodes[node].answer(self.now, stream);
        if answer != OriginAnswer::Unknown || !self.reaches_store(node) {
            return answer;
        }
        let local = self.nodes[node].local(self.now);
        let loaded = self.nodes[node].loaded;
        for (stream, origin) in &self.saved[loaded..] {
            let origins = &mut self.nodes[node].origins;
            origins.on_loaded(local, *stream, origin.clone());
        }
        self.nodes[node].loaded = self.saved.len();
        self.nodes[node].answer(self.now, stream)
    }

    pub(crate) fn begin_stream(&mut self) {
        let nodes: Vec<usize> = (0..self.nodes.len())
            .filter(|&n| self.is_active(n))
            .collect();
        let Some(&node) = nodes.choose(&mut self.random) else {
            return;
        };
        let alive = self.nodes[node].view.iter();
        let alive = alive.filter(|(id, _)| self.endpoints.contains_key(id));
        let mut alive: Vec<(u32, u32)> = alive.map(|(&id, &v)| (id, v)).collect();
        let closed = self.nodes[node].origins.closed_versions(&service());
        alive.retain(|(_, v)| !closed.contains(&version(*v)));
        let Some(&(endpoint, version)) = alive.choose(&mut self.random) else {
            return;
        };
        let id = StreamId(self.random.random());
        let local = self.nodes[node].local(self.now);
        self.nodes[node].origins.begin(local, id, origin(version));
        let length = Duration::from_millis(self.random.random_range(500..5_000));
        self.streams.push(Stream {
            id,
            version,
            node: (node, self.nodes[node].run),
            endpoint,
            ends_at: self.now + length,
            state: State::Running,
            returns: 0,
            cut_off: self.is_cut(node),
            counted: false,
            went_on: false,
        });
    }

    fn step_streams(&mut self) {
        for number in 0..self.streams.len() {
            let stream = &self.streams[number];
            let node = stream.node;
            match stream.state {
                State::Running => {
                    let served = self.nodes[node.0].up
                        && self.nodes[node.0].run == node.1
                        && self.endpoints.contains_key(&stream.endpoint);
                    if self.now >= stream.ends_at {
                        self.streams[number].state = State::Over;
                    } else if !served {
                        let pause = self.random.random_range(5..400);
                        let at = self.now + Duration::from_millis(pause);
                        self.streams[number].state = State::Returning { at };
                    }
                }
                State::Returning { at } if at <= self.now => self.resume(number),
                State::Asking { node, since } => {
                    let is_lost = !self.nodes[node.0].up || self.nodes[node.0].run != node.1;
                    if is_lost || self.now.since(since) >= ASK_TIMEOUT {
                        self.come_back_later(number);
                    }
                }
                State::Returning { .. } | State::Over => {}
            }
        }
    }

    fn come_back_later(&mut self, number: usize) {
        let stream = &mut self.streams[number];
        stream.returns += 1;
        stream.state = if stream.returns >= 6 {
            State::Over
        } else {
            let at = self.now + Duration::from_millis(400);
            State::Returning { at }
        };
    }

    /// A caller takes its stream up again at any node.
    fn resume(&mut self, number: usize) {
        let nodes: Vec<usize> = (0..self.nodes.len())
            .filter(|&n| self.is_active(n))
            .collect();
        let Some(&node) = nodes.choose(&mut self.random) else {
            self.come_back_later(number);
            return;
        };
        let stream = self.streams[number].clone();
        let serving = self.endpoints.values().filter(|v| **v == stream.version);
        let in_touch = self.now.since(self.nodes[node].fault_at) > CONTACT && !self.is_cut(node);
        let core_stable = self.now.since(self.store_down_until) > CONTACT;
        let is_known = !stream.cut_off;
        self.streams[number].counted |= is_known && in_touch && core_stable && serving.count() >= 2;
        let local = self.nodes[node].local(self.now);
        if let Some(origin) = self.nodes[node].origins.get(local, stream.id).cloned() {
            self.on_answer(number, node, &OriginAnswer::Known(origin));
            return;
        }
        let keeper = self.nodes[node].keepers.first(stream.id);
        let keeper = keeper.expect("a keeper");
        let keeper = Self::node_of(keeper);
        let run = self.nodes[node].run;
        self.streams[number].state = State::Asking {
            node: (node, run),
            since: self.now,
        };
        if keeper == node {
            let answer = self.answer_as_keeper(node, stream.id);
            self.on_answer(number, node, &answer);
        } else {
            self.send(node, keeper, Frame::Ask(number, stream.id));
        }
    }

    fn on_answer(&mut self, number: usize, node: usize, answer: &OriginAnswer) {
        let found = match answer {
            OriginAnswer::Known(origin) => &origin.version,
            OriginAnswer::Sole(version) => version,
            OriginAnswer::Unknown => {
                self.come_back_later(number);
                return;
            }
        };
        let known = self.nodes[node].view.iter();
        let usable =
            known.filter(|(id, v)| version(**v) == *found && self.endpoints.contains_key(id));
        let usable: Vec<u32> = usable.map(|(&id, _)| id).collect();
        let Some(&endpoint) = usable.choose(&mut self.random) else {
            self.come_back_later(number);
            return;
        };
        let stream = &mut self.streams[number];
        if *found != version(stream.version) {
            let text = format!(
                "{} at {:?} began at v{} and goes on at {found} by {answer:?}",
                stream.id, self.now, stream.version
            );
            self.violations.push(text);
        }
        stream.went_on = true;
        stream.endpoint = endpoint;
        stream.node = (node, self.nodes[node].run);
        stream.state = State::Running;
        let (id, origin) = (stream.id, origin(stream.version));
        let local = self.nodes[node].local(self.now);
        self.nodes[node].origins.begin(local, id, origin);
    }

    pub(crate) fn replace_endpoint(&mut self, version: u32) {
        let old: Vec<u32> = self.endpoints.keys().copied().collect();
        if let Some(old) = old.choose(&mut self.random) {
            self.endpoints.remove(old);
        }
        self.endpoints.insert(self.next_endpoint, version);
        self.next_endpoint += 1;
    }

    /// Injects one random fault, or a step of a release.
    pub(crate) fn fault(&mut self) {
        let count = self.nodes.len();
        let node = self.random.random_range(0..count);
        let seconds = |random: &mut Pcg64Mcg, range: std::ops::Range<u64>| {
            Duration::from_millis(random.random_range(range))
        };
        match self.random.random_range(0..10) {
            0 | 1 => {
                let down = seconds(&mut self.random, 200..1_500);
                self.kill(node, down);
            }
            2 => {
                let until = self.now + seconds(&mut self.random, 300..5_000);
                self.nodes[node].frozen_until = until;
                self.nodes[node].fault_at = until;
            }
            3 => {
                let until = self.now + seconds(&mut self.random, 500..6_000);
                self.nodes[node].cut_until = until;
                self.nodes[node].fault_at = until;
            }
            4 => {
                let until = self.now + seconds(&mut self.random, 500..4_000);
                self.store_down_until = until;
            }
            5 => {
                // An endpoint crashes and starts again at its version.
                let versions: Vec<u32> = self.endpoints.values().copied().collect();
                let version = *versions.choose(&mut self.random).expect("an endpoint");
                self.replace_endpoint(version);
            }
            6 => {
                self.newest_version += 1;
                self.replace_endpoint(self.newest_version);
            }
            7..9 => self.replace_endpoint(self.newest_version),
            _ => {
                for node in 0..count {
                    let down = seconds(&mut self.random, 500..1_600);
                    self.kill(node, down);
                }
            }
        }
    }

    /// Returns the streams that count, and how many of them went on.
    pub(crate) fn counted(&self) -> (usize, usize) {
        let counted = self.streams.iter().filter(|s| s.counted);
        let went_on = counted.clone().filter(|s| s.went_on).count();
        (counted.count(), went_on)
    }
}

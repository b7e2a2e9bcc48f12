//! Tests of failure detection, peer selection and the membership view.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use datadriven::TestCase;
use datadriven::walk;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_lib::ids::Incarnation;
use snipeyoke_lib::ids::NodeId;
use snipeyoke_lib::membership::Candidate;
use snipeyoke_lib::membership::Detector;
use snipeyoke_lib::membership::NodeLocation;
use snipeyoke_lib::membership::PeerHeartbeat;
use snipeyoke_lib::membership::PeerState;
use snipeyoke_lib::membership::Profile;
use snipeyoke_lib::membership::TimeoutBounds;
use snipeyoke_lib::membership::ViewSettings;
use snipeyoke_lib::membership::choose_peers;
use snipeyoke_lib::membership::degree;
use snipeyoke_lib::time::Time;
use snipeyoke_testutils::mesh::Mesh;
use snipeyoke_testutils::mesh::listed;
use snipeyoke_testutils::mesh::profile;

const POOLS: usize = 2;

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn names(routers: usize, agents: usize) -> Vec<String> {
    let routers = (0..routers).map(|i| format!("r{i}"));
    routers
        .chain((0..agents).map(|i| format!("a{i}")))
        .collect()
}

fn mesh(seed: u64, routers: usize, agents: usize) -> Mesh {
    let profiles: Vec<Profile> = names(routers, agents)
        .iter()
        .map(|n| profile(n, POOLS))
        .collect();
    let mut mesh = Mesh::new(seed, ViewSettings::default());
    for profile in &profiles {
        mesh.start(profile.clone(), 1);
    }
    mesh.send_host_list(&listed(&profiles));
    mesh
}

fn address(name: &str) -> SocketAddr {
    profile(name, POOLS).address
}

#[test]
fn scenarios() {
    walk("tests/scenarios/membership", |file| {
        let mut mesh = mesh(1, 0, 0);
        let mut shown = 0;
        file.run(|case| step(&mut mesh, &mut shown, case));
    });
}

fn step(mesh: &mut Mesh, shown: &mut usize, case: &TestCase) -> String {
    let arg = |key: &str| {
        case.args
            .get(key)
            .and_then(|v| v.first())
            .cloned()
            .unwrap_or_default()
    };
    let number = |key: &str| {
        arg(key)
            .parse::<u64>()
            .expect("the scenario gives a number")
    };
    let at = |key: &str| address(&arg(key));
    match case.directive.as_str() {
        "nodes" => *mesh = self::mesh(1, number("routers") as usize, number("agents") as usize),
        "run" => mesh.run(Duration::from_millis(number("ms"))),
        "kill" => mesh.kill(at("node")),
        "dark" => mesh.power_off(at("node")),
        "pause" => mesh.pause(at("node")),
        "resume" => mesh.resume(at("node")),
        "cut" => mesh.block(at("from"), at("to")),
        "heal" => mesh.heal(),
        "start" => {
            let mut profile = profile(&arg("node"), POOLS);
            if case.args.contains_key("as") {
                profile.node = arg("as").parse().expect("a node's name");
            }
            mesh.start(profile, number("life"));
        }
        "list" => {
            let named: Vec<Profile> = case.args["live"]
                .iter()
                .map(|n| profile(n, POOLS))
                .collect();
            let mut list = listed(&named);
            for name in case.args.get("leaving").into_iter().flatten() {
                let mut entry = listed(&[profile(name, POOLS)]).remove(0);
                entry.leaving = true;
                list.push(entry);
            }
            mesh.send_host_list(&list);
        }
        "show" => return show(mesh, at("by")),
        "seen" => {
            let by = at("by");
            let mut text = String::new();
            for change in mesh.changes[*shown..].iter().filter(|s| s.by == by) {
                let ms = change.at.as_micros() / 1_000;
                writeln!(text, "{ms} {} {}->{}", change.node, change.from, change.to)
                    .expect("text");
            }
            *shown = mesh.changes.len();
            return text;
        }
        other => panic!("no such step: {other}"),
    }
    String::new()
}

fn show(mesh: &Mesh, by: SocketAddr) -> String {
    let view = mesh.view(by).expect("the node runs");
    let mut text = String::new();
    for (node, member) in view.members() {
        let work = if member.accepts_work() {
            "takes-work"
        } else {
            "no-work"
        };
        let life = member
            .incarnation()
            .map_or_else(|| "-".to_owned(), |i| i.to_string());
        writeln!(text, "{node} {} {work} life={life}", member.state()).expect("text");
    }
    text
}

#[derive(Debug, Clone)]
enum Op {
    Kill(usize),
    Dark(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Cut(usize, usize),
    Heal,
    Duplicate(usize),
    Run(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        (0..6usize).prop_map(Op::Kill),
        (0..6usize).prop_map(Op::Dark),
        (0..6usize).prop_map(Op::Restart),
        (0..9usize).prop_map(Op::Pause),
        (0..9usize).prop_map(Op::Resume),
        (0..9usize, 0..9usize).prop_map(|(a, b)| Op::Cut(a, b)),
        Just(Op::Heal),
        (0..6usize).prop_map(Op::Duplicate),
        (50u64..9_000).prop_map(Op::Run),
    ]
}

/// The actual state of the nodes, to compare with the routers' views.
struct Model {
    mesh: Mesh,
    names: Vec<String>,
    incarnations: BTreeMap<String, u64>,
    paused: BTreeSet<String>,
}

impl Model {
    fn apply(&mut self, op: &Op) {
        let agent = |i: &usize| format!("a{i}");
        match op {
            Op::Kill(i) => self.end(&agent(i), Mesh::kill),
            Op::Dark(i) => self.end(&agent(i), Mesh::power_off),
            Op::Restart(i) => self.restart(&agent(i)),
            Op::Pause(i) => {
                self.paused.insert(self.names[*i].clone());
                self.mesh.pause(address(&self.names[*i]));
            }
            Op::Resume(i) => {
                self.paused.remove(&self.names[*i]);
                self.mesh.resume(address(&self.names[*i]));
            }
            Op::Cut(a, b) => self
                .mesh
                .block(address(&self.names[*a]), address(&self.names[*b])),
            Op::Heal => self.mesh.heal(),
            Op::Duplicate(i) => self.duplicate(&agent(i)),
            Op::Run(ms) => self.mesh.run(Duration::from_millis(*ms)),
        }
    }

    fn end(&mut self, name: &str, how: fn(&mut Mesh, SocketAddr)) {
        how(&mut self.mesh, address(name));
        self.incarnations.remove(name);
    }

    fn restart(&mut self, name: &str) {
        self.mesh.kill(address(name));
        let incarnation = 10 + self.mesh.now.as_micros();
        self.incarnations.insert(name.to_owned(), incarnation);
        self.mesh.start(profile(name, POOLS), incarnation);
    }

    /// Starts an older process with the name of a running node; it dials a router.
    fn duplicate(&mut self, name: &str) {
        if !self.incarnations.contains_key(name) {
            return;
        }
        let mut duplicate = profile(name, POOLS);
        duplicate.address.set_port(7001);
        let at = duplicate.address;
        self.mesh.start(duplicate, 0);
        let seeds = vec![address("r0")];
        self.mesh
            .deliver(at, snipeyoke_lib::membership::Event::Seeds(seeds));
    }

    fn check_dead(&self) {
        let awake = |r: &&str| !self.paused.contains(*r);
        for router in ["r0", "r1", "r2"].into_iter().filter(awake) {
            for name in self.names.iter().filter(|n| n.starts_with('a')) {
                let node: NodeId = name.parse().expect("a node's name");
                let duplicate = SocketAddr::new(address(name).ip(), 7001);
                let gone =
                    !self.incarnations.contains_key(name) && self.mesh.view(duplicate).is_none();
                let state = self.mesh.state(address(router), &node);
                assert!(
                    !gone || state != PeerState::Alive,
                    "{router} sees dead {name} alive"
                );
            }
        }
    }

    fn check_alive(&self) {
        for router in ["r0", "r1", "r2"] {
            for (name, incarnation) in &self.incarnations {
                let node: NodeId = name.parse().expect("a node's name");
                let view = self.mesh.view(address(router)).expect("routers run");
                let member = view.members().get(&node).expect("listed");
                assert_eq!(member.state(), PeerState::Alive, "{router} sees {name}");
                let known = member.incarnation().map(|i| i.0);
                assert_eq!(known, Some(*incarnation), "{router} uses the newest {name}");
            }
        }
    }
}

#[test]
fn drops_failed_agents_and_readmits_live_ones() {
    // Callers see time-outs if a router's view keeps a dead agent, and refusals
    // if it excludes a live one. Agents crash, lose power, restart, pause, get an
    // older duplicate or lose one direction, in any order; then the network heals.
    let ops = prop::collection::vec(op(), 1..25);
    let check = |(seed, ops): (u64, Vec<Op>)| {
        let names = names(3, 6);
        let incarnations = (0..6).map(|i| (format!("a{i}"), 1)).collect();
        let mut model = Model {
            mesh: mesh(seed, 3, 6),
            names,
            incarnations,
            paused: BTreeSet::new(),
        };
        model.mesh.run(Duration::from_secs(5));
        for op in &ops {
            model.apply(op);
        }
        model.mesh.run(Duration::from_secs(16));
        model.check_dead();
        model.mesh.heal();
        for i in 0..model.names.len() {
            model.apply(&Op::Resume(i));
        }
        model.mesh.run(Duration::from_secs(90));
        model.check_dead();
        model.check_alive();
        Ok(())
    };
    runner(64)
        .run(&(any::<u64>(), ops), check)
        .expect("holds for all");
}

#[test]
fn flap_penalty_bounds_flapping() {
    // Each flap of a peer moves work and loses prefix caches. For 10 minutes the
    // network loses one frame in ten, which delays heartbeats by up to a second.
    // Time-outs adapt and the flap penalty grows, so flaps stay rare.
    let mut mesh = mesh(7, 2, 4);
    mesh.run(Duration::from_secs(5));
    mesh.loss = 0.1;
    mesh.changes.clear();
    mesh.run(Duration::from_mins(10));
    let mut flaps: BTreeMap<(SocketAddr, NodeId), usize> = BTreeMap::new();
    for change in mesh.changes.iter().filter(|s| s.from == PeerState::Alive) {
        *flaps.entry((change.by, change.node.clone())).or_default() += 1;
    }
    let most = flaps.values().max().copied().unwrap_or_default();
    assert!(most <= 6, "one pair flapped {most} times: {flaps:?}");
}

fn candidates(agents: usize, pools: usize, pool: usize) -> Vec<Candidate> {
    let names = (0..agents)
        .filter(|i| i % pools == pool)
        .map(|i| format!("a{i}"));
    names
        .map(|n| {
            let profile = profile(&n, pools);
            let location = NodeLocation {
                node: profile.node,
                domain: profile.domain,
                region: profile.region,
            };
            Candidate {
                location,
                usable: true,
            }
        })
        .collect()
}

fn location(name: &str) -> NodeLocation {
    let profile = profile(name, POOLS);
    NodeLocation {
        node: profile.node,
        domain: profile.domain,
        region: profile.region,
    }
}

#[test]
fn subsets_stay_bounded_at_design_size() {
    // With 340 routers and 680 agents in 17 pools, every router must reach every
    // pool in at least two failure domains, with bounded links on both ends.
    let (routers, agents, pools) = (340, 680, 17);
    let mut degrees: BTreeMap<NodeId, usize> = BTreeMap::new();
    for router in 0..routers {
        let me = location(&format!("r{router}"));
        let mut out = 0;
        for pool in 0..pools {
            let candidates = candidates(agents, pools, pool);
            let chosen = choose_peers(&me, &candidates, degree(candidates.len(), routers));
            let of = |c: &&Candidate| chosen.contains(&c.location.node);
            let domains: BTreeSet<_> = candidates
                .iter()
                .filter(of)
                .map(|c| &c.location.domain)
                .collect();
            assert!(
                domains.len() >= 2,
                "router {router} has pool {pool} in one domain"
            );
            out += chosen.len();
            for node in chosen {
                *degrees.entry(node).or_default() += 1;
            }
        }
        assert!(out <= 96, "router {router} has {out} links");
    }
    assert_eq!(degrees.len(), agents, "some agent is in no subset");
    let most = degrees.values().max().copied().unwrap_or_default();
    assert!(most <= 2 * 32, "an agent has {most} links");
}

#[test]
fn losing_a_node_changes_few_subset_members() {
    // When a node of a pool leaves, only the subsets that contained it change:
    // by one node, or by two if the bound per failure domain moves another.
    let strategy = (0usize..340, 0usize..40, 1usize..12);
    let check = |(router, gone, degree): (usize, usize, usize)| {
        let me = location(&format!("r{router}"));
        let mut candidates = candidates(680, 17, 3);
        let before = choose_peers(&me, &candidates, degree);
        candidates[gone].usable = false;
        let after = choose_peers(&me, &candidates, degree);
        let lost = before.difference(&after).count();
        let held = before.contains(&candidates[gone].location.node);
        assert!(lost <= usize::from(held) * 2, "{lost} of {degree} changed");
        Ok(())
    };
    runner(512).run(&strategy, check).expect("holds for all");
}

#[test]
fn probes_find_a_returning_failure_domain() {
    // A failure domain is unreachable for an hour and then returns all at once.
    // Routers must link to all of its agents again soon, without a dial storm.
    let mut mesh = mesh(3, 2, 12);
    mesh.run(Duration::from_secs(5));
    let cut: Vec<SocketAddr> = (0..6).map(|i| address(&format!("a{i}"))).collect();
    for agent in &cut {
        for router in ["r0", "r1"] {
            mesh.block(*agent, address(router));
            mesh.block(address(router), *agent);
        }
    }
    mesh.run(Duration::from_hours(1));
    mesh.heal();
    let healed = mesh.now;
    mesh.run(Duration::from_secs(20));
    let returns: Vec<Time> = mesh
        .changes
        .iter()
        .filter(|s| s.at > healed && s.to == PeerState::Alive && !cut.contains(&s.by))
        .map(|s| s.at)
        .collect();
    assert_eq!(returns.len(), 12, "each of two routers meets six agents");
    let last = returns.iter().max().expect("some came back").since(healed);
    assert!(
        last < Duration::from_secs(15),
        "the last came back after {last:?}"
    );
}

#[test]
fn a_peer_that_stops_echoing_is_unreachable_although_it_sends() {
    // Callers wait for calls that never arrive: on an open link the network loses
    // frames to the agent but delivers those from it. Only the missing echo shows
    // this, and the peer is alive again once the echo returns.
    let mut detector = Detector::new(TimeoutBounds::default());
    let incarnation = Incarnation(1);
    let heartbeat = |seq, seen| PeerHeartbeat {
        incarnation,
        seq,
        seen,
        draining: false,
        pace: Duration::ZERO,
    };
    let mut states = Vec::new();
    detector.on_link_up(Time::ZERO, incarnation);
    for seq in 1..=60u64 {
        let now = Time::from_millis(seq * 500);
        detector.on_heartbeat_sent(now, seq);
        let heard_by_peer = if (10..40).contains(&seq) { 10 } else { seq };
        detector.on_heartbeat(now, heartbeat(seq, heard_by_peer));
        if states.last() != Some(&detector.state()) {
            states.push(detector.state());
        }
    }
    let (alive, cut) = (PeerState::Alive, PeerState::CutOff);
    assert_eq!(states, [alive, cut, alive]);
}

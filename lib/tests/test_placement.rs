//! Tests of a pool's planner and of the agents' gate.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use assert_matches::assert_matches;
use datadriven::TestCase;
use datadriven::walk;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::FencingNumber;
use snipeyoke_lib::ids::ModelName;
use snipeyoke_lib::placement::Build;
use snipeyoke_lib::placement::Demand;
use snipeyoke_lib::placement::DesiredModel;
use snipeyoke_lib::placement::Engine;
use snipeyoke_lib::placement::Gate;
use snipeyoke_lib::placement::GateError;
use snipeyoke_lib::placement::GateOutcome;
use snipeyoke_lib::placement::LoadState;
use snipeyoke_lib::placement::Order;
use snipeyoke_lib::placement::OrderId;
use snipeyoke_lib::placement::Planner;
use snipeyoke_lib::placement::PlannerSettings;
use snipeyoke_lib::placement::Verb;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Bytes;

/// A pool of engines that execute orders immediately.
struct Pool {
    now: Time,
    planner: Planner,
    desired: BTreeMap<ModelName, DesiredModel>,
    demand: BTreeMap<ModelName, Demand>,
    engines: BTreeMap<EndpointId, Engine>,
}

impl Pool {
    fn new() -> Self {
        let settings = PlannerSettings {
            store_rate: 1.0,
            store_burst: 40.0,
            ..PlannerSettings::default()
        };
        Self {
            now: Time::ZERO,
            planner: Planner::new(settings),
            desired: BTreeMap::new(),
            demand: BTreeMap::new(),
            engines: BTreeMap::new(),
        }
    }

    fn plan(&mut self) -> (String, Vec<Order>) {
        let decisions = self
            .planner
            .plan(self.now, &self.desired, &self.demand, &self.engines);
        let mut text = String::new();
        for decision in &decisions {
            writeln!(text, "{decision}").expect("text");
        }
        (
            text,
            decisions.into_iter().filter_map(|d| d.order).collect(),
        )
    }

    fn size(&self, model: &ModelName) -> Bytes {
        self.desired.get(model).map_or(Bytes(10), |w| w.size)
    }
}

fn carry_out(engine: &mut Engine, verb: &Verb, size: Bytes) {
    match verb {
        Verb::Load(build) => {
            engine
                .builds
                .insert(build.clone(), (LoadState::Ready, size));
        }
        Verb::Unload(build) => {
            engine.builds.remove(build);
        }
        Verb::Role(role) => {
            if let Some(roles) = &mut engine.roles {
                roles.0.clone_from(role);
            }
        }
    }
}

fn build(text: &str) -> Build {
    let (model, version) = text.split_once(['-', '@']).expect("model-version");
    Build {
        model: model.parse().expect("a model's name"),
        version: version.to_owned(),
        adapter: None,
    }
}

fn engine(domain: &str, memory: u64) -> Engine {
    Engine {
        domain: domain.parse().expect("a failure domain's name"),
        memory: Bytes(memory),
        builds: BTreeMap::new(),
        usable: true,
        roles: None,
    }
}

#[test]
fn scenarios() {
    walk("tests/scenarios/placement", |file| {
        let mut pool = Pool::new();
        file.run(|case| step(&mut pool, case));
    });
}

fn step(pool: &mut Pool, case: &TestCase) -> String {
    let all = |key: &str| case.args.get(key).cloned().unwrap_or_default();
    let arg = |key: &str| all(key).first().cloned().unwrap_or_default();
    let number = |key: &str| arg(key).parse::<u64>().unwrap_or_default();
    pool.now = pool.now + Duration::from_secs(number("after"));
    let endpoint = || arg("id").parse::<EndpointId>().expect("an endpoint's name");
    match case.directive.as_str() {
        "new" => *pool = Pool::new(),
        "engine" => {
            let mut engine = engine(&arg("domain"), number("memory"));
            for held in all("holds") {
                engine
                    .builds
                    .insert(build(&held), (LoadState::Ready, Bytes(10)));
            }
            pool.engines.insert(endpoint(), engine);
        }
        "gone" => {
            pool.engines.remove(&endpoint());
        }
        "wish" => {
            let Build {
                model,
                version,
                adapter,
            } = build(&arg("build"));
            let min_copies = number("least") as usize;
            pool.desired.insert(
                model,
                DesiredModel {
                    version,
                    adapter,
                    size: Bytes(10),
                    min_copies,
                },
            );
        }
        "unwish" => pool.desired.clear(),
        "demand" => {
            let engines = arg("engines").parse().expect("a number of engines");
            pool.demand
                .insert(arg("model").parse().expect("a model"), Demand { engines });
        }
        "lease" => pool
            .planner
            .set_lease(arg("fence").parse().ok().map(FencingNumber)),
        "plan" => {
            let (text, orders) = pool.plan();
            for order in orders {
                let size = match &order.verb {
                    Verb::Load(build) => pool.size(&build.model),
                    _ => Bytes(0),
                };
                if let Some(engine) = pool.engines.get_mut(&order.endpoint) {
                    carry_out(engine, &order.verb, size);
                }
            }
            return if text.is_empty() {
                "nothing\n".to_owned()
            } else {
                text
            };
        }
        "ask" => return pool.plan().0,
        other => panic!("no such step: {other}"),
    }
    String::new()
}

#[test]
fn the_gate_refuses_an_old_holder_after_an_observed_claim() {
    // Guards against an old holder, paused past the end of its lease, unloading
    // a model of the new holder. The agent restarted and has no order of the new
    // holder, but it read the new lease claim from the log.
    let mut gate = Gate::default();
    gate.observe(FencingNumber(9));
    let refused = gate.check(FencingNumber(4), OrderId(77));
    assert_matches!(refused, Err(error) if error.is_old_fence());
    assert_eq!(
        gate.check(FencingNumber(9), OrderId(1)),
        Ok(GateOutcome::New)
    );
    assert_eq!(
        gate.check(FencingNumber(9), OrderId(1)),
        Ok(GateOutcome::Repeated)
    );
    assert_eq!(
        gate.check(FencingNumber(9), OrderId(3)),
        Ok(GateOutcome::New)
    );
    assert_matches!(
        gate.check(FencingNumber(9), OrderId(2)),
        Err(GateError::OldOrder { .. })
    );
    assert_eq!(
        gate.check(FencingNumber(12), OrderId(1)),
        Ok(GateOutcome::New)
    );
    assert_eq!(gate.highest(), FencingNumber(12));
}

/// An order in transit, with the step at which it arrives.
#[derive(Debug)]
struct InFlight {
    arrives: usize,
    order: Order,
}

#[test]
fn crossed_orders_leave_the_newer_holders_state() {
    // Guards against an old model, or none, after orders of two holders cross:
    // one was paused past its lease and wants version 1, the newer one version 2.
    // Version 2 must end alone; with the old one fenced, capacity covers demand.
    let strategy = (
        any::<u64>(),
        prop::collection::vec((any::<bool>(), 0usize..6), 40),
    );
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let check = |(_, steps): (u64, Vec<(bool, usize)>)| {
        let mut race = Race::new();
        for (step, (older, delay)) in steps.iter().enumerate() {
            race.run_step(step, *older, *delay);
        }
        for step in steps.len()..steps.len() + 60 {
            race.run_step(step, false, 0);
        }
        for (endpoint, engine) in &race.pool.engines {
            let builds: Vec<String> = engine.builds.keys().map(ToString::to_string).collect();
            assert!(
                builds.iter().all(|b| b == "m@2"),
                "{endpoint} holds {builds:?}"
            );
        }
        let held = race
            .pool
            .engines
            .values()
            .filter(|e| !e.builds.is_empty())
            .count();
        assert_eq!(held, 3, "the newer holder's count stands");
        Ok(())
    };
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, check)
        .expect("holds for all");
}

struct Race {
    pool: Pool,
    older: Planner,
    gates: BTreeMap<EndpointId, Gate>,
    in_flight: Vec<InFlight>,
}

impl Race {
    fn new() -> Self {
        let mut pool = Pool::new();
        for i in 0..4 {
            let mut engine = engine(&format!("d{}", i % 2), 20);
            engine
                .builds
                .insert(build("m@1"), (LoadState::Ready, Bytes(10)));
            pool.engines
                .insert(format!("e{i}").parse().expect("a name"), engine);
        }
        let model: ModelName = "m".parse().expect("a name");
        pool.demand.insert(model, Demand { engines: 2.0 });
        let mut older = pool.planner.clone();
        older.set_lease(Some(FencingNumber(5)));
        pool.planner.set_lease(Some(FencingNumber(8)));
        Self {
            pool,
            older,
            gates: BTreeMap::new(),
            in_flight: Vec::new(),
        }
    }

    fn run_step(&mut self, step: usize, older: bool, delay: usize) {
        self.pool.now = self.pool.now + Duration::from_secs(61);
        let version = if older { "1" } else { "2" };
        let desired = DesiredModel {
            version: version.to_owned(),
            adapter: None,
            size: Bytes(10),
            min_copies: 1,
        };
        self.pool
            .desired
            .insert("m".parse().expect("a name"), desired);
        if older {
            std::mem::swap(&mut self.older, &mut self.pool.planner);
        }
        let (_, orders) = self.pool.plan();
        if older {
            std::mem::swap(&mut self.older, &mut self.pool.planner);
        }
        let arrives = step + delay;
        self.in_flight
            .extend(orders.into_iter().map(|order| InFlight { arrives, order }));
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|f| f.arrives <= step);
        self.in_flight = later;
        let due: Vec<InFlight> = due;
        for InFlight { order, .. } in due {
            self.deliver(&order);
        }
        let serving = |e: &&Engine| !e.builds.is_empty();
        let ready = self.pool.engines.values().filter(serving).count();
        let fenced = self.gates.len() == 4 && self.gates.values().all(|g| g.highest().0 == 8);
        assert!(!fenced || ready >= 2, "only {ready} engines serve");
    }

    fn deliver(&mut self, order: &Order) {
        let gate = self.gates.entry(order.endpoint.clone()).or_default();
        if gate.check(order.fence, order.id) != Ok(GateOutcome::New) {
            return;
        }
        let engine = self.pool.engines.get_mut(&order.endpoint).expect("known");
        carry_out(engine, &order.verb, Bytes(10));
    }
}

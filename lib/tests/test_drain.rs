//! Tests of draining a node or an endpoint.

use std::fmt::Write;
use std::time::Duration;

use datadriven::TestCase;
use datadriven::walk;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_lib::drain::Drain;
use snipeyoke_lib::drain::DrainAction;
use snipeyoke_lib::drain::DrainBlockers;
use snipeyoke_lib::drain::DrainSettings;
use snipeyoke_lib::drain::Phase;
use snipeyoke_lib::drain::Source;
use snipeyoke_lib::time::Time;

#[test]
fn scenarios() {
    walk("tests/scenarios/drain", |file| {
        let mut drain = Drain::new(DrainSettings::default());
        let mut now = Time::ZERO;
        file.run(|case| step(&mut drain, &mut now, case));
    });
}

fn step(drain: &mut Drain, now: &mut Time, case: &TestCase) -> String {
    let arg = |key: &str| case.args.get(key).and_then(|v| v.first()).cloned();
    let count = |key: &str| arg(key).map_or(0, |v| v.parse().expect("a count"));
    let source = || match arg("by").as_deref() {
        Some("operator") => Source::Operator,
        Some("signal") => Source::Signal,
        Some("host-list") => Source::HostList,
        other => panic!("no such source: {other:?}"),
    };
    *now = *now + Duration::from_millis(count("after") as u64);
    let actions = match case.directive.as_str() {
        "new" => {
            *drain = Drain::new(DrainSettings::default());
            Vec::new()
        }
        "begin" => drain.begin(*now, source(), case.args.contains_key("leave")),
        "cancel" => match drain.cancel(source()) {
            Ok(actions) => actions,
            Err(error) => return format!("{error}\n"),
        },
        "held" => {
            let held = DrainBlockers {
                calls: count("calls"),
                connections: count("connections"),
                unaware: count("unaware"),
                leases: count("leases"),
                slots: count("slots"),
            };
            drain.update(*now, held)
        }
        other => panic!("no such step: {other}"),
    };
    let mut text = String::new();
    for action in actions {
        match action {
            DrainAction::Report { held, overdue } => {
                writeln!(text, "report {held} overdue={overdue}")
            }
            other => writeln!(text, "{other:?}"),
        }
        .expect("text");
    }
    writeln!(text, "phase={}", drain.phase()).expect("text");
    text
}

#[derive(Debug, Clone)]
enum Op {
    Begin(Source, bool),
    Cancel(Source),
    Start,
    Finish,
    PeerLearns,
    ReleaseLease,
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let source = prop_oneof![
        Just(Source::Operator),
        Just(Source::Signal),
        Just(Source::HostList)
    ];
    let begin = (source.clone(), any::<bool>()).prop_map(|(s, l)| Op::Begin(s, l));
    prop_oneof![
        begin,
        source.prop_map(Op::Cancel),
        Just(Op::Start),
        Just(Op::Finish),
        Just(Op::PeerLearns),
        Just(Op::ReleaseLease),
        (1u64..40_000).prop_map(Op::Wait),
    ]
}

/// A simulated node: what it holds, and which actions it has executed.
#[derive(Default)]
struct Node {
    now: Time,
    held: DrainBlockers,
    sent_goodbye: bool,
    exited: bool,
}

impl Node {
    fn execute(&mut self, actions: Vec<DrainAction>) {
        for action in actions {
            match action {
                DrainAction::Stop => self.held.unaware = 2,
                DrainAction::HandOver => {
                    assert_eq!(
                        self.held.calls, 0,
                        "slots are released under a running call"
                    );
                }
                DrainAction::Goodbye => {
                    assert_eq!(
                        self.held,
                        DrainBlockers::default(),
                        "goodbye is sent while something is held"
                    );
                    self.sent_goodbye = true;
                }
                DrainAction::Exit => {
                    assert!(self.sent_goodbye, "the process exits without a goodbye");
                    self.exited = true;
                }
                DrainAction::Resume => {
                    assert!(!self.sent_goodbye, "service resumes after the goodbye");
                }
                DrainAction::Move | DrainAction::Report { .. } => {}
            }
        }
    }

    fn apply(&mut self, drain: &mut Drain, op: &Op) {
        let actions = match op {
            Op::Begin(source, leave) => drain.begin(self.now, *source, *leave),
            Op::Cancel(source) => drain.cancel(*source).unwrap_or_default(),
            Op::Start => {
                // Peers that don't know of the drain still send calls. The gate
                // refuses them, so only a serving node accepts work.
                self.held.calls += usize::from(drain.accepts_work());
                Vec::new()
            }
            Op::Finish => {
                self.held.calls = self.held.calls.saturating_sub(1);
                Vec::new()
            }
            Op::PeerLearns => {
                self.held.unaware = self.held.unaware.saturating_sub(1);
                Vec::new()
            }
            Op::ReleaseLease => {
                let released = drain.phase() == Phase::HandingOver;
                self.held.leases = self.held.leases.saturating_sub(usize::from(released));
                Vec::new()
            }
            Op::Wait(ms) => {
                self.now = self.now + Duration::from_millis(*ms);
                Vec::new()
            }
        };
        self.execute(actions);
        if !self.exited {
            let actions = drain.update(self.now, self.held);
            self.execute(actions);
        }
    }
}

#[test]
fn never_cuts_what_runs_and_always_ends() {
    // Guards against a node that exits under a running call and breaks its response, and
    // against a drain that never ends. Three sources begin and cancel drains while work
    // starts and ends; steps depend on counts of zero, never on passed deadlines.
    let ops = prop::collection::vec(op(), 1..60);
    let config = Config {
        cases: 512,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let check = |ops: Vec<Op>| {
        let mut drain = Drain::new(DrainSettings::default());
        let mut node = Node {
            held: DrainBlockers {
                leases: 2,
                ..DrainBlockers::default()
            },
            ..Node::default()
        };
        for op in &ops {
            if node.exited {
                break;
            }
            node.apply(&mut drain, op);
        }
        let finish = [
            Op::Finish,
            Op::PeerLearns,
            Op::ReleaseLease,
            Op::Wait(1_000),
        ];
        node.apply(&mut drain, &Op::Begin(Source::Signal, true));
        for op in finish.iter().cycle().take(4 * 80) {
            if !node.exited {
                node.apply(&mut drain, op);
            }
        }
        assert!(node.exited, "a drain with nothing held must end");
        Ok(())
    };
    TestRunner::new_with_rng(config, rng)
        .run(&ops, check)
        .expect("holds for all");
}

//! Scenarios of at-most-once execution; see `scenarios/state/`.

use std::collections::BTreeMap;
use std::fmt::Write;

use snipeyoke_testutils::world::Safeguards;
use snipeyoke_testutils::world::Step;
use snipeyoke_testutils::world::Target;
use snipeyoke_testutils::world::World;

/// A world whose callers and agents are identified by names of keys.
struct Scenario {
    world: World,
    keys: BTreeMap<String, usize>,
    owners: BTreeMap<String, usize>,
}

impl Scenario {
    fn new() -> Self {
        let mut world = World::new(7, Safeguards::ON);
        world.step(Step::Wait(6_000));
        Self {
            world,
            keys: BTreeMap::new(),
            owners: BTreeMap::new(),
        }
    }

    /// Returns the agent for `owner:KEY` (at the key's first call) or `other:KEY`.
    fn agent(&self, text: &str) -> usize {
        let (which, key) = text.split_once(':').expect("owner:KEY or other:KEY");
        let owner = self.owners[key];
        if which == "owner" {
            owner
        } else {
            (owner + 1) % 3
        }
    }

    fn call(&mut self, key: &str, skew: i64) {
        self.world.step(Step::Call(skew, Target::Owner));
        let caller = self.keys.len();
        self.keys.insert(key.to_owned(), caller);
        let owner = self
            .world
            .owner(caller)
            .expect("a slot has an owner by now");
        self.owners.insert(key.to_owned(), owner);
    }

    fn retry(&mut self, key: &str, target: Target) {
        let calls_since = self.keys.len() - 1 - self.keys[key];
        self.world.step(Step::Retry(calls_since, target));
    }

    fn write_history(&self, key: &str, out: &mut String) {
        let caller = self.keys[key];
        let history = self.world.outcomes(caller).join("; ");
        let effects = self.world.effects(caller);
        writeln!(out, "{key}: {history} [effects: {effects}]").expect("text grows");
    }

    fn run_line(&mut self, line: &str, out: &mut String) {
        let words: Vec<_> = line.split_whitespace().collect();
        let number = |text: &str| text.parse().expect("a number");
        match words.as_slice() {
            ["call", key] => self.call(key, 0),
            ["call", key, "ahead", ms] => self.call(key, number(ms)),
            ["calls", count] => {
                for index in 0..number(count) {
                    self.call(&format!("{line} {index}"), 0);
                    self.world.step(Step::Wait(300));
                }
            }
            ["retry", key] => self.retry(key, Target::Owner),
            ["retry", key, "at", agent] => self.retry(key, Target::Agent(self.agent(agent))),
            ["body", key] => self.world.change_body(self.keys[*key]),
            ["wait", ms] => self.world.step(Step::Wait(number(ms).unsigned_abs())),
            ["pause", agent, ms] => {
                let index = self.agent(agent);
                self.world
                    .step(Step::Pause(index, number(ms).unsigned_abs()));
            }
            ["cut", agent, ms] => {
                let index = self.agent(agent);
                self.world.step(Step::Cut(index, number(ms).unsigned_abs()));
            }
            ["leave", agent] => self.world.step(Step::Leave(self.agent(agent))),
            ["kill", agent] => self.world.step(Step::Kill(self.agent(agent))),
            ["log", "down"] => self.world.step(Step::Down),
            ["log", "mute"] => self.world.step(Step::Mute),
            ["log", "up"] => self.world.step(Step::Up),
            ["slow", ms] => self.world.step(Step::Slow(number(ms).unsigned_abs())),
            ["told", key] => self.write_history(key, out),
            _ => panic!("unknown line: {line}"),
        }
    }
}

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios/state", |file| {
        file.run(|case| {
            assert_eq!(case.directive, "scenario", "the only directive");
            let mut scenario = Scenario::new();
            let mut out = String::new();
            for line in case.input.lines() {
                scenario.run_line(line, &mut out);
            }
            scenario.world.finish();
            if let Some(fault) = &scenario.world.violation {
                writeln!(out, "BROKEN: {fault}").expect("text grows");
            }
            out
        });
    });
}

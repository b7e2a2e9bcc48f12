//! Random event sequences against the guarantees to callers.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use snipeyoke_lib::chain::Action;
use snipeyoke_lib::chain::Chain;
use snipeyoke_lib::chain::Event;
use snipeyoke_lib::chain::Usage;
use snipeyoke_lib::ids::AttemptId;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::outcome::AttemptEnd;
use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_lib::routing::LoadReport;
use snipeyoke_lib::routing::PolicyKind;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Tokens;

use crate::chain_world::World;
use crate::chain_world::spec;

/// The number of tokens of a complete answer.
const ANSWER_TOKENS: u32 = 12;

/// An external step; numbers select an attempt or endpoint.
#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    Sent(usize),
    Tokens(usize, u32),
    /// Repeated tokens, or tokens after lost ones.
    StrayTokens(usize, u32, u32),
    Complete(usize),
    Refuse(usize, Reason),
    Fail(usize, Reason),
    Unreachable(usize),
    /// The key's slot gets another owner or none.
    SetOwner(Option<usize>),
    Start,
    CallerGone,
    Stop,
}

fn step() -> impl Strategy<Value = Step> {
    let pick = 0_usize..6;
    let refusal = prop_oneof![
        Just(Reason::Overload),
        Just(Reason::Draining),
        Just(Reason::NoLease),
        Just(Reason::Connection),
    ];
    let failure = prop_oneof![Just(Reason::Connection), Just(Reason::EndpointFailure)];
    prop_oneof![
        6 => (0_u64..400).prop_map(Step::Advance),
        2 => pick.clone().prop_map(Step::Sent),
        6 => (pick.clone(), 1_u32..6).prop_map(|(a, n)| Step::Tokens(a, n)),
        2 => (pick.clone(), 0_u32..14, 1_u32..6).prop_map(|(a, i, n)| Step::StrayTokens(a, i, n)),
        6 => pick.clone().prop_map(Step::Complete),
        3 => (pick.clone(), refusal).prop_map(|(a, r)| Step::Refuse(a, r)),
        3 => (pick.clone(), failure).prop_map(|(a, r)| Step::Fail(a, r)),
        1 => pick.prop_map(Step::Unreachable),
        3 => prop::option::of(0_usize..3).prop_map(Step::SetOwner),
        1 => Just(Step::Start),
        1 => Just(Step::CallerGone),
        1 => Just(Step::Stop),
    ]
}

/// The actual state of an attempt, independent of the chain's view.
#[derive(Debug)]
struct AttemptRecord {
    stage: usize,
    /// The first token requested from the attempt.
    resume_from: u32,
    /// The next token that the endpoint sends.
    next: u32,
    /// Whether proof was reported that it did not run.
    proven_not_run: bool,
    ended: bool,
}

/// Checks every action against the guarantees.
struct Checker {
    attempts: BTreeMap<AttemptId, AttemptRecord>,
    once_stages: Vec<bool>,
    /// The tokens delivered to the caller, each with its attempt.
    answer: Vec<(u32, AttemptId)>,
    stage: usize,
    finish: Option<Outcome>,
    /// The owner of the key's slot, as set in the chain.
    owner: Option<EndpointId>,
    /// The endpoint to which the key was last sent.
    last_sent_to: Option<EndpointId>,
    /// The endpoint that refused the key, until another owner is set.
    refused_by: Option<EndpointId>,
    wake: Option<Time>,
    deadline: Time,
}

impl Checker {
    fn check(&mut self, now: Time, event: &Event, actions: &[Action]) {
        for action in actions {
            assert!(self.finish.is_none(), "{action:?} follows the outcome");
            match action {
                Action::Send {
                    attempt,
                    stage,
                    endpoint,
                    resume_from,
                    ..
                } => {
                    self.sent(*attempt, *stage, *resume_from);
                    self.sent_to(*stage, endpoint);
                }
                Action::Deliver { attempt, skip } => self.deliver(event, *attempt, *skip),
                Action::StageDone { stage, attempt } => self.done(event, *stage, *attempt),
                Action::Finish {
                    outcome,
                    reason,
                    retry_after,
                } => {
                    let moves = matches!(reason, Some(Reason::NoLease | Reason::Draining));
                    let advised = retry_after.is_some() && now < self.deadline;
                    assert!(
                        !moves || advised,
                        "a wait for an owner must end before the deadline, with a retry delay"
                    );
                    let late = *reason == Some(Reason::Timeout);
                    assert!(
                        !late || !self.awaits_owner(),
                        "a wait for an owner lasts until the deadline"
                    );
                    self.finished(*outcome);
                }
                Action::WakeAt(at) => self.wake = Some(*at),
                Action::Cancel { .. } | Action::Decision(_) => {}
            }
        }
    }

    /// Returns whether a non-idempotent stage has no open attempt.
    fn awaits_owner(&self) -> bool {
        let mut attempts = self.attempts.values().filter(|a| a.stage == self.stage);
        self.once_stages.get(self.stage) == Some(&true) && attempts.all(|a| a.ended)
    }

    fn sent_to(&mut self, stage: usize, endpoint: &EndpointId) {
        if self.once_stages[stage] {
            assert_eq!(
                Some(endpoint),
                self.owner.as_ref(),
                "only the slot owner may run the call"
            );
            let repeated = Some(endpoint) == self.refused_by.as_ref();
            assert!(
                !repeated,
                "the key is sent again to the endpoint that refused it"
            );
            self.last_sent_to = Some(endpoint.clone());
        }
    }

    fn sent(&mut self, attempt: AttemptId, stage: usize, from: u32) {
        assert_eq!(stage, self.stage, "only the current stage is sent");
        if self.once_stages[stage] {
            let may_have_run = |a: &AttemptRecord| a.stage == stage && !a.proven_not_run;
            assert!(
                !self.attempts.values().any(may_have_run),
                "a non-idempotent stage is sent while it may have run"
            );
        }
        let held = u32::try_from(self.answer.len()).expect("short");
        assert_eq!(
            from, held,
            "a generation resumes at the first missing token"
        );
        let record = AttemptRecord {
            stage,
            resume_from: from,
            next: from,
            proven_not_run: false,
            ended: false,
        };
        assert!(
            self.attempts.insert(attempt, record).is_none(),
            "attempt ids are unique"
        );
        let count = self.attempts.values().filter(|a| a.stage == stage).count();
        assert!(count <= 5, "attempts are bounded");
    }

    fn deliver(&mut self, event: &Event, by: AttemptId, skip: u32) {
        let Event::Chunk {
            attempt,
            index,
            tokens,
        } = event
        else {
            panic!("only a chunk is delivered");
        };
        assert_eq!(by, *attempt, "the chunk just reported is delivered");
        let new = *index + skip..*index + *tokens;
        self.answer.extend(new.map(|token| (token, by)));
        let held: Vec<u32> = self.answer.iter().map(|&(token, _)| token).collect();
        let expected: Vec<u32> = (0..).take(held.len()).collect();
        assert_eq!(held, expected, "each token is delivered once, in order");
        let from = self.attempts[&by].resume_from as usize;
        let mixed = self.answer[from..].iter().any(|&(_, other)| other != by);
        assert!(!mixed, "tokens of two attempts are not mixed");
    }

    fn done(&mut self, event: &Event, stage: usize, by: AttemptId) {
        assert_eq!(stage, self.stage, "each stage is done once, in order");
        assert_eq!(
            self.attempts[&by].stage, stage,
            "a stage is done by one of its own attempts"
        );
        let Event::Ended {
            attempt,
            end: AttemptEnd::Completed,
            usage,
        } = event
        else {
            panic!("a stage is done only by a completed attempt");
        };
        assert_eq!(
            by, *attempt,
            "a stage is done by the attempt that completed"
        );
        let streams = usage.output.0 > 0 && stage + 1 == self.once_stages.len();
        if streams || !self.answer.is_empty() {
            let held = u32::try_from(self.answer.len()).expect("short");
            assert_eq!(held, usage.output.0, "no token is missing");
        }
        self.stage += 1;
        self.answer.clear();
    }

    fn finished(&mut self, outcome: Outcome) {
        self.finish = Some(outcome);
        match outcome {
            Outcome::Completed => {
                assert_eq!(self.stage, self.once_stages.len(), "all stages are done");
            }
            Outcome::NotRun => assert!(
                self.attempts.values().all(|a| a.proven_not_run),
                "not-run is reported although an attempt may have run"
            ),
            Outcome::Unknown => assert!(
                !self.attempts.is_empty(),
                "nothing was sent, so nothing can be unknown"
            ),
        }
    }
}

struct Run {
    world: World,
    chain: Chain,
    checker: Checker,
}

impl Run {
    fn new(stages: &[&str], seed: u64, policy: PolicyKind) -> Self {
        let mut world = World::new(policy, seed);
        for pool in ["enc", "gen", "desk"] {
            for (index, domain) in ["a", "a", "b"].iter().enumerate() {
                let report = LoadReport {
                    prefill: if pool == "gen" { 8_000.0 } else { 0.0 },
                    decode: if pool == "gen" { 400.0 } else { 0.0 },
                    ..LoadReport::default()
                };
                world.add(&format!("{pool}{index}"), pool, domain, report);
            }
        }
        let stages: Vec<String> = stages.iter().map(|s| (*s).to_owned()).collect();
        let mut spec = spec(world.now, &stages, 3_000);
        spec.stream = true;
        spec.slot_owner = Some("desk0".parse().expect("a name"));
        let once_stages = spec.pipeline.stages.iter().map(|s| !s.idempotent).collect();
        let checker = Checker {
            attempts: BTreeMap::new(),
            once_stages,
            answer: Vec::new(),
            stage: 0,
            finish: None,
            owner: spec.slot_owner.clone(),
            last_sent_to: None,
            refused_by: None,
            wake: None,
            deadline: spec.deadline,
        };
        Self {
            world,
            chain: Chain::new(spec),
            checker,
        }
    }

    fn feed(&mut self, event: &Event) {
        self.record_refusal(event);
        let actions = self.world.feed(&mut self.chain, event.clone());
        self.checker.check(self.world.now, event, &actions);
    }

    fn record_refusal(&mut self, event: &Event) {
        let moves = matches!(
            event,
            Event::Ended {
                end: AttemptEnd::NotRun {
                    reason: Reason::NoLease | Reason::Draining,
                    ..
                },
                ..
            }
        );
        let once = self.checker.once_stages.get(self.checker.stage);
        if moves && once == Some(&true) && self.checker.owner == self.checker.last_sent_to {
            self.checker
                .refused_by
                .clone_from(&self.checker.last_sent_to);
        }
    }

    fn set_owner(&mut self, owner: Option<usize>) {
        let owner = owner.map(|n| format!("desk{n}").parse().expect("a name"));
        if owner != self.checker.refused_by {
            self.checker.refused_by = None;
        }
        self.checker.owner.clone_from(&owner);
        self.chain.set_owner(owner);
    }

    fn advance(&mut self, to: Time) {
        for wakes in 0.. {
            let Some(at) = self.checker.wake.filter(|&at| at <= to) else {
                break;
            };
            assert!(wakes < 1_000, "each wake-up advances the time");
            self.checker.wake = None;
            self.world.advance(at);
            self.feed(&Event::Wake);
        }
        self.world.advance(to);
    }

    fn pick(&self, number: usize) -> Option<AttemptId> {
        let count = self.checker.attempts.len();
        (count > 0).then(|| AttemptId((count - 1 - number.min(count - 1)) as u64))
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Advance(ms) => self.advance(self.world.now + Duration::from_millis(*ms)),
            Step::Unreachable(number) => {
                let pool = ["enc", "gen", "desk"][number % 3];
                let id = format!("{pool}{}", number / 3).parse().expect("a name");
                self.world.reports.remove(&id);
                self.world.shared.fleet.mark_unreachable(&id);
            }
            Step::SetOwner(owner) => self.set_owner(*owner),
            Step::Start => self.feed(&Event::Start),
            Step::CallerGone => self.feed(&Event::CallerGone),
            Step::Stop => self.feed(&Event::Stop),
            Step::Sent(n)
            | Step::Tokens(n, _)
            | Step::StrayTokens(n, ..)
            | Step::Complete(n)
            | Step::Refuse(n, _)
            | Step::Fail(n, _) => {
                if let Some(attempt) = self.pick(*n) {
                    self.attempt_step(step, attempt);
                }
            }
        }
    }

    fn attempt_step(&mut self, step: &Step, attempt: AttemptId) {
        let record = self
            .checker
            .attempts
            .get_mut(&attempt)
            .expect("it was sent");
        let generates = self.chain.spec().pipeline.stages[record.stage]
            .role
            .to_string()
            == "generate";
        let event = match step {
            Step::Sent(_) => Event::Sent { attempt },
            Step::Tokens(_, count) if generates && !record.ended => {
                let index = record.next;
                record.next = (index + count).min(ANSWER_TOKENS);
                Event::Chunk {
                    attempt,
                    index,
                    tokens: record.next - index,
                }
            }
            Step::StrayTokens(_, index, tokens) if generates => Event::Chunk {
                attempt,
                index: *index,
                tokens: (*tokens).min(ANSWER_TOKENS.saturating_sub(*index)),
            },
            Step::Complete(_) => {
                record.ended = true;
                ended(
                    attempt,
                    AttemptEnd::Completed,
                    if generates { ANSWER_TOKENS } else { 0 },
                )
            }
            Step::Refuse(_, reason) if record.next == 0 && !record.ended => {
                record.ended = true;
                record.proven_not_run = true;
                let end = AttemptEnd::NotRun {
                    reason: *reason,
                    retry_after: None,
                };
                ended(attempt, end, 0)
            }
            Step::Fail(_, reason) if !record.ended => {
                record.ended = true;
                ended(attempt, AttemptEnd::Unknown { reason: *reason }, 0)
            }
            _ => return,
        };
        self.feed(&event);
    }

    fn check_end(mut self) {
        self.feed(&Event::Start);
        self.advance(self.world.now + Duration::from_secs(4));
        assert!(self.checker.finish.is_some(), "a request has an outcome");
        for pool in self.world.shared.fleet.pools().values() {
            for endpoint in pool.endpoints() {
                assert_eq!(endpoint.outstanding(), 0, "all booked work is released");
            }
        }
    }
}

fn ended(attempt: AttemptId, end: AttemptEnd, output: u32) -> Event {
    let usage = Usage {
        output: Tokens(output),
        work: Duration::from_millis(10),
        ..Usage::default()
    };
    Event::Ended {
        attempt,
        end,
        usage,
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    // Guards against lost or repeated answers, a "not run" without proof and
    // non-idempotent calls sent twice. Ends and chunks arrive late, twice, out
    // of order or never, and endpoints become unreachable in between.
    #[test]
    fn each_request_has_one_correct_outcome(
        steps in prop::collection::vec(step(), 0..40),
        shape in 0_usize..4,
        seed in any::<u64>(),
        policy in prop_oneof![
            Just(PolicyKind::Predicted),
            Just(PolicyKind::RoundRobin),
            Just(PolicyKind::LeastOutstanding),
        ],
    ) {
        let shapes: [&[&str]; 4] = [
            &["encode.enc", "generate.gen"],
            &["once.desk"],
            &["generate.gen", "once.desk"],
            &["generate.gen"],
        ];
        let mut run = Run::new(shapes[shape], seed, policy);
        run.feed(&Event::Start);
        for step in &steps {
            run.step(step);
        }
        run.check_end();
    }
}

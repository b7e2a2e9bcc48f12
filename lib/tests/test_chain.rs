//! Scripted scenarios of single chains.

use std::fmt::Write;
use std::time::Duration;

use datadriven::TestCase;
use snipeyoke_lib::chain::Action;
use snipeyoke_lib::chain::Chain;
use snipeyoke_lib::chain::Event;
use snipeyoke_lib::chain::Usage;
use snipeyoke_lib::ids::AttemptId;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::outcome::AttemptEnd;
use snipeyoke_lib::routing::LoadReport;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Tokens;

use crate::chain_world::World;
use crate::chain_world::spec;

struct Script {
    world: World,
    chain: Option<Chain>,
    wake: Option<Time>,
    started_at: Time,
}

fn arg<T: std::str::FromStr>(case: &mut TestCase, name: &str) -> Option<T>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.try_take_arg(name).expect("a well-formed argument")
}

fn flag(case: &mut TestCase, name: &str) -> bool {
    case.take_flag(name).expect("a flag")
}

fn attempt(case: &mut TestCase) -> AttemptId {
    AttemptId(arg(case, "attempt").expect("attempt="))
}

fn report(case: &mut TestCase) -> LoadReport {
    LoadReport {
        slots: arg(case, "slots").unwrap_or(4),
        active: arg(case, "active").unwrap_or(0),
        queued: arg(case, "queued").unwrap_or(0),
        prefill: arg(case, "prefill").unwrap_or(0.0),
        decode: arg(case, "decode").unwrap_or(0.0),
        draining: flag(case, "draining"),
        healthy: !flag(case, "unhealthy"),
        ..LoadReport::default()
    }
}

impl Script {
    fn new() -> Self {
        let world = World::new(snipeyoke_lib::routing::PolicyKind::Predicted, 7);
        let started_at = world.now;
        Self {
            world,
            chain: None,
            wake: None,
            started_at,
        }
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        let mut text = String::new();
        if let Some(at) = arg::<u64>(case, "at") {
            text = self.advance(self.started_at + Duration::from_millis(at));
        }
        let output = match case.directive.as_str() {
            "endpoint" => self.endpoint(case),
            "load" => self.load(case),
            "gone" => self.unreachable(case),
            "teach" => self.train(case),
            "request" => self.request(case),
            "owner" => self.owner(case),
            "wait" => String::new(),
            "answers" => self.answers(case),
            "verdict" => self.verdict(case),
            _ => self.event(case),
        };
        text.push_str(&output);
        case.expect_empty().expect("no unknown argument");
        if text.is_empty() {
            text.push_str("-\n");
        }
        text
    }

    fn endpoint(&mut self, case: &mut TestCase) -> String {
        let id: String = arg(case, "id").expect("id=");
        let pool: String = arg(case, "pool").expect("pool=");
        let domain: String = arg(case, "domain").unwrap_or_else(|| "a".to_owned());
        let report = report(case);
        self.world.add(&id, &pool, &domain, report);
        String::new()
    }

    fn load(&mut self, case: &mut TestCase) -> String {
        let id: EndpointId = arg(case, "id").expect("id=");
        let mut report = report(case);
        report.seq = self.world.reports.get(&id).map_or(0, |r| r.seq);
        self.world.reports.insert(id, report);
        self.world.advance(self.world.now);
        String::new()
    }

    fn unreachable(&mut self, case: &mut TestCase) -> String {
        let id: EndpointId = arg(case, "id").expect("id=");
        self.world.reports.remove(&id);
        self.world.shared.fleet.mark_unreachable(&id);
        String::new()
    }

    fn owner(&mut self, case: &mut TestCase) -> String {
        let chain = self.chain.as_mut().expect("a request");
        chain.set_owner(arg(case, "id"));
        String::new()
    }

    fn train(&mut self, case: &mut TestCase) -> String {
        let stage = arg(case, "stage").expect("stage=");
        let elapsed = Duration::from_millis(arg(case, "took").expect("took="));
        let name = "p".parse().expect("a name");
        let entry = self.world.shared.times.entry(&name, stage);
        entry.mark_seen(self.world.now);
        for _ in 0..20 {
            entry.elapsed.observe(elapsed);
        }
        String::new()
    }

    /// Runs requests one after the other, each completed after the time `took`,
    /// or `times` as long at the endpoint `slow`.
    fn answers(&mut self, case: &mut TestCase) -> String {
        let stages: Vec<String> = case.take_args("stages").expect("stages=(..)");
        let count = arg(case, "count").expect("count=");
        let elapsed = Duration::from_millis(arg(case, "took").expect("took="));
        let slow: Option<String> = arg(case, "slow");
        let times = arg(case, "times").unwrap_or(1);
        for _ in 0..count {
            self.started_at = self.world.now;
            self.chain = Some(Chain::new(spec(self.world.now, &stages, 60_000)));
            self.wake = None;
            let sent = self.feed(Event::Start);
            let late = slow
                .as_ref()
                .is_some_and(|id| sent.contains(&format!("to={id} ")));
            let after = if late { elapsed * times } else { elapsed };
            self.world.advance(self.started_at + after);
            let usage = Usage {
                work: elapsed,
                ..Usage::default()
            };
            self.feed(Event::Ended {
                attempt: AttemptId(0),
                end: AttemptEnd::Completed,
                usage,
            });
        }
        String::new()
    }

    fn verdict(&mut self, case: &mut TestCase) -> String {
        let id: EndpointId = arg(case, "id").expect("id=");
        let now = self.world.now;
        let mut pools = self.world.shared.fleet.pools().values();
        let slowdown =
            pools.find_map(|pool| Some(pool.endpoints()[pool.find(&id)?].health().slowdown(now)));
        let slowdown = slowdown.expect("an endpoint");
        format!("{slowdown:.1} times as slow as promised\n")
    }

    fn request(&mut self, case: &mut TestCase) -> String {
        let stages: Vec<String> = case.take_args("stages").expect("stages=(..)");
        let deadline = arg(case, "deadline").unwrap_or(3_000);
        let mut spec = spec(self.world.now, &stages, deadline);
        spec.stream = flag(case, "stream");
        spec.slot_owner = arg(case, "slot");
        self.started_at = self.world.now;
        self.chain = Some(Chain::new(spec));
        self.wake = None;
        self.feed(Event::Start)
    }

    fn event(&mut self, case: &mut TestCase) -> String {
        let usage = Usage {
            output: Tokens(arg(case, "output").unwrap_or(0)),
            work: Duration::from_millis(arg(case, "work").unwrap_or(10)),
            ..Usage::default()
        };
        let event = match case.directive.as_str() {
            "start" => Event::Start,
            "sent" => Event::Sent {
                attempt: attempt(case),
            },
            "chunk" => Event::Chunk {
                attempt: attempt(case),
                index: arg(case, "index").expect("index="),
                tokens: arg(case, "tokens").expect("tokens="),
            },
            "completed" => Event::Ended {
                attempt: attempt(case),
                end: AttemptEnd::Completed,
                usage,
            },
            "not-run" => Event::Ended {
                attempt: attempt(case),
                end: AttemptEnd::NotRun {
                    reason: arg(case, "reason").expect("reason="),
                    retry_after: arg(case, "after").map(Duration::from_millis),
                },
                usage,
            },
            "unknown" => Event::Ended {
                attempt: attempt(case),
                end: AttemptEnd::Unknown {
                    reason: arg(case, "reason").expect("reason="),
                },
                usage,
            },
            "caller-gone" => Event::CallerGone,
            "stop" => Event::Stop,
            other => panic!("unknown directive {other}"),
        };
        self.feed(event)
    }

    /// Advances the time and handles every wake-up until then.
    fn advance(&mut self, to: Time) -> String {
        let mut text = String::new();
        for wakes in 0.. {
            let Some(at) = self.wake.filter(|&at| at <= to) else {
                break;
            };
            assert!(wakes < 1_000, "each wake-up advances the time");
            self.wake = None;
            self.world.advance(at);
            text.push_str(&self.feed(Event::Wake));
        }
        self.world.advance(to);
        text
    }

    fn feed(&mut self, event: Event) -> String {
        let chain = self.chain.as_mut().expect("a request");
        let actions = self.world.feed(chain, event);
        let at = self.world.now.since(self.started_at).as_millis();
        let mut text = String::new();
        for action in actions {
            if let Action::WakeAt(wake) = action {
                self.wake = Some(wake);
            }
            if let Some(line) = line(&action) {
                let _ = writeln!(text, "{at}ms {line}");
            }
        }
        text
    }
}

fn line(action: &Action) -> Option<String> {
    Some(match action {
        Action::Send {
            attempt,
            stage,
            endpoint,
            remaining,
            priority,
            resume_from,
        } => format!(
            "send {attempt} stage={stage} to={endpoint} left={} priority={priority} from={resume_from}",
            remaining.as_millis()
        ),
        Action::Cancel { attempt } => format!("cancel {attempt}"),
        Action::Deliver { attempt, skip } => format!("deliver {attempt} skip={skip}"),
        Action::StageDone { stage, attempt } => format!("done stage={stage} by {attempt}"),
        Action::Finish {
            outcome,
            reason,
            retry_after,
        } => {
            let reason = reason.map_or(String::new(), |r| format!(" reason={r}"));
            let after = retry_after.map_or("", |_| " retry-after");
            format!("finish {outcome}{reason}{after}")
        }
        Action::WakeAt(_) | Action::Decision(_) => return None,
    })
}

#[test]
fn chain_scenarios() {
    datadriven::walk("tests/scenarios/chain", |file| {
        let mut script = Script::new();
        file.run(|case| script.run(case));
    });
}

#[test]
fn sends_no_hedge_to_the_only_endpoint() {
    datadriven::walk("tests/scenarios/alone", |file| {
        let mut script = Script::new();
        file.run(|case| script.run(case));
    });
}

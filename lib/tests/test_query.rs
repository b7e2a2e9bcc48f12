//! Scripted tests of the operators' language: parsing, errors and answers.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use datadriven::TestCase;
use snipeyoke_lib::config::Config;
use snipeyoke_lib::ids::AttemptId;
use snipeyoke_lib::ids::ClientAccount;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_lib::ids::Revision;
use snipeyoke_lib::journal::Accepted;
use snipeyoke_lib::journal::Choice;
use snipeyoke_lib::journal::Decision;
use snipeyoke_lib::journal::Journal;
use snipeyoke_lib::journal::Request;
use snipeyoke_lib::outcome::AttemptEnd;
use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_lib::query::ChangeFact;
use snipeyoke_lib::query::ConfigFact;
use snipeyoke_lib::query::EndpointFact;
use snipeyoke_lib::query::FactError;
use snipeyoke_lib::query::Facts;
use snipeyoke_lib::query::HostFact;
use snipeyoke_lib::query::Interval;
use snipeyoke_lib::query::LeaseFact;
use snipeyoke_lib::query::NodeFact;
use snipeyoke_lib::query::Statement;
use snipeyoke_lib::query::Table;
use snipeyoke_lib::query::evaluate;
use snipeyoke_lib::query::parse;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Bytes;
use snipeyoke_lib::units::Cost;
use uuid::Uuid;

/// A router's facts, made by a script.
struct Script {
    now: Time,
    journal: Journal,
    configs: Vec<Arc<Config>>,
    endpoints: Vec<EndpointFact>,
}

impl Facts for Script {
    fn now(&self) -> Time {
        self.now
    }

    fn requests(&self, visit: &mut dyn FnMut(&Request)) {
        self.journal.requests().for_each(visit);
    }

    fn request(&self, id: RequestId) -> Option<Request> {
        self.journal.get(id).cloned()
    }

    fn config(&self, at: Option<Revision>) -> Result<ConfigFact, FactError> {
        let last = Revision(self.configs.len() as u64 - 1);
        let requested = at.unwrap_or(last);
        let config = self.configs.get(requested.0 as usize);
        let config = config.cloned().ok_or(FactError::NoRevision {
            requested,
            first: Revision(0),
            last,
        })?;
        Ok(ConfigFact {
            revision: requested,
            config,
        })
    }

    fn active_requests(&self, account: &ClientAccount) -> u32 {
        let mine = |r: &&Request| r.is_running() && r.accepted.account == *account;
        self.journal.requests().filter(mine).count() as u32
    }

    fn endpoints(&self) -> Vec<EndpointFact> {
        self.endpoints.clone()
    }

    fn hosts(&self) -> Result<Vec<HostFact>, FactError> {
        Ok(Vec::new())
    }

    fn nodes(&self) -> Vec<NodeFact> {
        Vec::new()
    }

    fn leases(&self) -> Result<Vec<LeaseFact>, FactError> {
        Ok(Vec::new())
    }

    fn changes(&self) -> Vec<ChangeFact> {
        Vec::new()
    }
}

fn id(number: &str) -> RequestId {
    RequestId(Uuid::from_u128(
        number.parse().expect("requests are numbered"),
    ))
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the script's name is well-formed")
}

fn time(text: &str) -> Duration {
    name::<Interval>(text).duration()
}

struct Words<'a> {
    plain: Vec<&'a str>,
    named: BTreeMap<&'a str, &'a str>,
}

impl<'a> Words<'a> {
    fn new(line: &'a str) -> Self {
        let (named, plain): (Vec<_>, Vec<_>) =
            line.split_whitespace().partition(|w| w.contains('='));
        let named = named.into_iter().filter_map(|w| w.split_once('='));
        Self {
            plain,
            named: named.collect(),
        }
    }

    fn time(&self, key: &str) -> Duration {
        time(self.named[key])
    }
}

fn choice(text: &str) -> Choice {
    let parts: Vec<_> = text.split(',').collect();
    Choice {
        endpoint: name(parts[0]),
        predicted: time(parts[1]),
        cost: parts
            .get(2)
            .map(|c| Cost(c.parse().expect("a cost is a number"))),
    }
}

impl Script {
    fn new() -> Self {
        Self {
            now: Time::ZERO,
            journal: Journal::new(Bytes(1 << 20)),
            configs: vec![Arc::default()],
            endpoints: Vec::new(),
        }
    }

    fn event(&mut self, line: &str) {
        let words = Words::new(line);
        self.now = Time::ZERO + words.time("at");
        let id = id(words.plain[1]);
        match words.plain[0] {
            "accept" => self.journal.on_accept(self.now, accepted(id, &words)),
            "refuse" => {
                let reason = reason(words.plain[5]);
                let accepted = accepted(id, &words);
                self.journal.on_refuse(self.now, accepted, reason);
            }
            "send" => self.journal.on_decision(self.now, id, decision(&words)),
            "end" => {
                let attempt = AttemptId(words.plain[2].parse().expect("attempts are numbered"));
                let end = match words.plain.get(4) {
                    None => AttemptEnd::Completed,
                    Some(text) => AttemptEnd::Unknown {
                        reason: reason(text),
                    },
                };
                self.journal.on_attempt_end(self.now, id, attempt, &end);
            }
            _ => {
                let outcome = match words.plain[2] {
                    "completed" => Outcome::Completed,
                    "not-run" => Outcome::NotRun,
                    _ => Outcome::Unknown,
                };
                let reason = words.plain.get(3).map(|r| reason(r));
                self.journal.on_finish(self.now, id, outcome, reason);
            }
        }
    }

    fn endpoint(&mut self, line: &str) {
        let words = Words::new(line);
        self.endpoints.push(EndpointFact {
            endpoint: name(words.plain[0]),
            pool: name(words.plain[1]),
            host: name(words.plain[2]),
            domain: name(words.plain[3]),
            region: name("bergen"),
            active: words.named["active"].parse().expect("a count"),
            queued: words.named["queued"].parse().expect("a count"),
            slots: 4,
            pending: 0,
            report_age: words.time("report"),
            fresh: words.named["fresh"] == "yes",
            healthy: true,
            draining: false,
            models: Vec::new(),
        });
    }

    fn ask(&self, text: &str) -> String {
        let statements = match parse(text) {
            Ok(statements) => statements,
            Err(error) => return format!("{error}\n"),
        };
        let mut answer = String::new();
        for statement in statements {
            let Statement::Query(query) = statement else {
                panic!("the script asks {statement}, which is no question");
            };
            match evaluate(&query, self) {
                Ok(table) => answer.push_str(&render(&table)),
                Err(error) => writeln!(answer, "{error}").expect("text takes it"),
            }
        }
        answer
    }
}

fn accepted(id: RequestId, words: &Words<'_>) -> Accepted {
    Accepted {
        id,
        account: name(words.plain[2]),
        kind: name(words.plain[3]),
        pipeline: name(words.plain[4]),
        deadline: words.time("deadline"),
        predicted: words.named.get("predicted").map(|t| time(t)),
    }
}

fn decision(words: &Words<'_>) -> Decision {
    let others = words.named.get("others").map_or("", |o| o);
    let others = others.split(';').filter(|o| !o.is_empty()).map(choice);
    Decision {
        stage: name(words.plain[2]),
        attempt: AttemptId(words.plain[3].parse().expect("attempts are numbered")),
        chosen: choice(words.named["to"]),
        others: others.collect(),
        hedge: words.plain.contains(&"hedge"),
        why: words.named["why"].to_owned(),
    }
}

fn reason(text: &str) -> Reason {
    let json = format!("\"{text}\"");
    serde_json::from_str(&json).expect("the script's reason exists")
}

fn render(table: &Table) -> String {
    let names = |c: &snipeyoke_lib::query::Field| c.to_string();
    let mut text = table
        .columns
        .iter()
        .map(names)
        .collect::<Vec<_>>()
        .join(" | ");
    text.push('\n');
    for row in &table.rows {
        let cells: Vec<_> = row.0.iter().map(ToString::to_string).collect();
        text.push_str(&cells.join(" | "));
        text.push('\n');
    }
    if table.omitted > 0 {
        writeln!(text, "{} omitted", table.omitted).expect("text takes it");
    }
    text
}

fn run(script: &mut Script, case: &TestCase) -> String {
    match case.directive.as_str() {
        "parse" => match parse(&case.input) {
            Ok(statements) => {
                let lines: Vec<_> = statements.iter().map(|s| format!("{s};\n")).collect();
                lines.concat()
            }
            Err(error) => format!("{error}\n"),
        },
        "config" => {
            let config: Config = serde_json::from_str(&case.input).expect("a configuration");
            config.check().expect("the script's configuration is right");
            script.configs.push(Arc::new(config));
            format!("revision {}\n", script.configs.len() - 1)
        }
        "events" => {
            case.input.lines().for_each(|l| script.event(l));
            format!("{} requests\n", script.journal.requests().count())
        }
        "endpoints" => {
            case.input.lines().for_each(|l| script.endpoint(l));
            format!("{} endpoints\n", script.endpoints.len())
        }
        "ask" => script.ask(&case.input),
        other => panic!("the script has no directive {other}"),
    }
}

#[test]
fn scripts_of_the_language() {
    datadriven::walk("tests/scenarios/query", |file| {
        let mut script = Script::new();
        file.run(|case| run(&mut script, case));
    });
}

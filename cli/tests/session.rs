//! The tool before scripted routers: merging, exits and what it prints.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures_lite::future;
use insta::assert_snapshot;
use snipeyoke::exit::Exit;
use snipeyoke::report::Report;
use snipeyoke::router::Ask;
use snipeyoke::router::AskError;
use snipeyoke::router::Asking;
use snipeyoke::session::Session;
use snipeyoke::shell::Words;
use snipeyoke_lib::query::AnswerLine;
use snipeyoke_lib::query::parse_one;
use uuid::Uuid;

/// What was asked: the router's port, the text and the change's identity.
type Asked = Vec<(u16, String, Option<Uuid>)>;

/// Routers that answer from a script, by port; `None` is no answer.
#[derive(Debug, Default)]
struct Script {
    answers: BTreeMap<u16, Option<String>>,
    revisions: BTreeMap<u16, String>,
    asked: Mutex<Asked>,
}

impl Ask for Script {
    fn ask(&self, router: SocketAddr, text: String, change: Option<Uuid>) -> Asking<'_> {
        let port = router.port();
        let mut asked = self.asked.lock().expect("no test panics with it");
        asked.push((port, text, change));
        let answer = match self.answers.get(&port) {
            Some(Some(lines)) => {
                Ok(AnswerLine::from_json(lines).expect("the script's lines are right"))
            }
            Some(None) => Err(AskError::Unanswered {
                what: "silent for 3s".to_owned(),
            }),
            None => Err(AskError::Unreached {
                what: "connection refused".to_owned(),
            }),
        };
        Box::pin(future::ready(answer))
    }

    fn revision(&self, router: SocketAddr) -> Asking<'_> {
        let lines = self.revisions.get(&router.port());
        let answer = lines.map(|l| AnswerLine::from_json(l).expect("the script's lines are right"));
        let missing = AskError::Unreached {
            what: "connection refused".to_owned(),
        };
        Box::pin(future::ready(answer.ok_or(missing)))
    }

    fn pause(&self, _time: Duration) -> Pin<Box<dyn Future<Output = ()> + Send + '_>> {
        Box::pin(future::ready(()))
    }
}

fn end(router: &str, revision: u64, omitted: u64) -> String {
    format!(
        "{{\"line\":\"end\",\"router\":\"{router}\",\"revision\":{revision},\"omitted\":{omitted}}}"
    )
}

fn run(script: &Arc<Script>, ports: &[u16], text: &str) -> Report {
    let routers = ports.iter().map(|p| SocketAddr::from(([127, 0, 0, 1], *p)));
    let ask: Arc<dyn Ask> = Arc::clone(script) as _;
    let mut session = Session::new(routers.collect(), ask);
    let statement = parse_one(text).expect("the test's statement is right");
    future::block_on(session.run(&statement))
}

#[test]
fn counts_are_added_up_and_missing_routers_named() {
    // Two routers of three answer. Their counts are added up, and the third is
    // named: an operator must not take two thirds for the whole.
    let columns = r#"{"line":"columns","columns":["reason","count"]}"#;
    let row = |reason: &str, count: u32| {
        format!("{{\"line\":\"row\",\"cells\":[{{\"text\":\"{reason}\"}},{{\"number\":{count}}}]}}")
    };
    let first = [
        columns,
        &row("limit", 2),
        &row("deadline", 1),
        &end("r-1", 4, 0),
    ]
    .join("\n");
    let second = [columns, &row("deadline", 5), &end("r-2", 4, 0)].join("\n");
    let answers = BTreeMap::from([(1, Some(first)), (2, Some(second))]);
    let script = Arc::new(Script {
        answers,
        ..Script::default()
    });
    let report = run(&script, &[1, 2, 3], "show refused by reason");
    assert_eq!(report.exit, Exit::Partial);
    assert_snapshot!(report.text(), @r"
    reason     count
    deadline   6
    limit      2
    not asked: 127.0.0.1:3: not reached: connection refused
    ");
    assert_snapshot!(report.json(), @r#"
    {"count":6,"reason":"deadline"}
    {"count":2,"reason":"limit"}
    {"exit":3,"notes":[],"omitted":0,"routers":["r-1","r-2"],"unheard":[{"router":"127.0.0.1:3","why":"not reached: connection refused"}]}
    "#);
}

#[test]
fn shared_things_appear_once_and_disagreement_shows() {
    // Both routers see copy-1; only one finds its report fresh. The agreement
    // is one row and the disagreement is two, each with its router.
    let columns = r#"{"line":"columns","columns":["endpoint","report","fresh"]}"#;
    let row = |name: &str, micros: u32, fresh: bool| {
        format!(
            "{{\"line\":\"row\",\"cells\":[{{\"text\":\"{name}\"}},{{\"interval\":{micros}}},{{\"flag\":{fresh}}}]}}"
        )
    };
    let first = [
        columns,
        &row("copy-1", 9_000, true),
        &row("copy-2", 8_000, true),
    ];
    let second = [
        columns,
        &row("copy-1", 4_000, true),
        &row("copy-2", 9_000_000, false),
    ];
    let first = [first.join("\n"), end("r-1", 4, 0)].join("\n");
    let second = [second.join("\n"), end("r-2", 4, 0)].join("\n");
    let answers = BTreeMap::from([(1, Some(first)), (2, Some(second))]);
    let script = Arc::new(Script {
        answers,
        ..Script::default()
    });
    let report = run(&script, &[1, 2], "show endpoints");
    assert_snapshot!(report.text(), @r"
    endpoint   report   fresh   router
    copy-1     4ms      yes     all 2
    copy-2     8ms      yes     r-1
    copy-2     9.00s    no      r-2
    ");
}

#[test]
fn a_change_goes_to_one_router_under_one_identity() {
    // The first router does not answer, and may have appended the change. The
    // second is asked under the same identity, so that it can't stand twice;
    // it accepts. One router is behind, which is said.
    let accepted = r#"{"line":"change","answer":{"change":"accepted","revision":5,"base":4}}"#;
    let second = [accepted, &end("r-2", 5, 0)].join("\n");
    let script = Arc::new(Script {
        answers: BTreeMap::from([(1, None), (2, Some(second))]),
        revisions: BTreeMap::from([(1, end("r-1", 4, 0)), (2, end("r-2", 5, 0))]),
        asked: Mutex::default(),
    });
    let report = run(&script, &[1, 2, 3], "drain endpoint copy-1 on revision 4");
    assert_eq!(report.exit, Exit::Partial);
    let asked = script.asked.lock().expect("no test panics with it");
    assert_eq!(asked.len(), 2);
    assert!(asked[0].2.is_some() && asked[0].2 == asked[1].2);
    assert_snapshot!(report.text(), @r"
    accepted at revision 5, made on 4
    revision 5 in force at 1 of 3 routers after 4.0 s: r-2
    not yet in force at: r-1 (at 4)
    not asked: 127.0.0.1:3: not reached: connection refused
    ");
}

#[test]
fn no_answer_to_a_change_is_not_known_and_not_a_failure() {
    // No router gave an answer, and one may have appended the change. "Failed"
    // would make the operator ask for it a second time.
    let script = Arc::new(Script {
        answers: BTreeMap::from([(1, None)]),
        ..Script::default()
    });
    let report = run(&script, &[1, 2], "drop pipeline brief");
    assert_eq!(report.exit, Exit::Unknown);
    assert!(
        report
            .text()
            .contains("ask 'show changes' before repeating")
    );
}

#[test]
fn words_are_completed() {
    let words = Words::default();
    assert_eq!(words.candidates("show req", 8).1, ["request", "requests"]);
    assert_eq!(
        words.candidates("show requests where (la", 23),
        (21, vec!["late".to_owned(), "lateness".to_owned()])
    );
}

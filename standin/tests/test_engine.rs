//! Tests of the engine over HTTP.

use hyper::Method;
use serde_json::Value;
use serde_json::json;
use snipeyoke_standin::EngineSettings;
use snipeyoke_standin::Settings;
use snipeyoke_standin::answer::Generation;

use crate::client::Answer;
use crate::client::Bench;
use crate::client::with;
use crate::client::with_two;

fn quick() -> EngineSettings {
    EngineSettings {
        step_us: 500.0,
        ..EngineSettings::default()
    }
}

fn chat(extra: &Value) -> Value {
    let mut body = json!({
        "model": "m", "max_tokens": 40, "request_id": "r1",
        "messages": [{"role": "system", "content": "s"}, {"role": "user", "content": "hello"}],
    });
    for (key, value) in extra.as_object().into_iter().flatten() {
        body[key] = value.clone();
    }
    body
}

async fn ask(bench: &Bench, extra: &Value) -> Option<Answer> {
    bench.post("/v1/chat/completions", &chat(extra)).await
}

fn streamed(answer: &Answer) -> (String, bool) {
    let text = String::from_utf8_lossy(&answer.body);
    let mut found = String::new();
    for line in text.lines().filter_map(|l| l.strip_prefix("data: ")) {
        if line == "[DONE]" {
            return (found, true);
        }
        let event: Value = serde_json::from_str(line).expect("events hold JSON");
        let delta = &event["choices"][0]["delta"]["content"];
        found.push_str(delta.as_str().unwrap_or_default());
    }
    (found, false)
}

#[test]
fn streams_and_resumes_the_answer_that_it_gives_whole() {
    let expected = Generation::new("hello", 40);
    with(Settings::Engine(quick()), async |bench| {
        let whole = ask(bench, &json!({})).await.expect("it answers");
        let content = &whole.json()["choices"][0]["message"]["content"];
        assert_eq!(content, &expected.text(0));
        let stream = ask(bench, &json!({"stream": true}))
            .await
            .expect("it answers");
        assert_eq!(streamed(&stream), (expected.text(0), true));
        let rest = ask(bench, &json!({"stream": true, "resume_from": 7})).await;
        let rest = streamed(&rest.expect("it answers"));
        assert_eq!(rest, (expected.text(7), true));
    });
}

#[test]
fn cuts_a_stream_without_its_last_event_when_it_dies() {
    // The caller of the engine holds half an answer and no `[DONE]`.
    // What it holds is the start of the right answer, so it can resume elsewhere.
    let expected = Generation::new("hello", 40);
    with(Settings::Engine(quick()), async |bench| {
        bench.fault(&json!({"die": 1.0})).await;
        let broken = ask(bench, &json!({"stream": true})).await;
        let broken = broken.expect("the head comes");
        let (half, done) = streamed(&broken);
        assert!(!done && !broken.whole && !half.is_empty());
        assert!(expected.text(0).starts_with(&half) && half.len() < expected.text(0).len());
    });
}

#[test]
fn finds_a_repeated_prompt_in_its_cache() {
    with(Settings::Engine(quick()), async |bench| {
        let long = "x".repeat(4_096);
        let messages = json!([{"role": "user", "content": long}]);
        let extra = json!({"messages": messages});
        let cached = async || {
            let answer = ask(bench, &extra).await.expect("it answers");
            answer.json()["usage"]["prompt_tokens_details"]["cached_tokens"].clone()
        };
        assert_eq!(cached().await, 0);
        // 4,102 bytes hold 16 whole blocks of 256.
        assert_eq!(cached().await, 16 * 64);
    });
}

#[test]
fn checks_fencing_numbers_only_where_that_is_set() {
    let order = |fence: u64| json!({"fence": fence, "verb": "role", "role": "decode"});
    for (check, status) in [(true, 409), (false, 200)] {
        let settings = EngineSettings {
            check_fence: check,
            ..quick()
        };
        with(Settings::Engine(settings), async |bench| {
            let newer = bench.post("/orders", &order(9)).await;
            assert_eq!(newer.expect("it answers").status, 200);
            let stale = bench.post("/orders", &order(8)).await;
            assert_eq!(stale.expect("it answers").status, status);
        });
    }
}

#[test]
fn refuses_with_proof_what_it_has_no_model_or_room_for() {
    let settings = EngineSettings {
        models: vec!["other".to_owned()],
        kv_tokens: 64,
        ..quick()
    };
    with(Settings::Engine(settings), async |bench| {
        let unknown = ask(bench, &json!({})).await.expect("it answers");
        assert_eq!((unknown.status, unknown.header("x-not-run")), (404, "1"));
        let large = json!({"model": "other", "max_tokens": 400});
        let large = ask(bench, &large).await.expect("it answers");
        assert_eq!((large.status, large.header("x-not-run")), (429, "1"));
    });
}

#[test]
fn moves_a_run_with_its_cache() {
    // A drain moves a long generation: exported here, it ends without `[DONE]`;
    // imported there, it resumes at its next token and rereads nothing.
    let slow = EngineSettings {
        step_us: 20_000.0,
        ..EngineSettings::default()
    };
    let expected = Generation::new("hello", 4_000);
    let (from, to) = (Settings::Engine(slow), Settings::Engine(quick()));
    with_two(from, to, async |here, there| {
        let run = async {
            let long = json!({"stream": true, "max_tokens": 4_000});
            streamed(&ask(here, &long).await.expect("the head comes"))
        };
        let export = async {
            loop {
                let moved = here.post("/kv/export", &json!({"request_id": "r1"})).await;
                let moved = moved.expect("it answers");
                if moved.status == 200 {
                    return moved.json();
                }
            }
        };
        let ((held, done), moved) = futures_lite::future::zip(run, export).await;
        assert!(!done && expected.text(0).starts_with(&held));
        let gone = here.call(Method::DELETE, "/v1/runs/r1", b"").await;
        assert_eq!(gone.expect("it answers").status, 404);
        let taken = there.post("/kv/import", &moved).await;
        assert_eq!(taken.expect("it answers").json()["tokens"], moved["tokens"]);
        let next = held.len() / 4;
        let rest = json!({"stream": true, "max_tokens": 4_000, "resume_from": next});
        let fault = json!({"die": 1.0});
        there.fault(&fault).await;
        let (more, _) = streamed(&ask(there, &rest).await.expect("the head comes"));
        assert!(!more.is_empty() && expected.text(0).starts_with(&format!("{held}{more}")));
    });
}

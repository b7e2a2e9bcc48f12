//! Pipelines whose generating stages follow each other, or break off.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Executor;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::Full;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use snipeyoke_lib::config::Change;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::http::Bounds;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::http::Handler;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::Request;
use snipeyoke_runtime::http::collect;
use snipeyoke_runtime::http::full;
use snipeyoke_runtime::http::serve;
use snipeyoke_runtime::listen::bind;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::threads::Threads;
use snipeyoke_site::Plan;
use snipeyoke_site::Site;
use snipeyoke_site::vestlandsprint;
use snipeyoke_standin::answer::Generation;

const ANSWER_MAX: usize = 1 << 20;
const MAX_TOKENS: u32 = 9;
const KIND: &str = "headline-fix";

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Makes the changes of a plan say that the kind has these stages.
fn with_stages(mut plan: Plan, stages: &Value) -> Plan {
    let change = json!({
        "change": "set-pipeline",
        "name": KIND,
        "pipeline": {"deadline_ms": 3_000, "stages": stages},
    });
    let change: Change = serde_json::from_value(change).expect("a well-formed change");
    plan.changes.push(change);
    plan
}

/// Returns the status and body of one streamed request.
fn ask(plan: &Plan, question: &str) -> (u16, String) {
    let threads = Threads::start(2).expect("threads start");
    let seen = future::block_on(async {
        let site = Site::start(plan, &threads.execs())
            .await
            .expect("the site starts");
        let scope = Scope::new(threads.execs().traffic);
        let client = Client::new(scope.clone(), Duration::from_secs(1));
        let body = json!({
            "model": KIND,
            "messages": [{"role": "user", "content": question}],
            "max_tokens": MAX_TOKENS,
            "stream": true,
        });
        let request = hyper::Request::post("/v1/chat/completions")
            .header("authorization", "Bearer key-pizzeria")
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("a well-formed request");
        let sent = client.send(site.callers()[0], request).await;
        let (response, _kept) = sent.expect("the router answers");
        let status = response.status().as_u16();
        let body = collect(response.into_body(), ANSWER_MAX).await;
        site.stop().await;
        scope.cancel().await;
        (status, body.expect("the answer is whole"))
    });
    threads.join();
    (seen.0, String::from_utf8_lossy(&seen.1).into_owned())
}

fn text(body: &str) -> String {
    let data = body.lines().filter_map(|l| l.strip_prefix("data: "));
    let values = data.filter_map(|d| serde_json::from_str::<Value>(d).ok());
    let deltas = values.map(|v| v["choices"][0]["delta"]["content"].clone());
    deltas
        .filter_map(|d| d.as_str().map(str::to_owned))
        .collect()
}

#[test]
fn only_the_last_stages_text_is_the_answer() {
    // The caller reads the draft and the polished copy as one doubled text.
    // The first generating stage ends, and its pieces were passed on as they
    // came; only those of the last stage may be.
    let stages = json!([
        {"name": "draft", "role": "generate", "pool": "copyllm"},
        {"name": "polish", "role": "generate", "pool": "copyllm"},
    ]);
    let question = "polish this";
    let (status, body) = ask(&with_stages(vestlandsprint(), &stages), question);
    assert_eq!(status, 200);
    assert_eq!(text(&body), Generation::new(question, MAX_TOKENS).text(0));
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
}

/// An engine that breaks off, and takes up again inside a chunk.
#[derive(Debug, Default)]
struct Careless {
    calls: AtomicU32,
}

impl Careless {
    fn reply(&self, path: &str) -> Reply {
        if path != "/v1/chat/completions" {
            return Reply::new(full(json!({"slots": 4, "decode_rate": 50.0}).to_string()));
        }
        let chunk = |index: u32| {
            json!({
                "token_index": index,
                "token_count": 3,
                "choices": [{"delta": {"content": "one two three "}}],
            })
        };
        // The first answer has tokens 0 to 2 and no end; each later one goes
        // on at token 1 whatever it is asked for.
        let first = self.calls.fetch_add(1, Ordering::SeqCst) == 0;
        let text = if first {
            format!("data: {}\n\n", chunk(0))
        } else {
            format!("data: {}\n\ndata: [DONE]\n\n", chunk(1))
        };
        let mut reply = Reply::new(full(text));
        *reply.status_mut() = StatusCode::OK;
        reply
    }
}

impl Handler for Careless {
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(async move { self.reply(request.uri().path()) })
    }
}

#[test]
fn a_chunk_that_repeats_tokens_in_part_is_not_passed_on() {
    // The caller reads some words of its copy twice.
    // An engine breaks off after three tokens; the one that takes over sends a
    // chunk that begins inside them. Text can't be cut between tokens, so the
    // answer ends as broken, without the mark of a whole one.
    let exec = Arc::new(Executor::new());
    let listener = bind(loopback()).expect("a free port");
    let address = listener.get_ref().local_addr().expect("an address");
    let drain = Flag::default();
    let scope = Scope::new(Arc::clone(&exec));
    let engine = Arc::new(Careless::default());
    let server = serve(listener, engine, Bounds::default(), scope, drain.clone());
    let runner = {
        let exec = Arc::clone(&exec);
        std::thread::spawn(move || future::block_on(exec.run(server)))
    };
    let mut plan = vestlandsprint();
    for pool in &mut plan.pools {
        if pool.name == "copyllm" {
            pool.outside = Some(address);
        }
    }
    let (status, body) = ask(&plan, "write");
    drain.set();
    runner.join().expect("the engine ends");
    assert_eq!(status, 200);
    assert_eq!(text(&body), "one two three ");
    assert!(body.contains(": x-snipeyoke-outcome: unknown"), "{body}");
    assert!(!body.contains("[DONE]"), "{body}");
}

//! The whole path over loopback: caller, router, agent, endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::http::collect;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::threads::Threads;
use snipeyoke_site::Site;
use snipeyoke_site::vestlandsprint;
use snipeyoke_standin::answer::Generation;
use snipeyoke_standin::answer::receipt;

const ANSWER_MAX: usize = 1 << 20;
const MAX_TOKENS: u32 = 12;

/// A caller's view of one answer.
struct Seen {
    status: u16,
    outcome: Option<String>,
    body: Bytes,
}

struct Caller {
    client: Client,
    address: SocketAddr,
}

impl Caller {
    async fn post(&self, path: &str, key: &str, body: impl Into<Bytes>) -> Seen {
        let request = hyper::Request::post(path)
            .header("authorization", format!("Bearer {key}"))
            .body(Full::new(body.into()))
            .expect("the test's request is well-formed");
        let sent = self.client.send(self.address, request).await;
        let (response, kept) = sent.expect("the router answers");
        let status = response.status().as_u16();
        let header = response.headers().get("x-snipeyoke-outcome");
        let outcome = header.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let body = collect(response.into_body(), ANSWER_MAX).await;
        self.client.recycle(kept);
        Seen {
            status,
            outcome,
            body: body.expect("the answer is whole"),
        }
    }
}

fn with_site(test: impl AsyncFnOnce(&Caller)) {
    let threads = Threads::start(2).expect("threads start");
    future::block_on(async {
        let site = Site::start(&vestlandsprint(), &threads.execs()).await;
        let site = site.expect("the site starts");
        let scope = Scope::new(threads.execs().traffic);
        let caller = Caller {
            client: Client::new(scope.clone(), Duration::from_secs(1)),
            address: site.callers()[0],
        };
        test(&caller).await;
        site.stop().await;
        scope.cancel().await;
    });
    threads.join();
}

fn chat(kind: &str, text: &str, stream: bool) -> String {
    json!({
        "model": kind,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": MAX_TOKENS,
        "stream": stream,
    })
    .to_string()
}

fn content(body: &Bytes) -> String {
    let body: Value = serde_json::from_slice(body).expect("the answer is JSON");
    let content = &body["choices"][0]["message"]["content"];
    content.as_str().expect("the answer has content").to_owned()
}

fn streamed(body: &Bytes) -> String {
    let text = String::from_utf8_lossy(body);
    let data = text.lines().filter_map(|l| l.strip_prefix("data: "));
    let chunks = data.filter(|d| *d != "[DONE]");
    let values = chunks.map(|d| serde_json::from_str::<Value>(d).expect("a chunk is JSON"));
    let deltas = values.map(|v| v["choices"][0]["delta"]["content"].clone());
    deltas
        .filter_map(|d| d.as_str().map(str::to_owned))
        .collect()
}

#[test]
fn whole_and_streamed_answers_are_complete_and_their_own() {
    with_site(async |caller| {
        for (kind, stream) in [("campaign-draft", false), ("headline-fix", true)] {
            let question = format!("question for {kind}");
            let body = chat(kind, &question, stream);
            let seen = caller
                .post("/v1/chat/completions", "key-pizzeria", body)
                .await;
            assert_eq!(seen.status, 200);
            let expected = Generation::new(&question, MAX_TOKENS).text(0);
            let text = if stream {
                streamed(&seen.body)
            } else {
                content(&seen.body)
            };
            assert_eq!(text, expected);
        }
    });
}

#[test]
fn a_plain_service_gets_the_callers_bytes_unchanged() {
    // The caller sees a receipt for another order than the one sent.
    // A body parsed and written again has other numbers: 1e2 becomes 100.0,
    // and an order number beyond 64 bits loses its last digits.
    let body = r#"{"order":123456789012345678901234567890, "sum" : 1e2}"#;
    with_site(async |caller| {
        let path = "/v1/requests/order-lookup";
        let seen = caller.post(path, "key-pizzeria", body).await;
        assert_eq!(seen.status, 200);
        assert_eq!(seen.outcome.as_deref(), Some("completed"));
        let answer: Value = serde_json::from_slice(&seen.body).expect("the answer is JSON");
        assert_eq!(answer["receipt"], receipt(body.as_bytes()));
    });
}

#[test]
fn bad_input_gets_a_clear_error_and_reaches_nothing() {
    let big = vec![b' '; (1 << 20) + 1];
    let wrong = chat("no-such-kind", "hello", false);
    let cases: [(&str, &str, Bytes, u16); 6] = [
        (
            "/v1/chat/completions",
            "key-nobody",
            Bytes::from_static(b"{}"),
            401,
        ),
        (
            "/v1/chat/completions",
            "key-pizzeria",
            Bytes::from_static(b"{\"model\""),
            400,
        ),
        (
            "/v1/chat/completions",
            "key-pizzeria",
            Bytes::from(wrong),
            404,
        ),
        (
            "/v1/chat/completions",
            "key-pizzeria",
            Bytes::from(big),
            413,
        ),
        (
            "/v1/requests/proof-approve",
            "key-pizzeria",
            Bytes::from_static(b"{}"),
            400,
        ),
        (
            "/v2/elsewhere",
            "key-pizzeria",
            Bytes::from_static(b"{}"),
            404,
        ),
    ];
    with_site(async |caller| {
        for (path, key, body, status) in cases {
            let seen = caller.post(path, key, body).await;
            assert_eq!((path, seen.status), (path, status));
            assert_eq!(seen.outcome.as_deref(), Some("not-run"));
            let error: Value = serde_json::from_slice(&seen.body).expect("the error is JSON");
            assert!(error["error"]["message"].is_string());
        }
    });
}

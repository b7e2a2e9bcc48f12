//! Tests that the checker finds every answer that is not the caller's own, whole.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_executor::Executor;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::future;
use serde_json::json;
use snipeyoke_load::drive::Caller;
use snipeyoke_load::plan::Expected;
use snipeyoke_load::plan::Planned;
use snipeyoke_load::sample::Verdict;
use snipeyoke_runtime::scope::Scope;

fn planned(stream: bool) -> Planned {
    Planned {
        serial: 0,
        at: Duration::ZERO,
        account: "a".to_owned(),
        kind: "k".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        body: bytes::Bytes::from_static(b"{}"),
        stream,
        once: false,
        deadline: Duration::from_secs(30),
        expected: Expected::Text("one two ".to_owned()),
    }
}

// Answers the first request with raw bytes, closes, and returns the verdict.
fn verdict(stream: bool, answer: &str) -> (Verdict, String) {
    let exec = Arc::new(Executor::new());
    let scope = Scope::new(Arc::clone(&exec));
    future::block_on(exec.run(async {
        let listener = async_io::Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0));
        let listener = listener.expect("a free port is found");
        let address = listener.get_ref().local_addr();
        let address = address.expect("a bound socket has an address");
        let server = async {
            let (mut conn, _) = listener.accept().await.expect("the caller connects");
            let mut head = [0; 1024];
            let read = conn.read(&mut head).await;
            assert!(read.is_ok_and(|n| n > 0));
            let written = conn.write_all(answer.as_bytes()).await;
            written.expect("the caller reads");
        };
        let caller = Caller::new(scope, &[address], Duration::ZERO);
        let planned = planned(stream);
        let ask = caller.ask(&planned, Instant::now());
        let (sample, ()) = future::zip(ask, server).await;
        (sample.verdict, sample.reason)
    }))
}

fn whole(status: &str, outcome: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "HTTP/1.1 {status}\r\nx-snipeyoke-outcome: {outcome}\r\ncontent-length: {len}\r\n\r\n{body}"
    )
}

fn content(text: &str) -> String {
    json!({"choices": [{"message": {"content": text}}]}).to_string()
}

fn events(pieces: &[&str], end: &str) -> String {
    let mut body = String::new();
    for piece in pieces {
        let event = json!({"choices": [{"delta": {"content": piece}}]});
        body += "data: ";
        body += &event.to_string();
        body += "\n\n";
    }
    whole("200 OK", "", &(body + end))
}

#[test]
fn judges_json_answers() {
    let told = |text: &str| verdict(false, &whole("200 OK", "completed", &content(text))).0;
    assert_eq!(told("one two "), Verdict::Whole);
    assert_eq!(told("one "), Verdict::Partial);
    assert_eq!(told("one two three "), Verdict::Wrong);
    assert_eq!(told("of another"), Verdict::Wrong);
}

#[test]
fn judges_streams_by_text_and_last_event() {
    let done = "data: [DONE]\n\n";
    let told = |pieces: &[&str], end: &str| verdict(true, &events(pieces, end)).0;
    assert_eq!(told(&["one ", "two "], done), Verdict::Whole);
    assert_eq!(told(&["one ", "one ", "two "], done), Verdict::Wrong);
    assert_eq!(told(&["one "], done), Verdict::Partial);
    // Without its last event nobody claimed that the answer is whole.
    assert_eq!(told(&["one "], ""), Verdict::Unknown);
    assert_eq!(told(&["two "], ""), Verdict::Wrong);
}

#[test]
fn takes_refusals_as_they_are_told() {
    let body = json!({"error": {"message": "m", "code": "overload"}}).to_string();
    let told = |status: &str, outcome: &str| verdict(false, &whole(status, outcome, &body));
    let overload = "overload".to_owned();
    let not_run = told("503 Service Unavailable", "not-run");
    assert_eq!(not_run, (Verdict::NotRun, overload.clone()));
    let unknown = told("504 Gateway Timeout", "unknown");
    assert_eq!(unknown, (Verdict::Unknown, overload.clone()));
    // Without an outcome a failure proves nothing.
    let bare = told("503 Service Unavailable", "");
    assert_eq!(bare, (Verdict::Unknown, overload.clone()));
    let rejected = told("404 Not Found", "not-run");
    assert_eq!(rejected, (Verdict::Rejected, overload));
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{";
    assert_eq!(verdict(false, cut).0, Verdict::Unknown);
}

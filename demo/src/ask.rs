//! One request of the demo and what came of it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::AUTHORIZATION;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::http::collect;
use uuid::Uuid;

/// The largest answer that the demo takes, in bytes.
const ANSWER_MAX: usize = 1 << 20;

/// The characters of an answer that are printed.
const SHOWN: usize = 120;

/// A request to send.
#[derive(Debug)]
pub(crate) struct Ask {
    key: &'static str,
    kind: &'static str,
    path: String,
    body: String,
}

impl Ask {
    pub(crate) fn chat(key: &'static str, kind: &'static str, text: &str, max: u32) -> Self {
        Self::completion(key, kind, text, max, false)
    }

    pub(crate) fn stream(key: &'static str, kind: &'static str, text: &str, max: u32) -> Self {
        Self::completion(key, kind, text, max, true)
    }

    pub(crate) fn plain(key: &'static str, kind: &'static str, body: &str) -> Self {
        Self {
            key,
            kind,
            path: format!("/v1/requests/{kind}"),
            body: body.to_owned(),
        }
    }

    fn completion(
        key: &'static str,
        kind: &'static str,
        text: &str,
        max: u32,
        stream: bool,
    ) -> Self {
        let message = serde_json::json!({"role": "user", "content": text});
        let body = serde_json::json!({
            "model": kind, "messages": [message], "max_tokens": max, "stream": stream,
        });
        Self {
            key,
            kind,
            path: "/v1/chat/completions".to_owned(),
            body: body.to_string(),
        }
    }

    /// Sends the request and prints its answer; tells whether it completed.
    pub(crate) async fn run(&self, client: &Client, caller: SocketAddr) -> bool {
        let started = Instant::now();
        let request = hyper::Request::post(&self.path)
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header("idempotency-key", Uuid::now_v7().to_string())
            .body(Full::new(Bytes::from(self.body.clone())));
        let Ok(request) = request else {
            return false;
        };
        let (response, kept) = match client.send(caller, request).await {
            Ok(answered) => answered,
            Err(error) => {
                println!("{}: {error}", self.kind);
                return false;
            }
        };
        let status = response.status();
        let outcome = response.headers().get("x-snipeyoke-outcome").cloned();
        let Ok(body) = collect(response.into_body(), ANSWER_MAX).await else {
            println!("{}: the answer broke off", self.kind);
            return false;
        };
        client.keep(kept);
        let text = String::from_utf8_lossy(&body);
        let outcome = match outcome.as_ref().and_then(|o| o.to_str().ok()) {
            Some(outcome) => outcome.to_owned(),
            None => streamed_outcome(&text),
        };
        print(
            self.kind,
            status.as_u16(),
            &outcome,
            started.elapsed(),
            &text,
        );
        outcome == "completed"
    }
}

/// Reads the outcome of a streamed answer from its comment line.
fn streamed_outcome(text: &str) -> String {
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix(": x-snipeyoke-outcome: "));
    line.unwrap_or("missing").to_owned()
}

fn print(kind: &str, status: u16, outcome: &str, took: Duration, text: &str) {
    let shown: String = text.chars().take(SHOWN).collect();
    println!(
        "{kind}: {status} {outcome} in {} ms: {}",
        took.as_millis(),
        shown.trim()
    );
}

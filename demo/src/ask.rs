//! One request of the demo and what came of it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::http::collect;
use uuid::Uuid;

/// The largest answer that the demo takes, in bytes.
const ANSWER_MAX: usize = 1 << 20;

/// The tries of one request.
///
/// Agents look for each other for some seconds before they own key slots;
/// until then a request that may run only once is refused as not run.
const TRIES: u32 = 15;

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

    /// Sends the request until it is run and prints its answer.
    ///
    /// A refusal "not run" is safe to repeat with the same key, after the time
    /// that it names. Returns whether the request completed.
    pub(crate) async fn run(&self, client: &Client, caller: SocketAddr) -> bool {
        let key = Uuid::now_v7();
        for _try in 0..TRIES {
            let Some(seen) = self.once(client, caller, key).await else {
                return false;
            };
            seen.print(self.kind);
            match seen.retry {
                Some(retry) if seen.outcome == "not-run" => {
                    Timer::after(retry).await;
                }
                _ => return seen.outcome == "completed",
            }
        }
        false
    }

    async fn once(&self, client: &Client, caller: SocketAddr, key: Uuid) -> Option<Seen> {
        let started = Instant::now();
        let request = hyper::Request::post(&self.path)
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header("idempotency-key", key.to_string())
            .body(Full::new(Bytes::from(self.body.clone())));
        let (response, kept) = match client.send(caller, request.ok()?).await {
            Ok(answered) => answered,
            Err(error) => {
                println!("{}: {error}", self.kind);
                return None;
            }
        };
        let status = response.status().as_u16();
        let outcome = text_of(response.headers(), "x-snipeyoke-outcome");
        let retry = text_of(response.headers(), "retry-after");
        let Ok(body) = collect(response.into_body(), ANSWER_MAX).await else {
            println!("{}: the answer broke off", self.kind);
            return None;
        };
        client.recycle(kept);
        let text = String::from_utf8_lossy(&body).into_owned();
        Some(Seen {
            status,
            outcome: outcome.unwrap_or_else(|| streamed_outcome(&text)),
            retry: retry.and_then(|s| s.parse().ok()).map(Duration::from_secs),
            took: started.elapsed(),
            text,
        })
    }
}

/// An answer as its caller sees it.
#[derive(Debug)]
struct Seen {
    status: u16,
    outcome: String,
    retry: Option<Duration>,
    took: Duration,
    text: String,
}

impl Seen {
    fn print(&self, kind: &str) {
        let Self {
            status, outcome, ..
        } = self;
        let shown: String = self.text.chars().take(SHOWN).collect();
        let took = self.took.as_millis();
        println!("{kind}: {status} {outcome} in {took} ms: {}", shown.trim());
    }
}

fn text_of(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Reads the outcome of a streamed answer from its comment line.
fn streamed_outcome(text: &str) -> String {
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix(": x-snipeyoke-outcome: "));
    line.unwrap_or("missing").to_owned()
}

//! One caller's request: sent, read to its end and checked.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use serde_json::Value;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::http::Response;
use snipeyoke_runtime::scope::Scope;
use uuid::Uuid;

use crate::plan::Expected;
use crate::plan::Planned;
use crate::plan::key_of;
use crate::sample::Sample;
use crate::sample::Verdict;

/// How long beyond its deadline an answer is waited for.
const PATIENCE: Duration = Duration::from_secs(10);

/// The longest time to connect.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Sends requests to the routers in turn, as the platform's balancer does.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    routers: Arc<[SocketAddr]>,
    distance: Duration,
}

/// What was read of an answer.
struct Read {
    status: u16,
    outcome: String,
    request: String,
    first: Instant,
    body: Option<Bytes>,
}

impl Caller {
    /// Builds a caller that is `distance` away from the routers, one way.
    ///
    /// # Panics
    ///
    /// Panics if there is no router.
    #[must_use]
    pub fn new(scope: Scope, routers: &[SocketAddr], distance: Duration) -> Self {
        assert!(!routers.is_empty(), "a caller needs a router");
        Self {
            client: Client::new(scope, CONNECT_LIMIT),
            routers: routers.into(),
            distance,
        }
    }

    /// Returns the client, for other calls.
    #[must_use]
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Sends one request and checks its answer.
    pub async fn ask(&self, planned: &Planned, start: Instant) -> Sample {
        let key = planned.once.then(Uuid::now_v7).map(|k| k.to_string());
        let turn = usize::try_from(planned.serial).unwrap_or_default() % self.routers.len();
        let address = self.routers[turn];
        if !self.distance.is_zero() {
            Timer::after(self.distance).await;
        }
        let intended = start + planned.at;
        let read = async { self.exchange(address, planned, key.as_deref()).await };
        let late = async {
            Timer::at(intended + planned.deadline + PATIENCE).await;
            None
        };
        let read = read.or(late).await;
        let ended = Instant::now() + self.distance;
        let mut sample = Sample {
            serial: planned.serial,
            at_us: micros(planned.at),
            account: planned.account.clone(),
            kind: planned.kind.clone(),
            status: 0,
            verdict: Verdict::Unknown,
            reason: "no-answer".to_owned(),
            latency_us: micros(ended.saturating_duration_since(intended)),
            first_us: 0,
            deadline_us: micros(planned.deadline),
            key,
            request: String::new(),
        };
        if let Some(read) = read {
            let first = read.first + self.distance;
            sample.first_us = micros(first.saturating_duration_since(intended));
            sample.status = read.status;
            (sample.verdict, sample.reason) = judge(planned, &read);
            sample.request = read.request;
        }
        sample
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        planned: &Planned,
        key: Option<&str>,
    ) -> Option<Read> {
        let mut request = Request::post(&planned.path)
            .header(CONTENT_TYPE, "application/json")
            .header(
                AUTHORIZATION,
                format!("Bearer {}", key_of(&planned.account)),
            );
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new(planned.body.clone())).ok()?;
        let (response, kept) = self.client.send(address, request).await.ok()?;
        let read = read(response).await;
        if read.body.is_some() {
            self.client.recycle(kept);
        }
        Some(read)
    }
}

async fn read(response: Response) -> Read {
    let header = |name| {
        let value = response.headers().get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    };
    let outcome = header("x-snipeyoke-outcome").to_owned();
    let request = header("x-snipeyoke-request-id").to_owned();
    let status = response.status().as_u16();
    let mut body = response.into_body();
    let mut first = None;
    let mut bytes = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            whole = false;
            break;
        };
        first.get_or_insert_with(Instant::now);
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
    }
    Read {
        status,
        outcome,
        request,
        first: first.unwrap_or_else(Instant::now),
        body: whole.then(|| Bytes::from(bytes)),
    }
}

fn judge(planned: &Planned, read: &Read) -> (Verdict, String) {
    let Some(body) = &read.body else {
        return (Verdict::Unknown, "cut-off".to_owned());
    };
    if !(200..300).contains(&read.status) {
        return refused(read, body);
    }
    let (found, ended) = if planned.stream {
        match streamed(body) {
            Ok(found) => found,
            Err(reason) => return reason,
        }
    } else {
        (plain(&planned.expected, body), true)
    };
    let (Expected::Text(expected) | Expected::Receipt(expected)) = &planned.expected;
    if ended && found.as_deref() == Some(expected) {
        return (Verdict::Whole, String::new());
    }
    match found {
        Some(part) if expected.starts_with(&part) && ended => (Verdict::Partial, String::new()),
        Some(part) if expected.starts_with(&part) => (Verdict::Unknown, "cut-off".to_owned()),
        _ => (Verdict::Wrong, String::new()),
    }
}

fn refused(read: &Read, body: &Bytes) -> (Verdict, String) {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let code = value["error"]["code"].as_str();
    let message = value["error"]["message"].as_str().unwrap_or_default();
    let reason = code.unwrap_or(message).to_owned();
    let verdict = match (read.outcome.as_str(), read.status) {
        (_, 400 | 401 | 404 | 405 | 413) => Verdict::Rejected,
        ("not-run", _) => Verdict::NotRun,
        _ => Verdict::Unknown,
    };
    (verdict, reason)
}

fn plain(expected: &Expected, body: &Bytes) -> Option<String> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let found = match expected {
        Expected::Text(_) => &value["choices"][0]["message"]["content"],
        Expected::Receipt(_) => &value["receipt"],
    };
    found.as_str().map(str::to_owned)
}

// Returns the text so far and whether the stream said that it was whole.
fn streamed(body: &Bytes) -> Result<(Option<String>, bool), (Verdict, String)> {
    let text = String::from_utf8_lossy(body);
    let mut found = String::new();
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return Ok((Some(found), true));
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(error) = value.get("error") {
            let code = error["code"].as_str().or(error["message"].as_str());
            let reason = code.unwrap_or_default().to_owned();
            return Err((Verdict::Unknown, reason));
        }
        let delta = value["choices"][0]["delta"]["content"].as_str();
        found.push_str(delta.unwrap_or_default());
    }
    Ok((Some(found), false))
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

//! A stand-in on loopback and a client for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use serde_json::Value;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_standin::PlainSettings;
use snipeyoke_standin::Running;
use snipeyoke_standin::Settings;
use snipeyoke_standin::Standin;

/// An answer; `whole` tells whether its body came to its end.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub whole: bool,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }
}

/// One stand-in under test.
#[derive(Debug)]
pub struct Bench {
    pub address: SocketAddr,
    client: Client,
    running: Running,
}

impl Bench {
    fn start(exec: &Arc<Executor<'static>>, settings: Settings) -> Self {
        let running = Standin::start(exec, settings).expect("a free port is found");
        Self {
            address: running.address(),
            client: Client::new(Scope::new(Arc::clone(exec)), Duration::from_secs(5)),
            running,
        }
    }

    /// Sends a call; nothing comes back when the connection ends without an answer.
    pub async fn call(&self, method: Method, path: &str, body: &[u8]) -> Option<Answer> {
        let request = Request::builder().method(method).uri(path);
        let request = request.header("idempotency-key", "k1");
        let request = request.header("user-agent", "snipeyoke-router/r1");
        let request = request.body(Full::new(Bytes::copy_from_slice(body)));
        let request = request.expect("the test's request is well-formed");
        let (response, _kept) = self.client.send(self.address, request).await.ok()?;
        let (head, mut rest) = response.into_parts();
        let mut body = Vec::new();
        let mut whole = true;
        while let Some(frame) = rest.frame().await {
            match frame {
                Ok(frame) => body.extend(frame.data_ref().into_iter().flatten()),
                Err(_cut) => {
                    whole = false;
                    break;
                }
            }
        }
        Some(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body: Bytes::from(body),
            whole,
        })
    }

    pub async fn post(&self, path: &str, value: &Value) -> Option<Answer> {
        let body = value.to_string();
        self.call(Method::POST, path, body.as_bytes()).await
    }

    pub async fn get(&self, path: &str) -> Option<Answer> {
        self.call(Method::GET, path, b"").await
    }

    pub async fn fault(&self, fault: &Value) {
        let told = self.post("/fault", fault).await;
        assert_eq!(told.expect("faults are always taken").status, 200);
    }
}

/// Runs a test against a stand-in.
pub fn with(settings: Settings, test: impl AsyncFnOnce(&Bench)) {
    let second = PlainSettings::default();
    with_two(settings, Settings::Plain(second), async |first, _| {
        test(first).await;
    });
}

/// Runs a test against two stand-ins.
pub fn with_two(first: Settings, second: Settings, test: impl AsyncFnOnce(&Bench, &Bench)) {
    let exec = Arc::new(Executor::new());
    future::block_on(exec.run(async {
        let first = Bench::start(&exec, first);
        let second = Bench::start(&exec, second);
        test(&first, &second).await;
        first.running.stop().await;
        second.running.stop().await;
    }));
}

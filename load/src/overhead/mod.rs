//! What the system itself adds to a request.

mod cpu;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use serde_json::json;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::http::collect;
use snipeyoke_runtime::scope::Scope;

use crate::cell::Latency;
use crate::drive::Caller;
use crate::experiment::TrialError;
use crate::plan::Plan;
use crate::plan::Planned;
use crate::sample::Verdict;
use crate::scene::Bed;
use crate::scene::Deployment;
use crate::scene::Options;

/// The largest answer of an endpoint, in bytes.
const ANSWER_MAX: usize = 1 << 20;

/// Requests sent before counting begins.
const WARM_UP: usize = 200;

/// The stages of the chain measured.
const STAGES: f64 = 4.0;

/// How much to measure.
#[derive(Debug, Clone, Copy)]
pub struct Asked {
    /// Requests of each kind sent one after the other.
    pub requests: u64,
    /// Requests in flight while the rate is measured.
    pub flight: usize,
    /// How long the rate is measured.
    pub length: Duration,
    /// Threads for stand-ins, and as many for agents.
    pub threads: usize,
}

/// What was measured; latencies in milliseconds.
#[derive(Debug, Clone, PartialEq)]
#[derive(Display)]
#[display(
    "one stage (plain call), one at a time:\n  direct p50 {:.3} p99 {:.3} ms; through router and \
     agent p50 {:.3} p99 {:.3} ms; added p50 {:.3} p99 {:.3} ms\n\
     four stages, one at a time:\n  direct p50 {:.3} p99 {:.3} ms; through router and agents p50 \
     {:.3} p99 {:.3} ms; added for each stage p50 {:.3} p99 {:.3} ms\n\
     one router traffic thread, plain calls: {rate:.0} requests/s; busiest threads {busiest}\n\
     not whole: {broken}",
    call.direct.p50, call.direct.p99, call.through.p50, call.through.p99,
    call.added(1.0, |l| l.p50), call.added(1.0, |l| l.p99),
    chain.direct.p50, chain.direct.p99, chain.through.p50, chain.through.p99,
    chain.added(STAGES, |l| l.p50), chain.added(STAGES, |l| l.p99),
)]
pub struct Overhead {
    call: Pair,
    chain: Pair,
    rate: f64,
    busiest: String,
    broken: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Pair {
    direct: Latency,
    through: Latency,
}

impl Pair {
    fn added(&self, stages: f64, read: fn(&Latency) -> f64) -> f64 {
        (read(&self.through) - read(&self.direct)) / stages
    }
}

impl Overhead {
    /// Tells whether every answer was whole.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        self.broken == 0
    }
}

struct Lab<'a> {
    bed: &'a Bed,
    caller: Caller,
    client: Client,
    planned: Vec<Planned>,
    broken: AtomicU64,
}

/// Measures a deployment whose endpoints take next to no time.
///
/// # Errors
///
/// Returns [`TrialError`] if the deployment does not start.
pub async fn measure(
    deployment: &Deployment,
    asked: &Asked,
    scope: &Scope,
) -> Result<Overhead, TrialError> {
    let options = Options {
        policy: "predicted".to_owned(),
        seed: 1,
        threads: asked.threads,
    };
    let bed = Bed::start(deployment, &options, scope).await?;
    let count = usize::try_from(asked.requests).unwrap_or(usize::MAX);
    let plan = Plan::new(deployment.mixture().clone(), 1_000.0, Vec::new(), 1);
    let lab = Lab {
        bed: &bed,
        caller: Caller::new(scope.clone(), &bed.routers(), Duration::ZERO),
        client: Client::new(scope.clone(), Duration::from_secs(1)),
        planned: plan.take(count.saturating_mul(2) + WARM_UP).collect(),
        broken: AtomicU64::new(0),
    };
    let call = lab.pair("call", count).await;
    let chain = lab.pair("chain", count).await;
    let (rate, busiest) = lab.rate(asked, scope).await;
    let broken = lab.broken.load(Ordering::Relaxed);
    bed.stop().await;
    Ok(Overhead {
        call,
        chain,
        rate,
        busiest,
        broken,
    })
}

impl Lab<'_> {
    async fn pair(&self, kind: &str, count: usize) -> Pair {
        let of = self.planned.iter().filter(|p| p.kind == kind).take(count);
        let of: Vec<&Planned> = of.collect();
        for planned in of.iter().take(WARM_UP) {
            self.ask(planned).await;
            self.direct(planned).await;
        }
        let mut through = Vec::new();
        let mut direct = Vec::new();
        // In turn, so that what else the host does hits both alike.
        for planned in of {
            let started = Instant::now();
            self.ask(planned).await;
            through.push(started.elapsed());
            let started = Instant::now();
            self.direct(planned).await;
            direct.push(started.elapsed());
        }
        Pair {
            direct: latency(&direct),
            through: latency(&through),
        }
    }

    async fn ask(&self, planned: &Planned) {
        let mut planned = planned.clone();
        planned.at = Duration::ZERO;
        let sample = self.caller.ask(&planned, Instant::now()).await;
        if sample.verdict != Verdict::Whole {
            self.broken.fetch_add(1, Ordering::Relaxed);
            log::warn!(verdict:% = sample.verdict, reason = sample.reason.as_str(); "not-whole");
        }
    }

    // Makes the same calls to the endpoints themselves.
    async fn direct(&self, planned: &Planned) {
        if planned.kind == "call" {
            self.post("services", "/call", &planned.body).await;
            return;
        }
        let body: Value = serde_json::from_slice(&planned.body).unwrap_or_default();
        let query = &body["messages"][1]["content"];
        let encode = json!({"model": "m", "input": query});
        let encoded = self.json("encoders", "/v1/embeddings", &encode).await;
        let retrieve = json!({"embedding": encoded["data"][0]["embedding"], "k": 8});
        let found = self.json("retrievers", "/v1/retrieve", &retrieve).await;
        let rerank = json!({"query": query, "documents": found["documents"], "top_n": 4});
        self.json("rerankers", "/v1/rerank", &rerank).await;
        let mut generate = body.clone();
        generate["stream"] = true.into();
        self.json("generators", "/v1/chat/completions", &generate)
            .await;
    }

    async fn json(&self, pool: &str, path: &str, body: &Value) -> Value {
        let answer = self.post(pool, path, &Bytes::from(body.to_string())).await;
        serde_json::from_slice(&answer).unwrap_or_default()
    }

    async fn post(&self, pool: &str, path: &str, body: &Bytes) -> Bytes {
        let Some(address) = self.endpoint(pool) else {
            return Bytes::new();
        };
        let request = Request::post(path).body(Full::new(body.clone()));
        let Ok(request) = request else {
            return Bytes::new();
        };
        let Ok((response, kept)) = self.client.send(address, request).await else {
            return Bytes::new();
        };
        let Ok(body) = collect(response.into_body(), ANSWER_MAX).await else {
            return Bytes::new();
        };
        self.client.recycle(kept);
        body
    }

    fn endpoint(&self, pool: &str) -> Option<SocketAddr> {
        let seats = self.bed.seats().iter();
        let mut of = seats.filter(|s| s.pool.as_str() == pool);
        of.next().map(|s| s.endpoint)
    }

    // Keeps a number of requests in flight and returns those finished a second.
    async fn rate(&self, asked: &Asked, scope: &Scope) -> (f64, String) {
        let calls = self.planned.iter().filter(|p| p.kind == "call");
        let calls: Arc<[Planned]> = calls.cloned().collect();
        let done = Arc::new(AtomicU64::new(0));
        let broken = Arc::new(AtomicU64::new(0));
        let before = cpu::threads();
        let start = Instant::now();
        let end = start + asked.length;
        let workers = (0..asked.flight).map(|worker| {
            let (caller, calls) = (self.caller.clone(), Arc::clone(&calls));
            let (done, broken) = (Arc::clone(&done), Arc::clone(&broken));
            let (ended, wait) = async_channel::bounded::<()>(1);
            scope.spawn(async move {
                let mut next = worker;
                while Instant::now() < end {
                    let mut planned = calls[next % calls.len()].clone();
                    planned.at = Duration::ZERO;
                    next += 1;
                    let sample = caller.ask(&planned, Instant::now()).await;
                    let count = if sample.verdict == Verdict::Whole {
                        &done
                    } else {
                        &broken
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                }
                drop(ended);
            });
            async move { wait.recv().await.is_ok() }
        });
        join_all(workers).await;
        let took = start.elapsed();
        let busiest = cpu::busiest(&before, &cpu::threads(), took);
        self.broken
            .fetch_add(broken.load(Ordering::Relaxed), Ordering::Relaxed);
        let rate = done.load(Ordering::Relaxed) as f64 / took.as_secs_f64();
        (rate, busiest)
    }
}

fn latency(times: &[Duration]) -> Latency {
    let micros = times.iter().map(Duration::as_micros);
    Latency::of(micros.map(|m| u64::try_from(m).unwrap_or(u64::MAX)))
}

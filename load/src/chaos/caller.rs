//! Callers of a non-idempotent pipeline, who repeat their keys.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::http::collect;
use uuid::Uuid;

/// The bearer key of the only client account.
pub const BEARER: &str = "chaos-key";

/// The longest time that a caller waits: half a second beyond the deadline.
const PATIENCE: Duration = Duration::from_millis(2_500);

/// The tries of a caller while faults go on.
const TRIES: usize = 6;

/// The tries of a caller once all is well again.
const LAST_TRIES: usize = 4;

/// What a caller saw of one try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// The answer.
    Completed(Bytes),
    /// It was told that the try did not run, or could not send it.
    NotRun,
    /// It was told that it may have run.
    Unknown,
    /// The connection broke, or no answer came in time.
    Nothing,
}

/// One key with its tries.
#[derive(Debug, Clone)]
pub struct Operation {
    /// The key.
    pub key: String,
    /// What was seen, try by try.
    pub tries: Vec<Seen>,
}

impl Operation {
    fn is_completed(&self) -> bool {
        self.tries.iter().any(|t| matches!(t, Seen::Completed(_)))
    }
}

/// All callers and what they saw.
#[derive(Debug)]
pub struct Callers {
    client: Client,
    doors: Vec<SocketAddr>,
    done: Mutex<Vec<Operation>>,
}

impl Callers {
    /// Builds callers that know all routers.
    #[must_use]
    pub fn new(client: Client, doors: Vec<SocketAddr>) -> Self {
        Self {
            client,
            doors,
            done: Mutex::default(),
        }
    }

    /// Takes all operations that ended.
    #[must_use]
    pub fn take(&self) -> Vec<Operation> {
        let mut done = self.done.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut done)
    }

    /// Issues a key and repeats it until it is answered.
    pub async fn operate(self: Arc<Self>, seed: u64) {
        let mut rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        let mut operation = Operation {
            key: Uuid::now_v7().to_string(),
            tries: Vec::new(),
        };
        // Some callers ask again although they have the answer, as a browser
        // does that is reloaded.
        let extra = rng.random_ratio(1, 5);
        for _try in 0..TRIES {
            let completed = operation.is_completed();
            self.try_once(&mut operation, &mut rng).await;
            if completed || (operation.is_completed() && !extra) {
                break;
            }
            let pause = rng.random_range(20..900);
            Timer::after(Duration::from_millis(pause)).await;
        }
        let mut done = self.done.lock().unwrap_or_else(PoisonError::into_inner);
        done.push(operation);
    }

    /// Repeats an operation that has no answer, once all is well again.
    pub async fn conclude(&self, operation: &mut Operation, seed: u64) {
        let mut rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        for _try in 0..LAST_TRIES {
            let told = operation.tries.last();
            if operation.is_completed() || told == Some(&Seen::Unknown) {
                return;
            }
            self.try_once(operation, &mut rng).await;
            Timer::after(Duration::from_millis(100)).await;
        }
    }

    async fn try_once(&self, operation: &mut Operation, rng: &mut Pcg64Mcg) {
        let door = self.doors[rng.random_range(0..self.doors.len())];
        let late = async {
            Timer::after(PATIENCE).await;
            Seen::Nothing
        };
        let seen = self.exchange(door, &operation.key).or(late).await;
        operation.tries.push(seen);
    }

    async fn exchange(&self, door: SocketAddr, key: &str) -> Seen {
        let body = format!("{{\"proof\":\"{key}\"}}");
        let request = Request::post("/v1/requests/approve")
            .header(AUTHORIZATION, format!("Bearer {BEARER}"))
            .header("idempotency-key", key)
            .body(Full::new(Bytes::from(body)));
        let Ok(request) = request else {
            return Seen::NotRun;
        };
        let (response, kept) = match self.client.send(door, request).await {
            Ok(answered) => answered,
            Err(error) if error.is_not_sent() => return Seen::NotRun,
            Err(_broken) => return Seen::Nothing,
        };
        let outcome = response.headers().get("x-snipeyoke-outcome");
        let outcome = outcome.and_then(|v| v.to_str().ok()).unwrap_or_default();
        let outcome = outcome.to_owned();
        let Ok(body) = collect(response.into_body(), 1 << 20).await else {
            return Seen::Nothing;
        };
        self.client.recycle(kept);
        match outcome.as_str() {
            "completed" => Seen::Completed(body),
            "not-run" => Seen::NotRun,
            _ => Seen::Unknown,
        }
    }
}

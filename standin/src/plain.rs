//! A plain service that counts its effects by idempotency key.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use serde_json::json;

use crate::answer::receipt;
use crate::fault::Fate;
use crate::fault::Faults;
use crate::http::Answer;
use crate::http::Call;
use crate::http::Cut;
use crate::http::Service;
use crate::http::json_answer;
use crate::http::no_path;
use crate::http::not_run;
use crate::http::refusal;
use crate::settings::PlainSettings;
use crate::slots::Effect;
use crate::slots::Slots;
use crate::sync::lock;

/// A plain service: order desk, invoicing, notice publisher and the like.
///
/// It does not de-duplicate: a key that comes twice has its effect twice, and
/// `GET /effects` shows it.
#[derive(Debug)]
pub struct Plain {
    settings: PlainSettings,
    faults: Faults,
    slots: Slots,
    rng: Mutex<Pcg64Mcg>,
    effects: Arc<Mutex<Effects>>,
}

#[derive(Debug, Default)]
struct Effects {
    keyed: BTreeMap<String, u64>,
    unkeyed: u64,
}

impl Plain {
    /// Builds the service.
    #[must_use]
    pub fn new(settings: PlainSettings) -> Self {
        Self {
            faults: Faults::new(settings.seed),
            slots: Slots::new(settings.slots, settings.queue),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(settings.seed)),
            effects: Arc::default(),
            settings,
        }
    }

    fn cost(&self) -> Duration {
        let draw: f64 = lock(&self.rng).random();
        let tail = -(1.0 - draw).ln();
        let spread = self.settings.spread.clamp(0.0, 1.0);
        let factor = (1.0 - spread) + spread * tail;
        Duration::from_secs_f64(self.settings.service_ms * factor / 1_000.0)
    }

    fn effect(&self, key: &str) -> Effect {
        let effects = Arc::clone(&self.effects);
        let key = key.to_owned();
        Box::new(move || {
            let mut effects = lock(&effects);
            if key.is_empty() {
                effects.unkeyed += 1;
            } else {
                *effects.keyed.entry(key).or_default() += 1;
            }
        })
    }

    fn load(&self) -> Value {
        let rate = 1_000.0 / self.settings.service_ms;
        json!({
            "seq": self.slots.finished(), "slots": self.slots.count(),
            "active": self.slots.active(), "queued": self.slots.queued(),
            "pending_tokens": 0, "prefill_rate": 0.0, "decode_rate": rate,
            "kv_used": 0, "kv_total": 0, "models": [], "age_ms": 0,
        })
    }

    async fn run(&self, call: &Call, fate: Fate) -> Answer {
        if let Err(malformed) = call.json::<Value>() {
            return Ok(*malformed);
        }
        let key = call.header("idempotency-key");
        // Once taken, the work is done whether or not the caller waits for it.
        let Some(wait) = self.slots.submit(self.cost(), true, self.effect(key)) else {
            return Ok(not_run(StatusCode::TOO_MANY_REQUESTS, "the queue is full"));
        };
        let Ok(timing) = wait.recv().await else {
            return Err(Cut);
        };
        if matches!(fate, Fate::Lose | Fate::Die) {
            return Err(Cut);
        }
        let work = u64::try_from(timing.work.as_micros()).unwrap_or(u64::MAX);
        let mut answer = json_answer(&json!({
            "path": call.path, "key": key, "receipt": receipt(&call.body),
        }));
        answer
            .headers_mut()
            .insert("x-work-us", HeaderValue::from(work));
        Ok(answer)
    }
}

impl Service for Plain {
    fn handle(self: Arc<Self>, call: Call, fate: Fate) -> Boxed<Answer> {
        async move {
            match (&call.method, call.path.as_str()) {
                (&Method::GET, "/health") => Ok(json_answer(&json!({"status": "ok"}))),
                (&Method::GET, "/load") => Ok(json_answer(&self.load())),
                (&Method::POST, _) => self.run(&call, fate).await,
                (&Method::GET, _) => Ok(no_path(&call)),
                _ => Ok(refusal(StatusCode::METHOD_NOT_ALLOWED, "use POST")),
            }
        }
        .boxed()
    }

    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn effects(&self) -> Value {
        let effects = lock(&self.effects);
        json!({
            "effects": effects.keyed, "unkeyed": effects.unkeyed,
            "completed": self.slots.finished(), "busy_us": self.slots.busy_us(),
            "times_us": self.slots.times().counts(),
        })
    }

    fn forget(&self) {
        // What was done stays done: only the queue is lost.
        self.slots.forget();
    }

    fn tasks(self: Arc<Self>) -> Vec<Boxed<()>> {
        Slots::workers(&self, |plain| (&plain.slots, &plain.faults))
    }
}

//! A model engine; encoders, retrievers and rerankers are the same program.

pub mod batch;
pub mod cache;
mod calls;
mod chat;
mod orders;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use hyper::Method;
use serde_json::Value;
use serde_json::json;

use crate::fault::Fate;
use crate::fault::Faults;
use crate::http::Answer;
use crate::http::Call;
use crate::http::Service;
use crate::http::json_answer;
use crate::http::no_path;
use crate::settings::EngineSettings;
use crate::slots::Slots;
use crate::sync::lock;

use self::batch::Batch;
use self::batch::Level;
use self::cache::Cache;
use self::orders::Orders;

/// How often a waiting reader of cache events looks again.
const EVENT_POLL: Duration = Duration::from_millis(10);

/// The longest wait for cache events, in milliseconds.
const WAIT_MAX_MS: u64 = 30_000;

/// How far the simulated steps may trail the clock before they give up catching up.
const TRAIL_MAX: Duration = Duration::from_millis(20);

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    faults: Faults,
    slots: Slots,
    work: Mutex<Work>,
    orders: Mutex<Orders>,
    reports: Mutex<Reports>,
    // Wakes the step loop when a generation comes in.
    wake: (Sender<()>, Receiver<()>),
}

#[derive(Debug)]
struct Work {
    batch: Batch,
    cache: Cache,
}

#[derive(Debug, Default)]
struct Reports {
    seq: u64,
    past: VecDeque<(Instant, Report)>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    seq: u64,
    level: Level,
    busy: usize,
    queued: usize,
    blocks: usize,
}

impl Engine {
    /// Builds an idle engine.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        let lag = Duration::from_millis(settings.event_lag_ms);
        Self {
            faults: Faults::new(settings.seed),
            slots: Slots::new(settings.slots, settings.queue),
            work: Mutex::new(Work {
                batch: Batch::new(settings.clone()),
                cache: Cache::new(
                    settings.cache_blocks,
                    lag,
                    settings.event_loss,
                    settings.seed,
                ),
            }),
            orders: Mutex::new(Orders::new(&settings)),
            reports: Mutex::default(),
            wake: async_channel::bounded(1),
            settings,
        }
    }

    async fn steps(&self) {
        let mut ended = Instant::now();
        loop {
            let now = Instant::now();
            let step = {
                let mut work = lock(&self.work);
                let Work { batch, cache } = &mut *work;
                batch.begin(cache, now)
            };
            let Some(step) = step else {
                let _never_closed = self.wake.1.recv().await;
                ended = Instant::now();
                continue;
            };
            let step = self.faults.scale(step);
            // Timers fire a little late; counting from the last planned end
            // keeps the engine's speed that of its settings.
            let base = if now - ended > TRAIL_MAX { now } else { ended };
            ended = base + step;
            Timer::at(ended).await;
            while self.faults.get().stall {
                Timer::after(EVENT_POLL).await;
            }
            let mut work = lock(&self.work);
            let Work { batch, cache } = &mut *work;
            batch.end(cache, step, Instant::now());
        }
    }

    async fn report(&self) {
        let every = Duration::from_millis(self.settings.load_every_ms.max(1));
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        loop {
            let (level, blocks) = {
                let work = lock(&self.work);
                (work.batch.level(), work.cache.held())
            };
            let now = Instant::now();
            {
                let mut reports = lock(&self.reports);
                reports.seq += 1;
                let report = Report {
                    seq: reports.seq,
                    level,
                    busy: self.slots.active(),
                    queued: self.slots.queued(),
                    blocks,
                };
                reports.past.push_back((now, report));
                // Keeps one report that is old enough to be told.
                while reports.past.get(1).is_some_and(|(at, _)| *at + lag <= now) {
                    reports.past.pop_front();
                }
            }
            Timer::after(every).await;
        }
    }

    fn load(&self) -> Value {
        let now = Instant::now();
        let Some((at, report)) = lock(&self.reports).past.front().copied() else {
            return json!({"seq": 0, "slots": self.settings.batch, "age_ms": 0});
        };
        let settings = &self.settings;
        let level = report.level;
        let decoding = level.active.max(1) as f64;
        let step_us = settings.step_us + decoding * settings.decode_us;
        let step_us = if level.active == 0 {
            step_us
        } else {
            step_us.max(level.pace)
        };
        let chunk = f64::from(settings.chunk);
        let read_us = settings.step_us + chunk * settings.prefill_us;
        let blocks = report.blocks * snipeyoke_lib::prefix::BLOCK_TOKENS;
        let cache = settings.cache_blocks * snipeyoke_lib::prefix::BLOCK_TOKENS;
        let age = u64::try_from((now - at).as_millis()).unwrap_or(u64::MAX);
        // The rates are those of planned steps: a straggling engine does not
        // know that it straggles.
        json!({
            "seq": report.seq,
            "slots": settings.batch,
            "active": level.active + report.busy,
            "queued": level.queued + report.queued,
            "pending_tokens": level.pending,
            "prefill_rate": chunk * 1e6 / read_us,
            "decode_rate": 1e6 / step_us,
            "kv_used": level.memory as usize + blocks,
            "kv_total": settings.kv_tokens as usize + cache,
            "models": lock(&self.orders).models(),
            "age_ms": age,
        })
    }

    async fn events(&self, call: &Call) -> Answer {
        let since = call.number("since", 0);
        let wait_ms = call.number("wait_ms", 0).min(WAIT_MAX_MS);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let now = Instant::now();
            let page = lock(&self.work).cache.page(since, now);
            if !page.is_empty() || now >= deadline {
                return Ok(json_answer(&page));
            }
            Timer::after(EVENT_POLL).await;
        }
    }

    async fn route(self: Arc<Self>, call: Call, fate: Fate) -> Answer {
        let parts: Vec<&str> = call.path.split('/').skip(1).collect();
        match (&call.method, parts.as_slice()) {
            (&Method::POST, ["v1", "chat", "completions"]) => self.chat(&call, fate).await,
            (&Method::POST, ["v1", "embeddings"]) => self.embed(&call, fate).await,
            (&Method::POST, ["v1", "retrieve"]) => self.retrieve(&call, fate).await,
            (&Method::POST, ["v1", "rerank"]) => self.rerank(&call, fate).await,
            (&Method::DELETE, ["v1", "runs", request]) => Ok(self.cancel(request)),
            (&Method::GET, ["load"]) => Ok(json_answer(&self.load())),
            (&Method::GET, ["cache", "events"]) => self.events(&call).await,
            (&Method::POST, ["orders"]) => Ok(self.order(&call).await),
            (&Method::POST, ["kv", "export"]) => Ok(self.export(&call)),
            (&Method::POST, ["kv", "import"]) => Ok(self.import(&call)),
            (&Method::GET, ["health"]) => Ok(json_answer(&json!({"status": "ok"}))),
            _ => Ok(no_path(&call)),
        }
    }
}

impl Service for Engine {
    fn handle(self: Arc<Self>, call: Call, fate: Fate) -> Boxed<Answer> {
        self.route(call, fate).boxed()
    }

    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn effects(&self) -> Value {
        let mut times = self.slots.times();
        let totals = {
            let work = lock(&self.work);
            times.merge(work.batch.times());
            work.batch.totals()
        };
        let steps_us = u64::try_from(totals.busy.as_micros()).unwrap_or(u64::MAX);
        json!({
            "completed": totals.completed + self.slots.finished(),
            "cancelled": totals.cancelled,
            "prompt_tokens": totals.prompt,
            "cached_tokens": totals.cached,
            "output_tokens": totals.output,
            "busy_us": steps_us + self.slots.busy_us(),
            "times_us": times.counts(),
            "orders": lock(&self.orders).taken(),
        })
    }

    fn forget(&self) {
        let mut work = lock(&self.work);
        work.batch.forget();
        work.cache.forget();
        self.slots.forget();
    }

    fn tasks(self: Arc<Self>) -> Vec<Boxed<()>> {
        let mut tasks = Slots::workers(&self, |engine| (&engine.slots, &engine.faults));
        let steps = Arc::clone(&self);
        tasks.push(async move { steps.steps().await }.boxed());
        tasks.push(async move { self.report().await }.boxed());
        tasks
    }
}

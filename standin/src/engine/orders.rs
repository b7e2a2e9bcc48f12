//! Orders with fencing numbers, and caches moved between engines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use hyper::Response;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::http::Body;
use crate::http::Call;
use crate::http::json_answer;
use crate::http::json_status;
use crate::http::refusal;
use crate::settings::EngineSettings;
use crate::sync::lock;

use super::Engine;

/// The orders kept for `GET /effects`.
const ORDERS_KEPT: usize = 1_000;

/// One order, as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    fence: u64,
    verb: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    version: String,
    #[serde(default)]
    adapter: String,
    #[serde(default)]
    role: String,
}

/// A run's cache, as it travels between engines.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Moved {
    request_id: String,
    tokens: u32,
    blocks: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Export {
    request_id: String,
}

/// What orders have made of an engine.
#[derive(Debug)]
pub struct Orders {
    check: bool,
    any: bool,
    highest: u64,
    role: String,
    models: BTreeSet<String>,
    taken: Vec<Order>,
    imported: BTreeMap<String, u32>,
}

impl Orders {
    /// Builds the state before any order.
    pub fn new(settings: &EngineSettings) -> Self {
        Self {
            check: settings.check_fence,
            any: settings.models.is_empty(),
            highest: 0,
            role: String::new(),
            models: settings.models.iter().cloned().collect(),
            taken: Vec::new(),
            imported: BTreeMap::new(),
        }
    }

    /// Returns the models loaded.
    pub const fn models(&self) -> &BTreeSet<String> {
        &self.models
    }

    /// Returns the orders taken, in order.
    pub fn taken(&self) -> &[Order] {
        &self.taken
    }

    /// Tells whether a model can be asked.
    pub fn serves(&self, model: &str) -> bool {
        self.any || self.models.contains(model)
    }

    /// Returns and forgets how many answer tokens of a run came with its cache.
    pub fn imported(&mut self, request: &str) -> u32 {
        self.imported.remove(request).unwrap_or_default()
    }

    fn fenced(&mut self, fence: u64) -> Result<(), u64> {
        if self.check && fence < self.highest {
            return Err(self.highest);
        }
        self.highest = self.highest.max(fence);
        Ok(())
    }

    fn apply(&mut self, order: Order) {
        match order.verb.as_str() {
            "load" => {
                self.models.insert(order.model.clone());
            }
            "unload" => {
                self.models.remove(&order.model);
            }
            "role" => self.role.clone_from(&order.role),
            _ => {}
        }
        if self.taken.len() < ORDERS_KEPT {
            self.taken.push(order);
        }
    }
}

impl Engine {
    /// Takes an order, or refuses one with an old number where that is set.
    pub(super) async fn order(&self, call: &Call) -> Response<Body> {
        let order = match call.json::<Order>() {
            Ok(order) => order,
            Err(malformed) => return *malformed,
        };
        let known = ["load", "unload", "role", "drain", "resume"];
        if !known.contains(&order.verb.as_str()) {
            let message = format!("no verb {:?}: use one of {known:?}", order.verb);
            return refusal(StatusCode::BAD_REQUEST, &message);
        }
        if let Err(highest) = lock(&self.orders).fenced(order.fence) {
            return json_status(StatusCode::CONFLICT, &json!({"highest": highest}));
        }
        if order.verb == "load" {
            let time = Duration::from_millis(self.settings.load_model_ms);
            Timer::after(self.faults.scale(time)).await;
        }
        lock(&self.orders).apply(order);
        json_answer(&json!({"accepted": true}))
    }

    /// Gives the cache of a running generation, and ends it here.
    pub(super) fn export(&self, call: &Call) -> Response<Body> {
        let export = match call.json::<Export>() {
            Ok(export) => export,
            Err(malformed) => return *malformed,
        };
        let mut work = lock(&self.work);
        let Some((tokens, blocks)) = work.batch.find(&export.request_id) else {
            return refusal(
                StatusCode::NOT_FOUND,
                "no such run: it has ended or never was",
            );
        };
        let moved = Moved {
            tokens,
            blocks: blocks.iter().map(|b| format!("{b:016x}")).collect(),
            request_id: export.request_id,
        };
        work.batch.cancel(&moved.request_id);
        json_answer(&moved)
    }

    /// Takes the cache of a run that resumes here.
    pub(super) fn import(&self, call: &Call) -> Response<Body> {
        let moved = match call.json::<Moved>() {
            Ok(moved) => moved,
            Err(malformed) => return *malformed,
        };
        let parsed = moved.blocks.iter().map(|b| u64::from_str_radix(b, 16));
        let Ok(blocks) = parsed.collect::<Result<Vec<u64>, _>>() else {
            let message = "a block is malformed: give each as hexadecimal digits";
            return refusal(StatusCode::BAD_REQUEST, message);
        };
        lock(&self.work).cache.add(&blocks, Instant::now());
        let tokens = moved.tokens;
        lock(&self.orders).imported.insert(moved.request_id, tokens);
        json_answer(&json!({"tokens": tokens}))
    }
}

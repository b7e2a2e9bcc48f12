//! The weight store, limited in fetches and bandwidth.

use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
use hyper::Response;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;

use crate::http::Body;
use crate::http::Call;
use crate::http::json_answer;
use crate::http::not_run;
use crate::settings::PlatformSettings;
use crate::sync::lock;

use super::bucket::Bucket;

/// Holds any model, and sends it at a limited rate.
#[derive(Debug)]
pub struct Weights {
    bytes: u64,
    transfer: Duration,
    bucket: Mutex<Bucket>,
}

impl Weights {
    /// Builds the store.
    pub fn new(settings: &PlatformSettings) -> Self {
        let bytes = settings.model_bytes;
        Self {
            bytes,
            transfer: Duration::from_secs_f64(bytes as f64 / settings.bandwidth),
            bucket: Mutex::new(Bucket::new(settings.fetches)),
        }
    }

    /// Answers after the time of a transfer.
    pub async fn fetch(&self, call: &Call) -> Response<Body> {
        if let Err(malformed) = call.json::<Value>() {
            return *malformed;
        }
        if !lock(&self.bucket).take() {
            return not_run(
                StatusCode::TOO_MANY_REQUESTS,
                "over the rate: fetch again later",
            );
        }
        Timer::after(self.transfer).await;
        json_answer(&json!({"bytes": self.bytes}))
    }
}

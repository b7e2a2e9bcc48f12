//! The host list, which lags.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hyper::Response;
use serde_json::Value;
use serde_json::json;

use crate::http::Body;
use crate::http::Call;
use crate::http::json_answer;
use crate::settings::PlatformSettings;
use crate::sync::lock;

/// Lists of hosts, each visible a while after it was set.
#[derive(Debug)]
pub struct Hosts {
    lag: Duration,
    lists: Mutex<VecDeque<(Instant, Value)>>,
}

impl Hosts {
    /// Builds an empty list.
    pub fn new(settings: &PlatformSettings) -> Self {
        let empty = (Instant::now(), json!({"hosts": []}));
        Self {
            lag: Duration::from_millis(settings.hosts_lag_ms),
            lists: Mutex::new(VecDeque::from([empty])),
        }
    }

    /// Answers with the newest list that is visible.
    pub fn get(&self) -> Response<Body> {
        let now = Instant::now();
        let mut lists = lock(&self.lists);
        while lists.get(1).is_some_and(|(visible, _)| *visible <= now) {
            lists.pop_front();
        }
        let list = lists.front().map(|(_, list)| list);
        json_answer(&list)
    }

    /// Sets the list, as the hand of a test; the first one is visible at once.
    pub fn set(&self, call: &Call) -> Response<Body> {
        let list = match call.json::<Value>() {
            Ok(list) => list,
            Err(malformed) => return *malformed,
        };
        let mut lists = lock(&self.lists);
        let first = lists.len() == 1 && lists[0].1["hosts"] == json!([]);
        let lag = if first { Duration::ZERO } else { self.lag };
        lists.push_back((Instant::now() + lag, list));
        json_answer(&json!({}))
    }
}

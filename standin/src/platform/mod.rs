//! The platform: log service, host list and weight store.

mod bucket;
mod hosts;
mod log;
mod weights;

use std::sync::Arc;

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
use crate::settings::PlatformSettings;

use self::hosts::Hosts;
use self::log::Log;
use self::weights::Weights;

/// The platform that the deployments run on.
#[derive(Debug)]
pub struct Platform {
    faults: Faults,
    log: Log,
    hosts: Hosts,
    weights: Weights,
}

impl Platform {
    /// Builds an empty platform.
    #[must_use]
    pub fn new(settings: PlatformSettings) -> Self {
        Self {
            faults: Faults::new(settings.seed),
            hosts: Hosts::new(&settings),
            weights: Weights::new(&settings),
            log: Log::new(settings),
        }
    }

    async fn route(&self, call: &Call, fate: Fate) -> Answer {
        let parts: Vec<&str> = call.path.split('/').skip(1).collect();
        match (&call.method, parts.as_slice()) {
            (&Method::POST, ["log", topic, "append"]) => self.log.append(topic, call, fate).await,
            (&Method::GET, ["log", topic, "read"]) => self.log.read(topic, call, fate).await,
            (&Method::GET, ["hosts"]) => Ok(self.hosts.get()),
            (&Method::POST, ["hosts"]) => Ok(self.hosts.set(call)),
            (&Method::POST, ["weights", "fetch"]) => Ok(self.weights.fetch(call).await),
            (&Method::GET, ["health"]) => Ok(json_answer(&json!({"status": "ok"}))),
            _ => Ok(no_path(call)),
        }
    }
}

impl Service for Platform {
    fn handle(self: Arc<Self>, call: Call, fate: Fate) -> Boxed<Answer> {
        async move { self.route(&call, fate).await }.boxed()
    }

    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn effects(&self) -> Value {
        json!({"appends": self.log.appends(), "topics": self.log.ends()})
    }

    fn forget(&self) {
        // The platform keeps what it has taken, whatever dies.
    }

    fn tasks(self: Arc<Self>) -> Vec<Boxed<()>> {
        Vec::new()
    }
}

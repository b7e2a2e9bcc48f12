//! Rates that endpoints name: what this node learns of them, tells other nodes
//! and reports.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::rate_limit::NamedRate;
use snipeyoke_lib::serving::rate_limit::NewsSource;
use snipeyoke_lib::serving::rate_limit::RateChange;
use snipeyoke_lib::serving::rate_limit::RateLimit;
use snipeyoke_lib::serving::rate_limit::RateNotice;
use snipeyoke_lib::time::Time;
use snipeyoke_wire::EndpointRate;

use crate::shared::Shared;

/// The maximum number of rates in one frame.
const RATES_MAX: usize = 64;

impl Shared {
    /// Handles what the response to a request that was sent at `sent` says about
    /// the rate of its endpoint.
    pub(crate) fn on_rate_notice(&self, endpoint: &EndpointId, sent: Time, notice: RateNotice) {
        if let RateNotice::Malformed(_) = notice {
            metrics::counter!("snipeyoke_malformed_rates_total").increment(1);
        }
        let now = self.now();
        let change = self
            .directory()
            .on_rate_notice(now, endpoint, (sent, notice));
        self.report_rate(endpoint, change);
    }

    /// Handles rates that another node knows.
    pub(crate) fn on_rate_news(&self, rates: &[EndpointRate], source: SocketAddr) {
        for frame in rates {
            let rate = NamedRate::try_from(frame.rate);
            let (Ok(endpoint), Ok(rate)) = (frame.endpoint.parse(), rate) else {
                log::warn!(event = "frame-unexpected", peer = source.to_string().as_str(), remedy = "run the same release on all nodes"; "");
                continue;
            };
            let age = Duration::from_millis(frame.age_ms);
            let now = self.now();
            let news = (&endpoint, rate, age);
            let change = self.directory().on_rate_news(now, news, source);
            self.report_rate(&endpoint, change);
        }
    }

    /// Returns the rates that endpoints named recently.
    pub(crate) fn recent_rates(&self) -> Vec<EndpointRate> {
        let now = self.now();
        let directory = self.directory();
        let rates = directory.recent_rates(now).take(RATES_MAX);
        rates
            .map(|(id, rate, age)| rate_frame(id, rate, age))
            .collect()
    }

    /// Returns the rates of the endpoints of a service.
    pub(crate) fn rates_of(&self, service: &PoolName) -> Vec<EndpointRate> {
        let now = self.now();
        let directory = self.directory();
        let of_service = directory.limits();
        let of_service = of_service.filter(|(e, _)| e.entry().service == *service);
        let rates = of_service.map(|(e, limit)| {
            let age = now.since(limit.named_at);
            rate_frame(&e.entry().id, limit.rate, age)
        });
        rates.take(RATES_MAX).collect()
    }

    /// Returns the rate of an endpoint, if it names one.
    pub(crate) fn rate_of(&self, endpoint: &EndpointId) -> Option<EndpointRate> {
        let now = self.now();
        let directory = self.directory();
        let limit = directory.get(endpoint)?.rate_limit()?;
        Some(rate_frame(endpoint, limit.rate, now.since(limit.named_at)))
    }

    /// Returns whether an endpoint names a rate.
    pub(crate) fn is_limited(&self, endpoint: &EndpointId) -> bool {
        let directory = self.directory();
        directory
            .get(endpoint)
            .is_some_and(|e| e.rate_limit().is_some())
    }

    /// Records that a request did not go to an endpoint because of its rate.
    pub(crate) fn record_held_back(&self, endpoint: &EndpointId) {
        let mut directory = self.directory();
        directory.record_held_back(endpoint);
        if let Some(endpoint) = directory.get(endpoint) {
            let service = endpoint.entry().service.to_string();
            metrics::counter!("snipeyoke_held_back_total", "service" => service).increment(1);
        }
    }

    /// Updates the metrics of the rates that are in force.
    pub(crate) fn report_rates(&self) {
        let directory = self.directory();
        let services = directory.limits().map(|(e, _)| e.entry().service.clone());
        let services: BTreeSet<PoolName> = services.collect();
        drop(directory);
        for service in &services {
            self.report_rates_of(service);
        }
    }

    /// Updates the metrics of the rates of a service's endpoints.
    fn report_rates_of(&self, service: &PoolName) {
        let now = self.now();
        let directory = self.directory();
        let limits = directory.limits();
        let limits = limits.filter(|(e, _)| e.entry().service == *service);
        let limits: Vec<&RateLimit> = limits.map(|(_, limit)| limit).collect();
        let rate: f64 = limits.iter().map(|l| l.rate.per_second()).sum();
        let ages = limits.iter().map(|l| now.since(l.named_at));
        let oldest = ages.max().unwrap_or_default();
        let is_heard = |l: &&&RateLimit| l.source == NewsSource::Response;
        let heard = limits.iter().filter(is_heard).count();
        let gauge = |source, count| {
            let labels = [("service", service.to_string()), ("source", source)];
            metrics::gauge!("snipeyoke_limited_endpoints", &labels).set(count as f64);
        };
        gauge("response".to_owned(), heard);
        gauge("node".to_owned(), limits.len() - heard);
        let name = || service.to_string();
        metrics::gauge!("snipeyoke_limited_rate", "service" => name()).set(rate);
        metrics::gauge!("snipeyoke_limited_age_seconds", "service" => name())
            .set(oldest.as_secs_f64());
    }

    pub(crate) fn report_rate(&self, endpoint: &EndpointId, change: Option<RateChange>) {
        let Some(change) = change else {
            return;
        };
        let name = endpoint.to_string();
        let now = self.now();
        match change {
            RateChange::Named { limit, previous } => {
                log::info!(
                    event = "endpoint-rate-named",
                    endpoint = name.as_str(),
                    rate = limit.rate.per_second(),
                    previous = previous.map_or("none".to_owned(), |r| r.to_string()).as_str(),
                    age_ms = now.since(limit.named_at).as_millis() as u64,
                    source = limit.source.to_string().as_str(),
                    held_back = limit.held_back;
                    ""
                );
            }
            RateChange::Ended(limit) => {
                log::info!(
                    event = "endpoint-rate-ended",
                    endpoint = name.as_str(),
                    rate = limit.rate.per_second(),
                    age_ms = now.since(limit.named_at).as_millis() as u64,
                    source = limit.source.to_string().as_str(),
                    held_back = limit.held_back;
                    ""
                );
            }
            RateChange::Refused(error) => {
                log::warn!(event = "endpoint-rate-malformed", endpoint = name.as_str(), error = error.to_string().as_str(); "");
                return;
            }
        }
        let service = self
            .directory()
            .get(endpoint)
            .map(|e| e.entry().service.clone());
        if let Some(service) = service {
            self.report_rates_of(&service);
        }
        // The work queues keep the rates of their endpoints.
        self.dispatcher.endpoints_changed();
    }
}

fn rate_frame(endpoint: &EndpointId, rate: NamedRate, age: Duration) -> EndpointRate {
    EndpointRate {
        endpoint: endpoint.to_string(),
        rate: rate.per_second(),
        age_ms: age.as_millis() as u64,
    }
}

//! What endpoints say of themselves in their responses: what this node learns of it,
//! tells other nodes and reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::directory::Endpoint;
use snipeyoke_lib::serving::directory::Entry;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_lib::serving::endpoint_speed::ContentionNotice;
use snipeyoke_lib::serving::rate_limit::NEWS_LIFETIME;
use snipeyoke_lib::serving::rate_limit::RateNotice;
use snipeyoke_lib::serving::self_report::ReportChange;
use snipeyoke_lib::serving::self_report::SelfReport;
use snipeyoke_lib::time::Time;
use snipeyoke_wire::EndpointLeave;

use crate::dialect::ResponseHead;
use crate::dialect::Verdict;
use crate::shared::Shared;

/// The maximum number of leaves in one frame.
///
/// Frames with them go to all nodes; those who leave later are told of a second
/// later.
const LEAVES_MAX: usize = 32;

impl Shared {
    /// Handles what the response to a request that was sent at `sent` says of its
    /// endpoint; `rate` is what it shows of the rate.
    pub(crate) fn on_response(
        &self,
        entry: &Entry,
        sent: Time,
        head: &ResponseHead,
        rate: Option<RateNotice>,
    ) {
        if let Some(RateNotice::Malformed(_)) = rate {
            metrics::counter!("snipeyoke_malformed_rates_total").increment(1);
        }
        if head.verdict != Verdict::WrongEndpoint {
            let report = SelfReport {
                rate,
                ..head.report
            };
            self.on_self_report(entry, sent, &report);
            return;
        }
        // The response is that of the endpoint which has this address now.
        let instance = head.instance.as_ref();
        let directory = self.directory();
        let found = instance.and_then(|id| directory.get(id));
        let found = found.map(Endpoint::entry);
        let found = found.filter(|e| e.address == entry.address).cloned();
        drop(directory);
        if let Some(other) = found {
            let report = SelfReport {
                load: None,
                contention: ContentionNotice::None,
                rate: None,
                ..head.report
            };
            self.on_self_report(&other, sent, &report);
        }
    }

    fn on_self_report(&self, entry: &Entry, sent: Time, report: &SelfReport) {
        let now = self.now();
        let changes = self.directory().on_report(now, entry, (sent, report));
        for change in changes {
            self.report_change(&entry.id, Some(&entry.service), change);
        }
    }

    /// Handles the news of another node that endpoints leave.
    pub(crate) fn on_leave_news(&self, leaves: &[EndpointLeave], source: SocketAddr) {
        for frame in leaves {
            let Ok(endpoint) = frame.endpoint.parse::<EndpointId>() else {
                log::warn!(event = "frame-unexpected", peer = source.to_string().as_str(), remedy = "run the same release on all nodes"; "");
                continue;
            };
            let run = Incarnation {
                endpoint,
                started_at: frame.started_at,
            };
            let age = Duration::from_millis(frame.age_ms);
            let now = self.now();
            let change = self.directory().on_leave_news(now, (&run, age), source);
            if let Some(change) = change {
                self.report_change(&run.endpoint, None, change);
            }
        }
    }

    /// Returns the endpoints that said recently that they leave.
    pub(crate) fn recent_leaves(&self) -> Vec<EndpointLeave> {
        let now = self.now();
        let directory = self.directory();
        let recent = directory.leaves();
        let recent = recent.filter(|(_, leave)| now.since(leave.said_at) < NEWS_LIFETIME);
        let frames = recent.map(|(endpoint, leave)| EndpointLeave {
            endpoint: endpoint.entry().id.to_string(),
            started_at: endpoint.entry().started_at,
            age_ms: now.since(leave.said_at).as_millis() as u64,
        });
        frames.take(LEAVES_MAX).collect()
    }

    /// Updates the metrics of the endpoints that rest or leave.
    pub(crate) fn report_absences(&self) {
        let now = self.now();
        let mut counts: BTreeMap<PoolName, (u32, u32)> = BTreeMap::new();
        for endpoint in self.directory().iter() {
            let service = endpoint.entry().service.clone();
            let (resting, leaving) = counts.entry(service).or_default();
            *resting += u32::from(endpoint.is_resting(now));
            *leaving += u32::from(endpoint.leave().is_some());
        }
        for (service, (resting, leaving)) in counts {
            let name = service.to_string();
            metrics::gauge!("snipeyoke_resting_endpoints", "service" => name.clone())
                .set(f64::from(resting));
            metrics::gauge!("snipeyoke_leaving_endpoints", "service" => name)
                .set(f64::from(leaving));
        }
    }

    fn report_change(
        &self,
        endpoint: &EndpointId,
        service: Option<&PoolName>,
        change: ReportChange,
    ) {
        let name = endpoint.to_string();
        let name = name.as_str();
        let now = self.now();
        let service = service.map_or("-".to_owned(), ToString::to_string);
        match change {
            ReportChange::Rate(change) => {
                self.report_rate(endpoint, Some(change));
                return;
            }
            ReportChange::Rests { rest, until } => {
                log::info!(event = "endpoint-rests", endpoint = name, service = service.as_str(), asked_s = rest.to_string().as_str(), left_ms = until.since(now).as_millis() as u64; "");
                metrics::counter!("snipeyoke_rests_total", "service" => service).increment(1);
            }
            ReportChange::Leaves(leave) => {
                log::info!(event = "endpoint-leaves", endpoint = name, service = service.as_str(), source = leave.source.to_string().as_str(), age_ms = now.since(leave.said_at).as_millis() as u64; "");
            }
            ReportChange::RestRefused(error) => {
                log::warn!(event = "endpoint-rest-malformed", endpoint = name, error = error.to_string().as_str(); "");
                return;
            }
            ReportChange::ContentionRefused(error) => {
                log::warn!(event = "endpoint-contention-malformed", endpoint = name, error = error.to_string().as_str(); "");
                return;
            }
            ReportChange::LeaveRefused(error) => {
                log::warn!(event = "endpoint-leave-malformed", endpoint = name, error = error.to_string().as_str(); "");
                return;
            }
        }
        // The work queues keep what endpoints say of themselves.
        self.dispatcher.endpoints_changed();
        self.endpoints_changed.notify(usize::MAX);
    }
}

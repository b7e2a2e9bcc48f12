//! Requests under which endpoints end.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::crashes::Verdict;
use snipeyoke_lib::serving::crashes::VerdictOutcome;
use snipeyoke_lib::serving::directory::Endpoint;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_lib::serving::endpoint_loss::LossAction;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::link;
use snipeyoke_wire::EndpointEnd;
use snipeyoke_wire::Quarantine;
use snipeyoke_wire::frame::Body;

use super::convert;
use super::messages::Message;
use super::run::State;

/// The longest time to connect to an endpoint whose connection broke.
const LOOK_LIMIT: Duration = Duration::from_millis(400);

/// The pause before the second look at an endpoint that accepts connections.
///
/// A process that dies closes its connections in any order with its listener.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// How long a report is told again to nodes that count from now on.
const REPORTED: Duration = Duration::from_secs(5);

/// The most reports that are kept for this.
const REPORTS_MAX: usize = 256;

/// The latest verdicts that a node is told once a link to it is up.
const LATEST: usize = 16;

/// The end of an endpoint under a request, as it was told.
#[derive(Debug, Clone)]
pub(super) struct Report {
    at: Time,
    request: Fingerprint,
    run: Incarnation,
}

impl State {
    pub(super) fn broke(&mut self, run: Incarnation, address: SocketAddr, request: Fingerprint) {
        let now = self.shared.now();
        match self.ends.on_connection_lost(now, &run, request) {
            LossAction::Probe => {
                let look = look(run, address, self.inbox.clone());
                self.scope.spawn(look);
            }
            LossAction::Ended => self.ended_under(now, &run, request),
            LossAction::AwaitProbe | LossAction::Alive => {}
        }
    }

    pub(super) fn refused(&mut self, run: Incarnation, address: SocketAddr) {
        let now = self.shared.now();
        if self.ends.on_connection_refused(now, &run) {
            let look = look(run, address, self.inbox.clone());
            self.scope.spawn(look);
        }
    }

    pub(super) fn looked(&mut self, run: &Incarnation, ended: bool) {
        let now = self.shared.now();
        let leaves = ended && self.leaves(run);
        let requests = self.ends.on_probe_result(now, run, ended && !leaves);
        if leaves {
            log::info!(event = "endpoint-left", endpoint = run.to_string().as_str(); "");
        } else if !ended {
            log::info!(event = "endpoint-lives", endpoint = run.to_string().as_str(); "");
        }
        for (at, request) in requests {
            self.ended_under(at, run, request);
        }
    }

    /// Tells whether an endpoint has announced its end.
    fn leaves(&self, run: &Incarnation) -> bool {
        let directory = self.shared.directory();
        let entry = directory.get(&run.endpoint).map(Endpoint::entry);
        entry.is_some_and(|e| e.started_at == run.started_at && e.draining)
    }

    /// Counts an end, and tells the nodes that count for the request.
    fn ended_under(&mut self, at: Time, run: &Incarnation, request: Fingerprint) {
        metrics::counter!("snipeyoke_crash_strikes_total").increment(1);
        log::warn!(event = "endpoint-ended", endpoint = run.to_string().as_str(), fingerprint = request.to_string().as_str(); "");
        let run = run.clone();
        let report = Report { at, request, run };
        self.count_end(&report);
        self.report(&report, |_| true);
        if self.reports.len() >= REPORTS_MAX {
            self.reports.pop_front();
        }
        self.reports.push_back(report);
    }

    fn report(&mut self, report: &Report, to: impl Fn(&SocketAddr) -> bool) {
        let now = self.shared.now();
        let own = self.shared.settings.listen.peers;
        let counters = self.shared.owners().crash_counters(now, report.request);
        for node in counters.into_iter().filter(|n| *n != own && to(n)) {
            let age = now.since(report.at);
            let frame = convert::end_of_endpoint_frame(report.request, &report.run, age);
            // Without a link yet, it goes out once it is there.
            self.send(node, Body::EndpointEnd(frame));
        }
    }

    /// Tells a node what could not be sent before the link was up.
    pub(super) fn report_connected(&mut self, peer: SocketAddr) {
        for report in self.recent() {
            self.report(&report, |node| *node == peer);
        }
        let now = self.shared.now();
        let crashes = self.shared.crashes();
        let verdicts = crashes.latest(now, LATEST);
        drop(crashes);
        for verdict in verdicts {
            self.send(peer, Body::Quarantine(convert::quarantine_frame(&verdict)));
        }
    }

    /// Tells the nodes that count now, after one that may have counted is lost.
    pub(super) fn report_again(&mut self) {
        for report in self.recent() {
            self.report(&report, |_| true);
        }
    }

    fn recent(&mut self) -> Vec<Report> {
        let now = self.shared.now();
        self.reports.retain(|r| now.since(r.at) < REPORTED);
        self.reports.iter().cloned().collect()
    }

    /// Takes in that an endpoint ended under another node's request.
    pub(super) fn asked_end(&mut self, frame: &EndpointEnd) {
        let Some((request, run, age)) = convert::end_of_endpoint(frame) else {
            log::warn!(event = "endpoint-end-unreadable", remedy = "run the same release on all nodes"; "");
            return;
        };
        let at = self.shared.now() - age;
        self.count_end(&Report { at, request, run });
    }

    fn count_end(&mut self, report: &Report) {
        let Report { at, request, run } = report;
        let request = *request;
        let now = self.shared.now();
        let mut crashes = self.shared.crashes();
        let mut ends: Vec<String> = crashes
            .lost_endpoints(request)
            .map(ToString::to_string)
            .collect();
        let verdict = crashes.on_reported_end(now, *at, request, run);
        drop(crashes);
        let Some(verdict) = verdict else {
            return;
        };
        ends.push(run.to_string());
        metrics::counter!("snipeyoke_quarantines_total").increment(1);
        log::warn!(event = "request-quarantined", fingerprint = request.to_string().as_str(), endpoints = ends.join(",").as_str(), span_ms = verdict.first_end_age.as_millis() as u64, left_ms = verdict.remaining.as_millis() as u64; "");
        self.tell_all(verdict);
        self.end_jobs(request);
    }

    fn end_jobs(&mut self, request: Fingerprint) {
        for owned in self.queues.values_mut() {
            owned.queue.fail_request(request);
        }
    }

    /// Takes in a verdict of another node.
    pub(super) fn told_verdict(&mut self, frame: &Quarantine) {
        let Some(verdict) = convert::verdict_of(frame) else {
            log::warn!(event = "quarantine-unreadable", remedy = "run the same release on all nodes"; "");
            return;
        };
        let now = self.shared.now();
        let learned = self.shared.crashes().apply_verdict(now, verdict);
        match learned {
            VerdictOutcome::Known => {}
            VerdictOutcome::New => {
                log_learned(&verdict);
                if !verdict.remaining.is_zero() {
                    self.end_jobs(verdict.request);
                }
            }
            VerdictOutcome::Overruled(lifted) => self.tell_all(lifted),
        }
    }

    /// Tells all nodes what this one has found of a request.
    pub(super) fn tell_all(&mut self, verdict: Verdict) {
        if verdict.remaining.is_zero() {
            log::info!(event = "quarantine-lifted", fingerprint = verdict.request.to_string().as_str(), why = "answered"; "");
        }
        let now = self.shared.now();
        let nodes: Vec<SocketAddr> = self.shared.owners().live(now).map(|(a, _)| a).collect();
        let frame = convert::quarantine_frame(&verdict);
        for node in nodes {
            let linked = self.peers.get(&node).is_some_and(|p| p.sender.is_some());
            let caller = self.callers.values().find(|c| c.node == Some(node));
            match caller {
                Some(caller) if !linked => {
                    let _full = caller.sender.send(Body::Quarantine(frame.clone()));
                }
                _ => self.send(node, Body::Quarantine(frame.clone())),
            }
        }
    }
}

fn log_learned(verdict: &Verdict) {
    let fingerprint = verdict.request.to_string();
    if verdict.remaining.is_zero() {
        log::info!(event = "quarantine-lifted", fingerprint = fingerprint.as_str(), why = "told"; "");
        return;
    }
    log::info!(event = "quarantine-learned", fingerprint = fingerprint.as_str(), left_ms = verdict.remaining.as_millis() as u64; "");
}

/// Tells whether an endpoint whose connection broke has ended.
///
/// Its host refuses connections then. One that does not answer may be cut off,
/// which no request is the cause of.
async fn look(run: Incarnation, address: SocketAddr, inbox: Sender<Message>) {
    let mut ended = is_refused(address).await;
    if !ended {
        Timer::after(LOOK_PAUSE).await;
        ended = is_refused(address).await;
    }
    let _closed = inbox.try_send(Message::Looked { run, ended });
}

async fn is_refused(address: SocketAddr) -> bool {
    let connected = link::connect(address, LOOK_LIMIT).await;
    connected.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused)
}

//! Detection of requests, and parts of prompts, that crash endpoints.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use prost::Message as _;
use snipeyoke_lib::serving::crashes::Casualty;
use snipeyoke_lib::serving::crashes::Clearance;
use snipeyoke_lib::serving::crashes::EndReport;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::crashes::Suspect;
use snipeyoke_lib::serving::crashes::Verdict;
use snipeyoke_lib::serving::crashes::VerdictOutcome;
use snipeyoke_lib::serving::directory::Endpoint;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_lib::serving::endpoint_loss::LossAction;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::clock::Clock;
use snipeyoke_runtime::link;
use snipeyoke_wire::EndpointEnd;
use snipeyoke_wire::Quarantine;
use snipeyoke_wire::QuarantineRecord;
use snipeyoke_wire::SuspectAsk;
use snipeyoke_wire::SuspectsCleared;
use snipeyoke_wire::frame::Body;

use super::convert;
use super::messages::Message;
use super::run::State;

/// The connect time-out of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// The pause before the second probe of an endpoint that still accepts
/// connections.
///
/// A dying process closes its connections and its listener in any order.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// How long a report is resent to nodes that start to count crashes.
const REPORT_RESEND_PERIOD: Duration = Duration::from_secs(5);

/// The most reports that are kept for resending.
const REPORTS_MAX: usize = 256;

/// The interval at which a node sees whether it is one of those that count.
///
/// This ranks all nodes, which takes tens of microseconds for hundreds of them.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The same interval while there is something to decide.
const ACTIVE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The number of latest verdicts that the registry holds.
const VERDICTS_RECORDED: usize = 64;

/// The shortest interval between two records of the quarantines.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// The number of latest verdicts sent to a node when a link to it comes up.
const VERDICTS_ON_CONNECT: usize = 16;

/// The ends of endpoints that this node reported recently.
#[derive(Debug, Default)]
pub(super) struct CrashReports {
    recent: VecDeque<EndReport>,
    /// The nodes that counted when the reports were last sent.
    counters: Vec<SocketAddr>,
    /// The last change to a verdict that the registry holds, and whether a record is in flight.
    recorded_change: u64,
    recording: bool,
    /// Whether the registry may have lost the record in flight.
    is_write_lost: bool,
    record_from: Time,
    /// When to see next who counts, and what follows.
    next_check: Time,
}

impl CrashReports {
    /// Records that the registry may have lost the quarantines.
    pub(super) const fn mark_unrecorded(&mut self) {
        self.recorded_change = 0;
        self.is_write_lost = self.recording;
    }

    pub(super) const fn on_recorded(&mut self, change: u64, recorded: bool) {
        self.recording = false;
        let is_lost = std::mem::replace(&mut self.is_write_lost, false);
        if recorded && !is_lost {
            self.recorded_change = change;
        }
    }
}

impl State {
    pub(super) fn handle_connection_broke(
        &mut self,
        incarnation: Incarnation,
        address: SocketAddr,
        request: Casualty,
    ) {
        let now = self.shared.now();
        match self
            .endpoint_loss
            .on_connection_lost(now, &incarnation, request.clone())
        {
            LossAction::Probe => {
                let probe = probe(incarnation, address, self.inbox.clone());
                self.scope.spawn(probe);
            }
            LossAction::Ended => self.record_crash(now, incarnation, vec![request]),
            LossAction::AwaitProbe | LossAction::Alive => {}
        }
    }

    pub(super) fn handle_connection_refused(
        &mut self,
        incarnation: Incarnation,
        address: SocketAddr,
    ) {
        let now = self.shared.now();
        if self.endpoint_loss.on_connection_refused(now, &incarnation) {
            let probe = probe(incarnation, address, self.inbox.clone());
            self.scope.spawn(probe);
        }
    }

    pub(super) fn handle_probe(&mut self, incarnation: &Incarnation, ended: bool) {
        let now = self.shared.now();
        if ended {
            self.announce_end(incarnation);
        }
        let leaving = ended && self.is_leaving(incarnation);
        let requests = self
            .endpoint_loss
            .on_probe_result(now, incarnation, ended && !leaving);
        if leaving {
            log::info!(event = "endpoint-left", endpoint = incarnation.to_string().as_str(); "");
        } else if !ended {
            log::info!(event = "endpoint-lives", endpoint = incarnation.to_string().as_str(); "");
        }
        let at = requests.iter().map(|(at, _)| *at).min();
        if let Some(at) = at {
            let requests = requests.into_iter().map(|(_, request)| request);
            self.record_crash(at, incarnation.clone(), requests.collect());
        }
    }

    /// Records the end of an endpoint, also at the node that books its shard.
    ///
    /// Callers of the streams that it had come back at any node, and each of them
    /// asks that node.
    fn announce_end(&mut self, incarnation: &Incarnation) {
        let now = self.shared.now();
        let mut directory = self.shared.directory();
        directory.mark_ended(now, incarnation);
        let entry = directory.get(&incarnation.endpoint).map(Endpoint::entry);
        let Some(service) = entry.map(|e| e.service.clone()) else {
            return;
        };
        let shard = directory.shard_of(&service, &incarnation.endpoint);
        drop(directory);
        let booker = self.shared.owners().booking_owner(now, &service, shard);
        if booker != self.shared.settings.listen.peers {
            let report = EndReport {
                at: now,
                incarnation: incarnation.clone(),
                casualties: Vec::new(),
            };
            let frame = convert::endpoint_end_frame(now, &report);
            self.send(booker, Body::EndpointEnd(frame));
        }
    }

    /// Returns whether an endpoint has announced that it is leaving.
    fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        let directory = self.shared.directory();
        let endpoint = directory.get(&incarnation.endpoint);
        let endpoint = endpoint.filter(|e| e.entry().started_at == incarnation.started_at);
        endpoint.is_some_and(Endpoint::is_leaving)
    }

    /// Reports the end of an endpoint to the nodes that count.
    fn record_crash(&mut self, at: Time, incarnation: Incarnation, casualties: Vec<Casualty>) {
        for casualty in &casualties {
            metrics::counter!("snipeyoke_crash_strikes_total").increment(1);
            let parts: Vec<String> = casualty.parts.iter().map(ToString::to_string).collect();
            log::warn!(event = "endpoint-ended", endpoint = incarnation.to_string().as_str(), fingerprint = casualty.request.to_string().as_str(), parts = parts.join(",").as_str(), sent_ms = at.since(casualty.sent).as_millis() as u64; "");
        }
        let report = EndReport {
            at,
            incarnation,
            casualties,
        };
        let counters = self.shared.owners().crash_counters(self.shared.now());
        self.send_report(&report, &counters);
        self.crash_reports.counters = counters;
        let recent = &mut self.crash_reports.recent;
        if recent.len() >= REPORTS_MAX {
            recent.pop_front();
        }
        recent.push_back(report);
    }

    fn send_report(&mut self, report: &EndReport, counters: &[SocketAddr]) {
        let now = self.shared.now();
        for &node in counters {
            if node == self.shared.settings.listen.peers {
                self.count_end(report);
            } else {
                // If the link is not up yet, `send_recent` sends the report.
                let frame = convert::endpoint_end_frame(now, report);
                self.send(node, Body::EndpointEnd(frame));
            }
        }
    }

    /// Sends the recent reports and verdicts to a node whose link came up.
    pub(super) fn send_recent(&mut self, peer: SocketAddr) {
        let now = self.shared.now();
        let counters = self.shared.owners().crash_counters(now);
        if counters.contains(&peer) {
            for report in self.recent_reports() {
                self.send_report(&report, &[peer]);
            }
        }
        let crashes = self.shared.crashes();
        let verdicts = crashes.latest(now, VERDICTS_ON_CONNECT);
        drop(crashes);
        for verdict in verdicts {
            self.send(peer, Body::Quarantine(convert::quarantine_frame(&verdict)));
        }
    }

    /// Resends the recent reports if other nodes count now.
    fn resend_reports(&mut self) {
        if self.crash_reports.recent.is_empty() {
            return;
        }
        let counters = self.shared.owners().crash_counters(self.shared.now());
        if counters == self.crash_reports.counters {
            return;
        }
        self.crash_reports.counters.clone_from(&counters);
        for report in self.recent_reports() {
            self.send_report(&report, &counters);
        }
    }

    fn recent_reports(&mut self) -> Vec<EndReport> {
        let now = self.shared.now();
        let recent = &mut self.crash_reports.recent;
        recent.retain(|r| now.since(r.at) < REPORT_RESEND_PERIOD);
        recent.iter().cloned().collect()
    }

    /// Handles the end of an endpoint that another node reported.
    pub(super) fn handle_endpoint_end(&mut self, frame: &EndpointEnd) {
        let now = self.shared.now();
        let Some(report) = convert::endpoint_end_of(now, frame) else {
            log::warn!(event = "endpoint-end-unreadable", remedy = "run the same release on all nodes"; "");
            return;
        };
        self.shared.directory().mark_ended(now, &report.incarnation);
        if !report.casualties.is_empty() {
            self.count_end(&report);
        }
    }

    fn count_end(&mut self, report: &EndReport) {
        let now = self.shared.now();
        let failed_trials = self.shared.crashes().on_end(now, report);
        for verdict in failed_trials {
            self.announce_quarantine(verdict);
        }
    }

    /// Sends what follows from the ends and answers so far.
    pub(super) fn process_crashes(&mut self, now: Time) {
        let cleared = self.shared.crashes().take_clearances(now);
        self.send_clearances(&cleared);
        if now < self.crash_reports.next_check {
            return;
        }
        let is_active = self.shared.crashes().wake(now) != Time::NEVER;
        let pause = if is_active {
            ACTIVE_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        self.crash_reports.next_check = now + pause;
        self.resend_reports();
        let own = self.shared.settings.listen.peers;
        let counters = self.shared.owners().crash_counters(now);
        let rank = counters.iter().position(|&node| node == own);
        if rank == Some(0) {
            self.record_quarantines(now);
        }
        let findings = self.shared.crashes().poll(now, rank.map(|r| r as u32));
        if !findings.inquiries.is_empty() {
            let suspects = findings.inquiries.iter().map(|i| i.suspect.to_string());
            let suspects: Vec<String> = suspects.collect();
            log::info!(event = "suspects-asked", suspects = suspects.join(",").as_str(); "");
            let frame = convert::inquiry_frame(now, &findings.inquiries);
            self.send_to_all(&Body::SuspectAsk(frame));
        }
        for verdict in findings.verdicts {
            self.announce_quarantine(verdict);
        }
    }

    /// Starts to record the quarantines in the registry, if they have changed.
    ///
    /// Nodes that start together can't learn them from others.
    fn record_quarantines(&mut self, now: Time) {
        let crashes = self.shared.crashes();
        let change = crashes.last_change();
        let reports = &mut self.crash_reports;
        let is_due = change != reports.recorded_change && now >= reports.record_from;
        if !is_due || reports.recording {
            return;
        }
        let verdicts = crashes.latest(now, VERDICTS_RECORDED);
        drop(crashes);
        reports.recording = true;
        reports.record_from = now + RECORD_INTERVAL;
        let record = QuarantineRecord {
            quarantines: verdicts.iter().map(convert::quarantine_frame).collect(),
            written_ms: Clock::wall().as_millis(),
        };
        let shared = Arc::clone(&self.shared);
        let inbox = self.inbox.clone();
        self.scope.spawn(async move {
            let value = Bytes::from(record.encode_to_vec());
            let recorded = shared.registry.write_quarantines(value).await;
            let _closed = inbox.try_send(Message::QuarantinesRecorded { change, recorded });
        });
    }

    /// Applies the quarantines that the registry holds.
    pub(super) fn handle_recorded_quarantines(&mut self, value: &Bytes) {
        let Ok(record) = QuarantineRecord::decode(value.as_ref()) else {
            log::warn!(event = "quarantine-unreadable", remedy = "look for another writer of the registry's topic"; "");
            return;
        };
        let now = self.shared.now();
        let age = Clock::wall().as_millis().saturating_sub(record.written_ms);
        for verdict in record.quarantines.iter().filter_map(convert::verdict_of) {
            let age = Duration::from_millis(age);
            let outcome = self.shared.crashes().apply_recorded(now, verdict, age);
            self.on_verdict_applied(&verdict, outcome);
        }
    }

    /// Handles the questions of a node that counts.
    pub(super) fn handle_inquiry(&mut self, frame: &SuspectAsk) {
        let now = self.shared.now();
        let inquiries = convert::inquiries_of(now, frame);
        let mut crashes = self.shared.crashes();
        let cleared = inquiries.into_iter();
        let cleared = cleared.filter_map(|inquiry| crashes.on_inquiry(now, inquiry));
        let cleared: Vec<Clearance> = cleared.collect();
        drop(crashes);
        self.send_clearances(&cleared);
    }

    /// Sends clearances to the nodes that count.
    pub(super) fn send_clearances(&mut self, clearances: &[Clearance]) {
        if clearances.is_empty() {
            return;
        }
        let now = self.shared.now();
        let own = self.shared.settings.listen.peers;
        let frame = convert::clearance_frame(now, clearances);
        let counters = self.shared.owners().crash_counters(now);
        for node in counters.into_iter().filter(|&node| node != own) {
            self.send(node, Body::SuspectsCleared(frame.clone()));
        }
        self.apply_clearances(clearances);
    }

    pub(super) fn handle_clearances(&mut self, frame: &SuspectsCleared) {
        let clearances = convert::clearances_of(self.shared.now(), frame);
        self.apply_clearances(&clearances);
    }

    fn apply_clearances(&mut self, clearances: &[Clearance]) {
        let now = self.shared.now();
        for &clearance in clearances {
            let lifted = self.shared.crashes().on_clearance(now, clearance);
            if let Some(lifted) = lifted {
                self.announce_verdict(lifted, "answered");
            }
        }
    }

    /// Logs and announces a quarantine that this node has imposed.
    fn announce_quarantine(&mut self, verdict: Verdict) {
        let crashes = self.shared.crashes();
        let endpoints = crashes.lost_endpoints(verdict.suspect);
        let endpoints: Vec<String> = endpoints.map(ToString::to_string).collect();
        drop(crashes);
        metrics::counter!("snipeyoke_quarantines_total", "kind" => verdict.suspect.kind())
            .increment(1);
        log::warn!(event = "quarantined", suspect = verdict.suspect.to_string().as_str(), ends = endpoints.len(), endpoints = endpoints.join(",").as_str(), span_ms = verdict.first_end_age.as_millis() as u64, left_ms = verdict.remaining.as_millis() as u64, trials = verdict.trials; "");
        self.announce_verdict(verdict, "");
        self.withdraw(verdict.suspect);
    }

    /// Withdraws what waits on this node and is refused from now on.
    fn withdraw(&mut self, suspect: Suspect) {
        if let Suspect::Request(request) = suspect {
            self.refuse_jobs(request);
        }
        self.shared.quarantines_changed.notify(usize::MAX);
    }

    fn refuse_jobs(&mut self, request: Fingerprint) {
        for owned in self.queues.values_mut() {
            owned.queue.fail_request(request);
        }
    }

    /// Applies a verdict of another node.
    pub(super) fn handle_verdict(&mut self, frame: &Quarantine) {
        let Some(verdict) = convert::verdict_of(frame) else {
            log::warn!(event = "quarantine-unreadable", remedy = "run the same release on all nodes"; "");
            return;
        };
        let now = self.shared.now();
        let outcome = self.shared.crashes().apply_verdict(now, verdict);
        self.on_verdict_applied(&verdict, outcome);
    }

    fn on_verdict_applied(&mut self, verdict: &Verdict, outcome: VerdictOutcome) {
        match outcome {
            VerdictOutcome::Known => {}
            VerdictOutcome::New => {
                log_learned(verdict);
                if !verdict.remaining.is_zero() {
                    self.withdraw(verdict.suspect);
                }
            }
            VerdictOutcome::Overruled(lifted) => self.announce_verdict(lifted, "answered"),
        }
    }

    /// Announces this node's verdict to all nodes.
    ///
    /// `why` says why a quarantine was lifted.
    pub(super) fn announce_verdict(&mut self, verdict: Verdict, why: &str) {
        if verdict.remaining.is_zero() {
            log::info!(event = "quarantine-lifted", suspect = verdict.suspect.to_string().as_str(), why; "");
        }
        let frame = convert::quarantine_frame(&verdict);
        self.send_to_all(&Body::Quarantine(frame));
    }

    /// Sends a frame to all nodes, over links of either direction.
    fn send_to_all(&mut self, body: &Body) {
        let now = self.shared.now();
        let nodes: Vec<SocketAddr> = self.shared.owners().live(now).map(|(a, _)| a).collect();
        for node in nodes {
            let linked = self.peers.get(&node).is_some_and(|p| p.sender.is_some());
            let inbound = self.inbound.values().find(|l| l.node == Some(node));
            match inbound {
                Some(inbound) if !linked => {
                    let _full = inbound.sender.send(body.clone());
                }
                _ => self.send(node, body.clone()),
            }
        }
    }
}

fn log_learned(verdict: &Verdict) {
    let suspect = verdict.suspect.to_string();
    if verdict.remaining.is_zero() {
        log::info!(event = "quarantine-lifted", suspect = suspect.as_str(), why = "told"; "");
        return;
    }
    log::info!(event = "quarantine-learned", suspect = suspect.as_str(), left_ms = verdict.remaining.as_millis() as u64, trials = verdict.trials; "");
}

/// Probes whether an endpoint whose connection broke has ended.
///
/// The host of an ended endpoint refuses connections. An endpoint that does not
/// respond may be partitioned, which no request causes.
async fn probe(incarnation: Incarnation, address: SocketAddr, inbox: Sender<Message>) {
    let mut ended = is_refused(address).await;
    if !ended {
        Timer::after(PROBE_PAUSE).await;
        ended = is_refused(address).await;
    }
    let _closed = inbox.try_send(Message::Probed { incarnation, ended });
}

async fn is_refused(address: SocketAddr) -> bool {
    let connected = link::connect(address, PROBE_TIMEOUT).await;
    connected.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused)
}

//! Admission of requests at the owners of first stages, and the load reports that it needs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::admission::Admission;
use snipeyoke_lib::serving::admission::Applicant;
use snipeyoke_lib::serving::admission::Decision;
use snipeyoke_lib::serving::admission::FULL_REPORT_INTERVAL;
use snipeyoke_lib::serving::admission::HANDED_MAX;
use snipeyoke_lib::serving::admission::LoadReport;
use snipeyoke_lib::serving::admission::REPORT_AGE_MAX;
use snipeyoke_lib::serving::admission::REPORT_INTERVAL;
use snipeyoke_lib::serving::admission::RefusalKind;
use snipeyoke_lib::serving::admission::Refused;
use snipeyoke_lib::serving::admission::RelayedPromises;
use snipeyoke_lib::serving::admission::RequestChain;
use snipeyoke_lib::serving::admission::Work;
use snipeyoke_lib::serving::batching::Job;
use snipeyoke_lib::serving::batching::JobId;
use snipeyoke_lib::serving::bookings::Shard;
use snipeyoke_lib::time::Time;
use snipeyoke_wire::PromisesHanded;
use snipeyoke_wire::frame::Body;

use super::JobFailure;
use super::JobNumber;
use super::JobResult;
use super::convert;
use super::run::State;

/// How old the view of the node's own queue may be at a decision.
///
/// A tenth of a call, as for the marking of late jobs; what was accepted since is added.
const OWN_REPORT_AGE_MAX: Duration = Duration::from_millis(20);

/// The tokens by which the rate of a model's endpoints is expressed: a long prompt, so that
/// the fixed cost of a request counts little.
const RATE_TOKENS: u32 = 100_000;

/// The least prompt tokens per second and endpoint.
///
/// Measured times to the first event contain waits, so that they understate the rate; half
/// of a usual engine's rate is the least that is assumed.
const TOKEN_RATE_MIN: f64 = 25_000.0;

/// Why a job is not accepted.
#[derive(Debug)]
pub(super) enum Rejection {
    /// Its request is quarantined or its service is unknown.
    Failed,
    /// Its request has no place.
    Refused(Box<Refused>),
}

impl Rejection {
    /// Returns the outcome of the job.
    pub(super) fn result(self, number: JobNumber) -> JobResult {
        let (failure, promise) = match self {
            Self::Failed => (JobFailure::Failed, None),
            Self::Refused(refused) => (JobFailure::Refused, Some(refused.promise)),
        };
        JobResult {
            number,
            results: Vec::new(),
            failure: Some(failure),
            backlog: Duration::ZERO,
            promise,
            refusals: 0,
        }
    }
}

/// The admission state of a node.
#[derive(Debug, Default)]
pub(super) struct AdmissionState {
    /// The places of the requests whose first stage this node owns.
    pub(super) ledger: Admission,
    /// The promises that this node relayed to its callers.
    pub(super) relayed: RelayedPromises,
    /// The attempts of jobs that this node accepted, and their earlier refusals.
    attempts: BTreeMap<(PoolName, JobId), (String, u32)>,
    /// When each own queue was last viewed.
    viewed: BTreeMap<PoolName, Time>,
    /// The last report sent for each service and shard.
    sent: BTreeMap<(PoolName, u32), (Time, LoadReport)>,
    /// The last reports of the shards of models that have several.
    shards: BTreeMap<PoolName, BTreeMap<u32, LoadReport>>,
    reported_at: Time,
}

impl AdmissionState {
    /// Returns when the next reports are due.
    pub(super) fn wake(&self) -> Time {
        self.reported_at + REPORT_INTERVAL
    }
}

impl State {
    /// Decides whether the request of a job has a place, if its job asks for that.
    pub(super) fn admit(&mut self, service: &PoolName, job: &mut Job) -> Result<(), Rejection> {
        if !self.shared.settings.has_pressure() {
            return Ok(());
        }
        let now = self.shared.now();
        let items = job.items.len();
        let Some(chain) = &mut job.chain else {
            return Ok(());
        };
        let Some(owned) = self.queues.get_mut(service) else {
            return Err(Rejection::Failed);
        };
        if !chain.needs_decision() {
            owned
                .queue
                .record_demand(now, chain.account.as_ref(), items);
            return Ok(());
        }
        let viewed = self.admission.viewed.get(service);
        if viewed.is_none_or(|&at| now.since(at) >= OWN_REPORT_AGE_MAX) {
            let report = owned.queue.load_report(now);
            self.admission.ledger.on_report(service, report);
            self.admission.viewed.insert(service.clone(), now);
        }
        let applicant = Applicant {
            attempt: &job.request,
            chain,
            priority: job.priority,
            is_over_share: owned.queue.is_over_share(chain.account.as_ref()),
        };
        let decision = self.admission.ledger.decide(now, applicant);
        record_decision(service, &decision, (&job.request, job.priority));
        metrics::gauge!("snipeyoke_promises").set(self.admission.ledger.promise_count() as f64);
        let is_new = match &decision {
            Decision::Accepted { refusals, .. } => *refusals == 0,
            Decision::Refused(refused) => {
                refused.kind == RefusalKind::NoPlace && refused.promise.refusals == 1
            }
        };
        if is_new {
            owned
                .queue
                .record_demand(now, chain.account.as_ref(), items);
        }
        match decision {
            Decision::Accepted { refusals, .. } => {
                chain.accepted = true;
                chain.refusals = refusals;
                Ok(())
            }
            Decision::Refused(refused) => Err(Rejection::Refused(refused)),
        }
    }

    /// Records the job of an accepted request, so that its end frees its place.
    pub(super) fn track_admitted(&mut self, service: &PoolName, id: JobId, attempt: (String, u32)) {
        let key = (service.clone(), id);
        self.admission.attempts.insert(key, attempt);
    }

    /// Handles the end of a job; a job that was cancelled or failed frees its place at once.
    ///
    /// Returns how often its request was refused before.
    pub(super) fn on_admitted_ended(
        &mut self,
        service: &PoolName,
        id: JobId,
        is_done: bool,
    ) -> u32 {
        let key = (service.clone(), id);
        let Some((attempt, refusals)) = self.admission.attempts.remove(&key) else {
            return 0;
        };
        let now = self.shared.now();
        self.admission.ledger.on_job_ended(now, &attempt, is_done);
        refusals
    }

    /// Records a promise that this node relays to its caller.
    pub(super) fn relay_promise(
        &mut self,
        service: &PoolName,
        owner: SocketAddr,
        result: &JobResult,
    ) {
        if let Some(promise) = &result.promise {
            let now = self.shared.now();
            let relayed = &mut self.admission.relayed;
            relayed.record(now, service, owner, promise.clone());
        }
    }

    /// Hands the relayed promises of a service to its owner, if that has changed.
    pub(super) fn hand_promises(&mut self, service: &PoolName, owner: SocketAddr) {
        let now = self.shared.now();
        let lacking = self.admission.relayed.lacking(now, service, owner);
        let is_own = owner == self.shared.settings.listen.peers;
        if !lacking.is_empty() {
            log::info!(event = "promises-handed", service = service.as_str(), owner = owner.to_string().as_str(), promises = lacking.len(); "");
            if is_own {
                for promise in lacking {
                    self.admission.ledger.adopt(now, promise);
                }
            } else {
                let is_up = self.peers.get(&owner).is_some_and(|p| p.sender.is_some());
                let promises = lacking.iter().map(|p| convert::promise_frame(now, p));
                let frame = PromisesHanded {
                    service: service.to_string(),
                    promises: promises.collect(),
                };
                // Without a link, this only opens one.
                self.send(owner, Body::PromisesHanded(frame));
                if !is_up {
                    return;
                }
            }
        }
        self.admission.relayed.on_handed(now, service, owner);
    }

    /// Hands all relayed promises to the owners that lack them.
    pub(super) fn hand_all_promises(&mut self) {
        let services: Vec<PoolName> = self.admission.relayed.services().cloned().collect();
        for service in services {
            let owner = self.shared.owners().owner(self.shared.now(), &service);
            self.hand_promises(&service, owner);
        }
    }

    pub(super) fn handle_promises(&mut self, frame: PromisesHanded) {
        let now = self.shared.now();
        let promises = frame.promises.into_iter().take(HANDED_MAX);
        for promise in promises.filter_map(|p| convert::promise_of(now, p)) {
            self.admission.ledger.adopt(now, promise);
        }
    }

    pub(super) fn handle_load_report(&mut self, frame: &snipeyoke_wire::LoadReport) {
        let now = self.shared.now();
        let shard = (frame.shard, frame.shards);
        if let Some((service, report)) = convert::load_report_of(now, frame) {
            self.apply_report(&service, shard, report);
        }
    }

    /// Sends the reports that are due.
    pub(super) fn report_loads(&mut self) {
        let now = self.shared.now();
        if !self.shared.settings.has_pressure() || now < self.admission.wake() {
            return;
        }
        self.admission.reported_at = now;
        self.admission.ledger.expire(now);
        // A former owner still has its queue, but knows nothing of the load.
        let own = self.shared.settings.listen.peers;
        let owners = self.shared.owners();
        let queues = self.queues.iter();
        let queues = queues.filter(|(name, _)| owners.owner(now, name) == own);
        let queues = queues.map(|(name, owned)| (name.clone(), owned.queue.load_report(now)));
        let mut reports: Vec<(PoolName, (u32, u32), LoadReport)> = queues
            .map(|(name, report)| (name, (0, 1), report))
            .collect();
        let booked = self.bookings.iter();
        let booked = booked.filter(|((name, s), _)| owners.booking_owner(now, name, *s) == own);
        let booked: Vec<_> = booked
            .map(|((name, shard), bookings)| (name.clone(), *shard, bookings.waiting_work(now)))
            .collect();
        drop(owners);
        for (service, shard, work) in booked {
            let rate = self.token_rate(&service, shard);
            let report = LoadReport {
                at: now,
                rate,
                work,
            };
            reports.push((service, (shard.index, shard.count), report));
        }
        metrics::gauge!("snipeyoke_promises").set(self.admission.ledger.promise_count() as f64);
        for (service, shard, report) in reports {
            let key = (service.clone(), shard.0);
            let is_due = self.admission.sent.get(&key).is_none_or(|(at, sent)| {
                now.since(*at) >= FULL_REPORT_INTERVAL || sent.work != report.work
            });
            if is_due {
                self.send_load_report(&service, shard, &report);
                self.admission.sent.insert(key, (now, report.clone()));
            }
            self.apply_report(&service, shard, report);
        }
    }

    fn send_load_report(&mut self, service: &PoolName, shard: (u32, u32), report: &LoadReport) {
        let now = self.shared.now();
        let catalog = self.shared.catalog.get();
        let Some(catalog) = catalog.as_ref().as_ref() else {
            return;
        };
        let first_stages = catalog.first_stages_before(service);
        let owners = self.shared.owners();
        let receivers = first_stages.iter().map(|first| owners.owner(now, first));
        let receivers: BTreeSet<SocketAddr> = receivers.collect();
        drop(owners);
        let frame = convert::load_report_frame(now, service, shard, report);
        for receiver in receivers {
            if receiver != self.shared.settings.listen.peers {
                self.send(receiver, Body::LoadReport(frame.clone()));
            }
        }
    }

    fn apply_report(&mut self, service: &PoolName, shard: (u32, u32), report: LoadReport) {
        let (index, count) = shard;
        if count <= 1 {
            self.admission.shards.remove(service);
            self.admission.ledger.on_report(service, report);
            return;
        }
        let now = self.shared.now();
        let shards = self.admission.shards.entry(service.clone()).or_default();
        shards.insert(index, report);
        shards.retain(|&i, r| i < count && now.since(r.at) <= REPORT_AGE_MAX);
        // While a shard is unknown, the load of the model is.
        if shards.len() == count as usize {
            let total = sum_reports(shards.values());
            self.admission.ledger.on_report(service, total);
        }
    }

    /// Returns the prompt tokens per second of a shard of a model's endpoints.
    fn token_rate(&self, service: &PoolName, shard: Shard) -> f64 {
        let directory = self.shared.directory();
        let endpoints = directory.open_endpoints(service);
        let in_shard = endpoints.filter(|e| Shard::of(&e.entry().id, shard.count) == shard);
        let count = in_shard.count();
        drop(directory);
        let time = self.shared.paces().expected(service, RATE_TOKENS);
        let measured = f64::from(RATE_TOKENS) / time.as_secs_f64().max(1e-6);
        measured.max(TOKEN_RATE_MIN) * count as f64
    }
}

/// Adds the reports of all shards; the sum is as old as the oldest of them.
fn sum_reports<'a>(reports: impl Iterator<Item = &'a LoadReport>) -> LoadReport {
    let mut total = LoadReport {
        at: Time::NEVER,
        rate: 0.0,
        work: Work::default(),
    };
    for report in reports {
        total.at = total.at.min(report.at);
        total.rate += report.rate;
        for (due, priority, amount) in report.work.groups() {
            total.work.add(due, priority, amount);
        }
    }
    total
}

fn record_decision(service: &PoolName, decision: &Decision, (attempt, priority): (&str, u8)) {
    let result = match decision {
        Decision::Accepted { returned: true, .. } => "returned",
        Decision::Accepted { .. } => "accepted",
        Decision::Refused(refused) => match refused.kind {
            RefusalKind::NoPlace => "refused",
            RefusalKind::Early => "early",
            RefusalKind::SameAttempt => return,
        },
    };
    metrics::counter!("snipeyoke_admissions_total", "service" => service.to_string(), "result" => result).increment(1);
    if let Decision::Refused(refused) = decision {
        metrics::histogram!("snipeyoke_admission_retry_seconds").record(refused.delay);
        let account = refused.promise.account.as_ref();
        log::info!(
            event = "admission-refused",
            request = attempt,
            account = account.map_or("-", |a| a.as_str()),
            priority,
            service = service.as_str(),
            bottleneck = refused.bottleneck.as_str(),
            why = result,
            refusals = refused.promise.refusals,
            retry_ms = refused.delay.as_millis() as u64;
            ""
        );
    }
}

/// Marks the request of a job as accepted, as its earlier owner did.
pub(super) fn mark_accepted(job: &mut Job) {
    if let Some(RequestChain { accepted, .. }) = &mut job.chain {
        *accepted = true;
    }
}

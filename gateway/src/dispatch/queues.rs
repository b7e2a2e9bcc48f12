//! The work queues of the services that this node owns.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::batching::BatchCall;
use snipeyoke_lib::serving::batching::BatchQueue;
use snipeyoke_lib::serving::batching::CallResult;
use snipeyoke_lib::serving::batching::ItemOutcome;
use snipeyoke_lib::serving::batching::Job;
use snipeyoke_lib::serving::batching::JobId;
use snipeyoke_lib::serving::batching::JobOutcome;
use snipeyoke_lib::serving::crashes::Suspect;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_wire::frame::Body;

use super::JobFailure;
use super::JobNumber;
use super::JobResult;
use super::StageResult;
use super::admission::Rejection;
use super::calls;
use super::convert;
use super::messages::Message;
use super::run::BUSY_POLL_INTERVAL;
use super::run::Delivered;
use super::run::Origin;
use super::run::ServiceQueue;
use super::run::State;
use crate::shared::Shared;

impl ServiceQueue {
    fn record_delivered(&mut self, now: Time, node: SocketAddr, end: &JobOutcome) {
        self.delivered.retain(|_, d| d.expires_at > now);
        let expires_at = now + self.queue.result_ttl();
        for (_, handle, endpoint) in &end.produced {
            let delivered = Delivered {
                node,
                endpoint: endpoint.clone(),
                expires_at,
            };
            self.delivered.insert(handle.clone(), delivered);
        }
    }
}

impl State {
    pub(super) fn enqueue(
        &mut self,
        service: &PoolName,
        mut job: Job,
        origin: Origin,
    ) -> Result<JobId, Rejection> {
        let now = self.shared.now();
        let quarantined = |r| {
            let crashes = self.shared.crashes();
            !crashes.may_continue(now, Suspect::Request(r))
        };
        if job.fingerprint.is_some_and(quarantined) {
            return Err(Rejection::Failed);
        }
        self.open_queue(service).ok_or(Rejection::Failed)?;
        self.admit(service, &mut job)?;
        let decided = job.chain.as_ref().filter(|c| !c.parts.is_empty());
        let attempt = decided.map(|c| (job.request.clone(), c.refusals));
        let owned = self.open_queue(service).ok_or(Rejection::Failed)?;
        let id = owned.queue.submit(job);
        owned.origins.insert(id, origin);
        if let Some(attempt) = attempt {
            self.track_admitted(service, id, attempt);
        }
        Ok(id)
    }

    /// Returns the queue of a service, creating it if needed.
    pub(super) fn open_queue(&mut self, service: &PoolName) -> Option<&mut ServiceQueue> {
        if !self.queues.contains_key(service) {
            let catalog = self.shared.catalog.get();
            let found = catalog
                .as_ref()
                .as_ref()?
                .service(service)?
                .batching
                .clone();
            let mut queue = BatchQueue::new(found?);
            set_endpoints(&self.shared, service, &mut queue);
            queue.set_cold_share(self.cold_share(service, None));
            if self.shared.settings.has_pressure() {
                queue.enable_fair_shares();
            }
            log::info!(event = "service-owned", service = service.as_str(); "");
            let owned = ServiceQueue {
                queue,
                origins: BTreeMap::new(),
                delivered: BTreeMap::new(),
            };
            self.queues.insert(service.clone(), owned);
        }
        self.queues.get_mut(service)
    }

    pub(super) fn update_endpoints(&mut self) {
        let catalog = self.shared.catalog.get();
        for (service, owned) in &mut self.queues {
            let found = catalog.as_ref().as_ref().and_then(|c| c.service(service));
            if let Some(limits) = found.and_then(|s| s.batching.clone()) {
                owned.queue.set_limits(limits);
            }
            set_endpoints(&self.shared, service, &mut owned.queue);
        }
    }

    /// Updates the speeds of the endpoints that the queues call.
    pub(super) fn update_speeds(&mut self) {
        let directory = self.shared.directory();
        for owned in self.queues.values_mut() {
            owned.queue.update_speeds(&directory);
        }
    }

    /// Starts the calls and polls that are due and delivers the results of ended
    /// jobs.
    pub(super) fn process_due(&mut self) {
        let now = self.shared.now();
        self.submit_unrouted();
        self.retry_unaccepted();
        self.request_config();
        self.poll_reader(now);
        self.process_origins(now);
        self.process_crashes(now);
        self.report_loads();
        let mut ended_jobs = Vec::new();
        self.update_speeds();
        let services = self.queues.keys();
        let limits = services.map(|s| (self.cold_share(s, None), self.granter(s, None)));
        let limits: Vec<_> = limits.collect();
        for ((service, owned), (cold_share, granter)) in self.queues.iter_mut().zip(limits) {
            owned.queue.set_cold_share(cold_share);
            if let Some((rank, uses)) = granter {
                owned.queue.set_granter(rank, uses);
            }
            let batches = owned.queue.poll(now);
            let waiting = owned.queue.waiting_items();
            for batch in batches {
                start_call(
                    &self.shared,
                    &self.inbox,
                    &self.scope,
                    service,
                    batch,
                    waiting,
                );
            }
            for (entry, handles) in owned.queue.take_releases(now) {
                let shared = Arc::clone(&self.shared);
                let inbox = self.inbox.clone();
                let service = service.clone();
                self.scope.spawn(async move {
                    let endpoint = entry.id.clone();
                    calls::release_results(shared, entry, &handles).await;
                    let released = Message::ResultsReleased {
                        service,
                        endpoint,
                        handles,
                    };
                    let _closed = inbox.try_send(released);
                });
            }
            for end in owned.queue.take_results() {
                if let Some(origin) = owned.origins.remove(&end.job) {
                    if let Origin::Peer { link, .. } = origin
                        && let Some(node) = self.inbound.get(&link).and_then(|l| l.node)
                    {
                        owned.record_delivered(now, node, &end);
                    }
                    ended_jobs.push((service.clone(), origin, end));
                }
            }
        }
        for (service, origin, end) in ended_jobs {
            let is_done = end.failure.is_none();
            let refusals = self.on_admitted_ended(&service, end.job, is_done);
            self.handle_job_end(origin, end, refusals);
        }
        if now.since(self.polled_at) >= BUSY_POLL_INTERVAL {
            self.polled_at = now;
            self.hand_all_promises();
            self.release_departed(now);
            self.poll_peers(now);
            self.review_keepers(now);
            self.record_versions(now);
        }
    }

    pub(super) fn handle_job_end(&mut self, origin: Origin, end: JobOutcome, refusals: u32) {
        let now = self.shared.now();
        let results = end.produced.into_iter();
        let results = results.map(|(item, handle, endpoint)| StageResult {
            item,
            handle,
            endpoint,
        });
        let number = match origin {
            Origin::Own(number) => number,
            Origin::Peer { job, .. } => JobNumber(job),
        };
        let result = JobResult {
            number,
            results: results.collect(),
            failure: end.failure.as_ref().map(failure_of),
            backlog: end.backlog,
            promise: None,
            refusals,
        };
        match origin {
            Origin::Own(_) => self.finish_job(result),
            Origin::Peer { link, .. } => {
                if let Some(inbound) = self.inbound.get(&link) {
                    let _full = inbound
                        .sender
                        .send(Body::PieceJobEnd(convert::job_end_frame(now, &result)));
                }
            }
        }
    }
}

fn start_call(
    shared: &Arc<Shared>,
    inbox: &Sender<Message>,
    scope: &Scope,
    service: &PoolName,
    batch: BatchCall,
    waiting: usize,
) {
    log::info!(
        event = "pieces-sent",
        service = service.as_str(),
        call = batch.id,
        endpoint = batch.entry.id.to_string().as_str(),
        pieces = batch.items.len(),
        expected_ms = batch.expected.as_millis() as u64,
        waiting,
        requests = request_ids(&batch).as_str();
        ""
    );
    let shared = Arc::clone(shared);
    let inbox = inbox.clone();
    let service = service.clone();
    scope.spawn(async move {
        let call = batch.id;
        let started_at = shared.now();
        shared.record_call(&batch.entry.domain);
        let endpoint = batch.entry.id.to_string();
        let result = calls::run_batch(Arc::clone(&shared), batch).await;
        log_call(
            &service,
            call,
            &endpoint,
            shared.now().since(started_at),
            &result,
        );
        let ended = Message::CallEnded {
            service,
            call,
            result,
        };
        let _closed = inbox.try_send(ended);
    });
}

fn log_call(service: &PoolName, call: u64, endpoint: &str, elapsed: Duration, result: &CallResult) {
    let (produced, full, other) = match result {
        CallResult::Answered(outcomes) => {
            let count =
                |wanted: fn(&ItemOutcome) -> bool| outcomes.iter().filter(|o| wanted(o)).count();
            let produced = count(|o| matches!(o, ItemOutcome::Produced(_)));
            let full = count(|o| matches!(o, ItemOutcome::Full));
            (produced, full, outcomes.len() - produced - full)
        }
        CallResult::Refused | CallResult::WrongEndpoint | CallResult::Broken => (0, 0, 0),
    };
    let name = match result {
        CallResult::Answered(_) => "answered",
        CallResult::Refused => "refused",
        CallResult::WrongEndpoint => "replaced",
        CallResult::Broken => "broken",
    };
    let service = service.as_str();
    metrics::counter!("snipeyoke_piece_calls_total", "service" => service.to_owned(), "result" => name).increment(1);
    metrics::histogram!("snipeyoke_piece_call_seconds", "service" => service.to_owned())
        .record(elapsed);
    log::info!(
        event = "pieces-ended",
        service,
        call,
        endpoint,
        result = name,
        took_ms = elapsed.as_millis() as u64,
        made = produced,
        full,
        other;
        ""
    );
}

/// Returns the ids of the requests in a batch; consecutive items of one request
/// share an id.
fn request_ids(batch: &BatchCall) -> String {
    let mut names: Vec<&str> = batch.items.iter().map(|i| i.request.as_str()).collect();
    names.dedup();
    names.join(",")
}

fn set_endpoints(shared: &Shared, service: &PoolName, queue: &mut BatchQueue) {
    let directory = shared.directory();
    let present = directory.iter().filter(|e| e.is_present());
    queue.set_endpoints(present.filter(|e| e.entry().service == *service));
}

const fn failure_of(outcome: &ItemOutcome) -> JobFailure {
    match outcome {
        ItemOutcome::Late => JobFailure::Late,
        ItemOutcome::Gone => JobFailure::Gone,
        ItemOutcome::Produced(_) | ItemOutcome::Full | ItemOutcome::Failed => JobFailure::Failed,
    }
}

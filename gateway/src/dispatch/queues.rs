//! The queues of the services whose pieces meet at this node.

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
use snipeyoke_lib::serving::directory::Endpoint;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_wire::frame::Body;

use super::JobFailure;
use super::JobNumber;
use super::JobResult;
use super::StageResult;
use super::calls;
use super::convert;
use super::messages::Message;
use super::run::Delivered;
use super::run::Origin;
use super::run::SYNC_BUSY;
use super::run::ServiceQueue;
use super::run::State;
use crate::shared::Shared;

impl ServiceQueue {
    fn note_delivered(&mut self, now: Time, node: SocketAddr, end: &JobOutcome) {
        self.delivered.retain(|_, d| d.until > now);
        let until = now + self.queue.result_ttl();
        for (_, handle, endpoint) in &end.produced {
            let delivered = Delivered {
                node,
                endpoint: endpoint.clone(),
                until,
            };
            self.delivered.insert(handle.clone(), delivered);
        }
    }
}

impl State {
    pub(super) fn queue(&mut self, service: &PoolName, job: Job, origin: Origin) -> Option<JobId> {
        let now = self.shared.now();
        let refused = |r| !self.shared.crashes().may_continue(now, r);
        if job.fingerprint.is_some_and(refused) {
            return None;
        }
        let owned = self.open(service)?;
        let id = owned.queue.submit(job);
        owned.origins.insert(id, origin);
        Some(id)
    }

    /// Returns the queue of a service, a new one if there is none yet.
    pub(super) fn open(&mut self, service: &PoolName) -> Option<&mut ServiceQueue> {
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

    pub(super) fn set_endpoints(&mut self) {
        let catalog = self.shared.catalog.get();
        for (service, owned) in &mut self.queues {
            let found = catalog.as_ref().as_ref().and_then(|c| c.service(service));
            if let Some(limits) = found.and_then(|s| s.batching.clone()) {
                owned.queue.set_limits(limits);
            }
            set_endpoints(&self.shared, service, &mut owned.queue);
        }
    }

    /// Makes the calls that are due and passes on the jobs that ended.
    pub(super) fn turn(&mut self) {
        let now = self.shared.now();
        self.submit_early();
        self.take_early();
        self.catch_up();
        self.look_at_reader(now);
        let mut ends = Vec::new();
        for (service, owned) in &mut self.queues {
            let sends = owned.queue.poll(now);
            let waiting = owned.queue.waiting_items();
            for send in sends {
                start(
                    &self.shared,
                    &self.inbox,
                    &self.scope,
                    service,
                    send,
                    waiting,
                );
            }
            for (entry, handles) in owned.queue.take_releases(now) {
                let shared = Arc::clone(&self.shared);
                let inbox = self.inbox.clone();
                let service = service.clone();
                self.scope.spawn(async move {
                    let endpoint = entry.id.clone();
                    calls::give_back(shared, entry, &handles).await;
                    let dropped = Message::Dropped {
                        service,
                        endpoint,
                        handles,
                    };
                    let _closed = inbox.try_send(dropped);
                });
            }
            for end in owned.queue.take_results() {
                if let Some(origin) = owned.origins.remove(&end.job) {
                    if let Origin::Peer { link, .. } = origin
                        && let Some(node) = self.callers.get(&link).and_then(|c| c.node)
                    {
                        owned.note_delivered(now, node, &end);
                    }
                    ends.push((origin, end));
                }
            }
        }
        for (origin, end) in ends {
            self.ended(origin, end);
        }
        if now.since(self.synced) >= SYNC_BUSY {
            self.synced = now;
            self.clear_departed(now);
            self.sync_around(now);
        }
    }

    pub(super) fn ended(&mut self, origin: Origin, end: JobOutcome) {
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
        let done = JobResult {
            number,
            results: results.collect(),
            failure: end.failure.as_ref().map(failure),
            backlog: end.backlog,
        };
        match origin {
            Origin::Own(_) => self.done(done),
            Origin::Peer { link, .. } => {
                if let Some(caller) = self.callers.get(&link) {
                    let _full = caller
                        .sender
                        .send(Body::PieceJobEnd(convert::end_frame(&done)));
                }
            }
        }
    }
}

fn start(
    shared: &Arc<Shared>,
    inbox: &Sender<Message>,
    scope: &Scope,
    service: &PoolName,
    send: BatchCall,
    waiting: usize,
) {
    log::info!(
        event = "pieces-sent",
        service = service.as_str(),
        call = send.id,
        endpoint = send.entry.id.to_string().as_str(),
        pieces = send.items.len(),
        expected_ms = send.expected.as_millis() as u64,
        waiting,
        requests = requests(&send).as_str();
        ""
    );
    let shared = Arc::clone(shared);
    let inbox = inbox.clone();
    let service = service.clone();
    scope.spawn(async move {
        let call = send.id;
        let began = shared.now();
        let endpoint = send.entry.id.to_string();
        let result = calls::run_pieces(Arc::clone(&shared), send).await;
        log_result(
            &service,
            call,
            &endpoint,
            shared.now().since(began),
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

fn log_result(service: &PoolName, call: u64, endpoint: &str, took: Duration, result: &CallResult) {
    let (made, full, other) = match result {
        CallResult::Answered(outcomes) => {
            let count =
                |wanted: fn(&ItemOutcome) -> bool| outcomes.iter().filter(|o| wanted(o)).count();
            let made = count(|o| matches!(o, ItemOutcome::Produced(_)));
            let full = count(|o| matches!(o, ItemOutcome::Full));
            (made, full, outcomes.len() - made - full)
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
        .record(took);
    log::info!(
        event = "pieces-ended",
        service,
        call,
        endpoint,
        result = name,
        took_ms = took.as_millis() as u64,
        made,
        full,
        other;
        ""
    );
}

/// Returns the requests of a call, each once.
fn requests(send: &BatchCall) -> String {
    let mut names: Vec<&str> = send.items.iter().map(|i| i.request.as_str()).collect();
    names.dedup();
    names.join(",")
}

fn set_endpoints(shared: &Shared, service: &PoolName, queue: &mut BatchQueue) {
    let directory = shared.directory();
    let entries = directory
        .iter()
        .filter(|e| e.is_open())
        .map(Endpoint::entry);
    queue.set_endpoints(entries.filter(|e| e.service == *service));
}

const fn failure(outcome: &ItemOutcome) -> JobFailure {
    match outcome {
        ItemOutcome::Late => JobFailure::Late,
        ItemOutcome::Gone => JobFailure::Gone,
        ItemOutcome::Produced(_) | ItemOutcome::Full | ItemOutcome::Failed => JobFailure::Failed,
    }
}

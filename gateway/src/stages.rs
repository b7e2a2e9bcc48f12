//! The stage work of one request, from its node's side.

use std::collections::BTreeMap;

use async_channel::Receiver;
use async_channel::Sender;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::batching::Job;
use snipeyoke_lib::serving::batching::PlanError;
use snipeyoke_lib::serving::batching::ReadyStage;
use snipeyoke_lib::serving::batching::StageInput;
use snipeyoke_lib::serving::batching::StagePlan;
use snipeyoke_lib::serving::batching::StageTimes;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Bytes;

use crate::dispatch::Dispatcher;
use crate::dispatch::JobFailure;
use crate::dispatch::JobNumber;
use crate::dispatch::JobResult;
use crate::refusal::Refusal;
use crate::ticket::Ticket;

/// The bytes of results that are worth as much as one shared token.
///
/// A request follows its results to their failure domain if they outweigh the
/// prefix that would be read again there. Both are priced on the platform: a
/// thousand tokens as much as two to three megabytes.
const TOKEN_BYTES: u64 = 2_400;

/// A result that this request has.
#[derive(Debug)]
struct Made {
    service: PoolName,
    endpoint: EndpointId,
    size: Bytes,
}

/// The stage work of one request.
///
/// What is still under way when this is dropped is cancelled, and results that
/// nobody needs are given back.
#[derive(Debug)]
pub(crate) struct StageWork {
    dispatcher: Dispatcher,
    plan: StagePlan,
    makers: BTreeMap<String, Made>,
    open: BTreeMap<JobNumber, (usize, Vec<u32>)>,
    ends: (Sender<JobResult>, Receiver<JobResult>),
}

impl StageWork {
    /// Plans the stages of a request; `None` if it has none.
    pub(crate) fn plan(ticket: &Ticket) -> Result<Option<Self>, PlanError> {
        if ticket.route.stages.is_empty() {
            return Ok(None);
        }
        let plan = StagePlan::new(&ticket.route.stages, &ticket.ask.item_counts)?;
        Ok(Some(Self {
            dispatcher: ticket.shared.dispatcher.clone(),
            plan,
            makers: BTreeMap::new(),
            open: BTreeMap::new(),
            ends: async_channel::unbounded(),
        }))
    }

    /// Does what is missing of the stages and returns the results that the
    /// request itself needs.
    pub(crate) async fn inputs(
        work: Option<&mut Self>,
        ticket: &mut Ticket,
    ) -> Result<Vec<String>, Refusal> {
        let Some(work) = work else {
            return Ok(Vec::new());
        };
        // A resume after the first event: no endpoint can still have them.
        if work.plan.is_released() && work.plan.on_results_gone().is_err() {
            return Err(Refusal::StageFailed);
        }
        while !work.plan.is_done() {
            if ticket.quarantined().is_some() {
                return Err(Refusal::Quarantined);
            }
            let times = work.times(ticket);
            for order in work.plan.start_ready(&times) {
                work.submit(ticket, &times, order);
            }
            let done = ticket.in_time_to_send(work.ends.1.recv()).await;
            let Some(Ok(done)) = done else {
                return Err(ticket.timeout());
            };
            work.take(ticket, done)?;
            let unneeded = work.plan.take_unneeded();
            work.give_back_all(unneeded);
        }
        if ticket.timeline.staged.is_none() {
            ticket.timeline.staged = Some(ticket.shared.now());
        }
        let inputs = work.plan.inputs();
        let most = work.most(ticket, &inputs);
        ticket.inputs = most.map(|(domain, size)| (domain, (size.0 / TOKEN_BYTES) as u32));
        ticket.domain = domain(ticket);
        Ok(inputs)
    }

    /// Notes that the request found a result gone.
    pub(crate) fn results_gone(&mut self) -> Result<(), PlanError> {
        self.plan.on_results_gone()
    }

    /// Gives back all results, once the request has read them.
    pub(crate) fn give_back(&mut self) {
        let remaining = self.plan.take_remaining();
        self.give_back_all(remaining);
    }

    fn submit(&mut self, ticket: &Ticket, times: &StageTimes, order: ReadyStage) {
        let stage = &ticket.route.stages[order.stage];
        let now = ticket.shared.now();
        let inputs = match &order.input {
            StageInput::Key => None,
            StageInput::Results(handles) => self.most(ticket, handles),
        };
        let job = Job {
            request: ticket.ask.id.clone(),
            fingerprint: Some(ticket.fingerprint()),
            stage: order.stage,
            items: order.items.clone(),
            input: order.input,
            key: ticket.ask.item_key.clone(),
            result_bytes: stage.result_bytes,
            target: later(now, times.target(order.stage, ticket.goal)),
            deadline: later(now, times.deadline(order.stage, ticket.due)),
            result_domain: home(ticket),
            priority: ticket.urgency(),
            input_source: inputs,
        };
        let number = self
            .dispatcher
            .submit(stage.service.clone(), job, self.ends.0.clone());
        self.open.insert(number, (order.stage, order.items));
    }

    /// Returns the expected times of the stages, as of now.
    fn times(&self, ticket: &Ticket) -> StageTimes {
        let prompt = ticket.ask.prompt;
        let tokens = prompt.map_or(0, |p| p.tokens - p.shared.min(p.tokens));
        let model = ticket.shared.paces().expected(&ticket.service, tokens);
        let limits = |name: &PoolName| ticket.catalog.service(name)?.batching.clone();
        StageTimes::new(
            &ticket.route.stages,
            &self.plan.item_counts(),
            model,
            limits,
        )
    }

    fn take(&mut self, ticket: &mut Ticket, done: JobResult) -> Result<(), Refusal> {
        let Some((stage, pieces)) = self.open.remove(&done.number) else {
            return Ok(());
        };
        let service = &ticket.route.stages[stage].service;
        for made in done.results {
            let result = Made {
                service: service.clone(),
                endpoint: made.endpoint,
                size: ticket.route.stages[stage].result_bytes,
            };
            self.makers.insert(made.handle.clone(), result);
            self.plan.on_result(stage, made.item, made.handle);
        }
        if let Some(failure) = done.failure {
            log::info!(event = "stage-failed", request = ticket.ask.id.as_str(), stage, service = service.as_str(), why = failure.to_string().as_str(), left_ms = ticket.left().as_millis() as u64, backlog_ms = done.backlog.as_millis() as u64; "");
            ticket.backlog = done.backlog;
        }
        let again = match done.failure {
            None => return Ok(()),
            Some(JobFailure::Late) => return Err(Refusal::StagesLate),
            Some(JobFailure::Gone) => self.inputs_gone(stage, &pieces),
            Some(JobFailure::Failed) => self.failed(stage, &pieces),
        };
        again.map_err(|error| {
            log::warn!(event = "stage-given-up", request = ticket.ask.id.as_str(), stage, error = error.to_string().as_str(); "");
            Refusal::StageFailed
        })
    }

    fn inputs_gone(&mut self, stage: usize, pieces: &[u32]) -> Result<(), PlanError> {
        if let Some(&first) = pieces.first() {
            self.plan.on_inputs_gone(stage, first)?;
        }
        self.reopen(stage, pieces);
        Ok(())
    }

    fn failed(&mut self, stage: usize, pieces: &[u32]) -> Result<(), PlanError> {
        if let Some(&first) = pieces.first() {
            self.plan.on_failure(stage, first)?;
        }
        self.reopen(stage, pieces);
        Ok(())
    }

    fn reopen(&mut self, stage: usize, pieces: &[u32]) {
        for &piece in pieces {
            self.plan.on_cancelled(stage, piece);
        }
    }

    fn give_back_all(&mut self, handles: Vec<String>) {
        let mut by_service: BTreeMap<PoolName, Vec<(EndpointId, String)>> = BTreeMap::new();
        for handle in handles {
            if let Some(result) = self.makers.remove(&handle) {
                by_service
                    .entry(result.service)
                    .or_default()
                    .push((result.endpoint, handle));
            }
        }
        for (service, results) in by_service {
            self.dispatcher.release_results(service, results);
        }
    }

    /// Returns where most of some results lie, and how much.
    fn most(&self, ticket: &Ticket, handles: &[String]) -> Option<(FailureDomain, Bytes)> {
        let mut sizes: BTreeMap<FailureDomain, u64> = BTreeMap::new();
        let directory = ticket.shared.directory();
        for handle in handles {
            let result = self.makers.get(handle)?;
            let Some(endpoint) = directory.get(&result.endpoint) else {
                continue;
            };
            let domain = endpoint.entry().domain.clone();
            *sizes.entry(domain).or_default() += result.size.0;
        }
        let (domain, size) = sizes.into_iter().max_by_key(|(_, size)| *size)?;
        Some((domain, Bytes(size)))
    }
}

impl Drop for StageWork {
    fn drop(&mut self) {
        for &number in self.open.keys() {
            self.dispatcher.cancel(number);
        }
        self.give_back();
    }
}

/// Returns where the request should run to be near its results, if that is worth
/// following.
fn domain(ticket: &Ticket) -> Option<FailureDomain> {
    let (domain, tokens) = ticket.inputs.as_ref()?;
    let shared = ticket.ask.prompt.map_or(0, |p| p.shared);
    (*tokens > shared).then(|| domain.clone())
}

/// Returns where the request's prompt would best be read.
fn home(ticket: &Ticket) -> Option<FailureDomain> {
    let prompt = ticket.ask.prompt?;
    let directory = ticket.shared.directory();
    let entry = directory.home(&ticket.service, prompt.prefix)?;
    Some(entry.domain.clone())
}

fn later(now: Time, at: Time) -> Time {
    at.max(now)
}

//! The stage work of one request, on the node that handles it.

use std::collections::BTreeMap;

use async_channel::Receiver;
use async_channel::Sender;
use rapidhash::v3::rapidhash_v3;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::admission::ChainPart;
use snipeyoke_lib::serving::admission::RequestChain;
use snipeyoke_lib::serving::admission::RequestKey;
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
use crate::request_context::RequestContext;

/// The size of results that costs as much to read as one shared token, in
/// bytes.
///
/// A request runs in the failure domain of its results if they outweigh the
/// prefix that would have to be read again there. On the platform, a thousand
/// tokens cost as much as two to three megabytes.
const BYTES_PER_TOKEN: u64 = 2_400;

/// A stage result that this request holds.
#[derive(Debug)]
struct HeldResult {
    service: PoolName,
    endpoint: EndpointId,
    size: Bytes,
}

/// The stage work of one request.
///
/// Dropping it cancels the jobs under way and releases results that are no
/// longer needed.
#[derive(Debug)]
pub(crate) struct StageWork {
    dispatcher: Dispatcher,
    /// The service of each stage.
    services: Vec<PoolName>,
    plan: StagePlan,
    results: BTreeMap<String, HeldResult>,
    jobs: BTreeMap<JobNumber, (usize, Vec<u32>)>,
    completions: (Sender<JobResult>, Receiver<JobResult>),
    /// The service of the first job, whose owner admits the request.
    admitter: Option<PoolName>,
    /// Whether a job has ended, so that the request was admitted.
    admitted: bool,
    /// How often the request was refused before.
    refusals: u32,
}

impl StageWork {
    /// Plans the stages of a request; returns `None` if it has none.
    pub(crate) fn plan(ctx: &RequestContext) -> Result<Option<Self>, PlanError> {
        if ctx.route.stages.is_empty() {
            return Ok(None);
        }
        let plan = StagePlan::new(&ctx.route.stages, &ctx.request.item_counts)?;
        Ok(Some(Self {
            dispatcher: ctx.shared.dispatcher.clone(),
            services: ctx.route.stages.iter().map(|s| s.service.clone()).collect(),
            plan,
            results: BTreeMap::new(),
            jobs: BTreeMap::new(),
            completions: async_channel::unbounded(),
            admitter: None,
            admitted: false,
            refusals: 0,
        }))
    }

    /// Returns the services of the stages that the request uses.
    pub(crate) fn services(&self) -> impl Iterator<Item = &PoolName> {
        let stages = self.services.iter().zip(self.plan.item_counts());
        stages.filter_map(|(service, count)| (count > 0).then_some(service))
    }

    /// Runs the missing stage work and returns the inputs of the request
    /// itself.
    pub(crate) async fn inputs(
        work: Option<&mut Self>,
        ctx: &mut RequestContext,
    ) -> Result<Vec<String>, Refusal> {
        let Some(work) = work else {
            return Ok(Vec::new());
        };
        // Resuming after the first event: the results have been released.
        if work.plan.is_released() && work.plan.on_results_gone().is_err() {
            return Err(Refusal::StageFailed);
        }
        while !work.plan.is_done() {
            if ctx.quarantine_remaining().is_some() {
                return Err(Refusal::Quarantined);
            }
            let times = work.times(ctx);
            for order in work.plan.start_ready(&times) {
                work.submit(ctx, &times, order);
            }
            let job_result = ctx.before_latest_send(work.completions.1.recv());
            let job_result = ctx.before_quarantine(job_result).await.flatten();
            let Some(Ok(job_result)) = job_result else {
                if ctx.quarantine_remaining().is_some() {
                    return Err(Refusal::Quarantined);
                }
                return Err(ctx.timeout_refusal());
            };
            work.handle_job_result(ctx, job_result)?;
            let unneeded = work.plan.take_unneeded();
            work.release_handles(unneeded);
        }
        if ctx.timeline.staged.is_none() {
            ctx.timeline.staged = Some(ctx.shared.now());
        }
        let inputs = work.plan.inputs();
        let dominant = work.dominant_domain(ctx, &inputs);
        ctx.inputs = dominant.map(|(domain, size)| (domain, (size.0 / BYTES_PER_TOKEN) as u32));
        ctx.domain = preferred_domain(ctx);
        Ok(inputs)
    }

    /// Handles a result that was gone when the request needed it.
    pub(crate) fn results_gone(&mut self) -> Result<(), PlanError> {
        self.plan.on_results_gone()
    }

    /// Releases all results, once the request has read them.
    pub(crate) fn release(&mut self) {
        let remaining = self.plan.take_remaining();
        self.release_handles(remaining);
    }

    fn submit(&mut self, ctx: &RequestContext, times: &StageTimes, order: ReadyStage) {
        let stage = &ctx.route.stages[order.stage];
        let now = ctx.shared.now();
        let inputs = match &order.input {
            StageInput::Key => None,
            StageInput::Results(handles) => self.dominant_domain(ctx, handles),
        };
        let chain = self.chain(ctx, times, &stage.service);
        let job = Job {
            request: ctx.request.id.clone(),
            fingerprint: Some(ctx.fingerprint()),
            stage: order.stage,
            items: order.items.clone(),
            input: order.input,
            key: ctx.request.item_key.clone(),
            result_bytes: stage.result_bytes,
            target: no_earlier_than(now, times.target(order.stage, ctx.target)),
            deadline: no_earlier_than(now, times.deadline(order.stage, ctx.deadline)),
            result_domain: prompt_domain(ctx),
            priority: ctx.urgency(),
            input_source: inputs,
            homes: ctx.homes.clone(),
            chain,
        };
        let number = self
            .dispatcher
            .submit(stage.service.clone(), job, self.completions.0.clone());
        self.jobs.insert(number, (order.stage, order.items));
    }

    /// Returns what the owner of a service has to know of the request, where callers compete
    /// for capacity.
    fn chain(
        &mut self,
        ctx: &RequestContext,
        times: &StageTimes,
        service: &PoolName,
    ) -> Option<RequestChain> {
        if !ctx.shared.settings.has_pressure() {
            return None;
        }
        let admitter = self.admitter.get_or_insert_with(|| service.clone());
        // A stream that has begun is never refused for its load.
        let needs_decision = !self.admitted && !ctx.response_started && admitter == service;
        let parts = if needs_decision {
            self.chain_parts(ctx, times, service)
        } else {
            Vec::new()
        };
        Some(RequestChain {
            key: request_key(ctx),
            account: ctx.account().cloned(),
            accepted: !needs_decision,
            refusals: self.refusals,
            parts,
        })
    }

    /// Returns the work of the request by service, that of its first service first.
    fn chain_parts(
        &self,
        ctx: &RequestContext,
        times: &StageTimes,
        first: &PoolName,
    ) -> Vec<ChainPart> {
        let now = ctx.shared.now();
        let mut parts: Vec<ChainPart> = Vec::new();
        let counts = self.plan.item_counts();
        for (stage, (service, count)) in self.services.iter().zip(counts).enumerate() {
            let target = no_earlier_than(now, times.target(stage, ctx.target));
            let deadline = no_earlier_than(now, times.deadline(stage, ctx.deadline));
            if let Some(part) = parts.iter_mut().find(|p| p.service == *service) {
                part.amount += count;
                part.target = part.target.min(target);
                part.deadline = part.deadline.min(deadline);
            } else if count > 0 {
                parts.push(ChainPart {
                    service: service.clone(),
                    amount: count,
                    target,
                    deadline,
                });
            }
        }
        parts.sort_by_key(|p| p.service != *first);
        let is_engine = ctx.catalog.service(&ctx.service);
        let is_engine = is_engine.is_some_and(|s| s.is_engine);
        if let Some(prompt) = ctx.request.prompt.filter(|_| is_engine) {
            parts.push(ChainPart {
                service: ctx.service.clone(),
                amount: prompt.tokens.saturating_sub(prompt.shared),
                target: ctx.target,
                deadline: ctx.deadline,
            });
        }
        parts
    }

    /// Returns the expected times of the stages, as of now.
    fn times(&self, ctx: &RequestContext) -> StageTimes {
        let prompt = ctx.request.prompt;
        let tokens = prompt.map_or(0, |p| p.tokens - p.shared.min(p.tokens));
        let model = ctx.shared.expected_first_event(&ctx.service, tokens);
        let limits = |name: &PoolName| ctx.catalog.service(name)?.batching.clone();
        StageTimes::new(&ctx.route.stages, &self.plan.item_counts(), model, limits)
    }

    fn handle_job_result(
        &mut self,
        ctx: &mut RequestContext,
        job_result: JobResult,
    ) -> Result<(), Refusal> {
        let Some((stage, items)) = self.jobs.remove(&job_result.number) else {
            return Ok(());
        };
        let service = &ctx.route.stages[stage].service;
        for result in job_result.results {
            let held = HeldResult {
                service: service.clone(),
                endpoint: result.endpoint,
                size: ctx.route.stages[stage].result_bytes,
            };
            self.results.insert(result.handle.clone(), held);
            self.plan.on_result(stage, result.item, result.handle);
        }
        if let Some(failure) = job_result.failure {
            log::info!(event = "stage-failed", request = ctx.request.id.as_str(), stage, service = service.as_str(), why = failure.to_string().as_str(), left_ms = ctx.remaining().as_millis() as u64, backlog_ms = job_result.backlog.as_millis() as u64; "");
            ctx.backlog = job_result.backlog;
        }
        self.admitted = true;
        self.refusals = self.refusals.max(job_result.refusals);
        let retry = match job_result.failure {
            None => return Ok(()),
            Some(JobFailure::Refused) => {
                let now = ctx.shared.now();
                let promise = job_result.promise.as_ref();
                ctx.backlog = promise.map_or(ctx.backlog, |p| p.due.since(now));
                return Err(Refusal::NotAdmitted);
            }
            Some(JobFailure::Late) => return Err(Refusal::StagesLate),
            Some(JobFailure::Gone) => self.inputs_gone(stage, &items),
            Some(JobFailure::Failed) => self.stage_failed(stage, &items),
        };
        retry.map_err(|error| {
            log::warn!(event = "stage-given-up", request = ctx.request.id.as_str(), stage, error = error.to_string().as_str(); "");
            Refusal::StageFailed
        })
    }

    fn inputs_gone(&mut self, stage: usize, items: &[u32]) -> Result<(), PlanError> {
        if let Some(&first) = items.first() {
            self.plan.on_inputs_gone(stage, first)?;
        }
        self.reopen(stage, items);
        Ok(())
    }

    fn stage_failed(&mut self, stage: usize, items: &[u32]) -> Result<(), PlanError> {
        if let Some(&first) = items.first() {
            self.plan.on_failure(stage, first)?;
        }
        self.reopen(stage, items);
        Ok(())
    }

    fn reopen(&mut self, stage: usize, items: &[u32]) {
        for &item in items {
            self.plan.on_cancelled(stage, item);
        }
    }

    fn release_handles(&mut self, handles: Vec<String>) {
        let mut by_service: BTreeMap<PoolName, Vec<(EndpointId, String)>> = BTreeMap::new();
        for handle in handles {
            if let Some(result) = self.results.remove(&handle) {
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

    /// Returns the failure domain that holds most of the given results, and
    /// their size there.
    fn dominant_domain(
        &self,
        ctx: &RequestContext,
        handles: &[String],
    ) -> Option<(FailureDomain, Bytes)> {
        let mut sizes: BTreeMap<FailureDomain, u64> = BTreeMap::new();
        let directory = ctx.shared.directory();
        for handle in handles {
            let result = self.results.get(handle)?;
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
        for &number in self.jobs.keys() {
            self.dispatcher.cancel(number);
        }
        self.release();
    }
}

/// Returns the failure domain that holds the results, if reading them elsewhere
/// costs more than the shared prefix.
fn preferred_domain(ctx: &RequestContext) -> Option<FailureDomain> {
    let (domain, tokens) = ctx.inputs.as_ref()?;
    let shared = ctx.request.prompt.map_or(0, |p| p.shared);
    (*tokens > shared).then(|| domain.clone())
}

/// Returns the failure domain of the best endpoint for the prompt's prefix.
fn prompt_domain(ctx: &RequestContext) -> Option<FailureDomain> {
    let prompt = ctx.request.prompt?;
    let directory = ctx.shared.directory();
    let entry = directory.home(&ctx.service, prompt.prefix)?;
    Some(entry.domain.clone())
}

/// Returns the key of a request, which stays the same when its caller retries.
fn request_key(ctx: &RequestContext) -> RequestKey {
    let text = format!("{} {}", ctx.fingerprint(), ctx.request.item_key);
    RequestKey(rapidhash_v3(text.as_bytes()))
}

fn no_earlier_than(now: Time, at: Time) -> Time {
    at.max(now)
}

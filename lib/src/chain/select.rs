//! The choice of an endpoint for an attempt, and feedback from its end.

use std::time::Duration;

use super::Alternative;
use super::Chain;
use super::RequestSpec;
use super::Shared;
use super::Usage;
use super::attempt::Attempt;
use super::timing;
use crate::config::Stage;
use crate::config::StageRole;
use crate::deadline::StageTime;
use crate::deadline::StageTimes;
use crate::ids::EndpointId;
use crate::ids::PoolName;
use crate::outcome::Reason;
use crate::routing;
use crate::routing::Need;
use crate::routing::Pool;
use crate::routing::Why;
use crate::time::Time;

/// The fraction of the output limit assumed before any output was observed.
const OUTPUT_INITIAL_FRACTION: f32 = 0.5;

/// An endpoint chosen for an attempt.
#[derive(Debug, Clone)]
pub(super) struct PickedEndpoint {
    pub(super) slot: usize,
    pub(super) domain: u16,
    pub(super) endpoint: EndpointId,
    pub(super) why: Why,
    pub(super) predicted: Duration,
    pub(super) nominal: Duration,
    pub(super) occupancy: f32,
    pub(super) others: [Option<Alternative>; 2],
}

/// Returns whether a stage generates tokens.
pub(super) fn generates(stage: &Stage) -> bool {
    stage.role == StageRole::Generate
}

/// Returns the requirements of a stage, or `None` if no endpoint has its model.
///
/// `held` is the number of answer tokens already received. The budget and the
/// constraints on slots and failure domain are not set.
pub(crate) fn stage_need<'a>(
    spec: &'a RequestSpec,
    index: usize,
    held: u32,
    times: &StageTimes,
    pool: &Pool,
) -> Option<Need<'a>> {
    let stage = &spec.pipeline.stages[index];
    let model = match &stage.model {
        Some(name) if pool.has_models() => pool.model_bit(name)?,
        _ => 0,
    };
    let mut need = Need {
        model,
        weights: spec.pipeline.weights,
        ..Need::default()
    };
    if generates(stage) {
        need.prompt = spec.prompt.tokens.0 + held;
        need.prefix = &spec.prompt.prefix;
        need.output = expected_output(spec, index, held, times);
    }
    Some(need)
}

fn expected_output(spec: &RequestSpec, index: usize, held: u32, times: &StageTimes) -> f32 {
    let max = (spec.prompt.max_output.0 as f32).max(1.0);
    let mean = times
        .get(&spec.name, index)
        .and_then(StageTime::output_tokens);
    let total = mean.unwrap_or(max * OUTPUT_INITIAL_FRACTION).min(max);
    (total - held as f32).max(1.0)
}

/// Chooses an endpoint for the next attempt of the chain's stage.
pub(super) fn pick(
    now: Time,
    chain: &Chain,
    shared: &mut Shared,
) -> Result<PickedEndpoint, Reason> {
    let stage = chain.current_stage();
    let tried: Vec<usize> = chain.stage_attempts().map(|a| a.slot).collect();
    let domain = chain.stage_attempts().last().map(|a| a.domain);
    let budget = stage_budget(now, chain, shared);
    let pool = shared.fleet.pool_mut(&stage.pool);
    let pool = pool.ok_or(Reason::NoEndpoint)?;
    if !stage.idempotent {
        return pick_owner(now, chain, pool);
    }
    let need = stage_need(
        &chain.spec,
        chain.stage,
        chain.held_tokens,
        &shared.times,
        pool,
    );
    let need = Need {
        budget,
        avoid: &tried,
        domain,
        ..need.ok_or(Reason::NoEndpoint)?
    };
    let policy = shared.policy.as_mut();
    let choice = routing::choose(policy, now, pool, &need, &mut shared.rng);
    let choice = choice.ok_or(Reason::NoEndpoint)?;
    let alternative = |(slot, total): (usize, f32)| Alternative {
        endpoint: pool.endpoints()[slot].id().clone(),
        predicted: to_duration(total),
    };
    let endpoint = &pool.endpoints()[choice.slot];
    Ok(PickedEndpoint {
        slot: choice.slot,
        domain: endpoint.domain(),
        endpoint: endpoint.id().clone(),
        why: choice.why,
        predicted: to_duration(choice.predicted),
        nominal: to_duration(choice.nominal),
        occupancy: pool.occupancy(choice.slot),
        others: choice.others.map(|other| other.map(alternative)),
    })
}

// Two agents that both accept a key would both run the call. Only the owner of
// the key's slot knows its earlier outcome, so no other endpoint is eligible.
fn pick_owner(now: Time, chain: &Chain, pool: &Pool) -> Result<PickedEndpoint, Reason> {
    let owner = chain.spec.slot_owner.as_ref();
    // The endpoint that refused the key stays listed as owner until its next
    // report. Retrying it would use up attempts that the next owner needs.
    let owner = owner.filter(|&o| chain.refused_by.as_ref() != Some(o));
    let owner = owner.ok_or(Reason::NoLease)?;
    let slot = pool.find(owner).ok_or(Reason::NoEndpoint)?;
    let endpoint = &pool.endpoints()[slot];
    if endpoint.is_draining() {
        return Err(Reason::Draining);
    }
    if !endpoint.is_usable(now) {
        return Err(Reason::NoEndpoint);
    }
    Ok(PickedEndpoint {
        slot,
        domain: endpoint.domain(),
        endpoint: owner.clone(),
        why: Why::KeySlot,
        predicted: to_duration(pool.predict(now, slot)),
        nominal: to_duration(pool.predict(now, slot)),
        occupancy: pool.occupancy(slot),
        others: [None, None],
    })
}

/// Returns whether a usable endpoint has no attempt of this stage yet.
///
/// A hedge to the endpoint that already has the call would double its work and
/// spend hedge budget that other calls could use.
pub(super) fn has_untried_endpoint(now: Time, chain: &Chain, shared: &Shared) -> bool {
    let Some(pool) = shared.fleet.pool(&chain.current_stage().pool) else {
        return false;
    };
    let untried = |slot: usize| chain.stage_attempts().all(|a| a.slot != slot);
    let mut endpoints = pool.endpoints().iter().enumerate();
    endpoints.any(|(slot, e)| e.is_usable(now) && untried(slot))
}

fn stage_budget(now: Time, chain: &Chain, shared: &Shared) -> Duration {
    let rest = timing::time_from_stage(
        now,
        chain,
        shared,
        chain.stage + 1,
        timing::TYPICAL_QUANTILE,
    );
    (chain.spec.deadline - rest).since(now)
}

fn to_duration(value: f32) -> Duration {
    Duration::try_from_secs_f32(value).unwrap_or(Duration::MAX)
}

/// Records a completed attempt.
pub(super) fn record_completion(
    now: Time,
    attempt: &Attempt,
    usage: Usage,
    chain: &Chain,
    shared: &mut Shared,
) {
    let pool = &chain.current_stage().pool;
    let elapsed = now.since(attempt.started_at);
    let ratio = endpoint_ratio(now, attempt, chain, shared);
    if let Some(endpoint) = shared
        .fleet
        .endpoint_at(pool, attempt.slot, &attempt.endpoint)
    {
        endpoint.health_mut().on_response(now, ratio);
    }
    shared.fleet.observe_work(pool, attempt.slot, usage.work);
    if generates(chain.current_stage()) {
        record_slowdown(now, attempt, pool, shared);
    }
    let entry = shared.times.entry(&chain.spec.name, chain.stage);
    entry.mark_seen(now);
    entry.elapsed.observe(now.since(chain.stage_started));
    if attempt.first_token.is_none() {
        entry.first_token.observe(elapsed);
    }
    if usage.output.0 > 0 {
        entry.observe_output(usage.output.0);
    }
}

fn record_slowdown(now: Time, attempt: &Attempt, pool: &PoolName, shared: &mut Shared) {
    let slope = shared.fleet.pool(pool).map_or(0.0, Pool::batch_slowdown);
    let idle_ratio = attempt.elapsed_ratio(now) * (1.0 + slope * attempt.occupancy.min(1.0));
    shared
        .fleet
        .observe_batch_slowdown(pool, attempt.occupancy, idle_ratio);
    shared
        .fleet
        .observe_overrun(pool, attempt.elapsed_ratio(now));
}

// A slowdown of all endpoints, as with cold caches, is modelled for the pool.
// Attributed to each endpoint as well it would count twice, and admission would
// refuse requests that complete in half the predicted time.
fn endpoint_ratio(now: Time, attempt: &Attempt, chain: &Chain, shared: &Shared) -> f32 {
    let ratio = attempt.elapsed_ratio(now);
    if !generates(chain.current_stage()) {
        return ratio;
    }
    let pool = shared.fleet.pool(&chain.current_stage().pool);
    ratio / pool.map_or(1.0, Pool::shared_slowdown)
}

/// Records an attempt that ended without a response.
pub(super) fn record_failure(now: Time, attempt: &Attempt, chain: &Chain, shared: &mut Shared) {
    let pool = &chain.current_stage().pool;
    if let Some(endpoint) = shared
        .fleet
        .endpoint_at(pool, attempt.slot, &attempt.endpoint)
    {
        endpoint.health_mut().on_failure(now);
    }
}

/// Records an attempt that was refused with proof that it did not run.
pub(super) fn record_refusal(
    now: Time,
    attempt: &Attempt,
    reason: Reason,
    chain: &Chain,
    shared: &mut Shared,
) {
    let pool = &chain.current_stage().pool;
    let Some(endpoint) = shared
        .fleet
        .endpoint_at(pool, attempt.slot, &attempt.endpoint)
    else {
        return;
    };
    match reason {
        Reason::Overload | Reason::Limit | Reason::Deadline => endpoint.mark_full(),
        Reason::Draining => endpoint.mark_draining(),
        // The slot has a new owner, which says nothing about the endpoint's health.
        Reason::NoLease => {}
        _ => endpoint.health_mut().on_failure(now),
    }
}

/// Records the elapsed time of an open attempt, in case it exceeds the predicted
/// time.
pub(super) fn record_overdue(now: Time, attempt: &Attempt, chain: &Chain, shared: &mut Shared) {
    let pool = &chain.current_stage().pool;
    let ratio = endpoint_ratio(now, attempt, chain, shared);
    if let Some(endpoint) = shared
        .fleet
        .endpoint_at(pool, attempt.slot, &attempt.endpoint)
    {
        endpoint.health_mut().on_overdue(now, ratio);
    }
}

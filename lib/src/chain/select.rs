//! The choice of an endpoint for an attempt, and what its end teaches.

use std::time::Duration;

use super::Alternative;
use super::Chain;
use super::Shared;
use super::Spec;
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

/// The share of a prompt's limit that an answer is taken to have at first.
const OUTPUT_FIRST: f32 = 0.5;

/// An endpoint picked for an attempt.
#[derive(Debug, Clone)]
pub(super) struct Picked {
    pub(super) slot: usize,
    pub(super) domain: u16,
    pub(super) endpoint: EndpointId,
    pub(super) why: Why,
    pub(super) predicted: Duration,
    pub(super) plain: Duration,
    pub(super) crowd: f32,
    pub(super) others: [Option<Alternative>; 2],
}

/// Tells whether a stage generates tokens.
pub(super) fn generates(stage: &Stage) -> bool {
    stage.role == StageRole::Generate
}

/// Describes what a stage needs, or `None` if no endpoint has its model.
///
/// `held` is the number of tokens of the answer that are there already. The
/// time, and what to avoid, are left open.
pub(crate) fn stage_need<'a>(
    spec: &'a Spec,
    index: usize,
    held: u32,
    times: &StageTimes,
    pool: &Pool,
) -> Option<Need<'a>> {
    let stage = &spec.pipeline.stages[index];
    let model = match &stage.model {
        Some(name) if pool.has_models() => pool.model(name)?,
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

fn expected_output(spec: &Spec, index: usize, held: u32, times: &StageTimes) -> f32 {
    let max = (spec.prompt.max.0 as f32).max(1.0);
    let usual = times
        .get(&spec.name, index)
        .and_then(StageTime::output_tokens);
    let whole = usual.unwrap_or(max * OUTPUT_FIRST).min(max);
    (whole - held as f32).max(1.0)
}

/// Picks an endpoint for the next attempt at the chain's stage.
pub(super) fn pick(now: Time, chain: &Chain, shared: &mut Shared) -> Result<Picked, Reason> {
    let stage = chain.current();
    let tried: Vec<usize> = chain.here().map(|a| a.slot).collect();
    let domain = chain.here().last().map(|a| a.domain);
    let budget = budget(now, chain, shared);
    let pool = shared.fleet.pool_mut(&stage.pool);
    let pool = pool.ok_or(Reason::NoEndpoint)?;
    if !stage.idempotent {
        return pick_owner(now, chain, pool);
    }
    let need = stage_need(&chain.spec, chain.stage, chain.tokens, &shared.times, pool);
    let need = Need {
        budget,
        avoid: &tried,
        domain,
        ..need.ok_or(Reason::NoEndpoint)?
    };
    let policy = shared.policy.as_mut();
    let choice = routing::choose(policy, now, pool, &need, &mut shared.rng);
    let choice = choice.ok_or(Reason::NoEndpoint)?;
    let named = |(slot, total): (usize, f32)| Alternative {
        endpoint: pool.endpoints()[slot].id().clone(),
        predicted: seconds(total),
    };
    let endpoint = &pool.endpoints()[choice.slot];
    Ok(Picked {
        slot: choice.slot,
        domain: endpoint.domain(),
        endpoint: endpoint.id().clone(),
        why: choice.why,
        predicted: seconds(choice.predicted),
        plain: seconds(choice.plain),
        crowd: pool.crowd(choice.slot),
        others: choice.others.map(|other| other.map(named)),
    })
}

// Two agents that both take a key would both run the call. Only the owner of
// the key's slot knows what became of it, so no other endpoint is asked.
fn pick_owner(now: Time, chain: &Chain, pool: &Pool) -> Result<Picked, Reason> {
    let owner = chain.spec.slot.as_ref();
    // Who refused the key is named until its next report comes. Asked again
    // before, it would use up the attempts that the next owner needs.
    let owner = owner.filter(|&o| chain.refuser.as_ref() != Some(o));
    let owner = owner.ok_or(Reason::NoLease)?;
    let slot = pool.find(owner).ok_or(Reason::NoEndpoint)?;
    let endpoint = &pool.endpoints()[slot];
    if endpoint.is_draining() {
        return Err(Reason::Draining);
    }
    if !endpoint.is_usable(now) {
        return Err(Reason::NoEndpoint);
    }
    Ok(Picked {
        slot,
        domain: endpoint.domain(),
        endpoint: owner.clone(),
        why: Why::KeySlot,
        predicted: seconds(pool.predict(now, slot)),
        plain: seconds(pool.predict(now, slot)),
        crowd: pool.crowd(slot),
        others: [None, None],
    })
}

/// Tells whether an endpoint that has not been tried at this stage is usable.
///
/// A hedge to the endpoint that already holds the call doubles its work and
/// spends the budget of calls that another endpoint could still save.
pub(super) fn has_other(now: Time, chain: &Chain, shared: &Shared) -> bool {
    let Some(pool) = shared.fleet.pool(&chain.current().pool) else {
        return false;
    };
    let untried = |slot: usize| chain.here().all(|a| a.slot != slot);
    let mut endpoints = pool.endpoints().iter().enumerate();
    endpoints.any(|(slot, e)| e.is_usable(now) && untried(slot))
}

fn budget(now: Time, chain: &Chain, shared: &Shared) -> Duration {
    let rest = timing::rest(now, chain, shared, chain.stage + 1, timing::USUAL);
    (chain.spec.deadline - rest).since(now)
}

fn seconds(value: f32) -> Duration {
    Duration::try_from_secs_f32(value).unwrap_or(Duration::MAX)
}

/// Learns from a completed attempt.
pub(super) fn note_answer(
    now: Time,
    attempt: &Attempt,
    usage: Usage,
    chain: &Chain,
    shared: &mut Shared,
) {
    let pool = &chain.current().pool;
    let took = now.since(attempt.began);
    let ratio = own_ratio(now, attempt, chain, shared);
    if let Some(endpoint) = shared.fleet.at(pool, attempt.slot, &attempt.endpoint) {
        endpoint.health_mut().answered(now, ratio);
    }
    shared.fleet.worked(pool, attempt.slot, usage.work);
    if generates(chain.current()) {
        note_drag(now, attempt, pool, shared);
    }
    let entry = shared.times.entry(&chain.spec.name, chain.stage);
    entry.mark_seen(now);
    entry.elapsed.observe(now.since(chain.entered));
    if attempt.first.is_none() {
        entry.first_token.observe(took);
    }
    if usage.output.0 > 0 {
        entry.observe_output(usage.output.0);
    }
}

fn note_drag(now: Time, attempt: &Attempt, pool: &PoolName, shared: &mut Shared) {
    let slope = shared.fleet.pool(pool).map_or(0.0, Pool::drag);
    let idle = attempt.ratio(now) * (1.0 + slope * attempt.crowd.min(1.0));
    shared.fleet.dragged(pool, attempt.crowd, idle);
    shared.fleet.missed(pool, attempt.ratio(now));
}

// When all endpoints are slower than promised, as with cold caches, the drag of
// the pool takes it up. Held against each endpoint too, it counted twice, and
// admission refused what could be done in half the predicted time.
fn own_ratio(now: Time, attempt: &Attempt, chain: &Chain, shared: &Shared) -> f32 {
    let ratio = attempt.ratio(now);
    if !generates(chain.current()) {
        return ratio;
    }
    let pool = shared.fleet.pool(&chain.current().pool);
    ratio / pool.map_or(1.0, Pool::common)
}

/// Learns from an attempt that ended without an answer.
pub(super) fn note_failure(now: Time, attempt: &Attempt, chain: &Chain, shared: &mut Shared) {
    let pool = &chain.current().pool;
    if let Some(endpoint) = shared.fleet.at(pool, attempt.slot, &attempt.endpoint) {
        endpoint.health_mut().failed(now);
    }
}

/// Learns from an attempt that was refused with proof.
pub(super) fn note_refusal(
    now: Time,
    attempt: &Attempt,
    reason: Reason,
    chain: &Chain,
    shared: &mut Shared,
) {
    let pool = &chain.current().pool;
    let Some(endpoint) = shared.fleet.at(pool, attempt.slot, &attempt.endpoint) else {
        return;
    };
    match reason {
        Reason::Overload | Reason::Limit | Reason::Deadline => endpoint.refused(),
        Reason::Draining => endpoint.leaves(),
        // The slot moved; the endpoint is as well as before.
        Reason::NoLease => {}
        _ => endpoint.health_mut().failed(now),
    }
}

/// Learns that an attempt takes longer than predicted, before it ends.
pub(super) fn note_overdue(now: Time, attempt: &Attempt, chain: &Chain, shared: &mut Shared) {
    let pool = &chain.current().pool;
    let ratio = own_ratio(now, attempt, chain, shared);
    if let Some(endpoint) = shared.fleet.at(pool, attempt.slot, &attempt.endpoint) {
        endpoint.health_mut().overdue(now, ratio);
    }
}

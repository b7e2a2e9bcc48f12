//! The choice by predicted lateness and cost.

use rand::Rng;
use rand_pcg::Pcg32;

use super::Choice;
use super::Need;
use super::Policy;
use super::Pool;
use super::Why;
use super::endpoint::Forecast;
use crate::time::Time;

/// The load, relative to the pool's mean, above which a cached prefix is no
/// argument any more.
const LOAD_BOUND: f32 = 1.25;

/// The part of the best predicted time within which candidates count as equal.
///
/// Reports lag, so routers that all took the very best would all take the same
/// endpoint until the next report, and queue up there.
const EQUAL: f32 = 0.05;

/// The weight of a second that comes early enough.
///
/// It is not zero, because the slack is worth something to later stages.
const EARLY: f32 = 0.25;

/// Takes the endpoint with the least predicted lateness and cost.
#[derive(Debug, Clone, Default)]
pub struct Predicted;

#[derive(Debug, Clone, Copy)]
struct Scored {
    slot: usize,
    score: f32,
    total: f32,
}

impl Policy for Predicted {
    fn name(&self) -> &'static str {
        "predicted"
    }

    fn choose(
        &mut self,
        now: Time,
        pool: &mut Pool,
        need: &Need<'_>,
        rng: &mut Pcg32,
    ) -> Option<Choice> {
        let count = pool.endpoints.len();
        if count == 0 {
            return None;
        }
        pool.holders.measure(need.prefix, count);
        let start = rng.next_u32() as usize % count;
        let mut best: [Option<Scored>; 3] = [None; 3];
        let mut load = Load::default();
        for slot in (start..count).chain(0..start) {
            if !pool.allows(now, slot, need) {
                continue;
            }
            load.add(pool.endpoints[slot].busy());
            insert(&mut best, score(now, pool, slot, need));
        }
        pool.mean = load.mean();
        pick(pool, need, best, rng)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Load {
    busy: u32,
    count: u32,
}

impl Load {
    const fn add(&mut self, busy: u32) {
        self.busy += busy;
        self.count += 1;
    }

    fn mean(self) -> f32 {
        self.busy as f32 / self.count.max(1) as f32
    }
}

fn score(now: Time, pool: &Pool, slot: usize, need: &Need<'_>) -> Scored {
    let endpoint = &pool.endpoints[slot];
    let forecast = pool.forecast(now, slot, need);
    // An endpoint that fails at once has no queue and would look best. Its
    // failures are charged with the whole budget that the caller loses.
    let failing = endpoint.health.failing(now);
    let budget = need.budget.as_secs_f32().max(0.001);
    let lateness = lateness(forecast.total, budget) + failing * budget * 4.0;
    let cost = pool.price * work(now, pool, slot, need, forecast);
    Scored {
        slot,
        score: need.weights.lateness as f32 * lateness + need.weights.cost as f32 * cost,
        total: forecast.total,
    }
}

// A prefix shared by most prompts would draw all of them to one endpoint. Above
// the load bound the prompt counts as unread, so that others get the prefix too.
fn work(now: Time, pool: &Pool, slot: usize, need: &Need<'_>, forecast: Forecast) -> f32 {
    let crowded = pool.endpoints[slot].busy() as f32 > LOAD_BOUND * pool.mean + 1.0;
    if crowded && pool.cached(slot) > 0 {
        return pool.forecast_with(now, slot, need, 0).work;
    }
    forecast.work
}

// Far below its budget an answer is early enough, so a second there weighs
// little; the weight grows up to the budget and stays twofold beyond it.
fn lateness(total: f32, budget: f32) -> f32 {
    if total <= budget {
        total * (EARLY + (1.0 - EARLY) * total / budget)
    } else {
        2.0 * total - budget
    }
}

fn insert(best: &mut [Option<Scored>; 3], new: Scored) {
    let better = |old: &Option<Scored>| old.is_none_or(|old| new.score < old.score);
    if better(&best[0]) {
        *best = [Some(new), best[0], best[1]];
    } else if better(&best[1]) {
        *best = [best[0], Some(new), best[1]];
    } else if better(&best[2]) {
        best[2] = Some(new);
    }
}

fn pick(
    pool: &Pool,
    need: &Need<'_>,
    best: [Option<Scored>; 3],
    rng: &mut Pcg32,
) -> Option<Choice> {
    let first = best[0]?;
    let bound = first.score + EQUAL * first.total * EARLY * need.weights.lateness as f32;
    let equal = best.iter().flatten().filter(|s| s.score <= bound).count();
    let index = rng.next_u32() as usize % equal.max(1);
    let chosen = best[index].unwrap_or(first);
    let mut others = [None; 2];
    let rest = best.iter().flatten().filter(|s| s.slot != chosen.slot);
    for (place, other) in others.iter_mut().zip(rest) {
        *place = Some((other.slot, other.total));
    }
    let why = if pool.cached(chosen.slot) > 0 {
        Why::Prefix
    } else {
        Why::Predicted
    };
    Some(Choice {
        slot: chosen.slot,
        why,
        predicted: chosen.total,
        others,
    })
}

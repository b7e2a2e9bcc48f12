//! The policy that minimizes predicted lateness and cost.

use rand::Rng;
use rand_pcg::Pcg32;

use super::Choice;
use super::Need;
use super::Policy;
use super::Pool;
use super::Why;
use super::endpoint::Forecast;
use crate::time::Time;

/// The load, relative to the pool's mean, above which a cached prefix is
/// ignored.
const LOAD_BOUND: f32 = 1.25;

/// The fraction of the best predicted time within which candidates are tied.
///
/// Reports lag: if all routers chose the single best endpoint, they would
/// overload the same one until the next report.
const TIE_FRACTION: f32 = 0.05;

/// The candidates scored in a large pool, spread evenly.
///
/// The best of 128 is among the best twentieth of all in 998 of 1,000 choices
/// (1 - 0.95^128), and routers that sample different slots spread their load.
const SAMPLE_SIZE: usize = 128;

/// The additional candidates, among those that hold the longest prefix.
const PREFIX_CANDIDATES: usize = 32;

/// The cost of a failed call, in multiples of the stage's time budget.
const FAILURE_BUDGETS: f32 = 4.0;

/// The weight of a second well within the budget.
///
/// It is not zero, because later stages benefit from the slack.
const EARLY_WEIGHT: f32 = 0.25;

/// Chooses the endpoint with the least predicted lateness and cost.
#[derive(Debug, Clone, Default)]
pub struct Predicted;

#[derive(Debug, Clone, Copy)]
struct Scored {
    slot: usize,
    score: f32,
    total: f32,
    nominal: f32,
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
        pool.prefix_index.match_prefix(need.prefix, count);
        let start = rng.next_u32() as usize % count;
        let mut search = Search::new(now, need, pool);
        let step = count.div_ceil(SAMPLE_SIZE);
        search.consider((0..count).step_by(step).map(|i| (start + i) % count));
        if step > 1 {
            search.consider(pool.prefix_index.longest().take(PREFIX_CANDIDATES));
            if search.best[0].is_none() {
                search.consider(0..count);
            }
        }
        let Search { best, load, .. } = search;
        pool.mean_busy = load.mean();
        pick_among_ties(pool, need, best, rng)
    }
}

/// The search for the best slots of a choice.
struct Search<'a> {
    now: Time,
    need: &'a Need<'a>,
    pool: &'a Pool,
    weights: ScoreWeights,
    best: [Option<Scored>; 3],
    load: Load,
}

impl<'a> Search<'a> {
    fn new(now: Time, need: &'a Need<'a>, pool: &'a Pool) -> Self {
        Self {
            now,
            need,
            pool,
            weights: ScoreWeights::new(need, pool.price),
            best: [None; 3],
            load: Load::default(),
        }
    }

    fn consider(&mut self, slots: impl Iterator<Item = usize>) {
        for slot in slots {
            if self.pool.allows(self.now, slot, self.need) {
                self.load.add(self.pool.endpoints[slot].busy());
                let scored = score(self.now, self.pool, slot, self.need, &self.weights);
                insert_best(&mut self.best, scored);
            }
        }
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

/// The weights common to all candidates of a choice.
#[derive(Debug, Clone, Copy)]
struct ScoreWeights {
    budget: f32,
    lateness: f32,
    cost: f32,
}

impl ScoreWeights {
    fn new(need: &Need<'_>, price: f32) -> Self {
        Self {
            budget: need.budget.as_secs_f32().max(0.001),
            lateness: need.weights.lateness as f32,
            cost: need.weights.cost as f32 * price,
        }
    }
}

fn score(now: Time, pool: &Pool, slot: usize, need: &Need<'_>, weights: &ScoreWeights) -> Scored {
    let forecast = pool.forecast(now, slot, need);
    // An endpoint that fails fast has no queue and would score best, so each
    // expected failure costs more than the budget that the caller loses.
    let failure_cost = FAILURE_BUDGETS * forecast.failure_rate * weights.budget;
    let lateness = lateness(forecast.total, weights.budget) + failure_cost;
    let work = charged_work(now, pool, slot, need, forecast);
    Scored {
        slot,
        score: weights.lateness * lateness + weights.cost * work,
        total: forecast.total,
        nominal: forecast.nominal,
    }
}

// A prefix shared by most prompts would attract all of them to one endpoint.
// Above the load bound the prompt counts as uncached, which spreads the prefix.
fn charged_work(now: Time, pool: &Pool, slot: usize, need: &Need<'_>, forecast: Forecast) -> f32 {
    let crowded = pool.endpoints[slot].busy() as f32 > LOAD_BOUND * pool.mean_busy + 1.0;
    if crowded && pool.cached_tokens(slot) > 0 {
        return pool.forecast_with(now, slot, need, 0).work;
    }
    forecast.work
}

// Far below the budget a second weighs little; the weight grows up to the
// budget and is twofold beyond it.
fn lateness(total: f32, budget: f32) -> f32 {
    if total <= budget {
        total * (EARLY_WEIGHT + (1.0 - EARLY_WEIGHT) * total / budget)
    } else {
        2.0 * total - budget
    }
}

fn insert_best(best: &mut [Option<Scored>; 3], new: Scored) {
    if best.iter().flatten().any(|old| old.slot == new.slot) {
        return;
    }
    let better = |old: &Option<Scored>| old.is_none_or(|old| new.score < old.score);
    if better(&best[0]) {
        *best = [Some(new), best[0], best[1]];
    } else if better(&best[1]) {
        *best = [best[0], Some(new), best[1]];
    } else if better(&best[2]) {
        best[2] = Some(new);
    }
}

fn pick_among_ties(
    pool: &Pool,
    need: &Need<'_>,
    best: [Option<Scored>; 3],
    rng: &mut Pcg32,
) -> Option<Choice> {
    let leader = best[0]?;
    let bound =
        leader.score + TIE_FRACTION * leader.total * EARLY_WEIGHT * need.weights.lateness as f32;
    let ties = best.iter().flatten().filter(|s| s.score <= bound).count();
    let index = rng.next_u32() as usize % ties.max(1);
    let chosen = best[index].unwrap_or(leader);
    let mut others = [None; 2];
    let rest = best.iter().flatten().filter(|s| s.slot != chosen.slot);
    for (entry, other) in others.iter_mut().zip(rest) {
        *entry = Some((other.slot, other.total));
    }
    let why = if pool.cached_tokens(chosen.slot) > 0 {
        Why::Prefix
    } else {
        Why::Predicted
    };
    Some(Choice {
        slot: chosen.slot,
        why,
        predicted: chosen.total,
        nominal: chosen.nominal,
        others,
    })
}

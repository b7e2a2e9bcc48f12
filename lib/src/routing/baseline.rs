//! Baseline policies for comparison with [`super::Predicted`].

use rand::Rng;
use rand_pcg::Pcg32;

use super::Choice;
use super::Need;
use super::Policy;
use super::Pool;
use super::Why;
use crate::time::Time;

/// Chooses the endpoints in rotation.
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    next_slot: usize,
}

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn choose(
        &mut self,
        now: Time,
        pool: &mut Pool,
        need: &Need<'_>,
        _rng: &mut Pcg32,
    ) -> Option<Choice> {
        let count = pool.endpoints.len();
        let allowed = |slot: &usize| pool.allows(now, *slot, need);
        let start = self.next_slot;
        let slot = (0..count).map(|i| (start + i) % count).find(allowed)?;
        self.next_slot = slot + 1;
        Some(choice_without_alternatives(
            now,
            pool,
            need,
            slot,
            Why::Turn,
        ))
    }
}

/// Chooses the endpoint with the fewest of this router's calls in flight.
#[derive(Debug, Clone, Default)]
pub struct LeastOutstanding;

impl Policy for LeastOutstanding {
    fn name(&self) -> &'static str {
        "least-outstanding"
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
        let start = rng.next_u32() as usize % count;
        let slot = (0..count)
            .map(|i| (start + i) % count)
            .filter(|&slot| pool.allows(now, slot, need))
            .min_by_key(|&slot| pool.endpoints[slot].outstanding)?;
        Some(choice_without_alternatives(
            now,
            pool,
            need,
            slot,
            Why::Outstanding,
        ))
    }
}

fn choice_without_alternatives(
    now: Time,
    pool: &Pool,
    need: &Need<'_>,
    slot: usize,
    why: Why,
) -> Choice {
    let forecast = pool.forecast(now, slot, need);
    Choice {
        slot,
        why,
        predicted: forecast.total,
        nominal: forecast.nominal,
        others: [None; 2],
    }
}

//! The points in time that a chain watches.

use std::time::Duration;

use rand::Rng;

use super::Chain;
use super::Shared;
use super::attempt::Attempt;
use super::select;
use crate::deadline::StageTime;
use crate::time::Time;

/// The quantile of later stages' times below which there is no hope.
const HOPE: f32 = 0.05;

/// The quantile of later stages' times that is set aside for them.
pub(super) const USUAL: f32 = 0.5;

/// The quantile after which an answer is late enough for a hedge.
const LATE: f32 = 0.95;

/// How far beyond its prediction an answer is late, at least.
const LATE_RATIO: f32 = 1.5;

/// How many times its prediction an answer is late while nothing is learned.
const UNLEARNED: u32 = 3;

/// How many times the time for a hedge has passed when an attempt is given up.
const PATIENCE: u32 = 3;

/// The least patience, which spares short stages a retry for a hiccup.
const PATIENCE_MIN: Duration = Duration::from_millis(50);

/// The longest silence between two tokens of an answer.
///
/// The users ask for 25 ms between tokens in 95 of 100; twelve of these are a
/// broken stream rather than a slow one.
const SILENCE: Duration = Duration::from_millis(300);

/// How long a caller is asked to stay away at least.
const COME_BACK: Duration = Duration::from_secs(1);

/// The levels of urgency that engines are given.
const PRIORITIES: f32 = 8.0;

/// When an attempt counts as late and when it is given up.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    pub(super) hedge: Time,
    pub(super) patience: Time,
}

/// Returns when the current stage must be done for the rest to have a hope.
pub(super) fn latest(now: Time, chain: &Chain, shared: &Shared) -> Time {
    chain.spec.deadline - rest(now, chain, shared, chain.stage + 1, HOPE)
}

/// Returns the time that stages from `from` on take.
pub(super) fn rest(now: Time, chain: &Chain, shared: &Shared, from: usize, part: f32) -> Duration {
    let count = chain.spec.pipeline.stages.len();
    shared
        .times
        .remaining(now, &chain.spec.name, from..count, part)
}

pub(super) fn priority(now: Time, chain: &Chain, shared: &Shared) -> u8 {
    let left = chain.spec.deadline.since(now).as_secs_f32();
    let needed = rest(now, chain, shared, chain.stage, USUAL).as_secs_f32();
    let whole = chain.spec.pipeline.deadline().as_secs_f32();
    let slack = (left - needed).max(0.0) / whole;
    (slack * PRIORITIES).min(PRIORITIES - 1.0) as u8
}

pub(super) fn limits(now: Time, chain: &Chain, predicted: Duration, shared: &Shared) -> Limits {
    let known = shared.times.get(&chain.spec.name, chain.stage);
    let late = match known.and_then(|k| usually_late(chain, predicted, k)) {
        Some(late) => late,
        None => predicted * UNLEARNED,
    };
    Limits {
        hedge: now + late.max(PATIENCE_MIN / PATIENCE),
        patience: now + (late * PATIENCE).max(PATIENCE_MIN),
    }
}

// A generation takes seconds, but its first token comes early. An endpoint that
// hangs is found by the missing first token while another can still make the
// deadline; by the missing answer it would be found too late.
fn usually_late(chain: &Chain, predicted: Duration, known: &StageTime) -> Option<Duration> {
    if select::generates(chain.current()) {
        return known.first_token.quantile(LATE);
    }
    let usual = known.elapsed.quantile(LATE)?;
    Some(usual.max(predicted.mul_f32(LATE_RATIO)))
}

/// Returns when an attempt without further progress is given up.
pub(super) fn silent_at(attempt: &Attempt) -> Time {
    match attempt.first {
        Some(_) => attempt.progress + SILENCE,
        None => attempt.patience,
    }
}

/// Gives an attempt that can't be moved now as much time again.
pub(super) fn postpone(now: Time, attempt: &mut Attempt) {
    let waited = now.since(attempt.began).max(PATIENCE_MIN);
    attempt.patience = now + waited;
    attempt.progress = now;
}

/// Returns when the only open attempt is late enough for a hedge.
pub(super) fn hedge_at(chain: &Chain) -> Option<Time> {
    if !chain.current().idempotent || chain.source.is_some() {
        return None;
    }
    let mut open = chain.open();
    let only = open.next()?;
    let alone = open.next().is_none();
    (alone && only.hedge != Time::NEVER).then_some(only.hedge)
}

pub(super) fn next_wake(now: Time, chain: &Chain, shared: &Shared) -> Time {
    let mut at = latest(now, chain, shared);
    if let Some(again) = chain.again {
        at = at.min(again);
    }
    if let Some(hedge) = hedge_at(chain) {
        at = at.min(hedge);
    }
    if chain.current().idempotent {
        for attempt in chain.open() {
            at = at.min(silent_at(attempt));
        }
    }
    at
}

/// Returns when a caller may ask again, spread so that all don't at once.
pub(super) fn come_back(shared: &mut Shared) -> Duration {
    jitter(COME_BACK, shared)
}

/// Returns between one and two times `base`.
pub(super) fn jitter(base: Duration, shared: &mut Shared) -> Duration {
    let part = shared.rng.next_u32() as f32 / u32::MAX as f32;
    base + base.mul_f32(part)
}

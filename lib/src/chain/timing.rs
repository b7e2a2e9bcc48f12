//! Deadlines, time-outs and wake times of a chain.

use std::time::Duration;

use rand::Rng;

use super::Chain;
use super::Shared;
use super::attempt::Attempt;
use super::select;
use crate::deadline::StageTime;
use crate::time::Time;

/// The quantile of later stages' times below which the deadline is infeasible.
const FEASIBLE_QUANTILE: f32 = 0.05;

/// The quantile of later stages' times that is reserved for them.
pub(super) const TYPICAL_QUANTILE: f32 = 0.5;

/// The quantile of response times after which a hedge may be sent.
const HEDGE_QUANTILE: f32 = 0.95;

/// The least multiple of the predicted time after which a hedge may be sent.
const HEDGE_RATIO_MIN: f32 = 1.5;

/// The multiple of the predicted time used before any time was observed.
const HEDGE_RATIO_INITIAL: u32 = 3;

/// The time-out of an attempt, in multiples of its hedge delay.
const TIMEOUT_RATIO: u32 = 3;

/// The shortest time-out, which avoids retries of short stages on brief delays.
const TIMEOUT_MIN: Duration = Duration::from_millis(50);

/// The longest gap between two tokens of an answer.
///
/// The requirement is 25 ms between tokens in 95 of 100; twelve times as long
/// means a broken stream rather than a slow one.
const TOKEN_GAP_MAX: Duration = Duration::from_millis(300);

/// The shortest delay of `Retry-After` advice to callers.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// The number of priority levels of calls to engines.
const PRIORITY_LEVELS: f32 = 8.0;

/// The hedge time and time-out of an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptTimers {
    pub(super) hedge_at: Time,
    pub(super) timeout_at: Time,
}

/// Returns when the current stage must end for the deadline to be feasible.
pub(super) fn stage_deadline(now: Time, chain: &Chain, shared: &Shared) -> Time {
    chain.spec.deadline - time_from_stage(now, chain, shared, chain.stage + 1, FEASIBLE_QUANTILE)
}

/// Returns the given quantile of the time from stage `from` to the end.
pub(super) fn time_from_stage(
    now: Time,
    chain: &Chain,
    shared: &Shared,
    from: usize,
    quantile: f32,
) -> Duration {
    let count = chain.spec.pipeline.stages.len();
    shared
        .times
        .remaining(now, &chain.spec.name, from..count, quantile)
}

pub(super) fn priority(now: Time, chain: &Chain, shared: &Shared) -> u8 {
    let remaining = chain.spec.deadline.since(now).as_secs_f32();
    let needed = time_from_stage(now, chain, shared, chain.stage, TYPICAL_QUANTILE).as_secs_f32();
    let total = chain.spec.pipeline.deadline().as_secs_f32();
    let slack = (remaining - needed).max(0.0) / total;
    (slack * PRIORITY_LEVELS).min(PRIORITY_LEVELS - 1.0) as u8
}

pub(super) fn timers(
    now: Time,
    chain: &Chain,
    predicted: Duration,
    shared: &Shared,
) -> AttemptTimers {
    let known = shared.times.get(&chain.spec.name, chain.stage);
    let hedge_delay = match known.and_then(|k| learned_hedge_delay(chain, predicted, k)) {
        Some(hedge_delay) => hedge_delay,
        None => predicted * HEDGE_RATIO_INITIAL,
    };
    AttemptTimers {
        hedge_at: now + hedge_delay.max(TIMEOUT_MIN / TIMEOUT_RATIO),
        timeout_at: now + (hedge_delay * TIMEOUT_RATIO).max(TIMEOUT_MIN),
    }
}

// A generation takes seconds, but its first token comes early. A missing first
// token reveals a hung endpoint while another can still meet the deadline; a
// missing response would reveal it too late.
fn learned_hedge_delay(chain: &Chain, predicted: Duration, known: &StageTime) -> Option<Duration> {
    if select::generates(chain.current_stage()) {
        return known.first_token.quantile(HEDGE_QUANTILE);
    }
    let typical = known.elapsed.quantile(HEDGE_QUANTILE)?;
    Some(typical.max(predicted.mul_f32(HEDGE_RATIO_MIN)))
}

/// Returns when an attempt without further progress times out.
pub(super) fn progress_deadline(attempt: &Attempt) -> Time {
    match attempt.first_token {
        Some(_) => attempt.last_progress + TOKEN_GAP_MAX,
        None => attempt.timeout_at,
    }
}

/// Extends the time-out of an attempt that can't be retried now by its elapsed
/// time.
pub(super) fn extend_timeout(now: Time, attempt: &mut Attempt) {
    let waited = now.since(attempt.started_at).max(TIMEOUT_MIN);
    attempt.timeout_at = now + waited;
    attempt.last_progress = now;
}

/// Returns when a hedge of the only open attempt may be sent.
pub(super) fn hedge_at(chain: &Chain) -> Option<Time> {
    if !chain.current_stage().idempotent || chain.token_source.is_some() {
        return None;
    }
    let mut open = chain.open_attempts();
    let only = open.next()?;
    let alone = open.next().is_none();
    (alone && only.hedge_at != Time::NEVER).then_some(only.hedge_at)
}

pub(super) fn next_wake(now: Time, chain: &Chain, shared: &Shared) -> Time {
    let mut at = stage_deadline(now, chain, shared);
    if let Some(retry_at) = chain.retry_at {
        at = at.min(retry_at);
    }
    if let Some(hedge) = hedge_at(chain) {
        at = at.min(hedge);
    }
    if chain.current_stage().idempotent {
        for attempt in chain.open_attempts() {
            at = at.min(progress_deadline(attempt));
        }
    }
    at
}

/// Returns the `Retry-After` delay, with jitter to spread the retries.
pub(super) fn retry_after(shared: &mut Shared) -> Duration {
    jitter(RETRY_AFTER_MIN, shared)
}

/// Returns a random duration between one and two times `base`.
pub(super) fn jitter(base: Duration, shared: &mut Shared) -> Duration {
    let fraction = shared.rng.next_u32() as f32 / u32::MAX as f32;
    base + base.mul_f32(fraction)
}

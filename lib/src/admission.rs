//! Whether a request can still make its deadline.

use std::time::Duration;

use crate::chain::Shared;
use crate::chain::Spec;
use crate::chain::stage_need;
use crate::outcome::Reason;
use crate::time::Time;

/// How much longer than the time left a plan may look.
///
/// Predictions run high: in a warm pool answers took 0.64 to 0.83 of the time
/// predicted (docs/BENCHMARKS.md). Held to the time left, every request that
/// would just fit is refused; those that don't fit after all are given up by
/// the chain before they cost a generation.
const TIME_FACTOR: f64 = 1.25;

/// The least time that a refused caller is asked to stay away.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);

/// The longest time that a refused caller is asked to stay away.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

/// A refusal before anything ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// When asking again may help.
    pub retry_after: Duration,
}

/// Admits a request if all its stages can still be done in time.
///
/// Returns the predicted time to the whole answer. The prediction takes the
/// best endpoint of each stage's pool as it is now, from load reports and the
/// work sent since, never from the time that past requests took: those would
/// keep a recovered pool shut, because nothing new would be measured.
///
/// # Errors
///
/// Returns [`Refusal`] if a pool has no endpoint or the time is too short.
pub fn admit(now: Time, spec: &Spec, shared: &mut Shared) -> Result<Duration, Refusal> {
    let mut total = 0.0;
    for index in 0..spec.pipeline.stages.len() {
        let predicted = predict_stage(now, spec, index, shared).ok_or(Refusal {
            reason: Reason::NoEndpoint,
            retry_after: RETRY_AFTER_MIN * 2,
        })?;
        total += f64::from(predicted);
    }
    let remaining = spec.deadline.since(now).as_secs_f64();
    let allowed = remaining * TIME_FACTOR * shared.fair.budget_fraction(now, &spec.account);
    if total > allowed {
        let excess = Duration::try_from_secs_f64(total - allowed).unwrap_or(RETRY_AFTER_MAX);
        return Err(Refusal {
            reason: Reason::Overload,
            retry_after: excess.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
        });
    }
    let share = shared.share(&spec.account);
    shared.fair.record(now, &spec.account, share, total);
    Ok(Duration::try_from_secs_f64(total).unwrap_or_default())
}

fn predict_stage(now: Time, spec: &Spec, index: usize, shared: &mut Shared) -> Option<f32> {
    let pool = shared.fleet.pool_mut(&spec.pipeline.stages[index].pool)?;
    let need = stage_need(spec, index, 0, &shared.times, pool)?;
    pool.best(now, &need)
}

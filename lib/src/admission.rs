//! Admission of requests that can meet their deadline.

use std::time::Duration;

use crate::chain::RequestSpec;
use crate::chain::Shared;
use crate::chain::stage_need;
use crate::outcome::Reason;
use crate::time::Time;

/// The ratio of predicted time to remaining time up to which requests pass.
///
/// Predictions are too high: in a warm pool, responses needed 0.64 to 0.83 of
/// the predicted time (docs/BENCHMARKS.md). A factor of 1 would refuse requests
/// that just fit. The chain ends those that don't before the generation stage.
const TIME_FACTOR: f64 = 1.25;

/// The minimum retry delay sent with a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);

/// The maximum retry delay sent with a refusal.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

/// A refusal of a request before any of it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// The delay after which a retry may succeed.
    pub retry_after: Duration,
}

/// Admits a request if all its stages can complete before the deadline.
///
/// Returns the predicted time to the whole response. The prediction uses the
/// best endpoint of each stage's pool, by load reports and the work sent since.
/// It ignores the duration of past requests: after an outage they would keep a
/// recovered pool closed, because no newer durations would be measured.
///
/// # Errors
///
/// Returns [`Refusal`] if a pool has no endpoint or too little time remains.
pub fn admit(now: Time, spec: &RequestSpec, shared: &mut Shared) -> Result<Duration, Refusal> {
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

fn predict_stage(now: Time, spec: &RequestSpec, index: usize, shared: &mut Shared) -> Option<f32> {
    let pool = shared.fleet.pool_mut(&spec.pipeline.stages[index].pool)?;
    let need = stage_need(spec, index, 0, &shared.times, pool)?;
    pool.best_predicted(now, &need)
}

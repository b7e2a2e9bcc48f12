//! The rate beyond which goodput grows no more.

use snipeyoke_runtime::scope::Scope;

use crate::scene::Deployment;

use super::Trial;
use super::TrialError;
use super::trial;

/// The factor between two rates of the ramp.
const STEP: f64 = 1.3;

/// The growth of goodput below which the ramp ends.
const GROWTH: f64 = 1.03;

/// The most steps of a ramp.
const STEPS_MAX: usize = 14;

/// One step of the ramp, and the highest goodput so far.
#[derive(Debug, Clone, PartialEq)]
pub struct Capacity {
    /// Requests a second that the deployment attains at most.
    pub rate: f64,
    /// Each rate tried with its goodput.
    pub steps: Vec<(f64, f64)>,
}

/// Raises the rate until goodput stops growing.
///
/// # Errors
///
/// Returns [`TrialError`] if a step gave no result.
pub async fn capacity(
    deployment: &Deployment,
    base: &Trial,
    scope: &Scope,
) -> Result<Capacity, TrialError> {
    let mut steps = Vec::new();
    let mut best = 0.0;
    let mut rate = base.rate;
    while steps.len() < STEPS_MAX {
        let step = Trial {
            rate,
            ..base.clone()
        };
        let (cell, _) = trial(deployment, &step, scope).await?;
        let goodput = cell.goodput();
        steps.push((rate, goodput));
        println!(
            "ramp: {rate:.0}/s offered, {goodput:.1}/s attained ({:.1}%)",
            cell.counts.attainment() * 100.0
        );
        let grown = goodput > best * GROWTH;
        best = f64::max(best, goodput);
        // Near zero attainment below capacity shows a fault, not a bound.
        if !grown && steps.len() > 1 {
            break;
        }
        rate *= STEP;
    }
    Ok(Capacity { rate: best, steps })
}

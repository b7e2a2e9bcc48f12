//! The rate beyond which the goodput of generations grows no more.

use snipeyoke_runtime::scope::Scope;

use crate::cell::Cell;
use crate::plan::Kind;
use crate::plan::Shape;
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
    /// Each rate tried, with that of the mix for the generations attained.
    pub steps: Vec<(f64, f64)>,
}

/// Raises the rate until the goodput of generations stops growing.
///
/// The capacity is that goodput as a rate of the whole mix.
///
/// # Errors
///
/// Returns [`TrialError`] if a step gave no result.
pub async fn capacity(
    deployment: &Deployment,
    base: &Trial,
    scope: &Scope,
) -> Result<Capacity, TrialError> {
    // Plain calls cost next to nothing: counted in, goodput would grow with
    // them long after the engines are full.
    let share = generated_share(deployment);
    let mut steps = Vec::new();
    let mut best = 0.0;
    let mut rate = base.rate;
    while steps.len() < STEPS_MAX {
        let step = Trial {
            rate,
            ..base.clone()
        };
        let (cell, _) = trial(deployment, &step, scope).await?;
        let goodput = generated(deployment, &cell) / share;
        steps.push((rate, goodput));
        println!(
            "ramp: {rate:.0}/s offered, {:.1}% attained; generations alone would bear \
             {goodput:.1}/s",
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

const fn is_generated(kind: &Kind) -> bool {
    matches!(kind.shape, Shape::Chat(_))
}

// Returns the share of generations in the mix; a mix without any counts all.
fn generated_share(deployment: &Deployment) -> f64 {
    let kinds = &deployment.mixture().mix().kinds;
    let all: f64 = kinds.iter().map(|k| k.weight).sum();
    let generated = kinds.iter().filter(|k| is_generated(k)).map(|k| k.weight);
    let share = generated.sum::<f64>() / all;
    if share > 0.0 { share } else { 1.0 }
}

fn generated(deployment: &Deployment, cell: &Cell) -> f64 {
    let kinds = &deployment.mixture().mix().kinds;
    let any = kinds.iter().any(is_generated);
    let counted = kinds.iter().filter(|k| !any || is_generated(k));
    let stats = counted.filter_map(|k| cell.kinds.get(&k.name));
    let attained: u64 = stats.map(|s| s.counts.attained).sum();
    attained as f64 / cell.setup.seconds.max(1e-9)
}

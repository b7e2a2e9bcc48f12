//! One run: a fresh deployment, a load, a fault, and what came of it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures_lite::future;
use snipeyoke_runtime::scope::Scope;

use crate::cell::Cell;
use crate::cell::PoolStats;
use crate::cell::Setup;
use crate::cell::audit;
use crate::drive;
use crate::drive::Caller;
use crate::drive::Hand;
use crate::drive::HandError;
use crate::drive::Run;
use crate::plan::Plan;
use crate::sample::Sample;
use crate::scene::Bed;
use crate::scene::BedError;
use crate::scene::Deployment;
use crate::scene::Options;

use super::FaultKind;

/// The time before counting begins, for caches to fill.
const WARM_UP: Duration = Duration::from_secs(3);

/// The time for endpoints to finish what nobody waits for any more.
const SETTLE: Duration = Duration::from_millis(300);

/// What to run.
#[derive(Debug, Clone, PartialEq)]
pub struct Trial {
    /// The policy, seed and threads.
    pub options: Options,
    /// Requests a second.
    pub rate: f64,
    /// That rate in percent of capacity.
    pub load: f64,
    /// What goes wrong.
    pub fault: FaultKind,
    /// Seconds in which requests are sent and counted.
    pub seconds: f64,
}

/// The reason why a trial gave no result.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum TrialError {
    /// The deployment did not start.
    #[display("{_0}")]
    Bed(BedError),
    /// A stand-in could not be asked.
    #[display("{_0}")]
    Hand(HandError),
}

/// Runs a trial, and returns its summary and samples.
///
/// # Errors
///
/// Returns [`TrialError`] if the deployment does not start or a stand-in can't
/// be asked for its effects.
pub async fn trial(
    deployment: &Deployment,
    trial: &Trial,
    scope: &Scope,
) -> Result<(Cell, Vec<Sample>), TrialError> {
    let mut bed = Bed::start(deployment, &trial.options, scope).await?;
    let result = run(deployment, trial, scope, &mut bed).await;
    bed.stop().await;
    result
}

async fn run(
    deployment: &Deployment,
    trial: &Trial,
    scope: &Scope,
    bed: &mut Bed,
) -> Result<(Cell, Vec<Sample>), TrialError> {
    let distance = Duration::from_secs_f64(deployment.scene().client_ms / 1e3);
    let caller = Caller::new(scope.clone(), &bed.routers(), distance);
    let hand = Hand::new(caller.client().clone());
    let seed = trial.options.seed;
    let warm = Run {
        plan: plan(deployment, trial, Vec::new(), seed + 1),
        length: WARM_UP,
        faults: Vec::new(),
    };
    drive::run(warm, &caller, scope).await;
    let before = pools(deployment, bed, &hand).await?;
    let bursts = trial.fault.bursts(trial.seconds);
    let measured = Run {
        plan: plan(deployment, trial, bursts, seed),
        length: Duration::from_secs_f64(trial.seconds),
        faults: trial.fault.plans(bed, deployment, trial.seconds),
    };
    let start = Instant::now();
    let lost = break_down(deployment, trial, bed, start);
    let (samples, lost) = future::zip(drive::run(measured, &caller, scope), lost).await;
    lost?;
    Timer::after(SETTLE).await;
    let after = pools(deployment, bed, &hand).await?;
    let setup = Setup {
        deployment: deployment.scene().name.clone(),
        policy: trial.options.policy.clone(),
        load: trial.load,
        fault: trial.fault.to_string(),
        rate: trial.rate,
        seed,
        seconds: trial.seconds,
        marks: trial.fault.marks(trial.seconds),
    };
    let mut cell = Cell::new(setup, &samples);
    cell.pools = difference(&before, &after);
    cell.violations
        .extend(audit(&samples, &keyed(bed, &hand).await?));
    Ok((cell, samples))
}

fn plan(
    deployment: &Deployment,
    trial: &Trial,
    bursts: Vec<crate::plan::Burst>,
    seed: u64,
) -> Plan {
    Plan::new(deployment.mixture().clone(), trial.rate, bursts, seed)
}

async fn break_down(
    deployment: &Deployment,
    trial: &Trial,
    bed: &mut Bed,
    start: Instant,
) -> Result<(), BedError> {
    let Some((from, until)) = trial.fault.window(trial.seconds) else {
        return Ok(());
    };
    let from = start + Duration::from_secs_f64(from);
    let until = start + Duration::from_secs_f64(until);
    if let Some(domain) = trial.fault.lost(deployment) {
        Timer::at(from).await;
        bed.lose(&domain).await;
        Timer::at(until).await;
        bed.regain(&domain).await?;
    }
    if let Some(domain) = trial.fault.cut(deployment) {
        Timer::at(from).await;
        bed.cut(&domain, true);
        Timer::at(until).await;
        bed.cut(&domain, false);
    }
    Ok(())
}

type Pools = BTreeMap<snipeyoke_lib::ids::PoolName, PoolStats>;

async fn pools(deployment: &Deployment, bed: &Bed, hand: &Hand) -> Result<Pools, HandError> {
    let config = &deployment.scene().config;
    let mut pools = Pools::new();
    for seat in bed.seats() {
        let price = config.pools.get(&seat.pool).map_or(0.0, |p| p.price);
        let effects = hand.effects(seat.endpoint).await?;
        let stats = pools.entry(seat.pool.clone()).or_default();
        stats.add(&effects, price);
    }
    Ok(pools)
}

fn difference(before: &Pools, after: &Pools) -> Pools {
    let zero = PoolStats::default();
    let pools = after.iter().map(|(name, after)| {
        let before = before.get(name).unwrap_or(&zero);
        (name.clone(), after.since(before))
    });
    pools.collect()
}

async fn keyed(bed: &Bed, hand: &Hand) -> Result<BTreeMap<String, u64>, HandError> {
    let mut keyed = BTreeMap::new();
    for seat in bed.seats() {
        let effects = hand.effects(seat.endpoint).await?;
        let Some(counts) = effects["effects"].as_object() else {
            continue;
        };
        for (key, count) in counts {
            *keyed.entry(key.clone()).or_default() += count.as_u64().unwrap_or_default();
        }
    }
    Ok(keyed)
}

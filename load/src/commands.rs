//! What the subcommands do.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use futures_lite::future;
use futures_util::future::join_all;
use snipeyoke_load::cell::Cell;
use snipeyoke_load::cell::Setup;
use snipeyoke_load::cell::audit;
use snipeyoke_load::chaos::Chaos;
use snipeyoke_load::chaos::Size;
use snipeyoke_load::drive;
use snipeyoke_load::drive::Caller;
use snipeyoke_load::drive::FaultPlan;
use snipeyoke_load::drive::Hand;
use snipeyoke_load::experiment;
use snipeyoke_load::experiment::FaultKind;
use snipeyoke_load::experiment::Trial;
use snipeyoke_load::file;
use snipeyoke_load::file::Lines;
use snipeyoke_load::overhead;
use snipeyoke_load::plan::Plan;
use snipeyoke_load::report;
use snipeyoke_load::sample::Sample;
use snipeyoke_load::scene;
use snipeyoke_load::scene::Deployment;
use snipeyoke_load::scene::Options;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::logs;
use snipeyoke_runtime::logs::Output;
use snipeyoke_runtime::measures;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::threads::Exec;

use crate::args;

type Outcome = Result<bool, Box<dyn Error>>;

/// The longest time to connect to a stand-in.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Sends a load to running routers.
pub fn run(args: &args::Run, exec: Exec) -> Outcome {
    let deployment = Deployment::parse(&file::read_text(&args.deployment)?)?;
    if args.router.is_empty() {
        return Err("no router: give --router ADDRESS at least once".into());
    }
    let faults: Vec<FaultPlan> = match &args.faults {
        Some(path) => serde_json::from_str(&file::read_text(path)?)?,
        None => Vec::new(),
    };
    let scope = Scope::new(exec);
    let distance = Duration::from_secs_f64(deployment.scene().client_ms / 1e3);
    let caller = Caller::new(scope.clone(), &args.router, distance);
    let mixture = deployment.mixture().clone();
    let run = drive::Run {
        plan: Plan::new(mixture, args.rate, Vec::new(), args.seed),
        length: Duration::from_secs_f64(args.seconds),
        faults,
    };
    let samples = future::block_on(drive::run(run, &caller, &scope));
    if let Some(path) = &args.out {
        Lines::append(path)?.write(&samples)?;
    }
    let setup = Setup {
        deployment: deployment.scene().name.clone(),
        policy: "running".to_owned(),
        fault: "plain".to_owned(),
        rate: args.rate,
        seed: args.seed,
        seconds: args.seconds,
        ..Setup::default()
    };
    let cells = [Cell::new(setup, &samples)];
    println!("{}", report::text(&cells));
    Ok(cells[0].violations.is_empty())
}

/// Runs policies, loads and faults side by side.
pub fn experiment(args: &args::Experiment, exec: Exec) -> Outcome {
    if let Some(level) = &args.log {
        logs::install(level, Output::Stderr)?;
    }
    measures::install();
    let deployment = Deployment::parse(&file::read_text(&args.deployment)?)?;
    let scope = Scope::new(exec);
    let base = Trial {
        options: Options {
            policy: args.ramp_policy.clone(),
            seed: args.seed,
            threads: args.threads,
        },
        rate: args.ramp_from,
        load: 0.0,
        fault: FaultKind::Plain,
        seconds: args.seconds,
    };
    let capacity = match args.capacity {
        Some(rate) => rate,
        None => future::block_on(experiment::capacity(&deployment, &base, &scope))?.rate,
    };
    println!("capacity: {capacity:.1} requests a second");
    let mut cells = Lines::append(&args.out)?;
    let mut samples = args.samples.as_deref().map(Lines::append).transpose()?;
    let mut kept = true;
    for group in trials(args, &base, capacity)?.chunks(args.parallel.max(1)) {
        let together = group
            .iter()
            .map(|trial| experiment::trial(&deployment, trial, &scope));
        for result in future::block_on(join_all(together)) {
            let (cell, taken) = result?;
            println!("{}", line(&cell));
            kept &= cell.violations.is_empty();
            cells.write([&cell])?;
            if let Some(samples) = &mut samples {
                samples.write(&taken)?;
            }
        }
    }
    Ok(kept)
}

fn trials(
    args: &args::Experiment,
    base: &Trial,
    capacity: f64,
) -> Result<Vec<Trial>, Box<dyn Error>> {
    let loads: Vec<f64> = list(&args.loads)?;
    let faults: Vec<FaultKind> = list(&args.faults)?;
    let policies: Vec<String> = list(&args.policies)?;
    let mut trials = Vec::new();
    for &load in &loads {
        for &fault in &faults {
            for policy in &policies {
                let mut trial = base.clone();
                trial.options.policy.clone_from(policy);
                trial.load = load;
                trial.rate = capacity * load / 100.0;
                trial.fault = fault;
                trials.push(trial);
            }
        }
    }
    Ok(trials)
}

fn list<T: FromStr<Err: Error + 'static>>(text: &str) -> Result<Vec<T>, Box<dyn Error>> {
    let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
    let parsed = parts.map(|part| {
        let parsed = part.parse();
        parsed.map_err(|error| format!("{part:?} is not known ({error}): see --help").into())
    });
    parsed.collect()
}

fn line(cell: &Cell) -> String {
    let setup = &cell.setup;
    let counts = &cell.counts;
    let tail: f64 = cell
        .kinds
        .values()
        .map(|k| k.latency.p99)
        .fold(0.0, f64::max);
    format!(
        "{} {:.0}% {} {}: {:.2}% of {} attained, {:.1}/s; {} late, {} not run, {} unknown, \
         {} wrong; cost {:.4} each; cached {:.0}%; worst p99 {tail:.0} ms; {} violations",
        setup.deployment,
        setup.load,
        setup.fault,
        setup.policy,
        counts.attainment() * 100.0,
        counts.offered,
        cell.goodput(),
        counts.late,
        counts.not_run,
        counts.unknown,
        counts.wrong,
        cell.cost_each(),
        cell.cached() * 100.0,
        cell.violations.len(),
    )
}

/// Turns cells into tables and plots.
pub fn report(args: &args::Report) -> Outcome {
    let mut cells: Vec<Cell> = Vec::new();
    for path in &args.cells {
        cells.extend(file::read(path)?);
    }
    println!("{}", report::text(&cells));
    let plots = report::plots(&cells)?;
    if let Some(path) = &args.html {
        file::write_text(path, &report::html(&cells, &plots))?;
    }
    if let Some(folder) = &args.plots {
        for plot in &plots {
            let path = Path::new(folder).join(format!("{}.svg", plot.name));
            file::write_text(&path, &plot.svg)?;
        }
    }
    Ok(cells.iter().all(|c| c.violations.is_empty()))
}

/// Measures what the system itself adds.
pub fn overhead(args: &args::Overhead, exec: Exec) -> Outcome {
    let deployment = Deployment::parse(&file::read_text(&args.deployment)?)?;
    let asked = overhead::Asked {
        requests: args.requests,
        flight: args.flight,
        length: Duration::from_secs_f64(args.seconds),
        threads: args.threads,
    };
    let scope = Scope::new(exec);
    let found = future::block_on(overhead::measure(&deployment, &asked, &scope))?;
    println!("{found}");
    Ok(found.is_whole())
}

/// Publishes a deployment's configuration.
pub fn publish(args: &args::Publish, exec: Exec) -> Outcome {
    let deployment = Deployment::parse(&file::read_text(&args.deployment)?)?;
    let records = scene::records(&deployment.scene().config)?;
    let hand = Hand::new(Client::new(Scope::new(exec), CONNECT_LIMIT));
    let appended = hand.append(args.platform, "config", records);
    println!("{}", future::block_on(appended)?);
    Ok(true)
}

/// Writes the settings of every process.
pub fn settings(args: &args::Settings) -> Outcome {
    let deployment = Deployment::parse(&file::read_text(&args.deployment)?)?;
    for (name, text) in scene::files(&deployment, args.port) {
        file::write_text(&args.out.join(name), &text)?;
    }
    Ok(true)
}

/// Compares samples with effects.
pub fn check(args: &args::Check, exec: Exec) -> Outcome {
    let samples: Vec<Sample> = file::read(&args.samples)?;
    let hand = Hand::new(Client::new(Scope::new(exec), CONNECT_LIMIT));
    let mut effects = BTreeMap::new();
    for &standin in &args.standin {
        let told = future::block_on(hand.effects(standin))?;
        for (key, count) in told["effects"].as_object().into_iter().flatten() {
            *effects.entry(key.clone()).or_default() += count.as_u64().unwrap_or_default();
        }
    }
    let violations = audit(&samples, &effects);
    for violation in &violations {
        println!("{violation}");
    }
    let keyed = samples.iter().filter(|s| s.key.is_some()).count();
    println!(
        "{} samples, {keyed} with keys, {} broken",
        samples.len(),
        violations.len()
    );
    Ok(violations.is_empty())
}

/// Kills and pauses real processes under load.
pub fn chaos(args: &args::Chaos, exec: Exec) -> Outcome {
    let chaos = Chaos {
        size: Size {
            routers: args.routers,
            agents: args.agents,
            lease: args.lease,
        },
        rate: args.rate,
        length: Duration::from_secs(args.seconds),
        pause: Duration::from_millis(args.pause),
        seed: args.seed,
    };
    let scope = Scope::new(exec);
    let verdict = future::block_on(chaos.run(&scope))?;
    println!("{verdict}");
    Ok(verdict.is_kept())
}

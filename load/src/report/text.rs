//! Tables in Markdown, which a terminal shows as well.

use std::fmt;
use std::fmt::Write;

use crate::cell::Cell;
use crate::cell::Latency;
use crate::cell::PoolStats;

use super::distinct;
use super::policies;

/// The reasons shown for each cell.
const REASONS_SHOWN: usize = 3;

/// Writes a short report of some cells.
///
/// # Panics
///
/// Panics if a text can't grow, which the standard library rules out.
#[must_use]
pub fn text(cells: &[Cell]) -> String {
    let mut out = String::new();
    for deployment in distinct(cells, |c| c.setup.deployment.as_str()) {
        let of = cells.iter().filter(|c| c.setup.deployment == deployment);
        let of: Vec<Cell> = of.cloned().collect();
        section(&mut out, deployment, &of).expect("writing to a text does not fail");
    }
    out
}

fn section(out: &mut String, deployment: &str, cells: &[Cell]) -> fmt::Result {
    writeln!(out, "## {deployment}\n")?;
    let policies = policies(cells);
    writeln!(
        out,
        "Attainment in percent of offered, and cost of one whole answer.\n"
    )?;
    write!(out, "| load | fault | offered/s |")?;
    for policy in &policies {
        write!(out, " {policy} | cost |")?;
    }
    writeln!(out)?;
    write!(out, "| ---: | --- | ---: |")?;
    for _policy in &policies {
        write!(out, " ---: | ---: |")?;
    }
    writeln!(out)?;
    for (load, fault) in distinct(cells, |c| (c.setup.load, c.setup.fault.as_str())) {
        row(out, cells, &policies, load, fault)?;
    }
    writeln!(out)?;
    if cells.iter().any(|c| c.setup.fault == "plain") {
        goodput(out, cells, &policies)?;
        pools(out, cells, &policies)?;
    }
    troubles(out, cells)
}

fn find<'a>(cells: &'a [Cell], policy: &str, load: f64, fault: &str) -> Option<&'a Cell> {
    cells.iter().find(|c| {
        let setup = &c.setup;
        setup.policy == policy && (setup.load - load).abs() < 1e-9 && setup.fault == fault
    })
}

fn row(out: &mut String, cells: &[Cell], policies: &[&str], load: f64, fault: &str) -> fmt::Result {
    let found = policies.iter().map(|p| find(cells, p, load, fault));
    let found: Vec<Option<&Cell>> = found.collect();
    let rate = found.iter().flatten().next().map_or(0.0, |c| c.setup.rate);
    write!(out, "| {load:.0}% | {fault} | {rate:.0} |")?;
    for cell in found {
        match cell {
            Some(cell) => {
                let percent = cell.counts.attainment() * 100.0;
                write!(out, " {percent:.1} | {:.3} |", cell.cost_each())?;
            }
            None => write!(out, " not run | |")?,
        }
    }
    writeln!(out)
}

fn goodput(out: &mut String, cells: &[Cell], policies: &[&str]) -> fmt::Result {
    writeln!(
        out,
        "Without faults: requests attained a second, latency of whole answers in ms, \
         share of prompt tokens cached.\n"
    )?;
    writeln!(
        out,
        "| load | policy | goodput | kind | p50 | p95 | p99 | cached |"
    )?;
    writeln!(
        out,
        "| ---: | --- | ---: | --- | ---: | ---: | ---: | ---: |"
    )?;
    for load in distinct(cells, |c| c.setup.load) {
        for policy in policies {
            let Some(cell) = find(cells, policy, load, "plain") else {
                continue;
            };
            for (kind, stats) in &cell.kinds {
                let latency = stats.latency;
                writeln!(
                    out,
                    "| {load:.0}% | {policy} | {:.1} | {kind} | {:.0} | {:.0} | {:.0} | {:.2} |",
                    cell.goodput(),
                    latency.p50,
                    latency.p95,
                    latency.p99,
                    cell.cached(),
                )?;
            }
        }
    }
    writeln!(out)
}

fn pools(out: &mut String, cells: &[Cell], policies: &[&str]) -> fmt::Result {
    writeln!(
        out,
        "Without faults: cost by stage for each whole answer.\n"
    )?;
    let names = distinct(cells, |c| c.pools.keys().collect::<Vec<_>>());
    let Some(names) = names.into_iter().max_by_key(Vec::len) else {
        return Ok(());
    };
    write!(out, "| load | policy |")?;
    for name in &names {
        write!(out, " {name} |")?;
    }
    writeln!(out, " together |")?;
    writeln!(out, "| ---: | --- |{}", " ---: |".repeat(names.len() + 1))?;
    for load in distinct(cells, |c| c.setup.load) {
        for policy in policies {
            let Some(cell) = find(cells, policy, load, "plain") else {
                continue;
            };
            write!(out, "| {load:.0}% | {policy} |")?;
            let whole = (cell.counts.attained + cell.counts.late).max(1) as f64;
            for name in &names {
                let cost = cell.pools.get(*name).map_or(0.0, |p| p.cost);
                write!(out, " {:.4} |", cost / whole)?;
            }
            writeln!(out, " {:.4} |", cell.cost_each())?;
        }
    }
    writeln!(out)?;
    writeln!(
        out,
        "Without faults: time at the endpoints in ms, p50 / p95 / p99.\n"
    )?;
    write!(out, "| load | policy |")?;
    for name in &names {
        write!(out, " {name} |")?;
    }
    writeln!(out)?;
    writeln!(out, "| ---: | --- |{}", " ---: |".repeat(names.len()))?;
    for load in distinct(cells, |c| c.setup.load) {
        for policy in policies {
            let Some(cell) = find(cells, policy, load, "plain") else {
                continue;
            };
            write!(out, "| {load:.0}% | {policy} |")?;
            for name in &names {
                let latency = cell.pools.get(*name).map(PoolStats::latency);
                let Latency { p50, p95, p99 } = latency.unwrap_or_default();
                write!(out, " {p50:.0} / {p95:.0} / {p99:.0} |")?;
            }
            writeln!(out)?;
        }
    }
    writeln!(out)
}

fn troubles(out: &mut String, cells: &[Cell]) -> fmt::Result {
    writeln!(out, "Refusals, unknown outcomes and broken promises.\n")?;
    for cell in cells {
        let setup = &cell.setup;
        let counts = &cell.counts;
        let refused = counts.offered - counts.attained;
        if refused == 0 && cell.violations.is_empty() {
            continue;
        }
        let mut reasons: Vec<(&String, &u64)> = cell.reasons.iter().collect();
        reasons.sort_by(|a, b| b.1.cmp(a.1));
        let shown = reasons.iter().take(REASONS_SHOWN);
        let shown: Vec<String> = shown.map(|(r, n)| format!("{n} {r}")).collect();
        writeln!(
            out,
            "- {:.0}% {} {}: {} of {} not attained ({} late, {} not run, {} unknown): {}",
            setup.load,
            setup.fault,
            setup.policy,
            refused,
            counts.offered,
            counts.late,
            counts.not_run,
            counts.unknown,
            shown.join("; "),
        )?;
        for violation in cell.violations.iter().take(REASONS_SHOWN) {
            writeln!(out, "  - PROMISE BROKEN: {violation}")?;
        }
        if cell.violations.len() > REASONS_SHOWN {
            writeln!(
                out,
                "  - and {} more",
                cell.violations.len() - REASONS_SHOWN
            )?;
        }
    }
    writeln!(out)
}

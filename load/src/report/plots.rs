//! Which charts a report shows, and what they are made of.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::cell::Cell;

use super::chart;
use super::chart::Bars;
use super::chart::ChartError;
use super::chart::Line;
use super::chart::Lines;
use super::distinct;
use super::policies;

/// The refusal reasons shown.
const REASONS_SHOWN: usize = 6;

/// A chart with the words under it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plot {
    /// A name for the file.
    pub name: String,
    /// What there is to see.
    pub caption: String,
    /// The chart, as SVG.
    pub svg: String,
}

/// Draws the charts of some cells.
///
/// # Errors
///
/// Returns [`ChartError`] if one can't be drawn.
pub fn plots(cells: &[Cell]) -> Result<Vec<Plot>, ChartError> {
    let mut plots = Vec::new();
    for deployment in distinct(cells, |c| c.setup.deployment.as_str()) {
        let of = cells.iter().filter(|c| c.setup.deployment == deployment);
        let of: Vec<Cell> = of.cloned().collect();
        by_load(&mut plots, deployment, &of)?;
        over_time(&mut plots, deployment, &of)?;
        for load in distinct(&of, |c| c.setup.load) {
            let plain = of
                .iter()
                .filter(|c| (c.setup.load - load).abs() < 1e-9 && c.setup.fault == "plain");
            let plain: Vec<Cell> = plain.cloned().collect();
            if !plain.is_empty() {
                bars(&mut plots, deployment, load, &plain)?;
            }
        }
    }
    Ok(plots)
}

fn by_load(plots: &mut Vec<Plot>, deployment: &str, cells: &[Cell]) -> Result<(), ChartError> {
    type Measure = fn(&Cell) -> f64;
    let measures: [(&str, &str, Measure, f64); 3] = [
        (
            "attainment",
            "percent of offered",
            |c| c.counts.attainment() * 100.0,
            100.0,
        ),
        ("goodput", "attained a second", Cell::goodput, 0.0),
        ("cost", "cost of a whole answer", Cell::cost_each, 0.0),
    ];
    if distinct(cells, |c| c.setup.load).len() < 2 {
        return Ok(());
    }
    for fault in distinct(cells, |c| c.setup.fault.as_str()) {
        for (name, unit, measure, top) in measures {
            let title = format!("{deployment}, {fault}: {name} by load");
            let line = |policy: &&str| {
                let of = cells.iter();
                let of = of.filter(|c| c.setup.policy == *policy && c.setup.fault == fault);
                let mut points: Vec<(f64, f64)> = of.map(|c| (c.setup.load, measure(c))).collect();
                points.sort_by(|a, b| a.0.total_cmp(&b.0));
                Line {
                    name: (*policy).to_owned(),
                    points,
                }
            };
            let svg = chart::lines(&Lines {
                title: &title,
                x: "load, percent of capacity",
                y: unit,
                series: policies(cells).iter().map(line).collect(),
                marks: &[],
                top,
            })?;
            plots.push(Plot {
                name: format!("{deployment}-{fault}-{name}"),
                caption: "Policies side by side on the same arrivals.".to_owned(),
                svg,
            });
        }
    }
    Ok(())
}

fn over_time(plots: &mut Vec<Plot>, deployment: &str, cells: &[Cell]) -> Result<(), ChartError> {
    for (load, fault) in distinct(cells, |c| (c.setup.load, c.setup.fault.as_str())) {
        let of = cells
            .iter()
            .filter(|c| (c.setup.load - load).abs() < 1e-9 && c.setup.fault == fault);
        let of: Vec<Cell> = of.cloned().collect();
        let line = |policy: &&str| {
            let cell = of.iter().find(|c| c.setup.policy == *policy);
            let ticks = cell.map_or(&[][..], |c| c.ticks.as_slice());
            let seconds = ticks.iter().enumerate().filter(|(_, t)| t.offered > 0);
            let points = seconds.map(|(second, tick)| {
                let share = tick.attained as f64 / tick.offered as f64;
                (second as f64, share * 100.0)
            });
            Line {
                name: (*policy).to_owned(),
                points: points.collect(),
            }
        };
        let title = format!("{deployment}, {load:.0}% load, {fault}: attainment over time");
        let svg = chart::lines(&Lines {
            title: &title,
            x: "intended send time, seconds",
            y: "percent of offered",
            series: policies(&of).iter().map(line).collect(),
            marks: of.first().map_or(&[][..], |c| c.setup.marks.as_slice()),
            top: 100.0,
        })?;
        plots.push(Plot {
            name: format!("{deployment}-{load:.0}-{fault}-time"),
            caption: "Grey marks the time of the fault.".to_owned(),
            svg,
        });
    }
    Ok(())
}

fn bars(
    plots: &mut Vec<Plot>,
    deployment: &str,
    load: f64,
    cells: &[Cell],
) -> Result<(), ChartError> {
    let mut add = |what: &str, unit: &str, caption: &str, columns: &Columns| {
        if columns.names.is_empty() {
            return Ok(());
        }
        let title = format!("{deployment}, {load:.0}% load: {what}");
        let svg = chart::bars(&Bars {
            title: &title,
            y: unit,
            series: columns.series.clone(),
            names: columns.names.clone(),
            values: columns.values.clone(),
        })?;
        plots.push(Plot {
            name: format!("{deployment}-{load:.0}-{}", what.replace(' ', "-")),
            caption: caption.to_owned(),
            svg,
        });
        Ok(())
    };
    let caption = "Busy seconds of each pool's endpoints at its price, for one whole answer.";
    add("cost by stage", "cost", caption, &costs(cells))?;
    let caption = "At the endpoints of each pool, waiting there included, 95 in 100.";
    let stages = columns(cells, |c| {
        let pools = c.pools.iter();
        pools
            .map(|(pool, stats)| (pool.to_string(), stats.latency().p95))
            .collect()
    });
    add("latency by stage", "ms, p95", caption, &stages)?;
    let caption = "From intended send time to the last byte of whole answers, 99 in 100.";
    let kinds = columns(cells, |c| {
        let kinds = c.kinds.iter();
        kinds
            .map(|(kind, s)| (kind.clone(), s.latency.p99))
            .collect()
    });
    add("latency by kind", "ms, p99", caption, &kinds)?;
    let caption = "What callers were told instead of a whole answer in time.";
    let mut reasons = columns(cells, reasons);
    reasons.names.truncate(REASONS_SHOWN);
    add(
        "refusals by reason",
        "percent of offered",
        caption,
        &reasons,
    )
}

#[derive(Debug, Default)]
struct Columns {
    series: Vec<String>,
    names: Vec<String>,
    values: Vec<Vec<f64>>,
}

fn columns(cells: &[Cell], read: impl Fn(&Cell) -> BTreeMap<String, f64>) -> Columns {
    let mut columns = Columns::default();
    let read: Vec<(&str, BTreeMap<String, f64>)> = policies(cells)
        .into_iter()
        .filter_map(|policy| {
            let cell = cells.iter().find(|c| c.setup.policy == policy)?;
            Some((policy, read(cell)))
        })
        .collect();
    let names = read.iter().flat_map(|(_, values)| values.keys().cloned());
    let names: BTreeSet<String> = names.collect();
    columns.names = names.into_iter().collect();
    for (policy, values) in read {
        columns.series.push(policy.to_owned());
        let of = columns.names.iter();
        let of = of.map(|name| values.get(name).copied().unwrap_or_default());
        columns.values.push(of.collect());
    }
    columns
}

fn costs(cells: &[Cell]) -> Columns {
    columns(cells, |cell| {
        let whole = (cell.counts.attained + cell.counts.late).max(1) as f64;
        let pools = cell.pools.iter();
        pools
            .map(|(pool, stats)| (pool.to_string(), stats.cost / whole))
            .collect()
    })
}

fn reasons(cell: &Cell) -> BTreeMap<String, f64> {
    let offered = cell.counts.offered.max(1) as f64;
    let mut shares: BTreeMap<String, f64> = cell
        .reasons
        .iter()
        .map(|(reason, count)| (reason.clone(), *count as f64 * 100.0 / offered))
        .collect();
    let late = cell.counts.late as f64 * 100.0 / offered;
    if late > 0.0 {
        shares.insert("late".to_owned(), late);
    }
    shares
}

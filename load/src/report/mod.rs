//! Reports of cells: tables for a terminal or a page, plots for a browser.

mod chart;
mod html;
mod plots;
mod text;

pub use chart::ChartError;
pub use html::html;
pub use plots::Plot;
pub use plots::plots;
pub use text::text;

use std::collections::BTreeSet;

use crate::cell::Cell;

/// The order in which policies are shown: ours first, then the baselines.
const POLICIES: [&str; 3] = ["predicted", "least-outstanding", "round-robin"];

/// Returns the policies of some cells in the order in which they are shown.
fn policies(cells: &[Cell]) -> Vec<&str> {
    let found: BTreeSet<&str> = cells.iter().map(|c| c.setup.policy.as_str()).collect();
    let known = POLICIES.iter().copied().filter(|p| found.contains(p));
    let others = found.iter().copied().filter(|p| !POLICIES.contains(p));
    known.chain(others).collect()
}

/// Returns the distinct values of a key, in order of appearance.
fn distinct<'a, T: PartialEq>(cells: &'a [Cell], key: impl Fn(&'a Cell) -> T) -> Vec<T> {
    let mut values = Vec::new();
    for cell in cells {
        let value = key(cell);
        if !values.contains(&value) {
            values.push(value);
        }
    }
    values
}

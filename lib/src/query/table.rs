//! Tables of typed cells, and merging those of several routers.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::field::Field;
use super::value::Value;

/// A row with its cells in the order of the table's columns.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Row(pub Vec<Value>);

/// The result of a query.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    /// The columns.
    pub columns: Vec<Field>,
    /// The rows.
    pub rows: Vec<Row>,
    /// The number of rows omitted because of the limit.
    pub omitted: u64,
}

/// A table and the router that returned it.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterTable {
    /// The router.
    pub router: String,
    /// Its table.
    pub table: Table,
}

/// Fields that each router measures independently.
///
/// Rows that differ in these fields only are views of the same item.
const MEASURED_FIELDS: [Field; 5] = [
    Field::Report,
    Field::Active,
    Field::Queued,
    Field::Pending,
    Field::Left,
];

/// How to merge the answers of several routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// Each router has its own rows, such as its requests.
    PerRouter,
    /// All routers report the same items, such as endpoints.
    Shared,
}

impl Table {
    /// Merges the answers of several routers.
    ///
    /// Counts of per-router rows are added up. A row that several routers return
    /// appears once, with the values of the router whose report is freshest and
    /// with the names of all these routers. Differing views are separate rows.
    #[must_use]
    pub fn merge(answers: &[RouterTable], merge: Merge, limit: Option<usize>) -> Self {
        let columns = answers.first().map(|a| a.table.columns.clone());
        let Some(columns) = columns else {
            return Self::default();
        };
        if merge == Merge::PerRouter && columns.len() == 2 && columns[1] == Field::Count {
            return Self::add_counts(columns, answers);
        }
        let mut table = Self::merge_rows(columns, answers);
        let omitted = answers.iter().map(|a| a.table.omitted);
        table.omitted = match merge {
            Merge::PerRouter => omitted.sum(),
            Merge::Shared => omitted.max().unwrap_or_default(),
        };
        if merge == Merge::PerRouter {
            table.sort_by_age();
        }
        let limit = limit.unwrap_or(usize::MAX);
        table.omitted += table.rows.len().saturating_sub(limit) as u64;
        table.rows.truncate(limit);
        table
    }

    fn merge_rows(columns: Vec<Field>, answers: &[RouterTable]) -> Self {
        let mut rows: Vec<(Row, Vec<&str>)> = Vec::new();
        let mut index_by_key: BTreeMap<String, usize> = BTreeMap::new();
        for answer in answers {
            for row in &answer.table.rows {
                let next = rows.len();
                let index = *index_by_key.entry(row_key(&columns, row)).or_insert(next);
                if index == next {
                    rows.push((row.clone(), Vec::new()));
                }
                let (current, routers) = &mut rows[index];
                routers.push(&answer.router);
                if is_fresher(&columns, row, current) {
                    *current = row.clone();
                }
            }
        }
        let with_routers = |(mut row, routers): (Row, Vec<&str>)| {
            row.0
                .push(Value::Text(routers_text(&routers, answers.len())));
            row
        };
        let rows = rows.into_iter().map(with_routers).collect();
        let mut columns = columns;
        columns.push(Field::Router);
        Self {
            columns,
            rows,
            omitted: 0,
        }
    }

    fn sort_by_age(&mut self) {
        let Some(age) = self.columns.iter().position(|f| *f == Field::Age) else {
            return;
        };
        let order = |a: &Row, b: &Row| a.0[age].compare(&b.0[age]);
        self.rows
            .sort_by(|a, b| order(a, b).unwrap_or(Ordering::Equal));
    }

    fn add_counts(columns: Vec<Field>, answers: &[RouterTable]) -> Self {
        let mut counts: Vec<(Value, f64)> = Vec::new();
        for row in answers.iter().flat_map(|a| &a.table.rows) {
            let [key, Value::Number(count)] = row.0.as_slice() else {
                continue;
            };
            match counts.iter_mut().find(|c| c.0 == *key) {
                Some(found) => found.1 += count,
                None => counts.push((key.clone(), *count)),
            }
        }
        sort_counts(&mut counts);
        let row = |(key, count)| Row(vec![key, Value::Number(count)]);
        Self {
            columns,
            rows: counts.into_iter().map(row).collect(),
            omitted: 0,
        }
    }
}

fn row_key(columns: &[Field], row: &Row) -> String {
    let cells = columns.iter().zip(&row.0);
    let cells: Vec<_> = cells
        .filter(|(f, _)| !MEASURED_FIELDS.contains(f))
        .collect();
    format!("{cells:?}")
}

fn is_fresher(columns: &[Field], row: &Row, current: &Row) -> bool {
    let report = columns.iter().position(|f| *f == Field::Report);
    report.is_some_and(|index| row.0[index].compare(&current.0[index]) == Some(Ordering::Less))
}

fn routers_text(routers: &[&str], queried: usize) -> String {
    if queried > 1 && routers.len() == queried {
        return format!("all {queried}");
    }
    routers.join(",")
}

/// Sorts counts, the most frequent value first, then by the value's text.
pub(super) fn sort_counts(counts: &mut [(Value, f64)]) {
    counts.sort_by(|a, b| {
        let by_text = || a.0.to_string().cmp(&b.0.to_string());
        b.1.total_cmp(&a.1).then_with(by_text)
    });
}

//! Answers as rows of typed cells.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::field::Field;
use super::value::Value;

/// One row, its cells in the order of the table's columns.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Row(pub Vec<Value>);

/// An answer to a query.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    /// The columns.
    pub columns: Vec<Field>,
    /// The rows.
    pub rows: Vec<Row>,
    /// The rows that the limit left out.
    pub omitted: u64,
}

/// A table with the router that gave it.
#[derive(Debug, Clone, PartialEq)]
pub struct Sourced {
    /// The router.
    pub router: String,
    /// Its answer.
    pub table: Table,
}

impl Table {
    /// Merges the answers of several routers.
    ///
    /// Counts by value are added up. Rows that are equal everywhere appear once,
    /// with all routers that gave them.
    #[must_use]
    pub fn merge(answers: &[Sourced]) -> Self {
        let columns = answers.first().map(|a| a.table.columns.clone());
        let Some(columns) = columns else {
            return Self::default();
        };
        if columns.contains(&Field::Count) && columns.len() == 2 {
            return Self::add_counts(columns, answers);
        }
        let mut rows: Vec<(Row, Vec<&str>)> = Vec::new();
        let mut seen: BTreeMap<String, usize> = BTreeMap::new();
        for answer in answers {
            for row in &answer.table.rows {
                let next = rows.len();
                let key = format!("{row:?}");
                let index = *seen.entry(key).or_insert(next);
                if index == next {
                    rows.push((row.clone(), Vec::new()));
                }
                rows[index].1.push(&answer.router);
            }
        }
        let named = |(mut row, routers): (Row, Vec<&str>)| {
            row.0.push(Value::Text(routers.join(",")));
            row
        };
        let mut columns = columns;
        columns.push(Field::Router);
        Self {
            columns,
            rows: rows.into_iter().map(named).collect(),
            omitted: answers.iter().map(|a| a.table.omitted).sum(),
        }
    }

    fn add_counts(columns: Vec<Field>, answers: &[Sourced]) -> Self {
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

/// Orders counts by value: the most frequent first, then by the value's text.
pub(super) fn sort_counts(counts: &mut [(Value, f64)]) {
    counts.sort_by(|a, b| {
        let by_text = || a.0.to_string().cmp(&b.0.to_string());
        b.1.total_cmp(&a.1).then_with(by_text)
    });
}

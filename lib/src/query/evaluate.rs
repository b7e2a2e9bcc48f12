//! Evaluates queries over a router's [`Facts`].

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::ast::Filter;
use super::ast::Op;
use super::ast::Query;
use super::ast::Show;
use super::explain;
use super::facts::AccountFact;
use super::facts::Binding;
use super::facts::DomainFact;
use super::facts::EndpointFact;
use super::facts::FactError;
use super::facts::Facts;
use super::facts::Record;
use super::facts::RequestAt;
use super::field::Field;
use super::field::Subject;
use super::table::Row;
use super::table::Table;
use super::table::sort_counts;
use super::value::Value;
use crate::config::Config;
use crate::config::DrainTarget;
use crate::ids::FailureDomain;

/// The maximum number of rows that one router returns for a query.
///
/// A query for all rows must not block the thread that serves operators.
pub const ROWS_MAX: usize = 1_000;

/// Evaluates a query.
///
/// # Errors
///
/// Returns a [`FactError`] if the requested facts are not known to the router.
pub fn evaluate(query: &Query, facts: &dyn Facts) -> Result<Table, FactError> {
    match query {
        Query::Show(show) => show_rows(show, facts),
        Query::Explain(id) => {
            let request = facts.request(*id);
            let request = request.ok_or(FactError::NoRequest { id: *id })?;
            Ok(explain::request_events(&request, facts.now()))
        }
        Query::Config(at) => Ok(explain::config_statements(&facts.config(*at)?)),
    }
}

/// Returns whether a row with these field values satisfies a condition.
#[must_use]
pub fn matches(filter: &Filter, value: &dyn Fn(Field) -> Value) -> bool {
    match filter {
        Filter::Flag(field) => value(*field) == Value::Flag(true),
        Filter::Compare {
            field,
            op,
            value: expected,
        } => compare(&value(*field), *op, expected),
        Filter::Not(negated) => !matches(negated, value),
        Filter::All(filters) => filters.iter().all(|f| matches(f, value)),
        Filter::Any(filters) => filters.iter().any(|f| matches(f, value)),
    }
}

fn compare(found: &Value, op: Op, expected: &Value) -> bool {
    if let (Op::Has, Value::Text(found), Value::Text(expected)) = (op, found, expected) {
        return found.contains(expected.as_str());
    }
    let order = found.compare(expected);
    match op {
        Op::Eq => order == Some(Ordering::Equal),
        Op::Ne => order != Some(Ordering::Equal),
        Op::Lt => order == Some(Ordering::Less),
        Op::Le => order.is_some_and(Ordering::is_le),
        Op::Gt => order == Some(Ordering::Greater),
        Op::Ge => order.is_some_and(Ordering::is_ge),
        Op::Has => false,
    }
}

// Collects rows one at a time and keeps only those of the answer, so that a
// journal of a hundred thousand requests is never copied as a whole.
struct Collector<'a> {
    show: &'a Show,
    limit: usize,
    table: Table,
    counts: BTreeMap<String, (Value, f64)>,
}

impl<'a> Collector<'a> {
    fn new(show: &'a Show) -> Self {
        let columns = match show.by {
            Some(by) => vec![by, Field::Count],
            None => show.subject.fields().to_vec(),
        };
        Self {
            show,
            limit: show.limit.unwrap_or(ROWS_MAX).min(ROWS_MAX),
            table: Table {
                columns,
                ..Table::default()
            },
            counts: BTreeMap::new(),
        }
    }

    fn add(&mut self, record: &dyn Record) {
        if !self.accepts(record) {
            return;
        }
        if let Some(by) = self.show.by {
            let value = record.value(by);
            let entry = self.counts.entry(value.to_string());
            entry.or_insert((value, 0.0)).1 += 1.0;
            return;
        }
        if self.table.rows.len() >= self.limit {
            self.table.omitted += 1;
            return;
        }
        let fields = self.show.subject.fields().iter();
        let row = Row(fields.map(|f| record.value(*f)).collect());
        self.table.rows.push(row);
    }

    fn accepts(&self, record: &dyn Record) -> bool {
        if let (Some(since), Some(age)) = (self.show.since, self.show.subject.age_field()) {
            let too_old = compare(&record.value(age), Op::Gt, &Value::Interval(since));
            if too_old {
                return false;
            }
        }
        let value = |field| record.value(field);
        self.show.filter.as_ref().is_none_or(|f| matches(f, &value))
    }

    fn finish(mut self) -> Table {
        let mut counts: Vec<_> = self.counts.into_values().collect();
        sort_counts(&mut counts);
        let rows = counts
            .into_iter()
            .map(|(v, n)| Row(vec![v, Value::Number(n)]));
        self.table.rows.extend(rows.take(self.limit));
        self.table
    }
}

fn show_rows(show: &Show, facts: &dyn Facts) -> Result<Table, FactError> {
    let mut rows = Collector::new(show);
    match show.subject {
        Subject::Requests => {
            let now = facts.now();
            facts.requests(&mut |request| rows.add(&RequestAt { request, now }));
        }
        Subject::Endpoints => add_all(&mut rows, &facts.endpoints()),
        Subject::Hosts => add_all(&mut rows, &facts.hosts()?),
        Subject::Domains => add_all(&mut rows, &domains(facts)?),
        Subject::Nodes => add_all(&mut rows, &facts.nodes()),
        Subject::Leases => add_all(&mut rows, &facts.leases()?),
        Subject::Quarantines => add_all(&mut rows, &facts.quarantines()?),
        Subject::Changes => add_all(&mut rows, &facts.changes()),
        Subject::Pipelines | Subject::Bindings | Subject::Accounts | Subject::Pools => {
            add_config_rows(&mut rows, facts)?;
        }
    }
    Ok(rows.finish())
}

fn add_all<R: Record>(rows: &mut Collector<'_>, records: &[R]) {
    for record in records {
        rows.add(record);
    }
}

fn add_config_rows(rows: &mut Collector<'_>, facts: &dyn Facts) -> Result<(), FactError> {
    let config = facts.config(None)?.config;
    match rows.show.subject {
        Subject::Pipelines => config.pipelines.iter().for_each(|p| rows.add(&p)),
        Subject::Pools => config.pools.iter().for_each(|p| rows.add(&p)),
        Subject::Bindings => add_bindings(rows, &config),
        _ => {
            for (name, account) in &config.accounts {
                let active = facts.active_requests(name);
                rows.add(&AccountFact {
                    name,
                    account,
                    active,
                });
            }
        }
    }
    Ok(())
}

fn add_bindings(rows: &mut Collector<'_>, config: &Config) {
    for (account, kinds) in &config.bindings {
        for (kind, pipeline) in kinds {
            rows.add(&Binding {
                account,
                kind: kind.to_string(),
                pipeline,
            });
        }
    }
}

fn domains(facts: &dyn Facts) -> Result<Vec<DomainFact>, FactError> {
    let config = facts.config(None)?.config;
    let mut domains: BTreeMap<FailureDomain, DomainFact> = BTreeMap::new();
    let new_fact = |domain: &FailureDomain, region| DomainFact {
        domain: domain.clone(),
        region,
        draining: is_drained(&config, domain),
        evacuated: config.evacuations.contains(domain),
        count: 0,
        active: 0,
    };
    // Endpoints name their domain too, so most domains are found even if the host
    // list is not known.
    for host in facts.hosts().unwrap_or_default() {
        let entry = domains.entry(host.domain.clone());
        entry.or_insert_with(|| new_fact(&host.domain, host.region));
    }
    for endpoint in facts.endpoints() {
        let EndpointFact {
            domain,
            region,
            active,
            ..
        } = endpoint;
        let entry = domains.entry(domain.clone());
        let entry = entry.or_insert_with(|| new_fact(&domain, region));
        entry.count += 1;
        entry.active += active;
    }
    Ok(domains.into_values().collect())
}

fn is_drained(config: &Config, domain: &FailureDomain) -> bool {
    let target = DrainTarget::Domain(domain.clone());
    config.drains.contains(&target)
}

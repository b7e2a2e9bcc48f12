//! The syntax tree of queries and commands. Its nodes display as query text.

use derive_more::Display;
use derive_more::From;

use super::edit::Edit;
use super::field::Field;
use super::field::Subject;
use super::interval::Interval;
use super::value::Value;
use crate::ids::RequestId;
use crate::ids::Revision;

/// A statement of the query language.
#[derive(Debug, Clone, PartialEq)]
#[derive(Display, From)]
pub enum Statement {
    /// Requests a description of the language.
    #[display("help")]
    Help,
    /// Runs a query once.
    Query(Query),
    /// Repeats a query periodically.
    #[display("watch {show} every {every}")]
    Watch {
        /// The query.
        show: Show,
        /// The pause between two answers.
        every: Interval,
    },
    /// Runs a command.
    Command(Command),
}

/// A read-only query.
#[derive(Debug, Clone, PartialEq)]
#[derive(Display, From)]
pub enum Query {
    /// Returns rows.
    Show(Show),
    /// Returns the event history of one request.
    #[display("explain request {_0}")]
    Explain(RequestId),
    /// Returns the configuration, in force now or at an earlier revision.
    #[display("show config{}", at_clause(*_0))]
    Config(Option<Revision>),
}

fn at_clause(revision: Option<Revision>) -> String {
    revision.map_or_else(String::new, |r| format!(" at revision {r}"))
}

/// A query for rows.
#[derive(Debug, Clone, PartialEq)]
#[derive(Display)]
#[display("show {subject}{}", self.clauses())]
pub struct Show {
    /// The kind of rows.
    pub subject: Subject,
    /// The condition on the rows.
    pub filter: Option<Filter>,
    /// The maximum age of the rows.
    pub since: Option<Interval>,
    /// The field whose values are counted.
    pub by: Option<Field>,
    /// The maximum number of rows.
    pub limit: Option<usize>,
}

impl Show {
    /// Builds a query for all rows.
    #[must_use]
    pub const fn all(subject: Subject) -> Self {
        Self {
            subject,
            filter: None,
            since: None,
            by: None,
            limit: None,
        }
    }

    fn clauses(&self) -> String {
        let clauses = [
            self.filter.as_ref().map(|f| format!(" where {f}")),
            self.since.map(|s| format!(" since {s}")),
            self.by.map(|b| format!(" by {b}")),
            self.limit.map(|l| format!(" limit {l}")),
        ];
        clauses.into_iter().flatten().collect()
    }
}

/// A comparison operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum Op {
    /// Equal.
    #[display("=")]
    Eq,
    /// Not equal.
    #[display("!=")]
    Ne,
    /// Less.
    #[display("<")]
    Lt,
    /// Less or equal.
    #[display("<=")]
    Le,
    /// Greater.
    #[display(">")]
    Gt,
    /// Greater or equal.
    #[display(">=")]
    Ge,
    /// Contains the text as a substring.
    #[display("~")]
    Has,
}

/// A condition on a row.
#[derive(Debug, Clone, PartialEq)]
#[derive(Display)]
pub enum Filter {
    /// A flag that must be set.
    #[display("{_0}")]
    Flag(Field),
    /// A comparison.
    #[display("{field} {op} {}", literal(value))]
    Compare {
        /// The field.
        field: Field,
        /// The comparison.
        op: Op,
        /// The value to compare to.
        value: Value,
    },
    /// A negated condition.
    #[display("not {}", _0.operand())]
    Not(Box<Self>),
    /// A conjunction.
    #[display("{}", join_filters(_0, " and "))]
    All(Vec<Self>),
    /// A disjunction.
    #[display("{}", join_filters(_0, " or "))]
    Any(Vec<Self>),
}

impl Filter {
    fn operand(&self) -> String {
        match self {
            Self::All(_) | Self::Any(_) => format!("({self})"),
            _ => self.to_string(),
        }
    }
}

fn join_filters(filters: &[Filter], separator: &str) -> String {
    let filters: Vec<_> = filters.iter().map(Filter::operand).collect();
    filters.join(separator)
}

fn literal(value: &Value) -> String {
    match value {
        Value::Text(text) => format!("\"{text}\""),
        Value::Interval(interval) => interval.to_string(),
        other => other.to_string(),
    }
}

/// A command.
#[derive(Debug, Clone, PartialEq)]
#[derive(Display, From)]
pub enum Command {
    /// Changes the configuration.
    Change(ChangeCommand),
    /// Stops a request.
    #[display("stop request {_0}")]
    Stop(RequestId),
}

/// A configuration change, optionally on a given base revision.
#[derive(Debug, Clone, PartialEq)]
#[derive(Display)]
#[display("{}{edit}{}", if *dry_run { "dry-run " } else { "" }, on_clause(*base))]
pub struct ChangeCommand {
    /// The change.
    pub edit: Edit,
    /// The revision that the change is based on, if given.
    pub base: Option<Revision>,
    /// Whether to report the difference without applying the change.
    pub dry_run: bool,
}

fn on_clause(base: Option<Revision>) -> String {
    base.map_or_else(String::new, |b| format!(" on revision {b}"))
}

//! The operators' query and command language.
//!
//! Routers and the command line share it. [`parse`] reads statements, each
//! statement displays as query text, and [`evaluate`] runs queries over
//! [`Facts`].

mod answer;
mod apply;
mod ast;
mod edit;
mod error;
mod evaluate;
mod explain;
mod facts;
mod field;
mod history;
mod interval;
mod parse;
mod parse_edit;
mod table;
mod value;
mod words;

pub use answer::AnswerLine;
pub use answer::ChangeAnswer;
pub use apply::EditError;
pub use apply::config_diff;
pub use ast::ChangeCommand;
pub use ast::Command;
pub use ast::Filter;
pub use ast::Op;
pub use ast::Query;
pub use ast::Show;
pub use ast::Statement;
pub use edit::Clause;
pub use edit::Edit;
pub use edit::LimitEdit;
pub use edit::LimitKey;
pub use edit::WeightKey;
pub use error::ErrorLocation;
pub use error::QueryError;
pub use error::QueryProblem;
pub use evaluate::ROWS_MAX;
pub use evaluate::evaluate;
pub use evaluate::matches;
pub use facts::AccountFact;
pub use facts::ChangeFact;
pub use facts::ConfigFact;
pub use facts::EndpointFact;
pub use facts::FactError;
pub use facts::Facts;
pub use facts::HostFact;
pub use facts::LeaseFact;
pub use facts::LimitFact;
pub use facts::NodeFact;
pub use facts::QuarantineFact;
pub use facts::VersionFact;
pub use field::Field;
pub use field::Kind;
pub use field::Subject;
pub use history::CHANGES_MAX;
pub use history::History;
pub use interval::Interval;
pub use interval::IntervalError;
pub use parse::TEXT_MAX_BYTES;
pub use parse::parse;
pub use parse::parse_one;
pub use table::Merge;
pub use table::RouterTable;
pub use table::Row;
pub use table::Table;
pub use value::Value;
pub use words::KEYWORDS;

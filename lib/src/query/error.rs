//! Parse errors that locate the word at fault and name the remedy.

use derive_more::Display;
use derive_more::Error;

/// The reason why a text is not a valid statement.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum QueryProblem {
    /// The text does not match the grammar.
    #[display("{found} is not expected here: write {expected}")]
    Syntax {
        /// The word found.
        found: String,
        /// The words or values allowed at that position.
        expected: String,
    },
    /// The subject does not exist.
    #[display("nothing is called {word:?}: ask for one of {known}")]
    Subject {
        /// The word found.
        word: String,
        /// The existing subjects.
        known: String,
    },
    /// The subject has no such field.
    #[display("{subject} have no field {word:?}: write one of {known}")]
    Field {
        /// The subject of the query.
        subject: String,
        /// The word found.
        word: String,
        /// The existing fields.
        known: String,
    },
    /// A field that is not a flag is used without a comparison.
    #[display("{field} is {kind}, not yes or no: compare it, as in {field} = VALUE")]
    NoFlag {
        /// The field.
        field: String,
        /// The field's kind.
        kind: String,
    },
    /// The operator does not apply to the kind of the field.
    #[display("{field} is {kind}: compare it with {allowed}")]
    Op {
        /// The field.
        field: String,
        /// The field's kind.
        kind: String,
        /// The operators allowed.
        allowed: String,
    },
    /// A value is malformed or of the wrong kind.
    #[display("{_0}")]
    Value(#[error(not(source))] String),
    /// `since` was used on a subject without an age.
    #[display("{subject} have no age: leave out 'since'")]
    Ageless {
        /// The subject of the query.
        subject: String,
    },
    /// A new pipeline lacks a required clause.
    #[display("the new pipeline has no {clause}: add '{clause} …'")]
    MissingClause {
        /// The missing clause.
        clause: String,
    },
    /// The text holds more than one statement.
    #[display("{count} statements were sent at once: send exactly one to a router")]
    Count {
        /// The number of statements found.
        count: usize,
    },
}

/// The location of a problem in a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorLocation {
    /// The line number, starting at 1.
    pub line: usize,
    /// The column number in characters, starting at 1.
    pub column: usize,
    /// The length of the word in characters.
    pub width: usize,
    /// The text of the line.
    pub text: String,
}

/// A problem and its location.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{}:{}: {problem}\n{}", location.line, location.column, marked_line(location))]
pub struct QueryError {
    /// The problem.
    #[error(not(source))]
    pub problem: QueryProblem,
    /// The location of the problem.
    pub location: Box<ErrorLocation>,
}

impl QueryError {
    /// Returns whether the text does not match the grammar.
    #[must_use]
    pub const fn is_syntax(&self) -> bool {
        matches!(self.problem, QueryProblem::Syntax { .. })
    }
}

fn marked_line(location: &ErrorLocation) -> String {
    let before = " ".repeat(location.column.saturating_sub(1));
    let under = "^".repeat(location.width);
    format!("  {}\n  {before}{under}", location.text)
}

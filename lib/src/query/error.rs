//! Errors that point at a word and name the remedy.

use derive_more::Display;
use derive_more::Error;

/// The reason why a text is no statement of the language.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum QueryProblem {
    /// The words don't form a statement.
    #[display("{found} is not expected here: write {expected}")]
    Syntax {
        /// What was found.
        found: String,
        /// What may stand there.
        expected: String,
    },
    /// The question is about something unknown.
    #[display("nothing is called {word:?}: ask for one of {known}")]
    Subject {
        /// The word found.
        word: String,
        /// The names that exist.
        known: String,
    },
    /// A field does not exist.
    #[display("{subject} have no field {word:?}: write one of {known}")]
    Field {
        /// What the question is about.
        subject: String,
        /// The word found.
        word: String,
        /// The fields that exist.
        known: String,
    },
    /// A field that is no flag stands alone.
    #[display("{field} is {kind}, not yes or no: compare it, as in {field} = VALUE")]
    NoFlag {
        /// The field.
        field: String,
        /// Its kind.
        kind: String,
    },
    /// A comparison does not fit the field.
    #[display("{field} is {kind}: compare it with {allowed}")]
    Op {
        /// The field.
        field: String,
        /// Its kind.
        kind: String,
        /// The comparisons that fit.
        allowed: String,
    },
    /// A value does not fit its place.
    #[display("{_0}")]
    Value(#[error(not(source))] String),
    /// `since` was asked of something without an age.
    #[display("{subject} have no age: leave out 'since'")]
    Ageless {
        /// What the question is about.
        subject: String,
    },
    /// A pipeline to be created lacks a part.
    #[display("the new pipeline has no {part}: add '{part} …'")]
    Part {
        /// The missing part.
        part: String,
    },
    /// The text holds more than one statement.
    #[display("{count} statements were sent at once: send exactly one to a router")]
    Count {
        /// The statements found.
        count: usize,
    },
}

/// Where in a text a problem was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorLocation {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// The characters of the word.
    pub width: usize,
    /// The line's text.
    pub text: String,
}

/// A problem with the place where it was found.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{}:{}: {problem}\n{}", location.line, location.column, marked_line(location))]
pub struct QueryError {
    /// What is wrong.
    #[error(not(source))]
    pub problem: QueryProblem,
    /// Where it is wrong.
    pub location: Box<ErrorLocation>,
}

impl QueryError {
    /// Tells whether the words don't form a statement.
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

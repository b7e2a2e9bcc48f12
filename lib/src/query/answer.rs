//! What a router answers, one JSON object a line.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use super::field::Field;
use super::table::Row;
use super::table::Table;
use crate::ids::NodeId;
use crate::ids::Revision;

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum ChangeAnswer {
    /// It was read back from the log.
    #[display("accepted at revision {revision}, made on {base}")]
    Accepted {
        /// The revision that it made.
        revision: Revision,
        /// The revision that it was made on.
        base: Revision,
    },
    /// Another change was made on the same base first.
    #[display(
        "lost: made on revision {base}, but {revision} is in force by {winner}; \
         look at it and ask again"
    )]
    Lost {
        /// The revision that it was made on.
        base: Revision,
        /// The revision in force.
        revision: Revision,
        /// Whose change won, and what it was.
        winner: String,
    },
    /// It does not fit the configuration; nothing was appended.
    #[display("refused, nothing changed: {why}")]
    Invalid {
        /// What is wrong and how to mend it.
        why: String,
    },
    /// What it would change.
    #[display("dry run on revision {base}: {} lines differ", diff.len())]
    Planned {
        /// The revision that it would be made on.
        base: Revision,
        /// Lines taken out (`-`) and put in (`+`).
        diff: Vec<String>,
    },
    /// The log does not answer; nothing was appended.
    #[display("not done, nothing changed: {why}")]
    NotDone {
        /// What failed and what to do.
        why: String,
    },
    /// The append may have taken effect.
    #[display("not known whether it took effect: {why}")]
    Unknown {
        /// What failed and what to do.
        why: String,
    },
}

impl ChangeAnswer {
    /// Tells whether the change is accepted.
    #[must_use]
    pub const fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted { .. })
    }
}

/// One line of an answer.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "kebab-case")]
pub enum AnswerLine {
    /// The columns of the rows that follow.
    Columns {
        /// The columns.
        columns: Vec<Field>,
    },
    /// One row.
    Row {
        /// The cells.
        cells: Row,
    },
    /// What became of a change.
    Change {
        /// The answer.
        answer: ChangeAnswer,
    },
    /// Whether the request was found here and told to stop.
    Stop {
        /// Whether it was.
        stopped: bool,
    },
    /// Something that the operator should know beside the answer.
    Note {
        /// What was noticed.
        text: String,
    },
    /// Why there is no answer.
    Error {
        /// What is wrong and how to mend it.
        text: String,
    },
    /// The last line: without it the answer was cut off.
    End {
        /// The router that answered.
        router: NodeId,
        /// The revision in force there.
        revision: Revision,
        /// The rows left out by the limit.
        omitted: u64,
    },
}

impl AnswerLine {
    /// Splits a table into lines.
    #[must_use]
    pub fn from_table(table: Table) -> Vec<Self> {
        let columns = Self::Columns {
            columns: table.columns,
        };
        let rows = table.rows.into_iter().map(|cells| Self::Row { cells });
        std::iter::once(columns).chain(rows).collect()
    }

    /// Writes lines as JSON, one a line.
    ///
    /// # Panics
    ///
    /// Panics if a line has no JSON form, which would be a bug: it has text
    /// keys only.
    #[must_use]
    pub fn to_json(lines: &[Self]) -> String {
        let mut text = String::new();
        for line in lines {
            let json = serde_json::to_string(line).expect("a line has a JSON form");
            text.push_str(&json);
            text.push('\n');
        }
        text
    }

    /// Reads lines that [`AnswerLine::to_json`] wrote.
    ///
    /// # Errors
    ///
    /// Returns the error of the first line that is malformed.
    pub fn from_json(text: &str) -> Result<Vec<Self>, serde_json::Error> {
        text.lines().map(serde_json::from_str).collect()
    }
}

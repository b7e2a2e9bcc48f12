//! The answers of a router, encoded as one JSON object per line.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use super::field::Field;
use super::table::Row;
use super::table::Table;
use crate::ids::NodeId;
use crate::ids::Revision;

/// The result of a configuration change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum ChangeAnswer {
    /// The change was read back from the log.
    #[display("accepted at revision {revision}, made on {base}")]
    Accepted {
        /// The revision that the change created.
        revision: Revision,
        /// The revision that the change is based on.
        base: Revision,
    },
    /// Another change on the same base revision was accepted first.
    #[display(
        "lost: made on revision {base}, but {revision} is in force by {winner}; \
         look at it and ask again"
    )]
    Lost {
        /// The revision that the change is based on.
        base: Revision,
        /// The revision in force.
        revision: Revision,
        /// The author of the accepted change, and the change.
        winner: String,
    },
    /// The change does not fit the configuration; nothing was appended.
    #[display("refused, nothing changed: {why}")]
    Invalid {
        /// The fault and its remedy.
        why: String,
    },
    /// The result of a dry run.
    #[display("dry run on revision {base}: {} lines differ", diff.len())]
    Planned {
        /// The revision that the change would be based on.
        base: Revision,
        /// The removed (`-`) and added (`+`) lines.
        diff: Vec<String>,
    },
    /// The log does not respond; nothing was appended.
    #[display("not done, nothing changed: {why}")]
    NotDone {
        /// The failure and its remedy.
        why: String,
    },
    /// The append may or may not have taken effect.
    #[display("not known whether it took effect: {why}")]
    Unknown {
        /// The failure and its remedy.
        why: String,
    },
}

impl ChangeAnswer {
    /// Returns whether the change was accepted.
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
    /// The result of a configuration change.
    Change {
        /// The result.
        answer: ChangeAnswer,
    },
    /// The result of a stop command.
    Stop {
        /// Whether this router had the request and signalled it to stop.
        stopped: bool,
    },
    /// A notice to the operator in addition to the answer.
    Note {
        /// The notice.
        text: String,
    },
    /// The error returned instead of an answer.
    Error {
        /// The fault and its remedy.
        text: String,
    },
    /// The last line; an answer without it is truncated.
    End {
        /// The router that answered.
        router: NodeId,
        /// The revision in force at that router.
        revision: Revision,
        /// The number of rows omitted because of the limit.
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

    /// Encodes lines as JSON, one object per line.
    ///
    /// # Panics
    ///
    /// Panics if a line can't be encoded, which would be a bug: all keys are
    /// strings.
    #[must_use]
    pub fn to_json(lines: &[Self]) -> String {
        let mut text = String::new();
        for line in lines {
            let json = serde_json::to_string(line).expect("an answer line can be encoded as JSON");
            text.push_str(&json);
            text.push('\n');
        }
        text
    }

    /// Decodes the output of [`AnswerLine::to_json`].
    ///
    /// # Errors
    ///
    /// Returns the error of the first malformed line.
    pub fn from_json(text: &str) -> Result<Vec<Self>, serde_json::Error> {
        text.lines().map(serde_json::from_str).collect()
    }
}

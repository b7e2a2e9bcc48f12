//! What came of one statement, for a person or a program.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Map;
use serde_json::Value as Json;
use serde_json::json;
use snipeyoke_lib::ids::Revision;
use snipeyoke_lib::query::AnswerLine;
use snipeyoke_lib::query::ChangeAnswer;
use snipeyoke_lib::query::Kind;
use snipeyoke_lib::query::Row;
use snipeyoke_lib::query::Table;
use snipeyoke_lib::query::Value;
use tabled::builder::Builder;
use tabled::settings::Style;

use crate::exit::Exit;
use crate::router::AskError;

/// The description of the language.
const HELP: &str = include_str!("help.txt");

/// The integers below this are exact as floats: 2 to the 53rd.
const EXACT_MAX: f64 = 9_007_199_254_740_992.0;

/// A router that gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unheard {
    /// Its control address.
    pub address: SocketAddr,
    /// Why not.
    pub error: AskError,
}

/// Where a revision is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce {
    revision: Revision,
    waited: Duration,
    there: Vec<String>,
    behind: Vec<String>,
    unheard: Vec<Unheard>,
}

impl InForce {
    /// Starts with no router heard, after waiting for some time.
    #[must_use]
    pub const fn new(revision: Revision, waited: Duration) -> Self {
        Self {
            revision,
            waited,
            there: Vec::new(),
            behind: Vec::new(),
            unheard: Vec::new(),
        }
    }

    /// Takes one router's answer in.
    pub fn take(&mut self, address: SocketAddr, answer: Result<Vec<AnswerLine>, AskError>) {
        let lines = match answer {
            Ok(lines) => lines,
            Err(error) => return self.unheard.push(Unheard { address, error }),
        };
        let Some(AnswerLine::End {
            router, revision, ..
        }) = lines.last()
        else {
            return;
        };
        if *revision >= self.revision {
            self.there.push(router.to_string());
        } else {
            self.behind.push(format!("{router} (at {revision})"));
        }
    }

    /// Tells whether every router that answers has the revision.
    #[must_use]
    pub const fn is_settled(&self) -> bool {
        self.behind.is_empty()
    }

    fn lines(&self) -> Vec<String> {
        let all = self.there.len() + self.behind.len() + self.unheard.len();
        let mut lines = vec![format!(
            "revision {} in force at {} of {all} routers after {:.1} s: {}",
            self.revision,
            self.there.len(),
            self.waited.as_secs_f64(),
            self.there.join(", "),
        )];
        if !self.behind.is_empty() {
            lines.push(format!("not yet in force at: {}", self.behind.join(", ")));
        }
        lines.extend(unheard_lines(&self.unheard));
        lines
    }

    fn json(&self) -> Json {
        json!({
            "in_force": self.revision.0,
            "waited_ms": self.waited.as_millis() as u64,
            "there": self.there,
            "behind": self.behind,
            "unheard": unheard_json(&self.unheard),
        })
    }
}

/// What came of one statement.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Report {
    /// The routers that answered.
    pub routers: Vec<String>,
    /// The routers that did not.
    pub unheard: Vec<Unheard>,
    /// The merged rows.
    pub table: Option<Table>,
    /// What became of a change.
    pub change: Option<ChangeAnswer>,
    /// Where an accepted change is in force.
    pub force: Option<InForce>,
    /// What else is worth knowing.
    pub notes: Vec<String>,
    /// Errors, each with its router.
    pub errors: Vec<(String, String)>,
    /// How the tool should end.
    pub exit: Exit,
    help: bool,
}

impl Report {
    /// Builds the description of the language.
    #[must_use]
    pub fn help() -> Self {
        Self {
            help: true,
            ..Self::default()
        }
    }

    /// Derives the exit from all that came in.
    pub(crate) fn settle(&mut self) {
        let denied = |u: &Unheard| u.error == AskError::Key;
        if self.routers.is_empty() && !self.unheard.iter().all(denied) {
            self.exit = self.exit.max(Exit::Unheard);
        }
        if !self.errors.is_empty() {
            self.exit = self.exit.max(Exit::Refused);
        }
        let changed = match &self.change {
            None | Some(ChangeAnswer::Accepted { .. } | ChangeAnswer::Planned { .. }) => Exit::Done,
            Some(ChangeAnswer::Unknown { .. }) => Exit::Unknown,
            Some(_) => Exit::Refused,
        };
        let force = self.force.as_ref();
        let partial = force.is_some_and(|f| !f.is_settled() || !f.unheard.is_empty());
        let forced = if partial { Exit::Partial } else { Exit::Done };
        self.exit = self.exit.max(changed).max(forced);
    }

    /// Writes the report for a person.
    #[must_use]
    pub fn text(&self) -> String {
        if self.help {
            return HELP.to_owned();
        }
        let mut lines = self.table.as_ref().map_or_else(Vec::new, aligned);
        if let Some(change) = &self.change {
            lines.push(change.to_string());
            if let ChangeAnswer::Planned { diff, .. } = change {
                lines.extend(diff.iter().cloned());
            }
        }
        lines.extend(self.notes.iter().cloned());
        for (router, error) in &self.errors {
            lines.push(if router.is_empty() {
                error.clone()
            } else {
                format!("{router}: {error}")
            });
        }
        // Where a change is in force was asked last, and names who is missing.
        match &self.force {
            Some(force) => lines.extend(force.lines()),
            None => lines.extend(unheard_lines(&self.unheard)),
        }
        lines.push(String::new());
        lines.join("\n")
    }

    /// Writes the report for a program, one JSON object a line.
    #[must_use]
    pub fn json(&self) -> String {
        let mut text = String::new();
        let mut push = |json: &Json| {
            // Writing to a string can't fail.
            writeln!(text, "{json}").unwrap_or_default();
        };
        if let Some(table) = &self.table {
            for row in &table.rows {
                push(&object(table, row));
            }
        }
        if let Some(change) = &self.change {
            let json = serde_json::to_value(change).unwrap_or_default();
            push(&json);
        }
        if let Some(force) = &self.force {
            push(&force.json());
        }
        for (router, error) in &self.errors {
            push(&json!({"error": error, "router": router}));
        }
        push(&json!({
            "routers": self.routers,
            "unheard": unheard_json(&self.unheard),
            "omitted": self.table.as_ref().map_or(0, |t| t.omitted),
            "notes": self.notes,
            "exit": self.exit.code(),
        }));
        text
    }
}

fn object(table: &Table, row: &Row) -> Json {
    let mut object = Map::new();
    for (field, value) in table.columns.iter().zip(&row.0) {
        let name = match field.kind() {
            Kind::Interval => format!("{field}_ms"),
            _ => field.to_string(),
        };
        let json = match value {
            Value::Absent => Json::Null,
            Value::Text(text) => json!(text),
            Value::Number(number) if is_whole(*number) => json!(*number as i64),
            Value::Number(number) => json!(number),
            Value::Interval(interval) => json!(interval.millis()),
            Value::Flag(flag) => json!(flag),
        };
        object.insert(name, json);
    }
    Json::Object(object)
}

/// Tells whether a number is exact as an integer.
fn is_whole(number: f64) -> bool {
    number.fract() == 0.0 && number.abs() < EXACT_MAX
}

fn unheard_lines(unheard: &[Unheard]) -> Vec<String> {
    let line = |u: &Unheard| format!("not asked: {}: {}", u.address, u.error);
    unheard.iter().map(line).collect()
}

fn unheard_json(unheard: &[Unheard]) -> Json {
    let one = |u: &Unheard| json!({"router": u.address, "why": u.error.to_string()});
    Json::Array(unheard.iter().map(one).collect())
}

/// Aligns a table, without the columns that say nothing in any row.
fn aligned(table: &Table) -> Vec<String> {
    if table.rows.is_empty() {
        return vec!["no rows".to_owned()];
    }
    let says = |index: usize| {
        let silent = |r: &Row| matches!(r.0[index].to_string().as_str(), "-" | "" | "no");
        index == 0 || !table.rows.iter().all(silent)
    };
    let shown: Vec<_> = (0..table.columns.len()).filter(|i| says(*i)).collect();
    let mut builder = Builder::default();
    builder.push_record(shown.iter().map(|i| table.columns[*i].to_string()));
    for row in &table.rows {
        builder.push_record(shown.iter().map(|i| row.0[*i].to_string()));
    }
    let mut drawn = builder.build();
    drawn.with(Style::blank());
    let drawn = drawn.to_string();
    let mut lines: Vec<_> = drawn.lines().map(stripped).collect();
    if table.omitted > 0 {
        lines.push(format!("{} more rows: narrow the question", table.omitted));
    }
    lines
}

fn stripped(line: &str) -> String {
    line.strip_prefix(' ').unwrap_or(line).trim_end().to_owned()
}

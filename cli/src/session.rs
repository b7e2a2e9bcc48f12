//! Statements carried out over all routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use snipeyoke_lib::ids::Revision;
use snipeyoke_lib::query::AnswerLine;
use snipeyoke_lib::query::ChangeAnswer;
use snipeyoke_lib::query::ChangeCommand;
use snipeyoke_lib::query::Command;
use snipeyoke_lib::query::Merge;
use snipeyoke_lib::query::Query;
use snipeyoke_lib::query::RouterTable;
use snipeyoke_lib::query::Row;
use snipeyoke_lib::query::Statement;
use snipeyoke_lib::query::Subject;
use snipeyoke_lib::query::Table;
use uuid::Uuid;

use crate::exit::Exit;
use crate::report::InForce;
use crate::report::Report;
use crate::report::Unheard;
use crate::router::Ask;
use crate::router::AskError;

/// The routers asked at the same time.
const WIDTH: usize = 32;

/// How long routers have to bring a change into force.
const FORCE_TIME: Duration = Duration::from_secs(4);

/// The pause between two questions for the revision in force.
const FORCE_PAUSE: Duration = Duration::from_millis(100);

/// Carries out statements, remembering the revision seen last.
#[derive(Debug)]
pub struct Session {
    routers: Vec<SocketAddr>,
    ask: Arc<dyn Ask>,
    seen: Option<Revision>,
}

struct Heard {
    address: SocketAddr,
    answer: Result<Vec<AnswerLine>, AskError>,
}

impl Session {
    /// Starts a session that has seen nothing yet.
    #[must_use]
    pub const fn new(routers: Vec<SocketAddr>, ask: Arc<dyn Ask>) -> Self {
        Self {
            routers,
            ask,
            seen: None,
        }
    }

    /// Returns the revision that the operator has seen last.
    #[must_use]
    pub const fn seen(&self) -> Option<Revision> {
        self.seen
    }

    /// Waits between two answers of `watch`.
    pub async fn pause(&self, time: Duration) {
        self.ask.pause(time).await;
    }

    /// Carries out one statement; `watch` asks once.
    pub async fn run(&mut self, statement: &Statement) -> Report {
        match statement {
            Statement::Help => Report::help(),
            Statement::Query(query) => self.question(query).await,
            Statement::Watch { show, .. } => self.question(&Query::Show(show.clone())).await,
            Statement::Command(Command::Stop(_)) => self.stop(&statement.to_string()).await,
            Statement::Command(Command::Change(change)) => self.change(change).await,
        }
    }

    async fn all(&self, text: Option<&str>) -> Vec<Heard> {
        let asked = self.routers.iter().map(|address| async move {
            let answer = match text {
                Some(text) => self.ask.ask(*address, text.to_owned(), None).await,
                None => self.ask.revision(*address).await,
            };
            Heard {
                address: *address,
                answer,
            }
        });
        stream::iter(asked).buffered(WIDTH).collect().await
    }

    async fn question(&mut self, query: &Query) -> Report {
        let heard = self.all(Some(&query.to_string())).await;
        let mut report = Report::default();
        let mut tables = Vec::new();
        for one in heard {
            let Some(lines) = report.take(one.address, one.answer) else {
                continue;
            };
            let router = report.routers.last().cloned().unwrap_or_default();
            self.see(&lines);
            let (table, errors) = sort(lines);
            report
                .errors
                .extend(errors.into_iter().map(|e| (router.clone(), e)));
            tables.extend(table.map(|table| RouterTable { router, table }));
        }
        let (merge, limit) = merging(query);
        report.table = (!tables.is_empty()).then(|| Table::merge(&tables, merge, limit));
        // One router alone knows a request; the others' not knowing it is no
        // error once it has been told.
        if report.table.is_some() {
            report.errors.clear();
        }
        report.settle();
        report
    }

    async fn stop(&self, text: &str) -> Report {
        let heard = self.all(Some(text)).await;
        let mut report = Report::default();
        for one in heard {
            let Some(lines) = report.take(one.address, one.answer) else {
                continue;
            };
            let router = report.routers.last().cloned().unwrap_or_default();
            let stopped = |l: &AnswerLine| matches!(l, AnswerLine::Stop { stopped: true });
            if lines.iter().any(stopped) {
                report
                    .notes
                    .push(format!("told to stop at router {router}"));
            }
            let (_, errors) = sort(lines);
            report
                .errors
                .extend(errors.into_iter().map(|e| (router.clone(), e)));
        }
        if report.notes.is_empty() && report.errors.is_empty() {
            let text = "no router that answered runs this request".to_owned();
            report.errors.push((String::new(), text));
        }
        report.settle();
        report
    }

    async fn change(&mut self, change: &ChangeCommand) -> Report {
        let mut change = change.clone();
        change.base = change.base.or(self.seen);
        let text = Statement::Command(Command::Change(change.clone())).to_string();
        let mut report = self.submit(&text).await;
        let revision = match &report.change {
            Some(ChangeAnswer::Accepted { revision, .. }) => Some(*revision),
            Some(ChangeAnswer::Lost { revision, .. }) => {
                self.seen = Some(*revision);
                None
            }
            _ => None,
        };
        if let Some(revision) = revision {
            self.seen = Some(revision);
            report.force = Some(self.in_force(revision).await);
        }
        report.settle();
        report
    }

    // The same identity goes with each try. Without it a change whose answer
    // was lost would be made twice, or would lose to itself.
    async fn submit(&mut self, text: &str) -> Report {
        let id = Uuid::now_v7();
        let mut report = Report::default();
        let mut doubt = None;
        for address in self.routers.clone() {
            let answer = self.ask.ask(address, text.to_owned(), Some(id)).await;
            if let Err(AskError::Unanswered { what }) = &answer {
                doubt = Some(format!("{address} gave {what}"));
            }
            let Some(lines) = report.take(address, answer) else {
                continue;
            };
            for line in &lines {
                match line {
                    AnswerLine::Change { answer } => report.change = Some(answer.clone()),
                    AnswerLine::Note { text } => report.notes.push(text.clone()),
                    AnswerLine::Error { text } => report.errors.push((String::new(), text.clone())),
                    _ => {}
                }
            }
            // A router without the log can't tell what became of an earlier
            // try, so its "not done" does not settle that.
            if let (Some(ChangeAnswer::NotDone { why }), Some(doubt)) = (&report.change, &doubt) {
                let why = format!("{doubt}, and then: {why}; ask 'show changes' before repeating");
                report.change = Some(ChangeAnswer::Unknown { why });
            }
            return report;
        }
        if let Some(doubt) = doubt {
            let why = format!("{doubt}; ask 'show changes' before repeating");
            report.change = Some(ChangeAnswer::Unknown { why });
        }
        report
    }

    async fn in_force(&self, revision: Revision) -> InForce {
        let mut waited = Duration::ZERO;
        loop {
            let heard = self.all(None).await;
            let mut force = InForce::new(revision, waited);
            for one in heard {
                force.take(one.address, one.answer);
            }
            if force.is_settled() || waited >= FORCE_TIME {
                return force;
            }
            self.ask.pause(FORCE_PAUSE).await;
            waited += FORCE_PAUSE;
        }
    }

    fn see(&mut self, lines: &[AnswerLine]) {
        if let Some(AnswerLine::End { revision, .. }) = lines.last() {
            self.seen = self.seen.max(Some(*revision));
        }
    }
}

/// Tells how the answers to a question belong together.
fn merging(query: &Query) -> (Merge, Option<usize>) {
    match query {
        Query::Show(show) if show.subject == Subject::Requests => (Merge::PerRouter, show.limit),
        Query::Show(show) => (Merge::Shared, show.limit),
        Query::Explain(_) | Query::Config(_) => (Merge::Shared, None),
    }
}

fn sort(lines: Vec<AnswerLine>) -> (Option<Table>, Vec<String>) {
    let mut table: Option<Table> = None;
    let mut errors = Vec::new();
    for line in lines {
        match (line, &mut table) {
            (AnswerLine::Columns { columns }, _) => {
                table = Some(Table {
                    columns,
                    ..Table::default()
                });
            }
            (AnswerLine::Row { cells }, Some(table)) => fill(table, cells),
            (AnswerLine::End { omitted, .. }, Some(table)) => table.omitted = omitted,
            (AnswerLine::Error { text }, _) => errors.push(text),
            _ => {}
        }
    }
    (table, errors)
}

// A row of another length would put values under the wrong heading.
fn fill(table: &mut Table, cells: Row) {
    if cells.0.len() == table.columns.len() {
        table.rows.push(cells);
    } else {
        table.omitted += 1;
    }
}

impl Report {
    /// Notes a router's answer, or why there is none.
    fn take(
        &mut self,
        address: SocketAddr,
        answer: Result<Vec<AnswerLine>, AskError>,
    ) -> Option<Vec<AnswerLine>> {
        match answer {
            Ok(lines) => {
                let name = match lines.last() {
                    Some(AnswerLine::End { router, .. }) => router.to_string(),
                    _ => address.to_string(),
                };
                self.routers.push(name);
                Some(lines)
            }
            Err(error) => {
                self.exit = self.exit.max(Exit::of(&error));
                self.unheard.push(Unheard { address, error });
                None
            }
        }
    }
}

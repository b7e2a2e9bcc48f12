//! The HTTP handler: one statement per request, JSON lines as the response.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use snipeyoke_lib::config::DrainTarget;
use snipeyoke_lib::ids::Operator;
use snipeyoke_lib::log::LogStore;
use snipeyoke_lib::query::AnswerLine;
use snipeyoke_lib::query::ChangeCommand;
use snipeyoke_lib::query::Command;
use snipeyoke_lib::query::Edit;
use snipeyoke_lib::query::Query;
use snipeyoke_lib::query::Statement;
use snipeyoke_lib::query::TEXT_MAX_BYTES;
use snipeyoke_lib::query::evaluate;
use snipeyoke_lib::query::parse_one;
use snipeyoke_lib::record::RecordId;
use snipeyoke_runtime::http::Handler;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::Request;
use snipeyoke_runtime::http::collect;
use snipeyoke_runtime::http::full;
use uuid::Uuid;

use super::auth;
use super::changes;
use super::facts::NodeFacts;
use crate::node::Node;

/// The time-out for reading a statement.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The header with the id of a change; a retry sends the same id.
const CHANGE_HEADER: &str = "x-change-id";

/// Handles requests of operators.
#[derive(Debug)]
pub(crate) struct ControlPort {
    node: Arc<Node>,
    log: Arc<dyn LogStore>,
}

impl ControlPort {
    pub(crate) fn new(node: Arc<Node>, log: Arc<dyn LogStore>) -> Self {
        Self { node, log }
    }

    async fn route(&self, request: Request) -> Reply {
        let operators = &self.node.settings.operators;
        let Some(operator) = auth::operator(request.headers(), operators) else {
            metrics::counter!("snipeyoke_control_denied_total").increment(1);
            log::warn!(target: "control", event = "operator-unknown", path = request.uri().path(); "");
            let text = "the key is missing or unknown: the statement was not executed".to_owned();
            return self.reply(
                StatusCode::UNAUTHORIZED,
                vec![AnswerLine::Error { text }],
                0,
            );
        };
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control/query") => self.statement(operator, request).await,
            (&Method::GET, "/control/revision") => self.reply(StatusCode::OK, Vec::new(), 0),
            (method, path) => {
                let text = format!("{method} {path} is unknown: POST to /control/query");
                self.reply(StatusCode::NOT_FOUND, vec![AnswerLine::Error { text }], 0)
            }
        }
    }

    async fn statement(&self, operator: Operator, request: Request) -> Reply {
        let id = change_id(request.headers());
        let text = match self.text(request).await {
            Ok(text) => text,
            Err(text) => return self.bad_request(text),
        };
        let statement = match parse_one(&text) {
            Ok(statement) => statement,
            Err(error) => return self.bad_request(error.to_string()),
        };
        log::info!(target: "control", event = "statement", operator = operator.as_str(), text = statement.to_string().as_str(); "");
        match statement {
            Statement::Query(query) => self.query(&query),
            Statement::Watch { show, .. } => self.query(&Query::Show(show)),
            Statement::Help => self.bad_request("help is part of the command-line tool".to_owned()),
            Statement::Command(Command::Stop(id)) => {
                let stopped = self.node.control.records.stop(id);
                self.reply(StatusCode::OK, vec![AnswerLine::Stop { stopped }], 0)
            }
            Statement::Command(Command::Change(change)) => self.change(operator, id, &change).await,
        }
    }

    async fn text(&self, request: Request) -> Result<String, String> {
        let read = async {
            let body = collect(request.into_body(), TEXT_MAX_BYTES).await;
            body.map_err(|error| error.to_string())
        };
        let timeout = async {
            Timer::after(BODY_TIMEOUT).await;
            Err(format!(
                "the statement did not arrive within {BODY_TIMEOUT:?}: send it in one request"
            ))
        };
        let body = read.or(timeout).await?;
        String::from_utf8(body.into()).map_err(|_binary| "the statement is not UTF-8".to_owned())
    }

    fn query(&self, query: &Query) -> Reply {
        match evaluate(query, &NodeFacts(&self.node)) {
            Ok(table) => {
                let omitted = table.omitted;
                self.reply(StatusCode::OK, AnswerLine::from_table(table), omitted)
            }
            Err(error) => {
                let text = error.to_string();
                self.reply(StatusCode::OK, vec![AnswerLine::Error { text }], 0)
            }
        }
    }

    async fn change(&self, operator: Operator, id: RecordId, change: &ChangeCommand) -> Reply {
        let mut lines: Vec<_> = self.unknown_target_note(&change.edit).into_iter().collect();
        let log = self.log.as_ref();
        let answer = changes::change(&self.node, log, operator.clone(), id, change).await;
        log::info!(target: "control", event = "change", operator = operator.as_str(), record = id.to_string().as_str(), change = change.to_string().as_str(), answer = answer.to_string().as_str(); "");
        lines.push(AnswerLine::Change { answer });
        self.reply(StatusCode::OK, lines, 0)
    }

    // A drain or evacuation with a mistyped name is accepted but has no effect.
    fn unknown_target_note(&self, edit: &Edit) -> Option<AnswerLine> {
        let target = match edit {
            Edit::Drain(target) => target.clone(),
            Edit::Evacuate(domain) => DrainTarget::Domain(domain.clone()),
            _ => return None,
        };
        let known = NodeFacts(&self.node);
        (!super::drains::is_known(&known, &target)).then(|| AnswerLine::Note {
            text: format!("{target} is not known to this router: check its name with 'show'"),
        })
    }

    fn bad_request(&self, text: String) -> Reply {
        self.reply(StatusCode::BAD_REQUEST, vec![AnswerLine::Error { text }], 0)
    }

    fn reply(&self, status: StatusCode, mut lines: Vec<AnswerLine>, omitted: u64) -> Reply {
        lines.push(AnswerLine::End {
            router: self.node.settings.node.clone(),
            revision: self.node.board.config.get().revision,
            omitted,
        });
        let mut reply = Reply::new(full(AnswerLine::to_json(&lines)));
        *reply.status_mut() = status;
        let kind = HeaderValue::from_static("application/jsonl");
        reply.headers_mut().insert(CONTENT_TYPE, kind);
        reply
    }
}

/// Returns the change id sent by the tool, or a new one.
fn change_id(headers: &HeaderMap) -> RecordId {
    let given = headers.get(CHANGE_HEADER).and_then(|v| v.to_str().ok());
    let parsed = given.and_then(|text| Uuid::parse_str(text).ok());
    RecordId(parsed.unwrap_or_else(Uuid::now_v7))
}

impl Handler for ControlPort {
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(self.route(request))
    }
}

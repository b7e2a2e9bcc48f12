//! From text to statements.

use std::fmt::Display;
use std::str::FromStr;

use pest::Parser;
use pest::error::ErrorVariant;
use pest::error::InputLocation;
use pest::error::LineColLocation;
use pest::iterators::Pair;

use super::ast::ChangeCommand;
use super::ast::Command;
use super::ast::Filter;
use super::ast::Op;
use super::ast::Query;
use super::ast::Show;
use super::ast::Statement;
use super::error::ErrorLocation;
use super::error::QueryError;
use super::error::QueryProblem;
use super::field::Field;
use super::field::Kind;
use super::field::Subject;
use super::interval::Interval;
use super::parse_edit;
use super::value::Value;
use super::words;
use crate::ids::RequestId;
use crate::ids::Revision;

/// The longest text that is parsed, in bytes.
///
/// A configuration of 34 pipelines written out has about 20 KB.
pub const TEXT_MAX_BYTES: usize = 256 << 10;

/// The deepest nesting of brackets and `not` that is parsed.
///
/// The parser descends by recursion: a text of a hundred thousand brackets
/// would overflow the stack and end the router with all that runs in it.
const DEPTH_MAX: usize = 64;

/// The pause of `watch` without `every`.
const EVERY: &str = "2s";

pub(super) use grammar::Grammar;
pub(super) use grammar::Rule;

mod grammar {
    /// The grammar that `grammar.pest` describes.
    #[derive(Debug)]
    #[derive(pest_derive::Parser)]
    #[grammar = "src/query/grammar.pest"]
    pub struct Grammar;
}

pub(super) type Parsed<T> = Result<T, QueryError>;

/// Parses statements that `;` separates.
///
/// # Errors
///
/// Returns a [`QueryError`] that points at the first word that is wrong.
pub fn parse(text: &str) -> Result<Vec<Statement>, QueryError> {
    let text = text.trim_end();
    check_size(text)?;
    let mut pairs = Grammar::parse(Rule::script, text).map_err(|e| syntax(text, &e))?;
    let script = pairs.next();
    script
        .into_iter()
        .flat_map(Pair::into_inner)
        .filter(|p| p.as_rule() == Rule::statement)
        .map(|p| statement(&p))
        .collect()
}

/// Parses exactly one statement.
///
/// # Errors
///
/// Returns a [`QueryError`] as [`parse`] does, or if there is not exactly one.
pub fn parse_one(text: &str) -> Result<Statement, QueryError> {
    let mut statements = parse(text)?;
    let count = statements.len();
    match statements.pop() {
        Some(one) if count == 1 => Ok(one),
        _ => Err(whole(text, QueryProblem::Count { count })),
    }
}

fn check_size(text: &str) -> Parsed<()> {
    if text.len() > TEXT_MAX_BYTES {
        let problem = format!("the text has over {TEXT_MAX_BYTES} bytes: send it in parts");
        return Err(whole("", QueryProblem::Value(problem)));
    }
    if text
        .split(';')
        .any(|statement| depth(statement) > DEPTH_MAX)
    {
        let problem = format!("over {DEPTH_MAX} brackets or 'not' in one statement: use fewer");
        return Err(whole("", QueryProblem::Value(problem)));
    }
    Ok(())
}

/// Bounds from above how deep the parser descends into a statement.
fn depth(statement: &str) -> usize {
    let mut open = 0_usize;
    let mut deepest = 0;
    for char in statement.chars() {
        match char {
            '(' => open += 1,
            ')' => open = open.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(open);
    }
    let words = statement.split(|c: char| !words::is_word(c));
    deepest + words.filter(|w| w.eq_ignore_ascii_case("not")).count()
}

fn whole(text: &str, problem: QueryProblem) -> QueryError {
    let text = text.lines().next().unwrap_or_default().to_owned();
    let location = ErrorLocation {
        line: 1,
        column: 1,
        width: text.chars().count().max(1),
        text,
    };
    QueryError {
        problem,
        location: Box::new(location),
    }
}

/// Builds an error that points at a pair.
pub(super) fn at(pair: &Pair<'_, Rule>, problem: QueryProblem) -> QueryError {
    let span = pair.as_span();
    let (line, column) = span.start_pos().line_col();
    let text = span.start_pos().line_of().trim_end().to_owned();
    let location = ErrorLocation {
        line,
        column,
        width: pair.as_str().chars().count().max(1),
        text,
    };
    QueryError {
        problem,
        location: Box::new(location),
    }
}

fn syntax(text: &str, error: &pest::error::Error<Rule>) -> QueryError {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(at) | LineColLocation::Span(at, _) => at,
    };
    let start = match error.location {
        InputLocation::Pos(at) | InputLocation::Span((at, _)) => at,
    };
    let rest = text.get(start..).unwrap_or_default();
    let word = words::first(rest);
    let expected = match &error.variant {
        ErrorVariant::ParsingError { positives, .. } => words::expected(positives),
        ErrorVariant::CustomError { message } => message.clone(),
    };
    let found = if word.is_empty() {
        "the end".to_owned()
    } else {
        format!("{word:?}")
    };
    let location = ErrorLocation {
        line,
        column,
        width: word.chars().count().max(1),
        text: text.lines().nth(line - 1).unwrap_or_default().to_owned(),
    };
    QueryError {
        problem: QueryProblem::Syntax { found, expected },
        location: Box::new(location),
    }
}

/// Reads a word as a checked type whose error names the remedy.
pub(super) fn word<T>(pair: &Pair<'_, Rule>) -> Parsed<T>
where
    T: FromStr,
    T::Err: Display,
{
    let parsed = pair.as_str().parse();
    parsed.map_err(|e: T::Err| at(pair, QueryProblem::Value(e.to_string())))
}

/// Reads a finite number.
pub(super) fn number(pair: &Pair<'_, Rule>) -> Parsed<f64> {
    let parsed = pair.as_str().parse::<f64>().ok();
    parsed.filter(|n| n.is_finite()).ok_or_else(|| {
        let text = format!(
            "{:?} is no number: write digits, as in 12 or 0.5",
            pair.as_str()
        );
        at(pair, QueryProblem::Value(text))
    })
}

fn whole_number(pair: &Pair<'_, Rule>) -> Parsed<u64> {
    pair.as_str().parse().map_err(|_malformed| {
        let text = format!(
            "{:?} is no whole number: write digits, as in 41",
            pair.as_str()
        );
        at(pair, QueryProblem::Value(text))
    })
}

fn statement(pair: &Pair<'_, Rule>) -> Parsed<Statement> {
    let Some(inner) = pair.clone().into_inner().next() else {
        return Err(missing(pair));
    };
    match inner.as_rule() {
        Rule::help => Ok(Statement::Help),
        Rule::watch => watch(&inner),
        Rule::explain => Ok(Query::Explain(request(&inner)?).into()),
        Rule::show_config => Ok(Query::Config(revision(&inner)?).into()),
        Rule::show => Ok(Query::Show(question(&part(&inner, Rule::question)?)?).into()),
        Rule::stop => Ok(Command::Stop(request(&inner)?).into()),
        _ => Ok(Command::Change(changing(&inner)?).into()),
    }
}

/// Builds the error for a part that the grammar promises and that is missing.
pub(super) fn missing(pair: &Pair<'_, Rule>) -> QueryError {
    let expected = words::describe(pair.as_rule());
    at(
        pair,
        QueryProblem::Syntax {
            found: format!("{:?}", pair.as_str()),
            expected,
        },
    )
}

/// Finds the first part of a kind.
pub(super) fn part<'i>(pair: &Pair<'i, Rule>, rule: Rule) -> Parsed<Pair<'i, Rule>> {
    let found = pair.clone().into_inner().find(|p| p.as_rule() == rule);
    found.ok_or_else(|| missing(pair))
}

fn request(pair: &Pair<'_, Rule>) -> Parsed<RequestId> {
    word(&part(pair, Rule::name)?)
}

fn revision(pair: &Pair<'_, Rule>) -> Parsed<Option<Revision>> {
    let found = pair
        .clone()
        .into_inner()
        .find(|p| p.as_rule() == Rule::number);
    let number = found.as_ref().map(whole_number).transpose()?;
    Ok(number.map(Revision))
}

fn watch(pair: &Pair<'_, Rule>) -> Parsed<Statement> {
    let every = pair
        .clone()
        .into_inner()
        .find(|p| p.as_rule() == Rule::interval);
    let every = match &every {
        Some(found) => word(found)?,
        None => EVERY.parse::<Interval>().unwrap_or_default(),
    };
    let show = question(&part(pair, Rule::question)?)?;
    Ok(Statement::Watch { show, every })
}

fn changing(pair: &Pair<'_, Rule>) -> Parsed<ChangeCommand> {
    let dry_run = pair
        .clone()
        .into_inner()
        .any(|p| p.as_rule() == Rule::k_dry_run);
    let base = revision(pair)?;
    let edit = parse_edit::edit(&part(pair, Rule::change)?)?;
    Ok(ChangeCommand {
        edit,
        base,
        dry_run,
    })
}

fn question(pair: &Pair<'_, Rule>) -> Parsed<Show> {
    let (mut show, flag) = subject(&part(pair, Rule::subject)?)?;
    let mut filters: Vec<_> = flag.into_iter().map(Filter::Flag).collect();
    for inner in pair.clone().into_inner() {
        match inner.as_rule() {
            Rule::any => match any(&inner, show.subject)? {
                Filter::All(parts) => filters.extend(parts),
                other => filters.push(other),
            },
            Rule::interval => show.since = Some(since(&inner, show.subject)?),
            Rule::field => show.by = Some(field(&inner, show.subject)?),
            Rule::number => show.limit = Some(whole_number(&inner)? as usize),
            _ => {}
        }
    }
    show.filter = match filters.len() {
        0 | 1 => filters.pop(),
        _ => Some(Filter::All(filters)),
    };
    Ok(show)
}

// `show late` is short for `show requests where late`.
fn subject(pair: &Pair<'_, Rule>) -> Parsed<(Show, Option<Field>)> {
    let text = pair.as_str().to_ascii_lowercase();
    if let Some(subject) = Subject::named(&text) {
        return Ok((Show::all(subject), None));
    }
    let flag = Subject::Requests.field(&text);
    if let Some(flag) = flag.filter(|f| f.kind() == Kind::Flag) {
        return Ok((Show::all(Subject::Requests), Some(flag)));
    }
    let known = words::names(
        Subject::ALL.iter().chain([]),
        "config, late, refused, running",
    );
    let word = pair.as_str().to_owned();
    Err(at(pair, QueryProblem::Subject { word, known }))
}

fn since(pair: &Pair<'_, Rule>, subject: Subject) -> Parsed<Interval> {
    if subject.age().is_none() {
        let subject = subject.to_string();
        return Err(at(pair, QueryProblem::Ageless { subject }));
    }
    word(pair)
}

fn field(pair: &Pair<'_, Rule>, subject: Subject) -> Parsed<Field> {
    let found = subject.field(&pair.as_str().to_ascii_lowercase());
    found.ok_or_else(|| {
        let problem = QueryProblem::Field {
            subject: subject.to_string(),
            word: pair.as_str().to_owned(),
            known: words::names(subject.fields().iter(), ""),
        };
        at(pair, problem)
    })
}

fn any(pair: &Pair<'_, Rule>, subject: Subject) -> Parsed<Filter> {
    let parts = pair
        .clone()
        .into_inner()
        .filter(|p| p.as_rule() == Rule::all);
    let parts: Vec<_> = parts.map(|p| all(&p, subject)).collect::<Parsed<_>>()?;
    Ok(single(parts, Filter::Any))
}

fn all(pair: &Pair<'_, Rule>, subject: Subject) -> Parsed<Filter> {
    let parts = pair
        .clone()
        .into_inner()
        .filter(|p| p.as_rule() == Rule::term);
    let parts: Vec<_> = parts.map(|p| term(&p, subject)).collect::<Parsed<_>>()?;
    Ok(single(parts, Filter::All))
}

fn single(mut parts: Vec<Filter>, join: impl FnOnce(Vec<Filter>) -> Filter) -> Filter {
    match parts.pop() {
        Some(only) if parts.is_empty() => only,
        Some(last) => {
            parts.push(last);
            join(parts)
        }
        None => join(parts),
    }
}

fn term(pair: &Pair<'_, Rule>, subject: Subject) -> Parsed<Filter> {
    let Some(inner) = pair.clone().into_inner().next() else {
        return Err(missing(pair));
    };
    match inner.as_rule() {
        Rule::not => {
            let opposite = term(&part(&inner, Rule::term)?, subject)?;
            Ok(Filter::Not(Box::new(opposite)))
        }
        Rule::any => any(&inner, subject),
        Rule::compare => compare(&inner, subject),
        _ => flag(&part(&inner, Rule::field)?, subject),
    }
}

fn flag(pair: &Pair<'_, Rule>, subject: Subject) -> Parsed<Filter> {
    let field = field(pair, subject)?;
    if field.kind() == Kind::Flag {
        return Ok(Filter::Flag(field));
    }
    let problem = QueryProblem::NoFlag {
        field: field.to_string(),
        kind: field.kind().to_string(),
    };
    Err(at(pair, problem))
}

fn compare(pair: &Pair<'_, Rule>, subject: Subject) -> Parsed<Filter> {
    let field = field(&part(pair, Rule::field)?, subject)?;
    let op = op(&part(pair, Rule::op)?, field)?;
    let value = value(&part(pair, Rule::value)?, field.kind())?;
    Ok(Filter::Compare { field, op, value })
}

fn op(pair: &Pair<'_, Rule>, field: Field) -> Parsed<Op> {
    let op = match pair.as_str() {
        "=" => Op::Eq,
        "!=" => Op::Ne,
        "<" => Op::Lt,
        "<=" => Op::Le,
        ">" => Op::Gt,
        ">=" => Op::Ge,
        _ => Op::Has,
    };
    let allowed = match field.kind() {
        Kind::Text => "=, != or ~",
        Kind::Flag => "= or !=",
        Kind::Number | Kind::Interval => "=, !=, <, <=, > or >=",
    };
    let fits = matches!(op, Op::Eq | Op::Ne)
        || match field.kind() {
            Kind::Text => op == Op::Has,
            Kind::Flag => false,
            Kind::Number | Kind::Interval => op != Op::Has,
        };
    if fits {
        return Ok(op);
    }
    let problem = QueryProblem::Op {
        field: field.to_string(),
        kind: field.kind().to_string(),
        allowed: allowed.to_owned(),
    };
    Err(at(pair, problem))
}

fn value(pair: &Pair<'_, Rule>, kind: Kind) -> Parsed<Value> {
    match kind {
        Kind::Text => Ok(Value::from(pair.as_str().trim_matches('"'))),
        Kind::Number => Ok(Value::Number(number(pair)?)),
        Kind::Interval => Ok(Value::Interval(word(pair)?)),
        Kind::Flag => match pair.as_str().to_ascii_lowercase().as_str() {
            "yes" | "true" => Ok(Value::Flag(true)),
            "no" | "false" => Ok(Value::Flag(false)),
            other => {
                let text = format!("{other:?} is neither yes nor no: write one of them");
                Err(at(pair, QueryProblem::Value(text)))
            }
        },
    }
}

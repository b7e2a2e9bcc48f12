//! Parses text into statements.
//!
//! Most functions are named after the grammar rule that they read.

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

/// The maximum length of a text, in bytes.
///
/// A configuration of 34 pipelines takes about 20 KB as statements.
pub const TEXT_MAX_BYTES: usize = 256 << 10;

/// The maximum nesting depth of brackets and `not`.
///
/// The parser is recursive: a text of a hundred thousand brackets would overflow
/// the stack and crash the router with all its requests in flight.
const DEPTH_MAX: usize = 64;

/// The period of `watch` without `every`.
const WATCH_PERIOD_DEFAULT: &str = "2s";

pub(super) use grammar::Grammar;
pub(super) use grammar::Rule;

mod grammar {
    /// The parser generated from `grammar.pest`.
    #[derive(Debug)]
    #[derive(pest_derive::Parser)]
    #[grammar = "src/query/grammar.pest"]
    pub struct Grammar;
}

pub(super) type ParseResult<T> = Result<T, QueryError>;

/// Parses statements separated by `;`.
///
/// # Errors
///
/// Returns a [`QueryError`] with the location of the first word at fault.
pub fn parse(text: &str) -> Result<Vec<Statement>, QueryError> {
    let text = text.trim_end();
    check_size(text)?;
    let mut pairs = Grammar::parse(Rule::script, text).map_err(|e| syntax_error(text, &e))?;
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
/// Returns a [`QueryError`] as [`parse`] does, or if the text does not hold
/// exactly one statement.
pub fn parse_one(text: &str) -> Result<Statement, QueryError> {
    let mut statements = parse(text)?;
    let count = statements.len();
    match statements.pop() {
        Some(one) if count == 1 => Ok(one),
        _ => Err(text_error(text, QueryProblem::Count { count })),
    }
}

fn check_size(text: &str) -> ParseResult<()> {
    if text.len() > TEXT_MAX_BYTES {
        let problem = format!("the text has over {TEXT_MAX_BYTES} bytes: send it in parts");
        return Err(text_error("", QueryProblem::Value(problem)));
    }
    if text
        .split(';')
        .any(|statement| nesting_bound(statement) > DEPTH_MAX)
    {
        let problem = format!("over {DEPTH_MAX} brackets or 'not' in one statement: use fewer");
        return Err(text_error("", QueryProblem::Value(problem)));
    }
    Ok(())
}

/// Returns an upper bound of the parser's recursion depth for a statement.
fn nesting_bound(statement: &str) -> usize {
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
    let words = statement.split(|c: char| !words::is_word_char(c));
    deepest + words.filter(|w| w.eq_ignore_ascii_case("not")).count()
}

// Builds an error located at the first line of a text.
fn text_error(text: &str, problem: QueryProblem) -> QueryError {
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

/// Builds an error located at a pair.
pub(super) fn error_at(pair: &Pair<'_, Rule>, problem: QueryProblem) -> QueryError {
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

fn syntax_error(text: &str, error: &pest::error::Error<Rule>) -> QueryError {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(at) | LineColLocation::Span(at, _) => at,
    };
    let start = match error.location {
        InputLocation::Pos(at) | InputLocation::Span((at, _)) => at,
    };
    let rest = text.get(start..).unwrap_or_default();
    let word = words::first_word(rest);
    let expected = match &error.variant {
        ErrorVariant::ParsingError { positives, .. } => words::describe_expected(positives),
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

/// Parses a word as a type whose error message names the remedy.
pub(super) fn parse_word<T>(pair: &Pair<'_, Rule>) -> ParseResult<T>
where
    T: FromStr,
    T::Err: Display,
{
    let parsed = pair.as_str().parse();
    parsed.map_err(|e: T::Err| error_at(pair, QueryProblem::Value(e.to_string())))
}

/// Parses a finite number.
pub(super) fn parse_number(pair: &Pair<'_, Rule>) -> ParseResult<f64> {
    let parsed = pair.as_str().parse::<f64>().ok();
    parsed.filter(|n| n.is_finite()).ok_or_else(|| {
        let text = format!(
            "{:?} is no number: write digits, as in 12 or 0.5",
            pair.as_str()
        );
        error_at(pair, QueryProblem::Value(text))
    })
}

fn parse_integer(pair: &Pair<'_, Rule>) -> ParseResult<u64> {
    pair.as_str().parse().map_err(|_malformed| {
        let text = format!(
            "{:?} is no whole number: write digits, as in 41",
            pair.as_str()
        );
        error_at(pair, QueryProblem::Value(text))
    })
}

fn statement(pair: &Pair<'_, Rule>) -> ParseResult<Statement> {
    let Some(inner) = pair.clone().into_inner().next() else {
        return Err(missing_error(pair));
    };
    match inner.as_rule() {
        Rule::help => Ok(Statement::Help),
        Rule::watch => watch(&inner),
        Rule::explain => Ok(Query::Explain(request(&inner)?).into()),
        Rule::show_config => Ok(Query::Config(revision(&inner)?).into()),
        Rule::show => Ok(Query::Show(question(&child(&inner, Rule::question)?)?).into()),
        Rule::stop => Ok(Command::Stop(request(&inner)?).into()),
        _ => Ok(Command::Change(changing(&inner)?).into()),
    }
}

/// Builds the error for a missing child pair that the grammar guarantees.
pub(super) fn missing_error(pair: &Pair<'_, Rule>) -> QueryError {
    let expected = words::describe(pair.as_rule());
    error_at(
        pair,
        QueryProblem::Syntax {
            found: format!("{:?}", pair.as_str()),
            expected,
        },
    )
}

/// Returns the first child pair of a rule.
pub(super) fn child<'i>(pair: &Pair<'i, Rule>, rule: Rule) -> ParseResult<Pair<'i, Rule>> {
    let found = pair.clone().into_inner().find(|p| p.as_rule() == rule);
    found.ok_or_else(|| missing_error(pair))
}

fn request(pair: &Pair<'_, Rule>) -> ParseResult<RequestId> {
    parse_word(&child(pair, Rule::name)?)
}

fn revision(pair: &Pair<'_, Rule>) -> ParseResult<Option<Revision>> {
    let found = pair
        .clone()
        .into_inner()
        .find(|p| p.as_rule() == Rule::number);
    let number = found.as_ref().map(parse_integer).transpose()?;
    Ok(number.map(Revision))
}

fn watch(pair: &Pair<'_, Rule>) -> ParseResult<Statement> {
    let every = pair
        .clone()
        .into_inner()
        .find(|p| p.as_rule() == Rule::interval);
    let every = match &every {
        Some(found) => parse_word(found)?,
        None => WATCH_PERIOD_DEFAULT.parse::<Interval>().unwrap_or_default(),
    };
    let show = question(&child(pair, Rule::question)?)?;
    Ok(Statement::Watch { show, every })
}

fn changing(pair: &Pair<'_, Rule>) -> ParseResult<ChangeCommand> {
    let dry_run = pair
        .clone()
        .into_inner()
        .any(|p| p.as_rule() == Rule::k_dry_run);
    let base = revision(pair)?;
    let edit = parse_edit::edit(&child(pair, Rule::change)?)?;
    Ok(ChangeCommand {
        edit,
        base,
        dry_run,
    })
}

fn question(pair: &Pair<'_, Rule>) -> ParseResult<Show> {
    let (mut show, flag) = subject(&child(pair, Rule::subject)?)?;
    let mut filters: Vec<_> = flag.into_iter().map(Filter::Flag).collect();
    for inner in pair.clone().into_inner() {
        match inner.as_rule() {
            Rule::any => match any(&inner, show.subject)? {
                Filter::All(terms) => filters.extend(terms),
                other => filters.push(other),
            },
            Rule::interval => show.since = Some(since(&inner, show.subject)?),
            Rule::field => show.by = Some(field(&inner, show.subject)?),
            Rule::number => show.limit = Some(parse_integer(&inner)? as usize),
            _ => {}
        }
    }
    show.filter = match filters.len() {
        0 | 1 => filters.pop(),
        _ => Some(Filter::All(filters)),
    };
    Ok(show)
}

// `show late` is an abbreviation of `show requests where late`.
fn subject(pair: &Pair<'_, Rule>) -> ParseResult<(Show, Option<Field>)> {
    let text = pair.as_str().to_ascii_lowercase();
    if let Some(subject) = Subject::from_name(&text) {
        return Ok((Show::all(subject), None));
    }
    let flag = Subject::Requests.field(&text);
    if let Some(flag) = flag.filter(|f| f.kind() == Kind::Flag) {
        return Ok((Show::all(Subject::Requests), Some(flag)));
    }
    let known = words::join_names(
        Subject::ALL.iter().chain([]),
        "config, late, refused, running",
    );
    let word = pair.as_str().to_owned();
    Err(error_at(pair, QueryProblem::Subject { word, known }))
}

fn since(pair: &Pair<'_, Rule>, subject: Subject) -> ParseResult<Interval> {
    if subject.age_field().is_none() {
        let subject = subject.to_string();
        return Err(error_at(pair, QueryProblem::Ageless { subject }));
    }
    parse_word(pair)
}

fn field(pair: &Pair<'_, Rule>, subject: Subject) -> ParseResult<Field> {
    let found = subject.field(&pair.as_str().to_ascii_lowercase());
    found.ok_or_else(|| {
        let problem = QueryProblem::Field {
            subject: subject.to_string(),
            word: pair.as_str().to_owned(),
            known: words::join_names(subject.fields().iter(), ""),
        };
        error_at(pair, problem)
    })
}

fn any(pair: &Pair<'_, Rule>, subject: Subject) -> ParseResult<Filter> {
    let pairs = pair
        .clone()
        .into_inner()
        .filter(|p| p.as_rule() == Rule::all);
    let filters: Vec<_> = pairs
        .map(|p| all(&p, subject))
        .collect::<ParseResult<_>>()?;
    Ok(collapse(filters, Filter::Any))
}

fn all(pair: &Pair<'_, Rule>, subject: Subject) -> ParseResult<Filter> {
    let pairs = pair
        .clone()
        .into_inner()
        .filter(|p| p.as_rule() == Rule::term);
    let filters: Vec<_> = pairs
        .map(|p| term(&p, subject))
        .collect::<ParseResult<_>>()?;
    Ok(collapse(filters, Filter::All))
}

fn collapse(mut filters: Vec<Filter>, join: impl FnOnce(Vec<Filter>) -> Filter) -> Filter {
    match filters.pop() {
        Some(only) if filters.is_empty() => only,
        Some(last) => {
            filters.push(last);
            join(filters)
        }
        None => join(filters),
    }
}

fn term(pair: &Pair<'_, Rule>, subject: Subject) -> ParseResult<Filter> {
    let Some(inner) = pair.clone().into_inner().next() else {
        return Err(missing_error(pair));
    };
    match inner.as_rule() {
        Rule::not => {
            let negated = term(&child(&inner, Rule::term)?, subject)?;
            Ok(Filter::Not(Box::new(negated)))
        }
        Rule::any => any(&inner, subject),
        Rule::compare => compare(&inner, subject),
        _ => flag(&child(&inner, Rule::field)?, subject),
    }
}

fn flag(pair: &Pair<'_, Rule>, subject: Subject) -> ParseResult<Filter> {
    let field = field(pair, subject)?;
    if field.kind() == Kind::Flag {
        return Ok(Filter::Flag(field));
    }
    let problem = QueryProblem::NoFlag {
        field: field.to_string(),
        kind: field.kind().to_string(),
    };
    Err(error_at(pair, problem))
}

fn compare(pair: &Pair<'_, Rule>, subject: Subject) -> ParseResult<Filter> {
    let field = field(&child(pair, Rule::field)?, subject)?;
    let op = op(&child(pair, Rule::op)?, field)?;
    let value = value(&child(pair, Rule::value)?, field.kind())?;
    Ok(Filter::Compare { field, op, value })
}

fn op(pair: &Pair<'_, Rule>, field: Field) -> ParseResult<Op> {
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
    Err(error_at(pair, problem))
}

fn value(pair: &Pair<'_, Rule>, kind: Kind) -> ParseResult<Value> {
    match kind {
        Kind::Text => Ok(Value::from(pair.as_str().trim_matches('"'))),
        Kind::Number => Ok(Value::Number(parse_number(pair)?)),
        Kind::Interval => Ok(Value::Interval(parse_word(pair)?)),
        Kind::Flag => match pair.as_str().to_ascii_lowercase().as_str() {
            "yes" | "true" => Ok(Value::Flag(true)),
            "no" | "false" => Ok(Value::Flag(false)),
            other => {
                let text = format!("{other:?} is neither yes nor no: write one of them");
                Err(error_at(pair, QueryProblem::Value(text)))
            }
        },
    }
}

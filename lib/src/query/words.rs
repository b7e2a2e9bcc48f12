//! The words of the query language, for error messages and completion.

use std::fmt::Display;

use super::parse::Rule;

/// Keywords, for completion.
pub const KEYWORDS: &[&str] = &[
    "account",
    "alter",
    "and",
    "at",
    "bind",
    "by",
    "concurrency",
    "config",
    "cost",
    "create",
    "deadline",
    "domain",
    "drain",
    "drop",
    "dry-run",
    "endpoint",
    "evacuate",
    "every",
    "explain",
    "help",
    "host",
    "keys",
    "lateness",
    "limit",
    "model",
    "not",
    "on",
    "once",
    "or",
    "path",
    "pipeline",
    "pool",
    "price",
    "request",
    "requests",
    "restore",
    "resume",
    "revision",
    "router",
    "set",
    "share",
    "show",
    "since",
    "stages",
    "stop",
    "to",
    "tokens",
    "unbind",
    "watch",
    "weight",
    "where",
];

/// Returns whether a character may occur in a word.
pub(super) fn is_word_char(char: char) -> bool {
    char.is_ascii_alphanumeric() || "-_.:/".contains(char)
}

/// Returns the first word of a text, or its first character if it does not
/// begin with a word.
pub(super) fn first_word(text: &str) -> &str {
    let end = text.find(|c: char| !is_word_char(c)).unwrap_or(text.len());
    if end > 0 {
        return &text[..end];
    }
    let first = text.chars().next().map_or(0, char::len_utf8);
    &text[..first]
}

/// Describes the rules allowed at a position.
pub(super) fn describe_expected(rules: &[Rule]) -> String {
    let mut names: Vec<_> = rules.iter().map(|r| describe(*r)).collect();
    names.sort_unstable();
    names.dedup();
    let last = names.pop().unwrap_or_else(|| "a statement".to_owned());
    if names.is_empty() {
        return last;
    }
    format!("{} or {last}", names.join(", "))
}

/// Describes a rule in the terms of an operator.
pub(super) fn describe(rule: Rule) -> String {
    let text = match rule {
        Rule::close => "')'",
        Rule::EOI => "';' before the next statement",
        Rule::any | Rule::all | Rule::term | Rule::compare | Rule::flag => "a condition",
        Rule::interval => "a length of time such as 10m",
        Rule::number => "a number",
        Rule::name => "a name",
        Rule::value => "a value",
        Rule::field => "a field",
        Rule::subject | Rule::question => "what to show",
        Rule::op => "a comparison",
        Rule::role => "a stage's role",
        Rule::stage => "a stage such as 'generate draft on copy'",
        Rule::target_kind | Rule::target => "endpoint, host, router or domain",
        Rule::limit | Rule::limit_key => "requests, tokens, concurrency or share",
        Rule::weight | Rule::weight_key => "lateness or cost",
        Rule::clause => "deadline, lateness, cost or stages",
        Rule::statement | Rule::script => {
            "a statement, which begins with show, explain, watch, create, alter, drop, bind, \
             unbind, set, drain, resume, evacuate, restore, stop, dry-run or help"
        }
        _ => return describe_keyword(rule),
    };
    text.to_owned()
}

fn describe_keyword(rule: Rule) -> String {
    let name = format!("{rule:?}").replace('_', "-");
    let word = name.strip_prefix("k-").unwrap_or(&name);
    format!("'{word}'")
}

/// Joins names for an error message, with `extra` as the last unless empty.
pub(super) fn join_names(items: impl Iterator<Item = impl Display>, extra: &str) -> String {
    let mut names: Vec<_> = items.map(|i| i.to_string()).collect();
    names.extend((!extra.is_empty()).then(|| extra.to_owned()));
    names.join(", ")
}

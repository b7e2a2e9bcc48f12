//! Parses configuration changes.
//!
//! Most functions are named after the grammar rule that they read.

use pest::iterators::Pair;

use super::edit::Clause;
use super::edit::Edit;
use super::edit::LimitEdit;
use super::error::QueryProblem;
use super::parse::ParseResult;
use super::parse::Rule;
use super::parse::child;
use super::parse::error_at;
use super::parse::missing_error;
use super::parse::parse_number;
use super::parse::parse_word;
use crate::config::DrainTarget;
use crate::config::KeyDigest;
use crate::config::Stage;
use crate::config::StageRole;
use crate::ids::ModelName;

type RulePair<'i> = Pair<'i, Rule>;

/// Parses one configuration change.
pub(super) fn edit(pair: &RulePair<'_>) -> ParseResult<Edit> {
    let Some(inner) = pair.clone().into_inner().next() else {
        return Err(missing_error(pair));
    };
    let change = &inner;
    Ok(match inner.as_rule() {
        Rule::create_pipeline => create_pipeline(change)?,
        Rule::alter_pipeline => Edit::AlterPipeline {
            name: parse_word(&child(change, Rule::name)?)?,
            clauses: parse_each(change, Rule::clause, clause)?,
        },
        Rule::drop_pipeline => Edit::DropPipeline(parse_word(&child(change, Rule::name)?)?),
        Rule::create_account => Edit::CreateAccount {
            name: parse_word(&child(change, Rule::name)?)?,
            keys: keys(&child(change, Rule::keys)?)?,
            limits: parse_each(change, Rule::limit, limit)?,
        },
        Rule::drop_account => Edit::DropAccount(parse_word(&child(change, Rule::name)?)?),
        Rule::create_pool => create_pool(change)?,
        Rule::drop_pool => Edit::DropPool(parse_word(&child(change, Rule::name)?)?),
        Rule::bind => bind(change)?,
        Rule::unbind => unbind(change)?,
        Rule::set_limit => Edit::SetLimit {
            account: parse_word(&child(change, Rule::name)?)?,
            limits: parse_each(change, Rule::limit, limit)?,
        },
        Rule::set_weight => Edit::AlterPipeline {
            name: parse_word(&child(change, Rule::name)?)?,
            clauses: parse_each(change, Rule::weight, weight)?,
        },
        Rule::set_deadline => Edit::AlterPipeline {
            name: parse_word(&child(change, Rule::name)?)?,
            clauses: vec![Clause::Deadline(parse_word(&child(
                change,
                Rule::interval,
            )?)?)],
        },
        Rule::drain => Edit::Drain(target(&child(change, Rule::target)?)?),
        Rule::resume => Edit::Resume(target(&child(change, Rule::target)?)?),
        Rule::evacuate => Edit::Evacuate(parse_word(&child(change, Rule::name)?)?),
        Rule::restore => Edit::Restore(parse_word(&child(change, Rule::name)?)?),
        _ => return Err(missing_error(change)),
    })
}

fn parse_each<T>(
    pair: &RulePair<'_>,
    rule: Rule,
    parse: impl Fn(&RulePair<'_>) -> ParseResult<T>,
) -> ParseResult<Vec<T>> {
    let pairs = pair.clone().into_inner().filter(|p| p.as_rule() == rule);
    pairs.map(|p| parse(&p)).collect()
}

fn nth_name<'i>(pair: &RulePair<'i>, index: usize) -> ParseResult<RulePair<'i>> {
    let mut names = pair
        .clone()
        .into_inner()
        .filter(|p| p.as_rule() == Rule::name);
    names.nth(index).ok_or_else(|| missing_error(pair))
}

fn create_pipeline(pair: &RulePair<'_>) -> ParseResult<Edit> {
    let name = child(pair, Rule::name)?;
    let clauses = parse_each(pair, Rule::clause, clause)?;
    let has = |predicate: fn(&Clause) -> bool| clauses.iter().any(predicate);
    let required = [
        ("deadline", has(|c| matches!(c, Clause::Deadline(_)))),
        ("stages", has(|c| matches!(c, Clause::Stages(_)))),
    ];
    if let Some((clause, _)) = required.iter().find(|p| !p.1) {
        let clause = (*clause).to_owned();
        return Err(error_at(&name, QueryProblem::MissingClause { clause }));
    }
    let name = parse_word(&name)?;
    Ok(Edit::CreatePipeline { name, clauses })
}

fn clause(pair: &RulePair<'_>) -> ParseResult<Clause> {
    let Some(inner) = pair.clone().into_inner().next() else {
        return Err(missing_error(pair));
    };
    match inner.as_rule() {
        Rule::deadline => Ok(Clause::Deadline(parse_word(&child(
            &inner,
            Rule::interval,
        )?)?)),
        Rule::weight => weight(&inner),
        _ => Ok(Clause::Stages(parse_each(&inner, Rule::stage, stage)?)),
    }
}

fn weight(pair: &RulePair<'_>) -> ParseResult<Clause> {
    let key = parse_word(&child(pair, Rule::weight_key)?)?;
    let value = parse_number(&child(pair, Rule::number)?)?;
    Ok(Clause::Weight { key, value })
}

fn limit(pair: &RulePair<'_>) -> ParseResult<LimitEdit> {
    let key = parse_word(&child(pair, Rule::limit_key)?)?;
    let value = parse_number(&child(pair, Rule::number)?)?;
    Ok(LimitEdit { key, value })
}

fn stage(pair: &RulePair<'_>) -> ParseResult<Stage> {
    let role = child(pair, Rule::role)?;
    let role = role.as_str().parse().map_err(|_unknown| {
        let text = format!(
            "{:?} is no role of a stage: write encode, retrieve, rerank, generate or call",
            role.as_str()
        );
        error_at(&role, QueryProblem::Value(text))
    });
    let model = pair
        .clone()
        .into_inner()
        .find(|p| p.as_rule() == Rule::model);
    let model = model.map(|m| child(&m, Rule::name).and_then(|n| parse_word::<ModelName>(&n)));
    let role: StageRole = role?;
    Ok(Stage {
        name: parse_word(&nth_name(pair, 0)?)?,
        role,
        pool: parse_word(&nth_name(pair, 1)?)?,
        model: model.transpose()?,
        idempotent: !pair
            .clone()
            .into_inner()
            .any(|p| p.as_rule() == Rule::k_once),
    })
}

fn keys(pair: &RulePair<'_>) -> ParseResult<Vec<KeyDigest>> {
    parse_each(pair, Rule::name, parse_word)
}

fn create_pool(pair: &RulePair<'_>) -> ParseResult<Edit> {
    let path = pair
        .clone()
        .into_inner()
        .find(|p| p.as_rule() == Rule::path);
    let path = path.map(|p| child(&p, Rule::name)).transpose()?;
    Ok(Edit::CreatePool {
        name: parse_word(&child(pair, Rule::name)?)?,
        price: parse_number(&child(pair, Rule::number)?)?,
        path: path.map(|p| p.as_str().to_owned()),
    })
}

fn bind(pair: &RulePair<'_>) -> ParseResult<Edit> {
    Ok(Edit::Bind {
        account: parse_word(&nth_name(pair, 0)?)?,
        kind: parse_word(&nth_name(pair, 1)?)?,
        pipeline: parse_word(&nth_name(pair, 2)?)?,
    })
}

fn unbind(pair: &RulePair<'_>) -> ParseResult<Edit> {
    Ok(Edit::Unbind {
        account: parse_word(&nth_name(pair, 0)?)?,
        kind: parse_word(&nth_name(pair, 1)?)?,
    })
}

fn target(pair: &RulePair<'_>) -> ParseResult<DrainTarget> {
    let kind = child(pair, Rule::target_kind)?;
    let name = child(pair, Rule::name)?;
    let kind = kind.as_str().to_ascii_lowercase();
    Ok(match kind.as_str() {
        "endpoint" => DrainTarget::Endpoint(parse_word(&name)?),
        "host" => DrainTarget::Host(parse_word(&name)?),
        "router" => DrainTarget::Router(parse_word(&name)?),
        _ => DrainTarget::Domain(parse_word(&name)?),
    })
}

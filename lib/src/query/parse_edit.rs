//! From words to changes of the configuration.

use pest::iterators::Pair;

use super::edit::Clause;
use super::edit::Edit;
use super::edit::LimitEdit;
use super::error::QueryProblem;
use super::parse::Parsed;
use super::parse::Rule;
use super::parse::at;
use super::parse::missing;
use super::parse::number;
use super::parse::part;
use super::parse::word;
use crate::config::DrainTarget;
use crate::config::KeyDigest;
use crate::config::Stage;
use crate::config::StageRole;
use crate::ids::ModelName;

type Node<'i> = Pair<'i, Rule>;

/// Reads one change.
pub(super) fn edit(pair: &Node<'_>) -> Parsed<Edit> {
    let Some(inner) = pair.clone().into_inner().next() else {
        return Err(missing(pair));
    };
    let change = &inner;
    Ok(match inner.as_rule() {
        Rule::create_pipeline => create_pipeline(change)?,
        Rule::alter_pipeline => Edit::AlterPipeline {
            name: word(&part(change, Rule::name)?)?,
            clauses: each(change, Rule::clause, clause)?,
        },
        Rule::drop_pipeline => Edit::DropPipeline(word(&part(change, Rule::name)?)?),
        Rule::create_account => Edit::CreateAccount {
            name: word(&part(change, Rule::name)?)?,
            keys: keys(&part(change, Rule::keys)?)?,
            limits: each(change, Rule::limit, limit)?,
        },
        Rule::drop_account => Edit::DropAccount(word(&part(change, Rule::name)?)?),
        Rule::create_pool => create_pool(change)?,
        Rule::drop_pool => Edit::DropPool(word(&part(change, Rule::name)?)?),
        Rule::bind => bind(change)?,
        Rule::unbind => unbind(change)?,
        Rule::set_limit => Edit::SetLimit {
            account: word(&part(change, Rule::name)?)?,
            limits: each(change, Rule::limit, limit)?,
        },
        Rule::set_weight => Edit::AlterPipeline {
            name: word(&part(change, Rule::name)?)?,
            clauses: each(change, Rule::weight, weight)?,
        },
        Rule::set_deadline => Edit::AlterPipeline {
            name: word(&part(change, Rule::name)?)?,
            clauses: vec![Clause::Deadline(word(&part(change, Rule::interval)?)?)],
        },
        Rule::drain => Edit::Drain(target(&part(change, Rule::target)?)?),
        Rule::resume => Edit::Resume(target(&part(change, Rule::target)?)?),
        _ => return Err(missing(change)),
    })
}

fn each<T>(pair: &Node<'_>, rule: Rule, read: impl Fn(&Node<'_>) -> Parsed<T>) -> Parsed<Vec<T>> {
    let parts = pair.clone().into_inner().filter(|p| p.as_rule() == rule);
    parts.map(|p| read(&p)).collect()
}

fn nth<'i>(pair: &Node<'i>, index: usize) -> Parsed<Node<'i>> {
    let mut names = pair
        .clone()
        .into_inner()
        .filter(|p| p.as_rule() == Rule::name);
    names.nth(index).ok_or_else(|| missing(pair))
}

fn create_pipeline(pair: &Node<'_>) -> Parsed<Edit> {
    let name = part(pair, Rule::name)?;
    let clauses = each(pair, Rule::clause, clause)?;
    let has = |wanted: fn(&Clause) -> bool| clauses.iter().any(wanted);
    let parts = [
        ("deadline", has(|c| matches!(c, Clause::Deadline(_)))),
        ("stages", has(|c| matches!(c, Clause::Stages(_)))),
    ];
    if let Some((part, _)) = parts.iter().find(|p| !p.1) {
        let part = (*part).to_owned();
        return Err(at(&name, QueryProblem::Part { part }));
    }
    let name = word(&name)?;
    Ok(Edit::CreatePipeline { name, clauses })
}

fn clause(pair: &Node<'_>) -> Parsed<Clause> {
    let Some(inner) = pair.clone().into_inner().next() else {
        return Err(missing(pair));
    };
    match inner.as_rule() {
        Rule::deadline => Ok(Clause::Deadline(word(&part(&inner, Rule::interval)?)?)),
        Rule::weight => weight(&inner),
        _ => Ok(Clause::Stages(each(&inner, Rule::stage, stage)?)),
    }
}

fn weight(pair: &Node<'_>) -> Parsed<Clause> {
    let key = word(&part(pair, Rule::weight_key)?)?;
    let value = number(&part(pair, Rule::number)?)?;
    Ok(Clause::Weight { key, value })
}

fn limit(pair: &Node<'_>) -> Parsed<LimitEdit> {
    let key = word(&part(pair, Rule::limit_key)?)?;
    let value = number(&part(pair, Rule::number)?)?;
    Ok(LimitEdit { key, value })
}

fn stage(pair: &Node<'_>) -> Parsed<Stage> {
    let role = part(pair, Rule::role)?;
    let role = role.as_str().parse().map_err(|_unknown| {
        let text = format!(
            "{:?} is no role of a stage: write encode, retrieve, rerank, generate or call",
            role.as_str()
        );
        at(&role, QueryProblem::Value(text))
    });
    let model = pair
        .clone()
        .into_inner()
        .find(|p| p.as_rule() == Rule::model);
    let model = model.map(|m| part(&m, Rule::name).and_then(|n| word::<ModelName>(&n)));
    let role: StageRole = role?;
    Ok(Stage {
        name: word(&nth(pair, 0)?)?,
        role,
        pool: word(&nth(pair, 1)?)?,
        model: model.transpose()?,
        idempotent: !pair
            .clone()
            .into_inner()
            .any(|p| p.as_rule() == Rule::k_once),
    })
}

fn keys(pair: &Node<'_>) -> Parsed<Vec<KeyDigest>> {
    each(pair, Rule::name, word)
}

fn create_pool(pair: &Node<'_>) -> Parsed<Edit> {
    let path = pair
        .clone()
        .into_inner()
        .find(|p| p.as_rule() == Rule::path);
    let path = path.map(|p| part(&p, Rule::name)).transpose()?;
    Ok(Edit::CreatePool {
        name: word(&part(pair, Rule::name)?)?,
        price: number(&part(pair, Rule::number)?)?,
        path: path.map(|p| p.as_str().to_owned()),
    })
}

fn bind(pair: &Node<'_>) -> Parsed<Edit> {
    Ok(Edit::Bind {
        account: word(&nth(pair, 0)?)?,
        kind: word(&nth(pair, 1)?)?,
        pipeline: word(&nth(pair, 2)?)?,
    })
}

fn unbind(pair: &Node<'_>) -> Parsed<Edit> {
    Ok(Edit::Unbind {
        account: word(&nth(pair, 0)?)?,
        kind: word(&nth(pair, 1)?)?,
    })
}

fn target(pair: &Node<'_>) -> Parsed<DrainTarget> {
    let kind = part(pair, Rule::target_kind)?;
    let name = part(pair, Rule::name)?;
    let kind = kind.as_str().to_ascii_lowercase();
    Ok(match kind.as_str() {
        "endpoint" => DrainTarget::Endpoint(word(&name)?),
        "host" => DrainTarget::Host(word(&name)?),
        "router" => DrainTarget::Router(word(&name)?),
        _ => DrainTarget::Domain(word(&name)?),
    })
}

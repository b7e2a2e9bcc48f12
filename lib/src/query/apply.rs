//! Resolves an operator's edit to a change of a known configuration.

use std::collections::BTreeSet;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use super::edit::Clause;
use super::edit::Edit;
use super::edit::LimitEdit;
use super::edit::LimitKey;
use super::edit::WeightKey;
use super::explain::statements;
use crate::config::Account;
use crate::config::Change;
use crate::config::Config;
use crate::config::ConfigError;
use crate::config::Limits;
use crate::config::Pipeline;
use crate::config::Pool;
use crate::config::Weights;
use crate::ids::PipelineName;
use crate::ids::PoolName;
use crate::units::RequestRate;
use crate::units::TokenRate;

/// The reason why an edit can't be applied to a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error, From)]
pub enum EditError {
    /// An item of that name exists already.
    #[display("{what} exists already: alter it, or choose another name")]
    #[from(ignore)]
    Exists {
        /// The existing item.
        what: String,
    },
    /// No item of that name exists.
    #[display("{what} does not exist: look at 'show config' for the names")]
    #[from(ignore)]
    Missing {
        /// The missing item.
        what: String,
    },
    /// The item to drop is in use.
    #[display("{what} is in use by {used_by}: change or drop that first")]
    #[from(ignore)]
    InUse {
        /// The item in use.
        what: String,
        /// The item that refers to it.
        used_by: String,
    },
    /// A new account lacks a required limit.
    #[display("the new account has no limit for {key}: add '{key} NUMBER'")]
    #[from(ignore)]
    NoLimit {
        /// The missing limit.
        key: String,
    },
    /// The resulting configuration is invalid.
    #[display("{_0}")]
    Config(ConfigError),
}

impl EditError {
    /// Returns whether the name is taken.
    #[must_use]
    pub const fn is_name_taken(&self) -> bool {
        matches!(self, Self::Exists { .. })
    }
}

impl Edit {
    /// Builds the change to append and checks it against the configuration.
    ///
    /// The edit sets single clauses; the change carries the whole item. The log
    /// record names the revision of `config`, so a concurrent change is never
    /// overwritten silently.
    ///
    /// # Errors
    ///
    /// Returns an [`EditError`] if the change does not fit.
    pub fn resolve(&self, config: &Config) -> Result<Change, EditError> {
        let change = self.unchecked_change(config)?;
        change.apply(config)?;
        Ok(change)
    }

    fn unchecked_change(&self, config: &Config) -> Result<Change, EditError> {
        Ok(match self.clone() {
            Self::CreatePipeline { name, clauses } => {
                check_absent(config.pipelines.contains_key(&name), "pipeline", &name)?;
                let pipeline = with_clauses(empty_pipeline(), &clauses);
                Change::SetPipeline { name, pipeline }
            }
            Self::AlterPipeline { name, clauses } => {
                let found = config.pipelines.get(&name).cloned();
                let found = found.ok_or_else(|| missing_error("pipeline", &name))?;
                let pipeline = with_clauses(found, &clauses);
                Change::SetPipeline { name, pipeline }
            }
            Self::DropPipeline(name) => {
                let used_by = find_binding(config, &name);
                check_unused("pipeline", &name, used_by)?;
                Change::DropPipeline { name }
            }
            Self::CreateAccount { name, keys, limits } => {
                check_absent(config.accounts.contains_key(&name), "account", &name)?;
                let mut account = Account {
                    keys,
                    limits: initial_limits(&limits)?,
                    share: 1.0,
                };
                apply_limits(&mut account, &limits);
                Change::SetAccount { name, account }
            }
            Self::DropAccount(name) => Change::DropAccount { name },
            Self::CreatePool { name, price, path } => {
                check_absent(config.pools.contains_key(&name), "pool", &name)?;
                let pool = Pool { price, path };
                Change::SetPool { name, pool }
            }
            Self::DropPool(name) => {
                let used_by = find_pipeline(config, &name);
                check_unused("pool", &name, used_by)?;
                Change::DropPool { name }
            }
            Self::Bind {
                account,
                kind,
                pipeline,
            } => Change::Bind {
                account,
                kind,
                pipeline,
            },
            Self::Unbind { account, kind } => Change::Unbind { account, kind },
            Self::SetLimit { account, limits } => {
                let found = config.accounts.get(&account).cloned();
                let mut found = found.ok_or_else(|| missing_error("account", &account))?;
                apply_limits(&mut found, &limits);
                Change::SetAccount {
                    name: account,
                    account: found,
                }
            }
            Self::Drain(target) => Change::Drain { target },
            Self::Resume(target) => Change::Resume { target },
            Self::Evacuate(domain) => Change::Evacuate { domain },
            Self::Restore(domain) => Change::Restore { domain },
        })
    }
}

fn check_absent(exists: bool, what: &str, name: &impl ToString) -> Result<(), EditError> {
    if exists {
        let what = format!("{what} {}", name.to_string());
        return Err(EditError::Exists { what });
    }
    Ok(())
}

fn find_binding(config: &Config, name: &PipelineName) -> Option<String> {
    let bindings = config.bindings.iter();
    let mut bindings =
        bindings.flat_map(|(account, kinds)| kinds.iter().map(move |k| (account, k)));
    let found = bindings.find(|(_, (_, bound))| *bound == name);
    found.map(|(account, (kind, _))| format!("the binding of {account} {kind}"))
}

fn find_pipeline(config: &Config, name: &PoolName) -> Option<String> {
    let mut pipelines = config.pipelines.iter();
    let found = pipelines.find(|(_, p)| p.stages.iter().any(|s| s.pool == *name));
    found.map(|(pipeline, _)| format!("pipeline {pipeline}"))
}

fn check_unused(
    what: &str,
    name: &impl ToString,
    used_by: Option<String>,
) -> Result<(), EditError> {
    used_by.map_or(Ok(()), |used_by| {
        let what = format!("{what} {}", name.to_string());
        Err(EditError::InUse { what, used_by })
    })
}

fn missing_error(what: &str, name: &impl ToString) -> EditError {
    let what = format!("{what} {}", name.to_string());
    EditError::Missing { what }
}

fn empty_pipeline() -> Pipeline {
    Pipeline {
        deadline_ms: 0,
        stages: Vec::new(),
        weights: Weights::default(),
    }
}

fn with_clauses(mut pipeline: Pipeline, clauses: &[Clause]) -> Pipeline {
    for clause in clauses {
        match clause {
            Clause::Deadline(deadline) => pipeline.deadline_ms = deadline.millis() as u64,
            Clause::Weight { key, value } => match key {
                WeightKey::Lateness => pipeline.weights.lateness = *value,
                WeightKey::Cost => pipeline.weights.cost = *value,
            },
            Clause::Stages(stages) => pipeline.stages.clone_from(stages),
        }
    }
    pipeline
}

// Checks that all required limits are given. They are zero until
// `apply_limits` sets them.
fn initial_limits(limits: &[LimitEdit]) -> Result<Limits, EditError> {
    let required = [LimitKey::Requests, LimitKey::Tokens, LimitKey::Concurrency];
    for key in required {
        if !limits.iter().any(|l| l.key == key) {
            let key = key.to_string();
            return Err(EditError::NoLimit { key });
        }
    }
    Ok(Limits {
        requests: RequestRate(0.0),
        tokens: TokenRate(0.0),
        concurrency: 0,
    })
}

fn apply_limits(account: &mut Account, limits: &[LimitEdit]) {
    for edit in limits {
        match edit.key {
            LimitKey::Requests => account.limits.requests = RequestRate(edit.value),
            LimitKey::Tokens => account.limits.tokens = TokenRate(edit.value),
            LimitKey::Concurrency => account.limits.concurrency = edit.value as u32,
            LimitKey::Share => account.share = edit.value,
        }
    }
}

/// Lists the lines that differ between two configurations, removed (`-`) before
/// added (`+`).
#[must_use]
pub fn config_diff(old: &Config, new: &Config) -> Vec<String> {
    let before: BTreeSet<_> = statements(old).into_iter().collect();
    let after: BTreeSet<_> = statements(new).into_iter().collect();
    let removed = before.difference(&after).map(|l| format!("- {l}"));
    let added = after.difference(&before).map(|l| format!("+ {l}"));
    removed.chain(added).collect()
}

//! Changes that operators make to the configuration.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Account;
use crate::config::Config;
use crate::config::ConfigError;
use crate::config::Limits;
use crate::config::Pipeline;
use crate::config::Pool;
use crate::config::Weights;
use crate::ids::ClientAccount;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::ids::NodeId;
use crate::ids::PipelineName;
use crate::ids::PoolName;
use crate::ids::RequestKind;

/// The target of a drain: it accepts no new work and finishes what runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainTarget {
    /// One endpoint.
    #[display("endpoint {_0}")]
    Endpoint(EndpointId),
    /// Everything that runs on one host.
    #[display("host {_0}")]
    Host(HostId),
    /// One router.
    #[display("router {_0}")]
    Router(NodeId),
    /// Everything that runs in one failure domain.
    #[display("domain {_0}")]
    Domain(FailureDomain),
}

/// A change of the configuration.
#[derive(Debug, Clone, PartialEq)]
#[derive(Display, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Change {
    /// Creates or replaces a client account.
    #[display("set account {name}")]
    SetAccount {
        /// The account.
        name: ClientAccount,
        /// Its keys and limits.
        account: Account,
    },
    /// Removes a client account and its bindings.
    #[display("drop account {name}")]
    DropAccount {
        /// The account.
        name: ClientAccount,
    },
    /// Creates or replaces a pool.
    #[display("set pool {name}")]
    SetPool {
        /// The pool.
        name: PoolName,
        /// Its price and path.
        pool: Pool,
    },
    /// Removes a pool; refused while a pipeline uses it.
    #[display("drop pool {name}")]
    DropPool {
        /// The pool.
        name: PoolName,
    },
    /// Creates or replaces a pipeline.
    #[display("set pipeline {name}")]
    SetPipeline {
        /// The pipeline.
        name: PipelineName,
        /// Its stages, deadline and weights.
        pipeline: Pipeline,
    },
    /// Removes a pipeline; refused while an account is bound to it.
    #[display("drop pipeline {name}")]
    DropPipeline {
        /// The pipeline.
        name: PipelineName,
    },
    /// Binds a request kind of an account to a pipeline.
    #[display("bind {account} {kind} to {pipeline}")]
    Bind {
        /// The account.
        account: ClientAccount,
        /// The request kind.
        kind: RequestKind,
        /// The pipeline.
        pipeline: PipelineName,
    },
    /// Removes the binding of a request kind.
    #[display("unbind {account} {kind}")]
    Unbind {
        /// The account.
        account: ClientAccount,
        /// The request kind.
        kind: RequestKind,
    },
    /// Replaces the limits of an account.
    #[display("set limits of {account}")]
    SetLimits {
        /// The account.
        account: ClientAccount,
        /// The limits over all routers.
        limits: Limits,
    },
    /// Replaces the weights of a pipeline.
    #[display("set weights of {pipeline}")]
    SetWeights {
        /// The pipeline.
        pipeline: PipelineName,
        /// The weights.
        weights: Weights,
    },
    /// Replaces the deadline of a pipeline.
    #[display("set deadline of {pipeline} to {deadline_ms} ms")]
    SetDeadline {
        /// The pipeline.
        pipeline: PipelineName,
        /// The deadline, in milliseconds.
        deadline_ms: u64,
    },
    /// Drains a target until it is resumed.
    #[display("drain {target}")]
    Drain {
        /// The target.
        target: DrainTarget,
    },
    /// Ends the drain of a target.
    #[display("resume {target}")]
    Resume {
        /// The target.
        target: DrainTarget,
    },
    /// Sends no new calls to the endpoints of a failure domain until it is
    /// restored. Its routers stay in service.
    #[display("evacuate domain {domain}")]
    Evacuate {
        /// The failure domain.
        domain: FailureDomain,
    },
    /// Ends the evacuation of a failure domain.
    #[display("restore domain {domain}")]
    Restore {
        /// The failure domain.
        domain: FailureDomain,
    },
}

impl Change {
    /// Returns the configuration with the change applied, checked as a whole.
    ///
    /// The same check runs before the append, for immediate feedback to the
    /// operator, and in every fold after it, so that no process applies a change
    /// that another refuses.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if the change names an object that does not
    /// exist, or results in an invalid configuration.
    pub fn apply(&self, config: &Config) -> Result<Config, ConfigError> {
        let mut next = config.clone();
        self.edit(&mut next)?;
        next.check()?;
        Ok(next)
    }

    fn edit(&self, config: &mut Config) -> Result<(), ConfigError> {
        match self {
            Self::SetAccount { name, account } => {
                config.accounts.insert(name.clone(), account.clone());
            }
            Self::DropAccount { name } => {
                let dropped = config.accounts.remove(name);
                dropped.ok_or_else(|| missing(format!("account {name}")))?;
                config.bindings.remove(name);
            }
            Self::SetPool { name, pool } => {
                config.pools.insert(name.clone(), pool.clone());
            }
            Self::DropPool { name } => {
                let dropped = config.pools.remove(name);
                dropped.ok_or_else(|| missing(format!("pool {name}")))?;
            }
            Self::SetPipeline { name, pipeline } => {
                config.pipelines.insert(name.clone(), pipeline.clone());
            }
            Self::DropPipeline { name } => {
                let dropped = config.pipelines.remove(name);
                dropped.ok_or_else(|| missing(format!("pipeline {name}")))?;
            }
            Self::Bind {
                account,
                kind,
                pipeline,
            } => {
                let kinds = config.bindings.entry(account.clone()).or_default();
                kinds.insert(kind.clone(), pipeline.clone());
            }
            Self::Unbind { account, kind } => unbind(config, account, kind)?,
            Self::SetLimits { account, limits } => {
                let found = config.accounts.get_mut(account);
                found
                    .ok_or_else(|| missing(format!("account {account}")))?
                    .limits = *limits;
            }
            Self::SetWeights { pipeline, weights } => {
                pipeline_mut(config, pipeline)?.weights = *weights;
            }
            Self::SetDeadline {
                pipeline,
                deadline_ms,
            } => pipeline_mut(config, pipeline)?.deadline_ms = *deadline_ms,
            Self::Drain { target } => {
                config.drains.insert(target.clone());
            }
            Self::Resume { target } => {
                let ended = config.drains.remove(target);
                ended
                    .then_some(())
                    .ok_or_else(|| missing(format!("the drain of {target}")))?;
            }
            Self::Evacuate { domain } => {
                config.evacuations.insert(domain.clone());
            }
            Self::Restore { domain } => {
                let ended = config.evacuations.remove(domain);
                ended
                    .then_some(())
                    .ok_or_else(|| missing(format!("the evacuation of domain {domain}")))?;
            }
        }
        Ok(())
    }
}

fn unbind(
    config: &mut Config,
    account: &ClientAccount,
    kind: &RequestKind,
) -> Result<(), ConfigError> {
    let kinds = config.bindings.get_mut(account);
    let bound = kinds.and_then(|k| k.remove(kind));
    bound.ok_or_else(|| missing(format!("the binding of {account} {kind}")))?;
    config.bindings.retain(|_, kinds| !kinds.is_empty());
    Ok(())
}

fn pipeline_mut<'a>(
    config: &'a mut Config,
    name: &PipelineName,
) -> Result<&'a mut Pipeline, ConfigError> {
    let found = config.pipelines.get_mut(name);
    found.ok_or_else(|| missing(format!("pipeline {name}")))
}

const fn missing(what: String) -> ConfigError {
    ConfigError::Missing { what }
}

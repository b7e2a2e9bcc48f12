//! Pipelines, bindings, client accounts and pools, checked as a whole.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;

use crate::config::DrainTarget;
use crate::ids::ClientAccount;
use crate::ids::FailureDomain;
use crate::ids::ModelName;
use crate::ids::PipelineName;
use crate::ids::PoolName;
use crate::ids::RequestKind;
use crate::ids::StageName;
use crate::units::RequestRate;
use crate::units::TokenRate;

/// The maximum number of stages in a pipeline.
///
/// Users require 3 to 6; 2 more allow for a check before and after.
pub const STAGES_MAX: usize = 8;

/// The maximum deadline of a pipeline, in milliseconds: 10 minutes.
pub const DEADLINE_MAX_MS: u64 = 600_000;

/// The operation that a stage requests from its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StageRole {
    /// Computes an embedding of a text.
    #[display("encode")]
    Encode,
    /// Finds documents for an embedding.
    #[display("retrieve")]
    Retrieve,
    /// Ranks documents by their relevance to a query.
    #[display("rerank")]
    Rerank,
    /// Generates text.
    #[display("generate")]
    Generate,
    /// Calls a plain service.
    #[display("call")]
    Call,
}

/// One stage of a pipeline.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Stage {
    /// The stage's name, unique in its pipeline.
    pub name: StageName,
    /// The operation of the stage.
    pub role: StageRole,
    /// The pool whose endpoints serve it.
    pub pool: PoolName,
    /// The model to request, for stages that use one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// Whether the stage may run more than once.
    #[serde(default = "yes")]
    pub idempotent: bool,
}

const fn yes() -> bool {
    true
}

/// The weights of lateness and cost in the choice of endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Weights {
    /// The weight of one second of predicted lateness.
    pub lateness: f64,
    /// The weight of one unit of cost.
    pub cost: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            lateness: 1.0,
            cost: 1.0,
        }
    }
}

/// A chain of stages under one deadline.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Pipeline {
    /// The time from acceptance to the complete response, in milliseconds.
    pub deadline_ms: u64,
    /// The stages, in order.
    pub stages: Vec<Stage>,
    /// The weights for choosing endpoints.
    #[serde(default)]
    pub weights: Weights,
}

impl Pipeline {
    /// Returns the deadline as a duration.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns whether every stage may run more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.stages.iter().all(|s| s.idempotent)
    }
}

/// The limits of a client account over all routers together.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Limits {
    /// Requests per second.
    pub requests: RequestRate,
    /// Generated and prompt tokens per second.
    pub tokens: TokenRate,
    /// Requests in flight.
    pub concurrency: u32,
}

/// The SHA-256 digest of a bearer key, as 64 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest(String);

impl FromStr for KeyDigest {
    type Err = ConfigError;

    fn from_str(text: &str) -> Result<Self, ConfigError> {
        let well_formed = text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !well_formed {
            return Err(ConfigError::BadDigest);
        }
        Ok(Self(text.to_ascii_lowercase()))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = ConfigError;

    fn try_from(text: String) -> Result<Self, ConfigError> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.0
    }
}

/// A client account: its keys and limits.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Account {
    /// The digests of the keys that identify this account.
    pub keys: Vec<KeyDigest>,
    /// The limits over all routers.
    pub limits: Limits,
    /// The account's share under contention, relative to other accounts.
    #[serde(default = "one")]
    pub share: f64,
}

const fn one() -> f64 {
    1.0
}

/// A pool of endpoints.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Pool {
    /// The cost of one busy second of one endpoint.
    pub price: f64,
    /// The path of POST requests, for pools of plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
}

/// The whole configuration at one revision.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Config {
    /// The client accounts.
    pub accounts: BTreeMap<ClientAccount, Account>,
    /// The pools.
    pub pools: BTreeMap<PoolName, Pool>,
    /// The pipelines.
    pub pipelines: BTreeMap<PipelineName, Pipeline>,
    /// The pipeline for each account and request kind.
    pub bindings: BTreeMap<ClientAccount, BTreeMap<RequestKind, PipelineName>>,
    /// The targets that operators drain.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub drains: BTreeSet<DrainTarget>,
    /// The failure domains whose endpoints get no new calls.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub evacuations: BTreeSet<FailureDomain>,
}

/// The reason for which a configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ConfigError {
    /// A key digest is malformed.
    #[display("a key digest is malformed: give the SHA-256 of the key as 64 hexadecimal digits")]
    BadDigest,
    /// A pipeline has no stage or too many.
    #[display("pipeline {pipeline} has {count} stages: give it 1 to {STAGES_MAX}")]
    StageCount {
        /// The pipeline.
        pipeline: PipelineName,
        /// The number of stages.
        count: usize,
    },
    /// Two stages of a pipeline share a name.
    #[display("pipeline {pipeline} has two stages named {stage}: rename one")]
    StageTwice {
        /// The pipeline.
        pipeline: PipelineName,
        /// The duplicate name.
        stage: StageName,
    },
    /// A deadline is out of range.
    #[display("pipeline {pipeline} has a deadline of {found} ms: give 1 to {DEADLINE_MAX_MS}")]
    Deadline {
        /// The pipeline.
        pipeline: PipelineName,
        /// The given deadline, in milliseconds.
        found: u64,
    },
    /// A stage names a pool that does not exist.
    #[display("pipeline {pipeline} uses pool {pool}, which does not exist: create the pool first")]
    NoPool {
        /// The pipeline.
        pipeline: PipelineName,
        /// The missing pool.
        pool: PoolName,
    },
    /// A stage that is not idempotent is followed by another.
    #[display(
        "stage {stage} of {pipeline} is not idempotent: make it the only such stage, and the last"
    )]
    OnceNotLast {
        /// The pipeline.
        pipeline: PipelineName,
        /// The stage.
        stage: StageName,
    },
    /// A binding names an account that does not exist.
    #[display("a binding names account {account}, which does not exist: create the account first")]
    NoAccount {
        /// The missing account.
        account: ClientAccount,
    },
    /// A binding names a pipeline that does not exist.
    #[display(
        "account {account} binds {kind} to pipeline {pipeline}, which does not exist: create it first"
    )]
    NoPipeline {
        /// The account.
        account: ClientAccount,
        /// The request kind.
        kind: RequestKind,
        /// The missing pipeline.
        pipeline: PipelineName,
    },
    /// A number is not finite and positive.
    #[display("{what} must be a positive number: correct it")]
    NotPositive {
        /// The description of the number.
        #[error(not(source))]
        what: String,
    },
    /// A change names an object that does not exist.
    #[display("{what} does not exist: check the newest revision")]
    Missing {
        /// The description of the missing object.
        #[error(not(source))]
        what: String,
    },
    /// Two accounts share a key.
    #[display("accounts {first} and {second} share a key: give each its own")]
    KeyTwice {
        /// One account.
        first: ClientAccount,
        /// The other account.
        second: ClientAccount,
    },
}

impl Config {
    /// Checks the configuration as a whole.
    ///
    /// # Errors
    ///
    /// Returns the first [`ConfigError`] that occurs.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.check_accounts()?;
        self.check_pools()?;
        for (name, pipeline) in &self.pipelines {
            self.check_pipeline(name, pipeline)?;
        }
        self.check_bindings()
    }

    fn check_accounts(&self) -> Result<(), ConfigError> {
        let mut key_owners = BTreeMap::new();
        for (name, account) in &self.accounts {
            for key in &account.keys {
                if let Some(first) = key_owners.insert(key, name) {
                    return Err(ConfigError::KeyTwice {
                        first: first.clone(),
                        second: name.clone(),
                    });
                }
            }
            positive(account.limits.requests.0, || {
                format!("the request limit of {name}")
            })?;
            positive(account.limits.tokens.0, || {
                format!("the token limit of {name}")
            })?;
            positive(f64::from(account.limits.concurrency), || {
                format!("the concurrency of {name}")
            })?;
            positive(account.share, || format!("the share of {name}"))?;
        }
        Ok(())
    }

    fn check_pools(&self) -> Result<(), ConfigError> {
        for (name, pool) in &self.pools {
            positive(pool.price, || format!("the price of pool {name}"))?;
        }
        Ok(())
    }

    fn check_pipeline(&self, name: &PipelineName, pipeline: &Pipeline) -> Result<(), ConfigError> {
        let count = pipeline.stages.len();
        if count == 0 || count > STAGES_MAX {
            return Err(ConfigError::StageCount {
                pipeline: name.clone(),
                count,
            });
        }
        let found = pipeline.deadline_ms;
        if found == 0 || found > DEADLINE_MAX_MS {
            return Err(ConfigError::Deadline {
                pipeline: name.clone(),
                found,
            });
        }
        for weight in [pipeline.weights.lateness, pipeline.weights.cost] {
            if !weight.is_finite() || weight < 0.0 {
                return Err(ConfigError::NotPositive {
                    what: format!("each weight of {name}"),
                });
            }
        }
        for (index, stage) in pipeline.stages.iter().enumerate() {
            let is_duplicate = pipeline.stages[..index]
                .iter()
                .any(|s| s.name == stage.name);
            if is_duplicate {
                return Err(ConfigError::StageTwice {
                    pipeline: name.clone(),
                    stage: stage.name.clone(),
                });
            }
            if !self.pools.contains_key(&stage.pool) {
                return Err(ConfigError::NoPool {
                    pipeline: name.clone(),
                    pool: stage.pool.clone(),
                });
            }
            // If a stage after the side effect failed, the request would have
            // run without a response. With the effect last, its response is that
            // of the request.
            if !stage.idempotent && index + 1 < count {
                return Err(ConfigError::OnceNotLast {
                    pipeline: name.clone(),
                    stage: stage.name.clone(),
                });
            }
        }
        Ok(())
    }

    fn check_bindings(&self) -> Result<(), ConfigError> {
        for (account, kinds) in &self.bindings {
            if !self.accounts.contains_key(account) {
                return Err(ConfigError::NoAccount {
                    account: account.clone(),
                });
            }
            for (kind, pipeline) in kinds {
                if !self.pipelines.contains_key(pipeline) {
                    return Err(ConfigError::NoPipeline {
                        account: account.clone(),
                        kind: kind.clone(),
                        pipeline: pipeline.clone(),
                    });
                }
            }
        }
        Ok(())
    }

    /// Returns the pipeline to which an account's request kind is bound.
    #[must_use]
    pub fn bound(
        &self,
        account: &ClientAccount,
        kind: &RequestKind,
    ) -> Option<(&PipelineName, &Pipeline)> {
        let name = self.bindings.get(account)?.get(kind)?;
        self.pipelines.get_key_value(name)
    }
}

fn positive(value: f64, what: impl FnOnce() -> String) -> Result<(), ConfigError> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(ConfigError::NotPositive { what: what() })
}

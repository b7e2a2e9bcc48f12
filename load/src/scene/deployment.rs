//! The description of a deployment: JSON with comments, checked.

use std::collections::BTreeMap;
use std::fmt::Write;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use snipeyoke_lib::config::Config;
use snipeyoke_lib::config::ConfigError;
use snipeyoke_lib::config::KeyDigest;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_lib::ids::IdError;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::ids::Region;
use snipeyoke_lib::ids::RequestKind;
use snipeyoke_standin::PlatformSettings;
use snipeyoke_standin::Settings;
use snipeyoke_standin::SettingsError;

use crate::plan::Mix;
use crate::plan::MixError;
use crate::plan::Mixture;
use crate::plan::key_of;

/// Endpoints of one pool.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolScene {
    /// The pool.
    pub name: PoolName,
    /// How many endpoints, spread over the failure domains.
    pub count: usize,
    /// Calls that an agent lets through at once.
    pub slots: u32,
    /// Calls that an agent lets through beyond those.
    pub queue: u32,
    /// The stand-in for each endpoint.
    pub endpoint: Settings,
}

/// A deployment as it stands in its file.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scene {
    /// The deployment's name.
    pub name: String,
    /// Its region.
    pub region: Region,
    /// Its failure domains.
    pub domains: Vec<FailureDomain>,
    /// One-way milliseconds between failure domains.
    pub distance_ms: f64,
    /// One-way milliseconds from clients.
    pub client_ms: f64,
    /// Entry hosts.
    pub routers: usize,
    /// Traffic threads that all routers share.
    #[serde(default = "two")]
    pub router_threads: usize,
    /// The platform.
    pub platform: PlatformSettings,
    /// The endpoints.
    pub pools: Vec<PoolScene>,
    /// The configuration that operators publish.
    pub config: Config,
    /// What callers ask.
    pub mix: Mix,
}

const fn two() -> usize {
    2
}

/// A deployment that can be built.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    scene: Scene,
    mixture: Mixture,
}

/// The reason why a deployment is refused.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum SceneError {
    /// The text is malformed.
    #[display("the deployment is malformed: {what}; correct the line named")]
    #[from(ignore)]
    Malformed {
        /// What the parser said.
        what: String,
    },
    /// There are no failure domains, routers or endpoints.
    #[display("`{key}` gives nothing to start: give one at least")]
    #[from(ignore)]
    Empty {
        /// The key.
        key: String,
    },
    /// A name is malformed.
    #[display("{_0}")]
    Name(IdError),
    /// The mix is refused.
    #[display("{_0}")]
    Mix(MixError),
    /// A stand-in's settings are refused.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The configuration is refused.
    #[display("{_0}")]
    Config(ConfigError),
}

impl Deployment {
    /// Reads a deployment from JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns a [`SceneError`] that names the key and the remedy.
    pub fn parse(text: &str) -> Result<Self, SceneError> {
        let parsed = parse_to_serde_value::<Scene>(text, &ParseOptions::default());
        let scene = parsed.map_err(|error| SceneError::Malformed {
            what: error.to_string(),
        })?;
        Self::try_from(scene)
    }

    /// Returns the description.
    #[must_use]
    pub const fn scene(&self) -> &Scene {
        &self.scene
    }

    /// Returns what callers ask.
    #[must_use]
    pub const fn mixture(&self) -> &Mixture {
        &self.mixture
    }
}

impl TryFrom<Scene> for Deployment {
    type Error = SceneError;

    fn try_from(mut scene: Scene) -> Result<Self, SceneError> {
        let empty = |key: &str| SceneError::Empty {
            key: key.to_owned(),
        };
        if scene.domains.is_empty() {
            return Err(empty("domains"));
        }
        if scene.routers == 0 {
            return Err(empty("routers"));
        }
        for pool in &scene.pools {
            if pool.count == 0 {
                return Err(empty(&format!("pools.{}.count", pool.name)));
            }
            pool.endpoint.check()?;
        }
        fill_keys(&mut scene.config)?;
        fill_bindings(&mut scene.config)?;
        scene.config.check()?;
        let mixture = Mixture::try_from(scene.mix.clone())?;
        Ok(Self { scene, mixture })
    }
}

fn fill_keys(config: &mut Config) -> Result<(), ConfigError> {
    for (name, account) in &mut config.accounts {
        if account.keys.is_empty() {
            account.keys.push(digest(&key_of(name.as_str()))?);
        }
    }
    Ok(())
}

fn digest(key: &str) -> Result<KeyDigest, ConfigError> {
    let mut text = String::new();
    for byte in Sha256::digest(key) {
        // Writing to a text can't fail.
        let _written = write!(text, "{byte:02x}");
    }
    text.parse()
}

fn fill_bindings(config: &mut Config) -> Result<(), IdError> {
    if !config.bindings.is_empty() {
        return Ok(());
    }
    let mut kinds = BTreeMap::new();
    for pipeline in config.pipelines.keys() {
        let kind: RequestKind = pipeline.as_str().parse()?;
        kinds.insert(kind, pipeline.clone());
    }
    for account in config.accounts.keys() {
        config.bindings.insert(account.clone(), kinds.clone());
    }
    Ok(())
}

//! Settings of the stand-ins, in JSON with comments.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;
use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use serde::Deserialize;
use serde::Serialize;

/// The reason why settings are refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum SettingsError {
    /// The text is no JSON with comments, or a key or its type is wrong.
    #[display("the settings are malformed: {reason}; correct the line named")]
    Malformed {
        /// What the parser said.
        #[error(not(source))]
        reason: String,
    },
    /// A number lies outside its range.
    #[display("{key} is {found}: give a number of at least {least}")]
    TooSmall {
        /// The key.
        key: &'static str,
        /// The number found.
        found: String,
        /// The least number allowed.
        least: &'static str,
    },
}

/// Settings of one stand-in.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Settings {
    /// A platform.
    Platform(PlatformSettings),
    /// A model engine, or an encoder, retriever or reranker.
    Engine(EngineSettings),
    /// A plain service.
    Plain(PlainSettings),
}

impl Settings {
    /// Reads the settings of one stand-in.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] that names the key.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = parse(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Reads the settings of several stand-ins, an array.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] that names the key.
    pub fn parse_all(text: &str) -> Result<Vec<Self>, SettingsError> {
        let all: Vec<Self> = parse(text)?;
        for settings in &all {
            settings.check()?;
        }
        Ok(all)
    }

    /// Returns the address to listen on.
    #[must_use]
    pub const fn listen(&self) -> SocketAddr {
        match self {
            Self::Platform(platform) => platform.listen,
            Self::Engine(engine) => engine.listen,
            Self::Plain(plain) => plain.listen,
        }
    }

    /// Replaces the seed.
    pub const fn set_seed(&mut self, seed: u64) {
        match self {
            Self::Platform(platform) => platform.seed = seed,
            Self::Engine(engine) => engine.seed = seed,
            Self::Plain(plain) => plain.seed = seed,
        }
    }

    /// Replaces the address to listen on.
    pub const fn set_listen(&mut self, listen: SocketAddr) {
        match self {
            Self::Platform(platform) => platform.listen = listen,
            Self::Engine(engine) => engine.listen = listen,
            Self::Plain(plain) => plain.listen = listen,
        }
    }

    /// Checks the ranges of all numbers.
    ///
    /// # Errors
    ///
    /// Returns the first [`SettingsError`] found.
    pub fn check(&self) -> Result<(), SettingsError> {
        match self {
            Self::Platform(platform) => {
                above_zero("appends", platform.appends)?;
                above_zero("fetches", platform.fetches)?;
                above_zero("bandwidth", platform.bandwidth)
            }
            Self::Engine(engine) => {
                above_zero("batch", f64::from(engine.batch))?;
                above_zero("chunk", f64::from(engine.chunk))?;
                above_zero("step_us", engine.step_us)?;
                above_zero("prefill_us", engine.prefill_us)?;
                above_zero("kv_tokens", f64::from(engine.kv_tokens))
            }
            Self::Plain(plain) => {
                above_zero("slots", plain.slots as f64)?;
                above_zero("service_ms", plain.service_ms)
            }
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, SettingsError> {
    parse_to_serde_value(text, &ParseOptions::default()).map_err(|error| SettingsError::Malformed {
        reason: error.to_string(),
    })
}

fn above_zero(key: &'static str, found: f64) -> Result<(), SettingsError> {
    if found.is_finite() && found > 0.0 {
        return Ok(());
    }
    Err(SettingsError::TooSmall {
        key,
        found: found.to_string(),
        least: "a little over 0",
    })
}

fn free_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Settings of a platform: log service, host list and weight store.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// Appends a second, over all topics.
    pub appends: f64,
    /// Milliseconds that one append takes.
    pub append_ms: u64,
    /// Milliseconds that one read takes, beside its wait.
    pub read_ms: u64,
    /// Records kept in each topic.
    pub keep_records: usize,
    /// Milliseconds for which records are kept.
    pub keep_ms: u64,
    /// Milliseconds until a change of the host list is visible.
    pub hosts_lag_ms: u64,
    /// Fetches from the weight store a second.
    pub fetches: f64,
    /// Bytes a second from the weight store.
    pub bandwidth: f64,
    /// Bytes of one model.
    pub model_bytes: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: free_port(),
            seed: 1,
            appends: 300.0,
            append_ms: 4,
            read_ms: 2,
            keep_records: 100_000,
            keep_ms: 3_600_000,
            hosts_lag_ms: 1_000,
            fetches: 0.5,
            bandwidth: 4.0e9,
            model_bytes: 2_000_000_000,
        }
    }
}

/// Settings of a model engine; the same serves embeddings, retrieval and reranking.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// Models loaded at the start; empty serves any name.
    pub models: Vec<String>,
    /// The most generations in one step.
    pub batch: u32,
    /// The most generations that wait.
    pub queue: usize,
    /// The most prompt tokens read in one step.
    pub chunk: u32,
    /// Microseconds of a step with nothing in it.
    pub step_us: f64,
    /// Microseconds that each generating request adds to a step.
    pub decode_us: f64,
    /// Microseconds that each prompt token adds to a step.
    pub prefill_us: f64,
    /// Tokens of memory for running requests.
    pub kv_tokens: u32,
    /// Blocks of prompt prefixes kept; see [`snipeyoke_lib::prefix`].
    pub cache_blocks: usize,
    /// Slots for embeddings, retrieval and reranking.
    pub slots: usize,
    /// Microseconds of one call to embed, retrieve or rerank, beside its tokens.
    pub call_us: f64,
    /// Microseconds that each token adds to such a call.
    pub token_us: f64,
    /// Bytes of each document that a retrieval returns.
    pub document_bytes: usize,
    /// Documents that a retrieval chooses from.
    pub corpus: u64,
    /// Milliseconds between two load reports.
    pub load_every_ms: u64,
    /// The least age of a load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Milliseconds until a cache event is visible.
    pub event_lag_ms: u64,
    /// The share of cache events that are lost.
    pub event_loss: f64,
    /// Whether orders with an old fencing number are refused.
    pub check_fence: bool,
    /// Milliseconds that loading a model takes.
    pub load_model_ms: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: free_port(),
            seed: 1,
            models: Vec::new(),
            batch: 16,
            queue: 64,
            chunk: 512,
            step_us: 8_000.0,
            decode_us: 250.0,
            prefill_us: 40.0,
            kv_tokens: 32_768,
            cache_blocks: 512,
            slots: 4,
            call_us: 4_000.0,
            token_us: 10.0,
            document_bytes: 512,
            corpus: 64,
            load_every_ms: 50,
            load_lag_ms: 100,
            event_lag_ms: 100,
            event_loss: 0.01,
            check_fence: true,
            load_model_ms: 500,
        }
    }
}

/// Settings of a plain service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// Calls served at the same time.
    pub slots: usize,
    /// The most calls that wait.
    pub queue: usize,
    /// Milliseconds that a call takes on average.
    pub service_ms: f64,
    /// The spread of that time: 0 for none, 1 for an exponential tail.
    pub spread: f64,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            listen: free_port(),
            seed: 1,
            slots: 4,
            queue: 64,
            service_ms: 15.0,
            spread: 0.5,
        }
    }
}

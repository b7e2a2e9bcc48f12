//! Client accounts and request kinds, by weight.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

use super::Sizes;

/// The reason why a mix is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum MixError {
    /// There is nothing to draw from.
    #[display("`{key}` is empty: give one entry at least")]
    Empty {
        /// The key.
        key: &'static str,
    },
    /// A weight is not a positive number.
    #[display("the weight of {name} in `{key}` is not positive: correct it")]
    Weight {
        /// The key.
        key: &'static str,
        /// The entry.
        name: String,
    },
    /// A share lies outside 0 to 1.
    #[display("the `stream` share of {name} is outside 0 to 1: correct it")]
    Share {
        /// The request kind.
        name: String,
    },
}

/// What a request kind asks for.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Generated text.
    Chat(Sizes),
    /// A plain service.
    Call {
        /// Whether it may run once only.
        once: bool,
    },
}

/// A request kind.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The name that callers give.
    pub name: String,
    /// How often it comes, relative to others.
    pub weight: f64,
    /// The deadline of its pipeline, in milliseconds.
    pub deadline_ms: u64,
    /// What it asks for.
    pub shape: Shape,
}

impl Kind {
    /// Returns the deadline as a duration.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// A client account and how often it asks.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The account's name.
    pub name: String,
    /// How often it asks, relative to others.
    pub weight: f64,
}

/// Accounts and kinds as they stand in a file.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// The client accounts.
    pub accounts: Vec<Caller>,
    /// The request kinds.
    pub kinds: Vec<Kind>,
}

/// Accounts and kinds that can be drawn from.
#[derive(Debug, Clone, PartialEq)]
pub struct Mixture(Mix);

/// Returns the bearer key of an account in tests.
#[must_use]
pub fn key_of(account: &str) -> String {
    format!("key-{account}")
}

impl TryFrom<Mix> for Mixture {
    type Error = MixError;

    fn try_from(mix: Mix) -> Result<Self, MixError> {
        let accounts = mix.accounts.iter().map(|a| (a.name.as_str(), a.weight));
        check_weights("accounts", accounts)?;
        let kinds = mix.kinds.iter().map(|k| (k.name.as_str(), k.weight));
        check_weights("kinds", kinds)?;
        for kind in &mix.kinds {
            if let Shape::Chat(sizes) = &kind.shape
                && !(0.0..=1.0).contains(&sizes.stream)
            {
                let name = kind.name.clone();
                return Err(MixError::Share { name });
            }
        }
        Ok(Self(mix))
    }
}

fn check_weights<'a>(
    key: &'static str,
    entries: impl Iterator<Item = (&'a str, f64)>,
) -> Result<(), MixError> {
    let mut entries = entries.peekable();
    if entries.peek().is_none() {
        return Err(MixError::Empty { key });
    }
    match entries.find(|(_, w)| !(w.is_finite() && *w > 0.0)) {
        Some((name, _)) => Err(MixError::Weight {
            key,
            name: name.to_owned(),
        }),
        None => Ok(()),
    }
}

impl Mixture {
    /// Returns the mix.
    #[must_use]
    pub const fn mix(&self) -> &Mix {
        &self.0
    }

    /// Draws an account.
    pub fn account(&self, rng: &mut Pcg64Mcg) -> &str {
        let weights = self.0.accounts.iter().map(|a| a.weight);
        &self.0.accounts[draw(weights, rng)].name
    }

    /// Draws a kind.
    pub fn kind(&self, rng: &mut Pcg64Mcg) -> &Kind {
        let weights = self.0.kinds.iter().map(|k| k.weight);
        &self.0.kinds[draw(weights, rng)]
    }
}

fn draw(weights: impl Iterator<Item = f64> + Clone, rng: &mut Pcg64Mcg) -> usize {
    let sum: f64 = weights.clone().sum();
    let mut left = rng.random::<f64>() * sum;
    let mut last = 0;
    for (index, weight) in weights.enumerate() {
        last = index;
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}

//! Prompts with shared prefixes and heavy-tailed lengths.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;
use snipeyoke_lib::prefix::TOKEN_BYTES;
use snipeyoke_standin::answer;

/// The exponent of the tail: under 2, so that its variance has no bound but the most.
const TAIL: f64 = 1.3;

/// Sizes of a generation, in tokens.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// Tokens of the prefix that requests share.
    pub shared: u32,
    /// Prefixes for each client account.
    pub variants: u64,
    /// Fewest tokens of the caller's own text.
    pub least: u32,
    /// Most tokens of the caller's own text; the tail is cut here.
    pub most: u32,
    /// Fewest tokens allowed for the answer.
    pub answer_least: u32,
    /// Most tokens allowed for the answer.
    pub answer_most: u32,
    /// The share of requests that ask for a stream.
    pub stream: f64,
}

impl Sizes {
    /// Draws one of the account's shared prefixes.
    pub fn prefix(&self, kind: &str, account: &str, rng: &mut Pcg64Mcg) -> String {
        let variant = rng.random_range(0..self.variants.max(1));
        let name = format!("{kind}/{account}/{variant}");
        let id = u64::from_str_radix(&answer::receipt(name.as_bytes()), 16);
        let bytes = self.shared as usize * TOKEN_BYTES;
        answer::document(id.unwrap_or_default(), bytes)
    }

    /// Draws the caller's own text, unique by its serial number.
    pub fn question(&self, serial: u64, rng: &mut Pcg64Mcg) -> String {
        let draw: f64 = rng.random();
        let least = f64::from(self.least.max(1));
        let most = f64::from(self.most).max(least);
        // Bounded Pareto by inversion.
        let ratio = (least / most).powf(TAIL);
        let tokens = least / (1.0 - draw * (1.0 - ratio)).powf(1.0 / TAIL);
        let id: u64 = rng.random();
        let text = answer::document(id, tokens as usize * TOKEN_BYTES);
        format!("[{serial}] {text}")
    }

    /// Draws the most tokens of the answer.
    pub fn output(&self, rng: &mut Pcg64Mcg) -> u32 {
        let most = self.answer_most.max(self.answer_least);
        rng.random_range(self.answer_least..=most)
    }
}

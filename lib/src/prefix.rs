//! Block hashes of a prompt's prefix, matching the engines' prefix caches.

use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

/// The estimated bytes of text per token.
pub const TOKEN_BYTES: usize = 4;

/// The tokens in one block.
pub const BLOCK_TOKENS: usize = 64;

/// The bytes of text in one block.
pub const BLOCK_BYTES: usize = BLOCK_TOKENS * TOKEN_BYTES;

/// Returns the estimated number of tokens in a text.
#[must_use]
pub fn token_count(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// Returns a hash for each whole block, chained with all preceding blocks.
///
/// Two prompts for one model share as many leading hashes as whole blocks of
/// prefix. The remainder after the last whole block has no hash.
#[must_use]
pub fn block_hashes(model: &str, text: &str) -> Vec<u64> {
    let mut previous = hash(0, model.as_bytes());
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            previous = hash(previous, block);
            previous
        })
        .collect()
}

/// Joins the messages of a chat into the prompt text that engines cache.
#[must_use]
pub fn prompt_text<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let mut text = String::new();
    for (role, content) in messages {
        text.push_str(role);
        text.push('\n');
        text.push_str(content);
        text.push('\n');
    }
    text
}

fn hash(seed: u64, bytes: &[u8]) -> u64 {
    rapidhash_v3_seeded(bytes, &RapidSecrets::seed(seed))
}

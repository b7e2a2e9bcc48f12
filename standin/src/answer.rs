//! Answers that follow from their question, so that a checker can verify them whole.

use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

/// The numbers in an embedding.
pub const EMBEDDING_SIZE: usize = 8;

/// The fewest tokens of an answer, out of 100 of the most allowed.
const LENGTH_FLOOR: u64 = 50;

fn hash(seed: u64, bytes: &[u8]) -> u64 {
    rapidhash_v3_seeded(bytes, &RapidSecrets::seed(seed))
}

/// The answer that an engine generates to one question.
///
/// The question is the content of the last message alone, so that a checker at
/// the caller's side knows the answer whatever documents a pipeline puts before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Generation {
    seed: u64,
    length: u32,
}

impl Generation {
    /// Builds the answer to a question.
    #[must_use]
    pub fn new(question: &str, max_tokens: u32) -> Self {
        let seed = hash(0, question.as_bytes());
        let percent = LENGTH_FLOOR + seed % (101 - LENGTH_FLOOR);
        let length = u64::from(max_tokens) * percent / 100;
        let length = u32::try_from(length).unwrap_or(u32::MAX).max(1);
        Self { seed, length }
    }

    /// Returns the number of tokens.
    #[must_use]
    pub const fn length(&self) -> u32 {
        self.length
    }

    /// Returns one token: three letters and a space.
    #[must_use]
    pub fn token(&self, index: u32) -> String {
        let mut bits = hash(self.seed, &index.to_le_bytes());
        let mut token = String::with_capacity(4);
        for _letter in 0..3 {
            let letter = u8::try_from(bits % 26).unwrap_or_default();
            token.push(char::from(b'a' + letter));
            bits /= 26;
        }
        token.push(' ');
        token
    }

    /// Returns the text from a token on.
    #[must_use]
    pub fn text(&self, from: u32) -> String {
        (from..self.length).map(|i| self.token(i)).collect()
    }
}

/// Returns what a plain service answers to a body, as hexadecimal digits.
#[must_use]
pub fn receipt(body: &[u8]) -> String {
    format!("{:016x}", hash(1, body))
}

/// Returns the embedding of a text, each number within -1 and 1.
#[must_use]
pub fn embedding(text: &str) -> [f64; EMBEDDING_SIZE] {
    let seed = hash(2, text.as_bytes());
    std::array::from_fn(|i| unit(hash(seed, &i.to_le_bytes())) * 2.0 - 1.0)
}

/// Returns a document of the corpus.
#[must_use]
pub fn document(id: u64, bytes: usize) -> String {
    let words = Generation {
        seed: hash(3, &id.to_le_bytes()),
        length: u32::try_from(bytes / 4).unwrap_or(u32::MAX),
    };
    words.text(0)
}

/// Returns the documents nearest to an embedding, without repetition.
#[must_use]
pub fn nearest(embedding: &[f64], count: usize, corpus: u64) -> Vec<u64> {
    let bytes: Vec<u8> = embedding.iter().flat_map(|n| n.to_le_bytes()).collect();
    let corpus = corpus.max(1);
    let first = hash(4, &bytes) % corpus;
    // Neighbours in the corpus are near to each other too: questions that share
    // their first document share the others.
    let count = u64::try_from(count).unwrap_or(u64::MAX).min(corpus);
    (0..count).map(|i| (first + i) % corpus).collect()
}

/// Returns how well a document fits a query, within 0 and 1.
#[must_use]
pub fn relevance(query: &str, document: &str) -> f64 {
    unit(hash(hash(5, query.as_bytes()), document.as_bytes()))
}

fn unit(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

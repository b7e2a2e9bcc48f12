//! An index of the prefix blocks cached by the endpoints of a pool.

use std::collections::BTreeMap;

/// The most blocks indexed for a pool.
///
/// At 680 endpoints an entry takes about 120 bytes, so the index takes 4 MB.
const BLOCKS_MAX: usize = 32_768;

/// The endpoints that hold each prefix block, by slot of the pool.
///
/// The index is a hint: cache events arrive late and with gaps, and a wrong
/// entry costs a repeated prefill, never a wrong answer.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    blocks: BTreeMap<u64, Vec<u64>>,
    candidates: Vec<u64>,
    longest: Vec<u64>,
    leading: Vec<u16>,
}

impl PrefixIndex {
    /// Adds a block held by a slot.
    pub fn add(&mut self, slot: usize, block: u64) {
        if self.blocks.len() >= BLOCKS_MAX && !self.blocks.contains_key(&block) {
            // Hashes are evenly spread, so the first entry is as good as a random one.
            self.blocks.pop_first();
        }
        let words = self.blocks.entry(block).or_default();
        let word = slot / 64;
        if words.len() <= word {
            words.resize(word + 1, 0);
        }
        words[word] |= 1 << (slot % 64);
    }

    /// Removes a block dropped by a slot.
    pub fn remove(&mut self, slot: usize, block: u64) {
        let Some(words) = self.blocks.get_mut(&block) else {
            return;
        };
        if let Some(word) = words.get_mut(slot / 64) {
            *word &= !(1 << (slot % 64));
        }
        if words.iter().all(|&word| word == 0) {
            self.blocks.remove(&block);
        }
    }

    /// Removes all blocks of a slot.
    pub fn clear(&mut self, slot: usize) {
        self.blocks.retain(|_, words| {
            if let Some(word) = words.get_mut(slot / 64) {
                *word &= !(1 << (slot % 64));
            }
            words.iter().any(|&word| word != 0)
        });
    }

    /// Counts the leading blocks of `prefix` that each of `slots` slots holds.
    ///
    /// The result is read with [`PrefixIndex::leading_blocks`].
    pub fn match_prefix(&mut self, prefix: &[u64], slots: usize) {
        self.leading.clear();
        self.leading.resize(slots, 0);
        self.candidates.clear();
        self.candidates.resize(slots.div_ceil(64), u64::MAX);
        self.longest.clear();
        for (index, block) in prefix.iter().enumerate() {
            let words = self.blocks.get(block).map_or(&[][..], Vec::as_slice);
            let mut any = 0;
            for (word_index, remaining) in self.candidates.iter_mut().enumerate() {
                let holding = *remaining & words.get(word_index).copied().unwrap_or(0);
                record_depth(&mut self.leading, word_index, *remaining & !holding, index);
                *remaining = holding;
                any |= holding;
            }
            if any == 0 {
                return;
            }
            self.longest.clone_from(&self.candidates);
        }
        for (word_index, &remaining) in self.candidates.iter().enumerate() {
            record_depth(&mut self.leading, word_index, remaining, prefix.len());
        }
    }

    /// Returns the slots that hold the most leading blocks of the last match.
    pub fn longest(&self) -> impl Iterator<Item = usize> {
        let words = self.longest.iter().enumerate();
        words.flat_map(|(word_index, &word)| {
            let mut bits = word;
            std::iter::from_fn(move || {
                let slot = (bits != 0).then(|| word_index * 64 + bits.trailing_zeros() as usize)?;
                bits &= bits - 1;
                Some(slot)
            })
        })
    }

    /// Returns the number of leading blocks that a slot holds in the last match.
    #[must_use]
    pub fn leading_blocks(&self, slot: usize) -> u16 {
        self.leading.get(slot).copied().unwrap_or(0)
    }
}

fn record_depth(leading: &mut [u16], word_index: usize, mut bits: u64, blocks: usize) {
    if blocks == 0 {
        return;
    }
    while bits != 0 {
        let slot = word_index * 64 + bits.trailing_zeros() as usize;
        if let Some(entry) = leading.get_mut(slot) {
            *entry = u16::try_from(blocks).unwrap_or(u16::MAX);
        }
        bits &= bits - 1;
    }
}

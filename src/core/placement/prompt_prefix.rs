//! Hashes of the prefixes of a prompt at increasing lengths.

use super::BLOCK_TOKENS;
use super::BYTES_PER_TOKEN;
use super::BlockHash;
use super::hash_blocks;
use crate::core::CacheSalt;

/// Prefix of a prompt, in full blocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixLevel {
    /// Length in blocks.
    pub blocks: u32,
    /// Hash of the last block, which includes all blocks before it.
    pub hash: BlockHash,
}

impl PrefixLevel {
    /// Returns the length in tokens.
    pub fn tokens(self) -> u32 {
        self.blocks * BLOCK_TOKENS as u32
    }
}

/// Hashes of the prefixes of a prompt at levels of geometrically increasing
/// length, and the length of the whole prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Length of the prompt in tokens, estimated if computed from its text.
    pub tokens: u32,
    /// Levels, the shortest first. The last one covers all full blocks.
    pub levels: Vec<PrefixLevel>,
}

impl PromptPrefix {
    /// Computes the levels of a prompt from its text.
    pub fn of_text(salt: Option<CacheSalt>, prompt: &[u8]) -> Self {
        let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN);
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        Self::of_blocks(tokens, hash_blocks(salt, prompt))
    }

    /// Computes the levels of a prompt from the hashes of its full blocks.
    pub fn of_blocks(tokens: u32, hashes: impl IntoIterator<Item = BlockHash>) -> Self {
        let mut levels = Vec::new();
        let mut next_blocks = 1;
        let mut last = None;
        for (blocks, hash) in (1..).zip(hashes) {
            let level = PrefixLevel { blocks, hash };
            last = Some(level);
            if blocks == next_blocks {
                levels.push(level);
                next_blocks = next_level_blocks(blocks);
            }
        }
        if last != levels.last().copied() {
            levels.extend(last);
        }
        Self { tokens, levels }
    }
}

/// Returns the length of the level after one of `blocks` blocks: an eighth
/// longer. It depends only on `blocks`, so that prompts with a common prefix
/// share their levels.
fn next_level_blocks(blocks: u32) -> u32 {
    blocks + (blocks / 8).max(1)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn level_lengths(blocks: usize) -> Vec<u32> {
        let text = vec![b'x'; blocks * 256];
        let prefix = PromptPrefix::of_text(None, &text);
        prefix.levels.iter().map(|level| level.blocks).collect()
    }

    #[test]
    fn of_text_geometric_levels() {
        let long = level_lengths(600);
        assert!(long.len() < 60);
        assert!(long.windows(2).all(|pair| pair[0] < pair[1]));
        assert_eq!(long.last(), Some(&600));
    }

    #[test]
    fn of_text_shared_prefix_shares_levels() {
        let mut first = vec![b'x'; 40 * 256];
        let mut second = first.clone();
        first.extend(vec![b'y'; 10 * 256]);
        second.extend(vec![b'z'; 30 * 256]);
        let first = PromptPrefix::of_text(None, &first);
        let second = PromptPrefix::of_text(None, &second);
        let shared = first.levels.iter().filter(|l| second.levels.contains(l));
        let deepest = shared.map(|level| level.blocks).max();
        assert!(deepest.is_some_and(|blocks| (36..=40).contains(&blocks)));
    }

    #[test]
    fn of_text_shorter_than_block() {
        let prefix = PromptPrefix::of_text(None, b"short");
        assert_eq!(prefix.tokens, 2);
        assert!(prefix.levels.is_empty());
    }
}

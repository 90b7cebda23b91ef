//! Hashes of prompt blocks, by which cache entries are compared.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::core::CacheSalt;

/// Bytes of prompt text estimated per token, before an engine has counted the
/// tokens.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens in one cache block.
pub const BLOCK_TOKENS: usize = 64;

/// Bytes of prompt text in one cache block.
pub const BLOCK_BYTES: usize = BLOCK_TOKENS * BYTES_PER_TOKEN;

/// Cache blocks in one chunk of the store of saved KV cache.
pub const CHUNK_BLOCKS: usize = 32;

/// Hash of a cache block, of all blocks before it and of the account's salt.
/// Equal hashes mean equal prefixes of the same account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockHash(pub u64);

impl BlockHash {
    /// Computes the hash of a block that follows `parent`. The first block of a
    /// prompt has no parent, and a request without an account has no salt.
    pub fn of_block(parent: Option<Self>, salt: Option<CacheSalt>, block: &[u8]) -> Self {
        let parent = parent.map_or(0, |parent| parent.0);
        let salt = salt.map_or(0, CacheSalt::bits);
        let mut hasher = Xxh3::new();
        hasher.update(&parent.to_le_bytes());
        hasher.update(&salt.to_le_bytes());
        hasher.update(block);
        Self(hasher.digest())
    }
}

/// Computes the hashes of the full blocks of a prompt, in order. A partial last
/// block is omitted, because engines do not cache it.
pub fn hash_blocks(salt: Option<CacheSalt>, prompt: &[u8]) -> impl Iterator<Item = BlockHash> {
    prompt
        .chunks_exact(BLOCK_BYTES)
        .scan(None, move |parent, block| {
            let hash = BlockHash::of_block(*parent, salt, block);
            *parent = Some(hash);
            Some(hash)
        })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn salt_of(account: &str) -> Option<CacheSalt> {
        Some(CacheSalt::of_account(&account.into()))
    }

    #[test]
    fn hash_blocks_omits_partial_block() {
        let prompt = vec![b'a'; 2 * BLOCK_BYTES + 1];
        assert_eq!(hash_blocks(None, &prompt).count(), 2);
    }

    #[test]
    fn hash_blocks_depends_on_parent() {
        let prompt = vec![b'a'; 2 * BLOCK_BYTES];
        let hashes: Vec<BlockHash> = hash_blocks(None, &prompt).collect();
        assert_ne!(hashes[0], hashes[1]);
    }

    #[test]
    fn hash_blocks_separates_accounts() {
        let prompt = vec![b'a'; BLOCK_BYTES];
        let first = hash_blocks(salt_of("guild"), &prompt).next();
        let second = hash_blocks(salt_of("other"), &prompt).next();
        assert_ne!(first, second);
    }
}

//! Prefix cache of an engine: prompt blocks in limited memory with LRU eviction.

use std::collections::HashMap;
use std::collections::VecDeque;

use teaseldrum::core::placement::BlockHash;

/// Maximum length of the use queue for each block of capacity. Beyond it, the
/// queue drops uses that a later use of the same block has superseded.
const MAX_QUEUED_USES_PER_BLOCK: usize = 4;

/// Change of the cached blocks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheChange {
    /// Blocks were stored.
    Stored {
        /// Block before the first in the prompt; `None` at the start of a prompt.
        parent: Option<BlockHash>,
        /// Stored blocks in prompt order.
        blocks: Vec<BlockHash>,
    },
    /// Blocks were evicted.
    Removed(Vec<BlockHash>),
    /// All blocks were dropped.
    Cleared,
}

/// Cache of prompt blocks that evicts the least recently used block. Of blocks
/// used together, those later in the prompt are evicted first.
#[derive(Debug, Default)]
pub struct BlockCache {
    /// Maximum number of cached blocks.
    capacity: usize,
    /// Number of the last use of each cached block.
    last_uses: HashMap<BlockHash, u64>,
    /// Uses, oldest first, with superseded ones.
    use_queue: VecDeque<CacheUse>,
    last_use_number: u64,
    changes: Vec<CacheChange>,
    records_changes: bool,
}

#[derive(Debug, Clone, Copy)]
struct CacheUse {
    block: BlockHash,
    number: u64,
}

impl BlockCache {
    /// Creates an empty cache with room for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Records changes from now on, for [`BlockCache::take_changes`].
    pub fn record_changes(&mut self) {
        self.records_changes = true;
    }

    /// Removes and returns the changes recorded since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of leading blocks of a prompt that are cached, and
    /// marks them as used.
    pub fn use_prefix(&mut self, blocks: &[BlockHash]) -> usize {
        let cached = self.count_prefix(blocks);
        for &block in blocks[..cached].iter().rev() {
            self.mark_used(block);
        }
        cached
    }

    /// Returns the number of leading blocks of a prompt that are cached, without
    /// marking them as used.
    pub fn count_prefix(&self, blocks: &[BlockHash]) -> usize {
        let cached = blocks.iter();
        cached.take_while(|block| self.contains(**block)).count()
    }

    /// Returns whether a block is cached.
    pub fn contains(&self, block: BlockHash) -> bool {
        self.last_uses.contains_key(&block)
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.last_uses.len()
    }

    /// Returns whether the cache holds no block.
    pub fn is_empty(&self) -> bool {
        self.last_uses.is_empty()
    }

    /// Stores the computed blocks that follow `parent` in their prompt, and evicts
    /// blocks beyond the capacity.
    pub fn store(&mut self, parent: Option<BlockHash>, blocks: &[BlockHash]) {
        if blocks.is_empty() {
            return;
        }
        for &block in blocks.iter().rev() {
            self.mark_used(block);
        }
        self.record(|| CacheChange::Stored {
            parent,
            blocks: blocks.to_vec(),
        });
        let removed = self.evict_excess();
        if !removed.is_empty() {
            self.record(|| CacheChange::Removed(removed));
        }
    }

    /// Drops all blocks.
    pub fn clear(&mut self) {
        self.last_uses.clear();
        self.use_queue.clear();
        self.record(|| CacheChange::Cleared);
    }

    fn evict_excess(&mut self) -> Vec<BlockHash> {
        let mut removed = Vec::new();
        while self.last_uses.len() > self.capacity {
            let Some(oldest) = self.use_queue.pop_front() else {
                break;
            };
            if self.last_uses.get(&oldest.block) == Some(&oldest.number) {
                self.last_uses.remove(&oldest.block);
                removed.push(oldest.block);
            }
        }
        removed
    }

    fn mark_used(&mut self, block: BlockHash) {
        self.last_use_number += 1;
        let number = self.last_use_number;
        self.last_uses.insert(block, number);
        self.use_queue.push_back(CacheUse { block, number });
        if self.use_queue.len() > MAX_QUEUED_USES_PER_BLOCK * self.capacity.max(1) {
            let last_uses = &self.last_uses;
            self.use_queue
                .retain(|used| last_uses.get(&used.block) == Some(&used.number));
        }
    }

    fn record(&mut self, make_change: impl FnOnce() -> CacheChange) {
        if self.records_changes {
            self.changes.push(make_change());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn make_blocks(count: u64) -> Vec<BlockHash> {
        (0..count).map(BlockHash).collect()
    }

    #[test]
    fn store_evicts_least_recently_used() {
        let blocks = make_blocks(4);
        let mut cache = BlockCache::new(3);
        cache.record_changes();
        cache.store(None, &blocks[..1]);
        cache.store(Some(blocks[0]), &blocks[1..3]);
        cache.use_prefix(&blocks[..1]);
        cache.take_changes();
        cache.store(Some(blocks[2]), &blocks[3..]);
        assert!(cache.contains(blocks[0]));
        assert!(!cache.contains(blocks[2]));
        let removed = CacheChange::Removed(vec![blocks[2]]);
        assert_eq!(cache.take_changes().last(), Some(&removed));
    }

    #[test]
    fn use_prefix_bounds_queued_uses() {
        let blocks = make_blocks(8);
        let mut cache = BlockCache::new(8);
        cache.store(None, &blocks);
        for _ in 0..1_000 {
            cache.use_prefix(&blocks);
        }
        assert!(cache.use_queue.len() <= MAX_QUEUED_USES_PER_BLOCK * 8);
        assert_eq!(cache.len(), 8);
    }
}

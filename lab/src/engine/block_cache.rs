//! Cache of prompt blocks in limited memory.

use std::collections::HashMap;
use std::collections::VecDeque;

use teaseldrum::core::placement::BlockHash;

/// Stale places that the order of use may hold for each cached block.
const STALE_FACTOR: usize = 4;

/// A change of what is cached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheChange {
    /// Blocks came in; the first follows `parent`.
    Stored {
        /// Block before the first.
        parent: Option<BlockHash>,
        /// Blocks in the order of the prompt.
        blocks: Vec<BlockHash>,
    },
    /// Blocks were evicted.
    Removed(Vec<BlockHash>),
    /// All went.
    Cleared,
}

/// Cache of prompt blocks that evicts the least recently used; of blocks
/// used together, those deeper in the prompt go first.
#[derive(Debug, Default)]
pub struct BlockCache {
    capacity: usize,
    stamps: HashMap<BlockHash, u64>,
    order: VecDeque<Use>,
    next_stamp: u64,
    changes: Vec<CacheChange>,
    records_changes: bool,
}

#[derive(Debug, Clone, Copy)]
struct Use {
    block: BlockHash,
    stamp: u64,
}

impl BlockCache {
    /// Creates an empty cache with room for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Keeps changes from now on, to be taken.
    pub fn record_changes(&mut self) {
        self.records_changes = true;
    }

    /// Takes the changes since the last time.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns how many leading blocks of a prompt are cached, and marks them
    /// as used.
    pub fn use_prefix(&mut self, blocks: &[BlockHash]) -> usize {
        let held = self.count_prefix(blocks);
        for &block in blocks[..held].iter().rev() {
            self.touch(block);
        }
        held
    }

    /// Returns how many leading blocks of a prompt are cached.
    pub fn count_prefix(&self, blocks: &[BlockHash]) -> usize {
        let held = blocks.iter();
        held.take_while(|block| self.contains(**block)).count()
    }

    /// Tells whether a block is cached.
    pub fn contains(&self, block: BlockHash) -> bool {
        self.stamps.contains_key(&block)
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.stamps.len()
    }

    /// Tells whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.stamps.is_empty()
    }

    /// Stores computed blocks that follow `parent`.
    pub fn store(&mut self, parent: Option<BlockHash>, blocks: &[BlockHash]) {
        if blocks.is_empty() {
            return;
        }
        for &block in blocks.iter().rev() {
            self.touch(block);
        }
        self.note(|| CacheChange::Stored {
            parent,
            blocks: blocks.to_vec(),
        });
        let removed = self.evict();
        if !removed.is_empty() {
            self.note(|| CacheChange::Removed(removed));
        }
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.stamps.clear();
        self.order.clear();
        self.note(|| CacheChange::Cleared);
    }

    fn evict(&mut self) -> Vec<BlockHash> {
        let mut removed = Vec::new();
        while self.stamps.len() > self.capacity {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            if self.stamps.get(&oldest.block) == Some(&oldest.stamp) {
                self.stamps.remove(&oldest.block);
                removed.push(oldest.block);
            }
        }
        removed
    }

    fn touch(&mut self, block: BlockHash) {
        self.next_stamp += 1;
        let stamp = self.next_stamp;
        self.stamps.insert(block, stamp);
        self.order.push_back(Use { block, stamp });
        if self.order.len() > STALE_FACTOR * self.capacity.max(1) {
            let stamps = &self.stamps;
            self.order
                .retain(|used| stamps.get(&used.block) == Some(&used.stamp));
        }
    }

    fn note(&mut self, make: impl FnOnce() -> CacheChange) {
        if self.records_changes {
            self.changes.push(make());
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
    fn use_prefix_memory_is_bounded() {
        let blocks = make_blocks(8);
        let mut cache = BlockCache::new(8);
        cache.store(None, &blocks);
        for _ in 0..1_000 {
            cache.use_prefix(&blocks);
        }
        assert!(cache.order.len() <= STALE_FACTOR * 8);
        assert_eq!(cache.len(), 8);
    }
}

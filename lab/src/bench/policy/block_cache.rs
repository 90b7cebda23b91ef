//! Cache of prompt blocks in limited memory.

use std::collections::HashMap;
use std::collections::VecDeque;

use teaseldrum::core::placement::BlockHash;

/// Cache of prompt blocks that evicts the least recently used.
#[derive(Debug, Default)]
pub struct BlockCache {
    capacity: usize,
    stamps: HashMap<BlockHash, u64>,
    order: VecDeque<(BlockHash, u64)>,
    next_stamp: u64,
}

impl BlockCache {
    /// Creates an empty cache with room for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
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
        held.take_while(|block| self.stamps.contains_key(block))
            .count()
    }

    /// Stores computed blocks.
    pub fn store(&mut self, blocks: &[BlockHash]) {
        for &block in blocks.iter().rev() {
            self.touch(block);
        }
        while self.stamps.len() > self.capacity {
            let Some((block, stamp)) = self.order.pop_front() else {
                return;
            };
            if self.stamps.get(&block) == Some(&stamp) {
                self.stamps.remove(&block);
            }
        }
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.stamps.clear();
        self.order.clear();
    }

    fn touch(&mut self, block: BlockHash) {
        self.next_stamp += 1;
        self.stamps.insert(block, self.next_stamp);
        self.order.push_back((block, self.next_stamp));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn store_evicts_least_recently_used() {
        let blocks: Vec<BlockHash> = (0..4).map(BlockHash).collect();
        let mut cache = BlockCache::new(3);
        cache.store(&blocks[..1]);
        cache.store(&blocks[1..3]);
        cache.use_prefix(&blocks[..1]);
        cache.store(&blocks[3..]);
        assert_eq!(cache.count_prefix(&blocks[..1]), 1);
        assert_eq!(cache.count_prefix(&blocks[2..3]), 0);
    }
}

//! Index of the blocks that one engine has cached.

use std::collections::HashSet;

use super::CacheEvent;
use super::CacheEventBatch;
use crate::core::placement::BlockHash;
use crate::core::placement::CacheIdentity;

/// Index of the blocks that one engine has cached, built from its events, which
/// arrive late, with gaps and out of order. The index may lack blocks that are
/// cached. It never holds a block whose eviction may have been lost, or a block
/// of another incarnation of the engine or of other weights.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    identity: CacheIdentity,
    next_seq: u64,
    blocks: HashSet<BlockHash>,
}

/// Result of applying a batch of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyResult {
    /// All new events were applied.
    Complete,
    /// Events are missing before some of those applied. All blocks known before
    /// the gap were dropped.
    AfterGap,
    /// The events are of another incarnation of the engine and were ignored.
    OtherEngineRun,
}

impl PrefixIndex {
    /// Sets the incarnation and weights of the engine. If they have changed, all
    /// blocks are dropped. Events of another incarnation are ignored from now
    /// on.
    pub fn set_identity(&mut self, identity: CacheIdentity) {
        if self.identity == identity {
            return;
        }
        if self.identity.engine != identity.engine {
            self.next_seq = 0;
        }
        self.identity = identity;
        self.blocks.clear();
    }

    /// Returns the incarnation and weights of the engine.
    pub fn identity(&self) -> CacheIdentity {
        self.identity
    }

    /// Returns the sequence number of the event to ask for next.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Returns the number of blocks known to be cached.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether no block is known to be cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Applies a batch of events. Events that were applied before are skipped.
    pub fn apply(&mut self, batch: &CacheEventBatch) -> ApplyResult {
        if self.identity.engine != Some(batch.incarnation) {
            return ApplyResult::OtherEngineRun;
        }
        let mut applied = self.advance_to(batch.first_seq);
        let mut events: Vec<&CacheEvent> = batch.events.iter().collect();
        events.sort_by_key(|event| event.seq);
        for event in events {
            if event.seq < self.next_seq {
                continue;
            }
            if self.advance_to(event.seq) == ApplyResult::AfterGap {
                applied = ApplyResult::AfterGap;
            }
            self.apply_event(event);
            self.next_seq = event.seq + 1;
        }
        if self.advance_to(batch.next_seq) == ApplyResult::AfterGap {
            applied = ApplyResult::AfterGap;
        }
        applied
    }

    /// Returns how many leading blocks of a prompt are known to be cached.
    pub fn count_cached_prefix(&self, blocks: &[BlockHash]) -> usize {
        let held = blocks.iter();
        held.take_while(|block| self.blocks.contains(block)).count()
    }

    /// Advances to a sequence number. If events are missing before it, evictions
    /// may be among them, so all blocks are dropped.
    fn advance_to(&mut self, seq: u64) -> ApplyResult {
        if seq <= self.next_seq {
            return ApplyResult::Complete;
        }
        self.blocks.clear();
        self.next_seq = seq;
        ApplyResult::AfterGap
    }

    fn apply_event(&mut self, event: &CacheEvent) {
        if event.cleared {
            self.blocks.clear();
        }
        for block in &event.removed {
            self.blocks.remove(block);
        }
        self.blocks.extend(&event.stored);
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;
    use crate::core::CacheSalt;
    use crate::core::EngineIncarnation;
    use crate::core::WeightsVersion;
    use crate::core::placement::hash_blocks;

    fn identity(engine: u64, weights: u64) -> CacheIdentity {
        CacheIdentity {
            engine: Some(EngineIncarnation(engine)),
            weights: Some(WeightsVersion(weights)),
        }
    }

    fn make_index() -> PrefixIndex {
        let mut index = PrefixIndex::default();
        index.set_identity(identity(1, 1));
        index
    }

    fn blocks(numbers: &[u64]) -> Vec<BlockHash> {
        numbers.iter().copied().map(BlockHash).collect()
    }

    fn store(seq: u64, numbers: &[u64]) -> CacheEvent {
        CacheEvent {
            seq,
            stored: blocks(numbers),
            ..CacheEvent::default()
        }
    }

    fn remove(seq: u64, numbers: &[u64]) -> CacheEvent {
        CacheEvent {
            seq,
            removed: blocks(numbers),
            ..CacheEvent::default()
        }
    }

    fn batch(
        engine: u64,
        first_seq: u64,
        next_seq: u64,
        events: Vec<CacheEvent>,
    ) -> CacheEventBatch {
        CacheEventBatch {
            incarnation: EngineIncarnation(engine),
            first_seq,
            next_seq,
            events,
        }
    }

    #[test]
    fn apply_stored_and_removed() {
        let mut index = make_index();
        let events = vec![store(0, &[1, 2, 3]), remove(1, &[3])];
        assert_eq!(index.apply(&batch(1, 0, 2, events)), ApplyResult::Complete);
        assert_eq!(index.count_cached_prefix(&blocks(&[1, 2, 3])), 2);
        assert_eq!(index.next_seq(), 2);
    }

    #[test]
    fn apply_gap_before_batch_drops_all() {
        let mut index = make_index();
        index.apply(&batch(1, 0, 1, vec![store(0, &[1])]));
        let after = batch(1, 3, 4, vec![store(3, &[2])]);
        assert_eq!(index.apply(&after), ApplyResult::AfterGap);
        assert_eq!(index.count_cached_prefix(&blocks(&[1])), 0);
        assert_eq!(index.count_cached_prefix(&blocks(&[2])), 1);
    }

    #[test]
    fn apply_gap_within_batch_drops_all() {
        let mut index = make_index();
        let events = vec![store(0, &[1]), store(2, &[2])];
        assert_eq!(index.apply(&batch(1, 0, 3, events)), ApplyResult::AfterGap);
        assert_eq!(index.count_cached_prefix(&blocks(&[1])), 0);
    }

    #[test]
    fn apply_gap_at_end_drops_all() {
        let mut index = make_index();
        let lost_last = batch(1, 0, 3, vec![store(0, &[1])]);
        assert_eq!(index.apply(&lost_last), ApplyResult::AfterGap);
        assert_eq!(index.count_cached_prefix(&blocks(&[1])), 0);
    }

    #[test]
    fn apply_reordered_events() {
        let mut index = make_index();
        let events = vec![remove(1, &[1]), store(0, &[1])];
        assert_eq!(index.apply(&batch(1, 0, 2, events)), ApplyResult::Complete);
        assert_eq!(index.count_cached_prefix(&blocks(&[1])), 0);
    }

    #[test]
    fn apply_late_batch_does_not_restore_evicted_block() {
        let mut index = make_index();
        let early = batch(1, 0, 1, vec![store(0, &[1])]);
        index.apply(&early);
        index.apply(&batch(1, 1, 2, vec![remove(1, &[1])]));
        index.apply(&early);
        assert_eq!(index.count_cached_prefix(&blocks(&[1])), 0);
    }

    #[rstest]
    #[case::engine_restarted(identity(2, 1))]
    #[case::weights_changed(identity(1, 2))]
    fn set_identity_other_drops_all(#[case] other: CacheIdentity) {
        let mut index = make_index();
        index.apply(&batch(1, 0, 1, vec![store(0, &[1])]));
        index.set_identity(other);
        assert_eq!(index.count_cached_prefix(&blocks(&[1])), 0);
    }

    #[test]
    fn apply_event_of_earlier_run() {
        let mut index = make_index();
        index.set_identity(identity(2, 1));
        let late = batch(1, 0, 1, vec![store(0, &[1])]);
        assert_eq!(index.apply(&late), ApplyResult::OtherEngineRun);
        assert_eq!(index.count_cached_prefix(&blocks(&[1])), 0);
    }

    #[test]
    fn apply_cleared() {
        let mut index = make_index();
        index.apply(&batch(1, 0, 1, vec![store(0, &[1])]));
        let cleared = CacheEvent {
            seq: 1,
            cleared: true,
            ..CacheEvent::default()
        };
        index.apply(&batch(1, 1, 2, vec![cleared]));
        assert!(index.is_empty());
    }

    #[test]
    fn count_cached_prefix_separates_accounts() {
        let text = vec![b'm'; 1_024];
        let hash = |account: &str| -> Vec<BlockHash> {
            let salt = CacheSalt::of_account(&account.into());
            hash_blocks(Some(salt), &text).collect()
        };
        let mut index = make_index();
        let stored = CacheEvent {
            stored: hash("guild"),
            ..CacheEvent::default()
        };
        index.apply(&batch(1, 0, 1, vec![stored]));
        assert_eq!(index.count_cached_prefix(&hash("guild")), 4);
        assert_eq!(index.count_cached_prefix(&hash("other")), 0);
    }
}

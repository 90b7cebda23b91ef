//! Entries that live, and which of them keeps a group.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::NodeId;
use crate::core::MonotonicTime;

/// An entry that lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LiveEntry {
    /// Identity.
    pub node: NodeId,
    /// Number of its availability zone.
    pub zone: u16,
}

/// Entries that live. Views of it may differ between entries: it only hints
/// at who keeps a group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LiveEntries {
    peers: Vec<LiveEntry>,
}

impl LiveEntries {
    /// Creates a roster.
    pub fn new(peers: Vec<LiveEntry>) -> Self {
        Self { peers }
    }

    /// Returns the roster without some entries.
    pub(super) fn without(&self, passed: &BTreeMap<NodeId, MonotonicTime>) -> Self {
        let peers = self.peers.iter().copied();
        let peers = peers.filter(|peer| !passed.contains_key(&peer.node));
        Self::new(peers.collect())
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Tells whether no entry is on the roster.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the keeper of a group: rendezvous hashing over all entries.
    pub fn keeper(&self, group: u16) -> Option<NodeId> {
        choose(self.peers.iter(), u64::from(group))
    }

    /// Returns the keeper of a group within an availability zone.
    pub fn zone_keeper(&self, group: u16, zone: u16) -> Option<NodeId> {
        let peers = self.peers.iter().filter(|peer| peer.zone == zone);
        choose(peers, u64::from(group) | 1 << 32)
    }
}

fn choose<'a>(peers: impl Iterator<Item = &'a LiveEntry>, seed: u64) -> Option<NodeId> {
    peers
        .map(|peer| peer.node)
        .max_by_key(|node| (xxh3_64_with_seed(&node.0.to_le_bytes(), seed), *node))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keeper_moves_only_with_its_entry() {
        let peers: Vec<LiveEntry> = (0..8)
            .map(|node| LiveEntry {
                node: NodeId(node),
                zone: 0,
            })
            .collect();
        let whole = LiveEntries::new(peers.clone());
        let smaller = LiveEntries::new(peers[1..].to_vec());
        for group in 0..64 {
            if whole.keeper(group) != Some(NodeId(0)) {
                assert_eq!(whole.keeper(group), smaller.keeper(group));
            }
        }
    }
}

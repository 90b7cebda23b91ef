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
    entries: Vec<LiveEntry>,
}

impl LiveEntries {
    /// Creates a roster.
    pub fn new(entries: Vec<LiveEntry>) -> Self {
        Self { entries }
    }

    /// Returns the roster without some entries.
    pub(super) fn without(&self, excluded: &BTreeMap<NodeId, MonotonicTime>) -> Self {
        let entries = self.entries.iter().copied();
        let entries = entries.filter(|entry| !excluded.contains_key(&entry.node));
        Self::new(entries.collect())
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no entry is on the roster.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the keeper of a group: rendezvous hashing over all entries.
    pub fn coordinator(&self, group: u16) -> Option<NodeId> {
        choose_by_rendezvous(self.entries.iter(), u64::from(group))
    }

    /// Returns the keeper of a group within an availability zone.
    pub fn zone_coordinator(&self, group: u16, zone: u16) -> Option<NodeId> {
        let entries = self.entries.iter().filter(|entry| entry.zone == zone);
        choose_by_rendezvous(entries, u64::from(group) | 1 << 32)
    }
}

fn choose_by_rendezvous<'a>(
    entries: impl Iterator<Item = &'a LiveEntry>,
    seed: u64,
) -> Option<NodeId> {
    entries
        .map(|entry| entry.node)
        .max_by_key(|node| (xxh3_64_with_seed(&node.0.to_le_bytes(), seed), *node))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn coordinator_changes_only_with_its_entry() {
        let entries: Vec<LiveEntry> = (0..8)
            .map(|node| LiveEntry {
                node: NodeId(node),
                zone: 0,
            })
            .collect();
        let all = LiveEntries::new(entries.clone());
        let without_first = LiveEntries::new(entries[1..].to_vec());
        for group in 0..64 {
            if all.coordinator(group) != Some(NodeId(0)) {
                assert_eq!(all.coordinator(group), without_first.coordinator(group));
            }
        }
    }
}

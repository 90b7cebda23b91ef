//! Live entries, and the choice of each group's coordinators among them by
//! rendezvous hashing.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::NodeId;
use crate::core::MonotonicTime;

/// An entry that is considered live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LiveEntry {
    /// Identity in messages.
    pub node: NodeId,
    /// Number of its availability zone, meaningful only within this process.
    pub zone: u16,
}

/// Live entries as one entry sees them. Views may differ between entries, so
/// coordinators chosen from them may differ too; the leases, loans and grants
/// stay safe regardless.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LiveEntries {
    entries: Vec<LiveEntry>,
}

impl LiveEntries {
    /// Creates a view from its entries, in any order.
    pub fn new(entries: Vec<LiveEntry>) -> Self {
        Self { entries }
    }

    /// Returns the view without the entries that are keys of `excluded`.
    pub(super) fn without(&self, excluded: &BTreeMap<NodeId, MonotonicTime>) -> Self {
        let entries = self.entries.iter().copied();
        let entries = entries.filter(|entry| !excluded.contains_key(&entry.node));
        Self::new(entries.collect())
    }

    /// Returns the number of live entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entry is live.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the coordinator of a group, or `None` without live entries.
    pub fn coordinator(&self, group: u16) -> Option<NodeId> {
        choose_by_rendezvous(self.entries.iter(), u64::from(group))
    }

    /// Returns the coordinator of a group within an availability zone, or
    /// `None` if no entry lives there.
    pub fn zone_coordinator(&self, group: u16, zone: u16) -> Option<NodeId> {
        let entries = self.entries.iter().filter(|entry| entry.zone == zone);
        choose_by_rendezvous(entries, u64::from(group) | 1 << 32)
    }
}

/// Returns the entry with the highest hash for the seed, so that a change of
/// entries moves only the groups of the entries that came or went.
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

//! Tracks an engine's cached prompt parts and numbers their changes, so that
//! readers can fetch only new ones.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::part_table::PartTable;
use crate::core::fleet::PartId;

/// Changes kept for readers; a reader that is further behind gets the full
/// list.
const MAX_KEPT_CHANGES: usize = 2_000;

/// Addition of a part to a cache, or its removal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPartChange {
    /// Hash of the model and salt that the part is cached under; see
    /// [`VersionedSalt::namespace`](super::VersionedSalt::namespace).
    #[serde(rename = "space")]
    pub namespace: u64,
    /// Identity of the part.
    pub part: PartId,
    /// Cached tokens of the part; 0 after its removal.
    pub tokens: u32,
}

/// An engine's cached prompt parts and their latest changes, which are numbered
/// for readers that fetch only new ones.
#[derive(Debug, Default)]
pub struct CachedParts {
    parts: PartTable,
    changes: VecDeque<CachedPartChange>,
    next_number: u64,
}

impl CachedParts {
    /// Applies a change and appends it to the numbered changes.
    pub fn apply(&mut self, change: CachedPartChange) {
        self.parts.apply(change);
        if self.changes.len() >= MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        self.next_number += 1;
    }

    /// Removes all parts, after an engine restart or a gap in its events.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.changes.clear();
        // Moves every reader's number out of the kept range, so that readers
        // fetch the full list.
        self.next_number += 1 + MAX_KEPT_CHANGES as u64;
    }

    /// Returns the number of the next change.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Returns the changes from number `since` on, or `None` if some of them
    /// are no longer kept or `since` is in the future.
    pub fn changes_since(&self, since: u64) -> Option<Vec<CachedPartChange>> {
        let first = self.next_number - self.changes.len() as u64;
        if since < first || since > self.next_number {
            return None;
        }
        let skipped = usize::try_from(since - first).unwrap_or(usize::MAX);
        Some(self.changes.iter().skip(skipped).copied().collect())
    }

    /// Returns all cached parts.
    pub fn list(&self) -> Vec<CachedPartChange> {
        self.parts.list()
    }
}

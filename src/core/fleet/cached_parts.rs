//! Prompt parts that an engine holds, and how they changed.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::PartId;
use super::part_table::PartTable;

/// Changes kept for readers that ask for what is new; a reader further behind
/// gets everything.
const MAX_CHANGES: usize = 2_000;

/// A part was taken into memory or dropped from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPartChange {
    /// Model and salt that the part is cached under.
    #[serde(rename = "space")]
    pub namespace: u64,
    /// The part.
    pub part: PartId,
    /// Tokens of it that are held now; zero once it is dropped.
    pub tokens: u32,
}

/// Prompt parts that an engine holds, with the latest changes by number for
/// readers that ask for what is new.
#[derive(Debug, Default)]
pub struct CachedParts {
    parts: PartTable,
    changes: VecDeque<CachedPartChange>,
    next: u64,
}

impl CachedParts {
    /// Takes note of a change.
    pub fn apply(&mut self, change: CachedPartChange) {
        self.parts.apply(change);
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        self.next += 1;
    }

    /// Forgets everything, after a restart or a gap in the events.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.changes.clear();
        // A reader's number falls out of the changes kept, so that it reads
        // everything.
        self.next += 1 + MAX_CHANGES as u64;
    }

    /// Returns the number that the next change will have.
    pub fn next_number(&self) -> u64 {
        self.next
    }

    /// Returns the changes from number `since` on, or none where some of them
    /// are not kept any more.
    pub fn changes_since(&self, since: u64) -> Option<Vec<CachedPartChange>> {
        let first = self.next - self.changes.len() as u64;
        if since < first || since > self.next {
            return None;
        }
        let skipped = usize::try_from(since - first).unwrap_or(usize::MAX);
        Some(self.changes.iter().skip(skipped).copied().collect())
    }

    /// Returns everything that is held.
    pub fn list(&self) -> Vec<CachedPartChange> {
        self.parts.list()
    }
}

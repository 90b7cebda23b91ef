//! Numbered changes of the list of backend servers, for peers that learn the
//! list from this process.

use std::collections::VecDeque;

use super::MemberChange;

/// Changes kept for peers; a peer that is further behind gets the full list.
const MAX_KEPT_CHANGES: usize = 1_000;

/// The latest changes of the list of backend servers that took effect.
#[derive(Debug, Default)]
pub struct MemberLog {
    changes: VecDeque<MemberChange>,
    next_number: u64,
}

impl MemberLog {
    /// Appends a change.
    pub fn push(&mut self, change: MemberChange) {
        if self.changes.len() >= MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        self.next_number += 1;
    }

    /// Returns the number of the next change.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Returns the changes from number `since` on, or `None` if some of them
    /// are no longer kept or `since` is in the future.
    pub fn changes_since(&self, since: u64) -> Option<Vec<MemberChange>> {
        let first = self.next_number - self.changes.len() as u64;
        if since < first || since > self.next_number {
            return None;
        }
        let skipped = usize::try_from(since - first).unwrap_or(usize::MAX);
        Some(self.changes.iter().skip(skipped).cloned().collect())
    }
}

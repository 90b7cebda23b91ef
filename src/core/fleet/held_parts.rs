//! Prompt parts that an engine or a store of kept KV cache holds.

use std::collections::HashMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::PartId;

/// Changes kept for readers that ask for what is new; a reader further behind
/// gets everything.
const MAX_CHANGES: usize = 2_000;

/// A part was taken into memory or dropped from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldChange {
    /// Model and salt that the part is cached under.
    pub space: u64,
    /// The part.
    pub part: PartId,
    /// Tokens of it that are held now; zero once it is dropped.
    pub tokens: u32,
}

/// Prompt parts that an engine or a store of kept KV cache holds, with the
/// latest changes by number.
#[derive(Debug, Default)]
pub struct HeldParts {
    parts: HashMap<(u64, PartId), u32>,
    changes: VecDeque<HeldChange>,
    next: u64,
}

impl HeldParts {
    /// Takes note of a change.
    pub fn apply(&mut self, change: HeldChange) {
        let key = (change.space, change.part);
        if change.tokens == 0 {
            self.parts.remove(&key);
        } else {
            self.parts.insert(key, change.tokens);
        }
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
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns the tokens that are held of a part.
    pub fn tokens(&self, space: u64, part: PartId) -> u32 {
        self.parts.get(&(space, part)).copied().unwrap_or(0)
    }

    /// Returns the changes from number `since` on, or none where some of them
    /// are not kept any more.
    pub fn changes_since(&self, since: u64) -> Option<Vec<HeldChange>> {
        let first = self.next - self.changes.len() as u64;
        if since < first || since > self.next {
            return None;
        }
        let skipped = usize::try_from(since - first).unwrap_or(usize::MAX);
        Some(self.changes.iter().skip(skipped).copied().collect())
    }

    /// Returns everything that is held.
    pub fn list(&self) -> Vec<HeldChange> {
        self.parts
            .iter()
            .map(|(&(space, part), &tokens)| HeldChange {
                space,
                part,
                tokens,
            })
            .collect()
    }
}

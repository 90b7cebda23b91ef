//! Prompt parts that are held at one place.

use std::collections::HashMap;

use super::CachedPartChange;
use super::PartId;

/// Prompt parts that are held at one place, by model and salt.
#[derive(Debug, Default)]
pub(super) struct PartTable {
    tokens: HashMap<(u64, PartId), u32>,
}

impl PartTable {
    /// Takes note of a change.
    pub fn apply(&mut self, change: CachedPartChange) {
        let key = (change.namespace, change.part);
        if change.tokens == 0 {
            self.tokens.remove(&key);
        } else {
            self.tokens.insert(key, change.tokens);
        }
    }

    /// Takes note of changes; `is_whole` tells that nothing else is held.
    pub fn apply_all(&mut self, changes: &[CachedPartChange], is_whole: bool) {
        if is_whole {
            self.clear();
        }
        changes.iter().for_each(|change| self.apply(*change));
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.tokens.clear();
    }

    /// Tells whether a part is held.
    pub fn holds(&self, namespace: u64, part: PartId) -> bool {
        self.tokens.contains_key(&(namespace, part))
    }

    /// Returns everything that is held.
    pub fn list(&self) -> Vec<CachedPartChange> {
        self.tokens
            .iter()
            .map(|(&(namespace, part), &tokens)| CachedPartChange {
                namespace,
                part,
                tokens,
            })
            .collect()
    }
}

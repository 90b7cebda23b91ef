//! Set of prompt parts in one cache: an engine's or that of the KV cache store.

use std::collections::HashMap;

use super::CachedPartChange;
use crate::core::fleet::PartId;

/// Cached prompt parts with their token counts, keyed by namespace and part.
#[derive(Debug, Default)]
pub(in crate::core::fleet) struct PartTable {
    tokens: HashMap<(u64, PartId), u32>,
}

impl PartTable {
    /// Inserts a part, or removes it if the change states 0 tokens.
    pub fn apply(&mut self, change: CachedPartChange) {
        let key = (change.namespace, change.part);
        if change.tokens == 0 {
            self.tokens.remove(&key);
        } else {
            self.tokens.insert(key, change.tokens);
        }
    }

    /// Applies changes; `is_whole` means that no other parts are cached.
    pub fn apply_all(&mut self, changes: &[CachedPartChange], is_whole: bool) {
        if is_whole {
            self.clear();
        }
        changes.iter().for_each(|change| self.apply(*change));
    }

    /// Removes all parts.
    pub fn clear(&mut self) {
        self.tokens.clear();
    }

    /// Returns whether a part is cached.
    pub fn contains(&self, namespace: u64, part: PartId) -> bool {
        self.tokens.contains_key(&(namespace, part))
    }

    /// Returns every cached part as a change that adds it.
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

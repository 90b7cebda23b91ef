//! Where an engine gets the cached parts of a prompt from.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::BackendView;
use super::PartId;
use super::Prompt;
use super::PromptPart;
use super::part_table::PartTable;
use crate::core::MonotonicTime;

/// How the shared parts of a prompt stand at one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct FetchPlan {
    /// Tokens that the engine holds or is about to.
    pub cached_tokens: u32,
    /// Tokens that it can fetch.
    pub fetched_tokens: u32,
    /// Tokens that it has to read although another has read them.
    pub recomputed_tokens: u32,
    /// Tokens that it has to read: the first to do so, and the call's own.
    pub new_tokens: u32,
    /// Shared tokens among these.
    pub new_shared_tokens: u32,
    /// Where to fetch from.
    pub source: Option<SocketAddr>,
}

/// An engine that has read the first parts of a prompt.
#[derive(Debug)]
struct PartHolder {
    address: SocketAddr,
    part_count: usize,
    load: f64,
}

/// Where each shared part of one prompt lies, over all engines and the store.
#[derive(Debug)]
pub(super) struct PartSources<'a> {
    prompt: &'a Prompt,
    namespace: u64,
    /// Leading shared parts that the store holds.
    stored_count: usize,
    /// Engine that all entries choose first for parts that nobody has read.
    preferred: Option<SocketAddr>,
    store: Option<SocketAddr>,
    holders: Vec<PartHolder>,
    /// Leading shared parts that anybody has read.
    computed_count: usize,
}

impl<'a> PartSources<'a> {
    /// Finds where the shared parts lie.
    pub fn find<'b>(
        prompt: &'a Prompt,
        namespace: u64,
        store: Option<(SocketAddr, &PartTable)>,
        engines: impl Iterator<Item = &'b BackendView>,
        now: MonotonicTime,
    ) -> Self {
        let shared = prompt.shared_parts();
        let holds = |part: PartId| {
            store.is_some_and(|(_, stored_parts)| stored_parts.contains(namespace, part))
        };
        let stored_count = count_leading_parts(shared, holds);
        let mut computed_count = stored_count;
        let mut holders = Vec::new();
        let mut preferred: Option<(u64, SocketAddr)> = None;
        for view in engines {
            computed_count = computed_count.max(count_leading_parts(shared, |part| {
                view.has_or_expects_part(namespace, part, now)
            }));
            let parts = count_leading_parts(shared, |part| view.has_part(namespace, part));
            if parts > 0 {
                holders.push(PartHolder {
                    address: view.member.address,
                    part_count: parts,
                    load: view.load.estimate_calls(now),
                });
            }
            if let Some(last) = shared.last().filter(|_| view.accepts_calls(now)) {
                let name = view.member.name.as_str().as_bytes();
                let score = xxh3_64_with_seed(name, last.id.0);
                if preferred.is_none_or(|(best, _)| score > best) {
                    preferred = Some((score, view.member.address));
                }
            }
        }
        Self {
            prompt,
            namespace,
            stored_count,
            preferred: preferred.map(|(_, address)| address),
            store: store.map(|(address, _)| address),
            holders,
            computed_count,
        }
    }

    /// Tells whether the store lacks a shared part.
    pub fn is_store_incomplete(&self) -> bool {
        self.store.is_some() && self.stored_count < self.prompt.shared_parts().len()
    }

    /// Tells whether all entries choose an engine first for parts that nobody
    /// has read (rendezvous hashing, Thaler and Ravishankar, 1998).
    pub fn is_preferred(&self, view: &BackendView) -> bool {
        self.preferred == Some(view.member.address)
    }

    /// Finds the engine that has read most of the prompt, and of those the one
    /// with the fewest calls.
    fn find_holder(&self, view: &BackendView) -> Option<&PartHolder> {
        self.holders
            .iter()
            .filter(|holder| holder.address != view.member.address)
            .max_by(|a, b| {
                let by_part_count = a.part_count.cmp(&b.part_count);
                by_part_count.then_with(|| b.load.total_cmp(&a.load))
            })
    }

    /// Plans how one engine gets the prompt.
    pub fn plan_fetch(&self, view: &BackendView, now: MonotonicTime) -> FetchPlan {
        let shared = self.prompt.shared_parts();
        let cached_count = count_leading_parts(shared, |part| {
            view.has_or_expects_part(self.namespace, part, now)
        });
        let stored_count = self.stored_count;
        let (source, fetched_count) = match (self.store, self.find_holder(view)) {
            (Some(store), Some(holder)) if stored_count > holder.part_count => {
                (Some(store), stored_count)
            }
            (_, Some(holder)) => (Some(holder.address), holder.part_count),
            (store, None) => (store, stored_count),
        };
        let mut plan = FetchPlan {
            source: source.filter(|_| cached_count < shared.len()),
            ..FetchPlan::default()
        };
        for (index, part) in shared.iter().enumerate() {
            if index < cached_count {
                plan.cached_tokens += part.tokens;
            } else if index < fetched_count {
                plan.fetched_tokens += part.tokens;
            } else if index < self.computed_count {
                plan.recomputed_tokens += part.tokens;
            } else {
                plan.new_tokens += part.tokens;
                plan.new_shared_tokens += part.tokens;
            }
        }
        let covered_tokens =
            plan.cached_tokens + plan.fetched_tokens + plan.recomputed_tokens + plan.new_tokens;
        plan.new_tokens += self.prompt.prompt_tokens.saturating_sub(covered_tokens);
        plan
    }
}

/// Counts the leading parts that are held: where a part is held, those before
/// it are too, although their event may have been lost.
fn count_leading_parts(parts: &[PromptPart], holds: impl Fn(PartId) -> bool) -> usize {
    let deepest = parts.iter().rposition(|part| holds(part.id));
    deepest.map_or(0, |index| index + 1)
}

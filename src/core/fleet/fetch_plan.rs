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
    pub cached: u32,
    /// Tokens that it can fetch.
    pub fetched: u32,
    /// Tokens that it has to read although another has read them.
    pub recomputed_tokens: u32,
    /// Tokens that it has to read: the first to do so, and the call's own.
    pub read_first: u32,
    /// Shared tokens among these.
    pub shared_first: u32,
    /// Where to fetch from.
    pub source: Option<SocketAddr>,
}

/// An engine that has read the first parts of a prompt.
#[derive(Debug)]
struct Holder {
    address: SocketAddr,
    parts: usize,
    load: f64,
}

/// Where each shared part of one prompt lies, over all engines and the store.
#[derive(Debug)]
pub(super) struct PartSources<'a> {
    prompt: &'a Prompt,
    namespace: u64,
    /// Leading shared parts that the store holds.
    stored: usize,
    /// Engine that all entries choose first for parts that nobody has read.
    home: Option<SocketAddr>,
    store: Option<SocketAddr>,
    holders: Vec<Holder>,
    /// Leading shared parts that anybody has read.
    read: usize,
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
        let holds = |part: PartId| store.is_some_and(|(_, held)| held.holds(namespace, part));
        let stored = count_prefix(shared, holds);
        let mut read = stored;
        let mut holders = Vec::new();
        let mut home: Option<(u64, SocketAddr)> = None;
        for view in engines {
            read = read.max(count_prefix(shared, |part| {
                view.holds(namespace, part, now)
            }));
            let parts = count_prefix(shared, |part| view.has_read(namespace, part));
            if parts > 0 {
                holders.push(Holder {
                    address: view.member.address,
                    parts,
                    load: view.load.calls(now),
                });
            }
            if let Some(last) = shared.last().filter(|_| view.accepts_calls(now)) {
                let name = view.member.name.as_str().as_bytes();
                let score = xxh3_64_with_seed(name, last.id.0);
                if home.is_none_or(|(best, _)| score > best) {
                    home = Some((score, view.member.address));
                }
            }
        }
        Self {
            prompt,
            namespace,
            stored,
            home: home.map(|(_, address)| address),
            store: store.map(|(address, _)| address),
            holders,
            read,
        }
    }

    /// Tells whether the store lacks a shared part.
    pub fn is_store_behind(&self) -> bool {
        self.store.is_some() && self.stored < self.prompt.shared_parts().len()
    }

    /// Tells whether all entries choose an engine first for parts that nobody
    /// has read (rendezvous hashing, Thaler and Ravishankar, 1998).
    pub fn is_home(&self, view: &BackendView) -> bool {
        self.home == Some(view.member.address)
    }

    /// Finds the engine that has read most of the prompt, and of those the one
    /// with the fewest calls.
    fn find_holder(&self, view: &BackendView) -> Option<&Holder> {
        self.holders
            .iter()
            .filter(|holder| holder.address != view.member.address)
            .max_by(|a, b| {
                let by_parts = a.parts.cmp(&b.parts);
                by_parts.then_with(|| b.load.total_cmp(&a.load))
            })
    }

    /// Plans how one engine gets the prompt.
    pub fn plan(&self, view: &BackendView, now: MonotonicTime) -> FetchPlan {
        let shared = self.prompt.shared_parts();
        let cached_parts = count_prefix(shared, |part| view.holds(self.namespace, part, now));
        let stored_parts = self.stored;
        let (source, fetched_to) = match (self.store, self.find_holder(view)) {
            (Some(store), Some(holder)) if stored_parts > holder.parts => {
                (Some(store), stored_parts)
            }
            (_, Some(holder)) => (Some(holder.address), holder.parts),
            (store, None) => (store, stored_parts),
        };
        let mut plan = FetchPlan {
            source: source.filter(|_| cached_parts < shared.len()),
            ..FetchPlan::default()
        };
        for (index, part) in shared.iter().enumerate() {
            if index < cached_parts {
                plan.cached += part.tokens;
            } else if index < fetched_to {
                plan.fetched += part.tokens;
            } else if index < self.read {
                plan.recomputed_tokens += part.tokens;
            } else {
                plan.read_first += part.tokens;
                plan.shared_first += part.tokens;
            }
        }
        let known = plan.cached + plan.fetched + plan.recomputed_tokens + plan.read_first;
        plan.read_first += self.prompt.prompt_tokens.saturating_sub(known);
        plan
    }
}

/// Counts the leading parts that are held: where a part is held, those before
/// it are too, although their event may have been lost.
fn count_prefix(parts: &[PromptPart], holds: impl Fn(PartId) -> bool) -> usize {
    let deepest = parts.iter().rposition(|part| holds(part.id));
    deepest.map_or(0, |index| index + 1)
}

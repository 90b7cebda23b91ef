//! Plans which parts of a prompt an engine has cached, fetches from elsewhere
//! or prefills.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::BackendView;
use super::part_table::PartTable;
use crate::core::MonotonicTime;
use crate::core::fleet::PartId;
use crate::core::fleet::Prompt;
use crate::core::fleet::PromptPart;

/// Origin of a prompt's tokens at one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct FetchPlan {
    /// Tokens that the engine has cached or is prefilling.
    pub cached_tokens: u32,
    /// Tokens that it can fetch from `source`.
    pub fetched_tokens: u32,
    /// Tokens that it has to prefill although another engine has computed them.
    pub recomputed_tokens: u32,
    /// Tokens that no engine has computed yet, including the call's own part.
    pub new_tokens: u32,
    /// Tokens of shared parts among `new_tokens`.
    pub new_shared_tokens: u32,
    /// Engine or store to fetch from.
    pub source: Option<SocketAddr>,
}

/// An engine that has cached the leading parts of a prompt.
#[derive(Debug)]
struct PartHolder {
    address: SocketAddr,
    part_count: usize,
    load: f64,
}

/// Locations of one prompt's shared parts, over all engines and the KV cache
/// store.
#[derive(Debug)]
pub(super) struct PartSources<'a> {
    prompt: &'a Prompt,
    namespace: u64,
    /// Number of leading shared parts in the store.
    stored_count: usize,
    /// Engine that every entry prefers for parts that no engine has computed.
    preferred: Option<SocketAddr>,
    store: Option<SocketAddr>,
    holders: Vec<PartHolder>,
    /// Number of leading shared parts that any engine or the store has or is
    /// expected to have.
    computed_count: usize,
}

impl<'a> PartSources<'a> {
    /// Collects the locations of the shared parts.
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

    /// Returns the store if it lacks some of the shared parts.
    pub fn find_incomplete_store(&self) -> Option<SocketAddr> {
        let is_incomplete = self.stored_count < self.prompt.shared_parts().len();
        self.store.filter(|_| is_incomplete)
    }

    /// Returns whether every entry prefers this engine for parts that no engine
    /// has computed. The preference follows from rendezvous hashing (Thaler and
    /// Ravishankar, 1998).
    pub fn is_preferred(&self, view: &BackendView) -> bool {
        self.preferred == Some(view.member.address)
    }

    /// Returns the other engine that has most leading parts cached; among
    /// equals, the one with the fewest calls.
    fn find_holder(&self, view: &BackendView) -> Option<&PartHolder> {
        self.holders
            .iter()
            .filter(|holder| holder.address != view.member.address)
            .max_by(|a, b| {
                let by_part_count = a.part_count.cmp(&b.part_count);
                by_part_count.then_with(|| b.load.total_cmp(&a.load))
            })
    }

    /// Plans how one engine obtains the prompt.
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

/// Counts the leading parts that are present. A present part implies those
/// before it, whose events may have been lost.
fn count_leading_parts(parts: &[PromptPart], holds: impl Fn(PartId) -> bool) -> usize {
    let deepest = parts.iter().rposition(|part| holds(part.id));
    deepest.map_or(0, |index| index + 1)
}

//! Plans which parts of a prompt an engine has cached, fetches from elsewhere
//! or prefills.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::BackendView;
use super::part_table::PartTable;
use crate::core::MonotonicTime;
use crate::core::WeightsVersion;
use crate::core::fleet::PartId;
use crate::core::fleet::Prompt;
use crate::core::fleet::PromptPart;
use crate::core::fleet::weights::FIRST_BATCH_DELAY;
use crate::core::fleet::weights::VersionStatus;

/// Minimum time from the predicted start of a fetch to the next order to its source, if a
/// newer version is known. Parts of newer weights may appear there after the order.
const FETCH_MARGIN: Duration = Duration::from_millis(300);

/// Namespace of cached parts, and the weights that its salt stands for.
///
/// A call that goes on under newer weights keeps its salt, and computes its parts again
/// under it once it is preempted. What a salt says of a part therefore holds only at an
/// engine that still serves that version.
#[derive(Debug, Clone, Copy)]
pub(super) struct VersionedNamespace {
    /// Hash of the model and the salt.
    pub namespace: u64,
    /// Version that the salt names.
    pub version: WeightsVersion,
    /// How the version compares with the target versions.
    pub status: VersionStatus,
    /// When the known target versions were last the newest.
    pub confirmed_at: Option<MonotonicTime>,
}

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
    /// Time within which a fetch must begin.
    fetch_within: Duration,
}

/// Locations of one prompt's shared parts, over all engines and the KV cache
/// store.
#[derive(Debug)]
pub(super) struct PartSources<'a> {
    prompt: &'a Prompt,
    salted: VersionedNamespace,
    /// Number of leading shared parts in the store.
    stored_count: usize,
    /// Engine that every entry prefers for parts that no engine has computed.
    preferred: Option<SocketAddr>,
    store: Option<SocketAddr>,
    /// Time within which a fetch from the store must begin.
    store_fetch_within: Duration,
    holders: Vec<PartHolder>,
    /// Number of leading shared parts that any engine or the store has or is
    /// expected to have.
    computed_count: usize,
}

impl<'a> PartSources<'a> {
    /// Collects the locations of the shared parts.
    pub fn find<'b>(
        prompt: &'a Prompt,
        salted: VersionedNamespace,
        store: Option<(SocketAddr, &PartTable)>,
        engines: impl Iterator<Item = &'b BackendView>,
        now: MonotonicTime,
    ) -> Self {
        let shared = prompt.shared_parts();
        let namespace = salted.namespace;
        let holds = |part: PartId| {
            store.is_some_and(|(_, stored_parts)| stored_parts.contains(namespace, part))
        };
        let stored_count = count_leading_parts(shared, holds);
        let mut computed_count = stored_count;
        let mut holders = Vec::new();
        let mut preferred: Option<(u64, SocketAddr)> = None;
        for view in engines {
            if view.find_version(&prompt.model, now) == Some(salted.version) {
                computed_count = computed_count.max(count_leading_parts(shared, |part| {
                    view.has_or_expects_part(namespace, part, now)
                }));
                let parts = count_leading_parts(shared, |part| view.has_part(namespace, part));
                if parts > 0 {
                    holders.push(PartHolder {
                        address: view.member.address,
                        part_count: parts,
                        load: view.load.estimate_calls(now),
                        fetch_within: limit_fetch_start(view, salted, now),
                    });
                }
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
            salted,
            stored_count,
            preferred: preferred.map(|(_, address)| address),
            store: store.map(|(address, _)| address),
            store_fetch_within: predict_fetch_limit(salted.status, salted.confirmed_at, now),
            holders,
            computed_count,
        }
    }

    /// Returns the store if it lacks some of the shared parts and they are of the newest
    /// weights. Parts of older ones are soon of no use, and might be saved only after the
    /// engine has changed its weights.
    pub fn find_incomplete_store(&self) -> Option<SocketAddr> {
        let is_incomplete = self.stored_count < self.prompt.shared_parts().len();
        let is_current = self.salted.status == VersionStatus::Current;
        self.store.filter(|_| is_incomplete && is_current)
    }

    /// Returns whether every entry prefers this engine for parts that no engine
    /// has computed. The preference follows from rendezvous hashing (Thaler and
    /// Ravishankar, 1998).
    pub fn is_preferred(&self, view: &BackendView) -> bool {
        self.preferred == Some(view.member.address)
    }

    /// Returns the other engine that has most leading parts cached and keeps its weights
    /// until a fetch that begins within `start_in`; among equals, the one with the fewest
    /// calls.
    fn find_holder(&self, view: &BackendView, start_in: Duration) -> Option<&PartHolder> {
        self.holders
            .iter()
            .filter(|holder| holder.address != view.member.address)
            .filter(|holder| start_in < holder.fetch_within)
            .max_by(|a, b| {
                let by_part_count = a.part_count.cmp(&b.part_count);
                by_part_count.then_with(|| b.load.total_cmp(&a.load))
            })
    }

    /// Plans how one engine obtains the prompt if it begins with the call within
    /// `start_in`.
    pub fn plan_fetch(
        &self,
        view: &BackendView,
        start_in: Duration,
        now: MonotonicTime,
    ) -> FetchPlan {
        let shared = self.prompt.shared_parts();
        let cached_count = count_leading_parts(shared, |part| {
            view.has_or_expects_part(self.salted.namespace, part, now)
        });
        let store = self.store.filter(|_| start_in < self.store_fetch_within);
        let stored_count = store.map_or(0, |_| self.stored_count);
        let (source, fetched_count) = match (store, self.find_holder(view, start_in)) {
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

/// Returns the time within which a fetch from an engine must begin, so that its parts are
/// of the weights that their salt names.
fn limit_fetch_start(
    view: &BackendView,
    salted: VersionedNamespace,
    now: MonotonicTime,
) -> Duration {
    let Some(vouched_at) = view.vouched_at(now) else {
        if salted.status == VersionStatus::Current {
            return predict_fetch_limit(salted.status, salted.confirmed_at, now);
        }
        // Another process may order the engine without telling this one.
        return Duration::ZERO;
    };
    if let Some(order_in) = view.time_until_order(now) {
        return order_in.saturating_sub(FETCH_MARGIN);
    }
    // An agent that announces no order knew of no newer version.
    let known_at = salted.confirmed_at.max(Some(vouched_at));
    predict_fetch_limit(salted.status, known_at, now)
}

/// Returns the time within which a fetch must begin if its source may get the first order
/// after a newer version was named. None that this process does not know was named before
/// `known_at`.
fn predict_fetch_limit(
    status: VersionStatus,
    known_at: Option<MonotonicTime>,
    now: MonotonicTime,
) -> Duration {
    match status {
        // A version may be named at any moment, also while the call waits at its engine.
        // No margin: a source reads nothing while it loads what was named since.
        VersionStatus::Current => {
            known_at.map_or(Duration::ZERO, |at| (at + FIRST_BATCH_DELAY).since(now))
        }
        VersionStatus::Outdated(None) => Duration::ZERO,
        VersionStatus::Outdated(Some(since)) => {
            let order_in = (since + FIRST_BATCH_DELAY).since(now);
            order_in.saturating_sub(FETCH_MARGIN)
        }
    }
}

/// Counts the leading parts that are present. A present part implies those
/// before it, whose events may have been lost.
fn count_leading_parts(parts: &[PromptPart], holds: impl Fn(PartId) -> bool) -> usize {
    let deepest = parts.iter().rposition(|part| holds(part.id));
    deepest.map_or(0, |index| index + 1)
}

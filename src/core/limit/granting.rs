//! Requests for grants by entries that need tokens, and grants by coordinators.
//! In large fleets, zone coordinators pass grants on as sub-grants.

use std::collections::BTreeMap;
use std::time::Duration;

use super::AccountId;
use super::GrantItem;
use super::GrantRequestItem;
use super::Limiter;
use super::NodeId;
use super::Origin;
use super::ReleasedGrant;
use super::ReleasedGrants;
use super::ShareMessage;
use super::account_state::ReceivedGrantRequest;
use super::loan_pool::NewGrant;
use super::pending_requests::PendingGrantRequest;
use super::token_bucket::MICROS_PER_TOKEN;
use crate::core::MonotonicTime;

/// A grant exceeds the requested minimum by at most 1/8 of what then remains of
/// the level.
const EXTRA_TOKENS_DIVISOR: u64 = 8;

/// Minimum number of requests expected within the prefetch window, from callers
/// and from other entries together, for prefetching.
const MIN_EXPECTED_REQUESTS: f64 = 1.5;

/// Entry to request tokens from, and for how long.
#[derive(Debug, Clone, Copy)]
struct GrantSource {
    /// Coordinator or zone coordinator.
    node: NodeId,
    /// Lifetime of the requested grants.
    lifetime: Duration,
    /// Time whose expected use is requested in advance. A grant that is older
    /// no longer counts as held, so that its replacement arrives before it
    /// expires.
    prefetch_window: Duration,
}

impl Limiter {
    /// Records what another entry requests, and grants what the available
    /// tokens allow.
    pub(super) fn handle_grant_request(
        &mut self,
        from: Origin,
        request_id: u64,
        items: &[GrantRequestItem],
        lifetime: Duration,
        now: MonotonicTime,
    ) {
        for item in items {
            let Some(allowance) = self.allowances.get(&item.account).copied() else {
                continue;
            };
            let state = self.account_state(item.account, allowance);
            let is_known = state
                .grant_requests
                .iter()
                .any(|request| request.request_id == request_id && request.from == from.node);
            if is_known {
                continue;
            }
            // An entry sends a new request for an account only once the
            // previous one was answered, has timed out or was given up.
            state
                .grant_requests
                .retain(|request| request.from != from.node);
            let min_micro_tokens = item.min_tokens.saturating_mul(MICROS_PER_TOKEN);
            let desired_micro_tokens = item
                .desired_tokens
                .max(item.min_tokens)
                .saturating_mul(MICROS_PER_TOKEN);
            state.demand.record_request(desired_micro_tokens, now);
            // The requester counts the lifetime from before its request, so a
            // grant sent in the last fifth would arrive too late to be of use.
            state.grant_requests.push_back(ReceivedGrantRequest {
                from: from.node,
                request_id,
                min_micro_tokens,
                desired_micro_tokens,
                lifetime,
                answer_deadline: now + lifetime * 4 / 5,
            });
            // Lets each tick try again while tokens are missing.
            self.active_accounts.insert(item.account);
            self.serve_account(item.account, now);
        }
    }

    /// Takes back the unused tokens of grants that their holder has released,
    /// if this incarnation issued them. Grants and sub-grants share one
    /// sequence of ids, so only the one of the two stores that issued a grant
    /// finds its id.
    pub(super) fn take_back_grants(
        &mut self,
        released: Option<ReleasedGrants>,
        now: MonotonicTime,
    ) {
        let Some(released) =
            released.filter(|released| released.incarnation == self.origin.incarnation)
        else {
            return;
        };
        for item in released.items {
            let Some(state) = self.accounts.get_mut(&item.account) else {
                continue;
            };
            let unused_micro_tokens = item.unused_tokens.saturating_mul(MICROS_PER_TOKEN);
            let allowance = state.allowance;
            state
                .held_grants
                .release_sub_grant(item.grant_id, unused_micro_tokens, now);
            let group = item.account.group(self.parameters.groups);
            let pool = &mut self.pools[usize::from(group)];
            pool.release_grant(
                item.account,
                allowance,
                item.grant_id,
                unused_micro_tokens,
                now,
            );
        }
    }

    /// Adds grants that this entry requested; ignores unrequested and late
    /// ones.
    pub(super) fn accept_grants(
        &mut self,
        from: Origin,
        request_id: u64,
        items: &[GrantItem],
        now: MonotonicTime,
    ) {
        for item in items {
            let Some(pending) = self.pending_grant_requests.get_mut(&request_id) else {
                return;
            };
            if pending.to != from.node || pending.expires_at <= now {
                return;
            }
            if !pending.accounts.remove(&item.account) {
                continue;
            }
            let expires_at = pending.expires_at;
            let held_grant_id = self.next_id();
            if let Some(state) = self.accounts.get_mut(&item.account) {
                let micro_tokens = item.tokens.saturating_mul(MICROS_PER_TOKEN);
                state
                    .held_grants
                    .add(held_grant_id, from, item.grant_id, micro_tokens, expires_at);
                state.request_pending_until = None;
                self.serve_account(item.account, now);
            }
        }
    }

    /// Answers received grant requests, oldest first, while tokens last. Called
    /// by [`Self::serve_account`] after it has admitted callers' requests.
    pub(super) fn serve_grant_requests(&mut self, account: AccountId, now: MonotonicTime) {
        let Some(state) = self.accounts.get_mut(&account) else {
            return;
        };
        state
            .grant_requests
            .retain(|request| request.answer_deadline > now);
        while let Some(request) = self.first_grant_request(account) {
            let Some(item) = self.issue_grant(account, request, now) else {
                return;
            };
            if let Some(state) = self.accounts.get_mut(&account) {
                state.grant_requests.pop_front();
            }
            self.queue_grant(request, item);
        }
    }

    /// Marks an account in steady use for a grant request when the tokens in
    /// its grants are fewer than a third of the use expected in the prefetch
    /// window. Only grants count that stay valid for longer than the lifetime
    /// minus the prefetch window.
    pub(super) fn mark_for_prefetch(&mut self, account: AccountId, now: MonotonicTime) {
        let Some(source) = self.grant_source(account) else {
            return;
        };
        let Some(state) = self.accounts.get_mut(&account) else {
            return;
        };
        let prefetch_seconds = source.prefetch_window.as_secs_f64();
        if state.demand.expected_requests(prefetch_seconds, now) < MIN_EXPECTED_REQUESTS {
            return;
        }
        let min_held_micro_tokens = state
            .demand
            .expected_micro_tokens(prefetch_seconds / 3.0, now);
        let min_remaining = source.lifetime - source.prefetch_window;
        if state.held_grants.usable_for(min_remaining, now) < min_held_micro_tokens {
            self.accounts_needing_grants.insert(account);
        }
    }

    /// Sends one request to each source, for all marked accounts that it
    /// serves.
    pub(super) fn send_grant_requests(&mut self, now: MonotonicTime) {
        let accounts = std::mem::take(&mut self.accounts_needing_grants);
        let mut requests: BTreeMap<NodeId, (GrantSource, Vec<GrantRequestItem>)> = BTreeMap::new();
        for account in accounts {
            let Some(source) = self.grant_source(account) else {
                continue;
            };
            if let Some(item) = self.build_request_item(account, source, now) {
                let (_, items) = requests
                    .entry(source.node)
                    .or_insert_with(|| (source, Vec::new()));
                items.push(item);
            }
        }
        for (source, items) in requests.into_values() {
            self.send_grant_request(source, items, now);
        }
    }

    fn first_grant_request(&self, account: AccountId) -> Option<ReceivedGrantRequest> {
        self.accounts.get(&account)?.grant_requests.front().copied()
    }

    /// Issues a grant from the pool if this entry coordinates the group,
    /// otherwise a sub-grant from a held grant. Returns `None` if there are too
    /// few tokens, or if the requested lifetime is too long.
    fn issue_grant(
        &mut self,
        account: AccountId,
        request: ReceivedGrantRequest,
        now: MonotonicTime,
    ) -> Option<GrantItem> {
        let group = account.group(self.parameters.groups);
        let is_coordinator = self.coordinates(group);
        self.last_grant_id += 1;
        let id = self.last_grant_id;
        let state = self.accounts.get_mut(&account)?;
        let micro_tokens = if is_coordinator {
            let pool = &mut self.pools[usize::from(group)];
            let level = pool.level(account, state.allowance, now);
            let micro_tokens = grant_amount(request, level)?;
            let new_grant = NewGrant {
                id,
                micro_tokens,
                lifetime: request.lifetime,
            };
            pool.issue_grant(account, state.allowance, new_grant, now)
                .then_some(micro_tokens)?
        } else {
            let micro_tokens =
                grant_amount(request, state.held_grants.usable_for(request.lifetime, now))?;
            let new_grant = NewGrant {
                id,
                micro_tokens,
                lifetime: request.lifetime,
            };
            state.held_grants.issue_sub_grant(new_grant, now)
        };
        let tokens = micro_tokens / MICROS_PER_TOKEN;
        (tokens > 0).then_some(GrantItem {
            account,
            grant_id: id,
            tokens,
        })
    }

    /// Queues a grant, in the same message as others for the same request.
    fn queue_grant(&mut self, request: ReceivedGrantRequest, item: GrantItem) {
        let existing_items =
            self.outgoing
                .iter_mut()
                .rev()
                .find_map(|outgoing| match &mut outgoing.message {
                    ShareMessage::Grant { request_id, items }
                        if *request_id == request.request_id && outgoing.to == request.from =>
                    {
                        Some(items)
                    }
                    _ => None,
                });
        if let Some(items) = existing_items {
            items.push(item);
            return;
        }
        let message = ShareMessage::Grant {
            request_id: request.request_id,
            items: vec![item],
        };
        self.queue_message(request.from, message);
    }

    /// Returns what to request for an account; `None` if nothing is missing or
    /// a request is pending.
    fn build_request_item(
        &mut self,
        account: AccountId,
        source: GrantSource,
        now: MonotonicTime,
    ) -> Option<GrantRequestItem> {
        let state = self.accounts.get_mut(&account)?;
        if state.request_pending_until.is_some_and(|until| until > now) {
            return None;
        }
        let prefetch_seconds = source.prefetch_window.as_secs_f64();
        let mut desired_micro_tokens = state.needed_micro_tokens();
        if state.demand.expected_requests(prefetch_seconds, now) >= MIN_EXPECTED_REQUESTS {
            desired_micro_tokens += state.demand.expected_micro_tokens(prefetch_seconds, now);
        }
        let held_micro_tokens = state
            .held_grants
            .usable_for(source.lifetime - source.prefetch_window, now);
        let burst = state.allowance.burst;
        let desired_tokens = desired_micro_tokens
            .saturating_sub(held_micro_tokens)
            .div_ceil(MICROS_PER_TOKEN)
            .min(burst);
        let min_tokens = state
            .min_needed_micro_tokens()
            .saturating_sub(held_micro_tokens)
            .div_ceil(MICROS_PER_TOKEN);
        let min_tokens = min_tokens.min(desired_tokens);
        (desired_tokens > 0).then_some(GrantRequestItem {
            account,
            min_tokens,
            desired_tokens,
        })
    }

    /// Queues a grant request to one source and records it as pending.
    fn send_grant_request(
        &mut self,
        source: GrantSource,
        items: Vec<GrantRequestItem>,
        now: MonotonicTime,
    ) {
        let request_id = self.next_id();
        let expires_at = now + source.lifetime;
        for item in &items {
            if let Some(state) = self.accounts.get_mut(&item.account) {
                state.request_pending_until = Some(expires_at);
            }
        }
        let pending = PendingGrantRequest {
            to: source.node,
            accounts: items.iter().map(|item| item.account).collect(),
            expires_at,
        };
        self.pending_grant_requests.insert(request_id, pending);
        let released = self.release_finished_grants(source, &items, now);
        let message = ShareMessage::RequestGrants {
            request_id,
            items,
            lifetime_ms: u32::try_from(source.lifetime.as_millis()).unwrap_or(u32::MAX),
            released,
        };
        self.queue_message(source.node, message);
    }

    /// Removes the grants of the source that are used up, or too old to count
    /// as held and past half of their lifetime, to release them with a request.
    fn release_finished_grants(
        &mut self,
        source: GrantSource,
        items: &[GrantRequestItem],
        now: MonotonicTime,
    ) -> Option<ReleasedGrants> {
        let min_remaining = (source.lifetime - source.prefetch_window).min(source.lifetime / 2);
        let incarnation = items.iter().find_map(|item| {
            let state = self.accounts.get(&item.account)?;
            state.held_grants.issuer_incarnation(source.node)
        })?;
        let issuer = Origin {
            node: source.node,
            incarnation,
        };
        let mut released = Vec::new();
        for item in items {
            let Some(state) = self.accounts.get_mut(&item.account) else {
                continue;
            };
            let finished = state
                .held_grants
                .release_finished(issuer, min_remaining, now);
            released.extend(finished.iter().map(|finished| ReleasedGrant {
                account: item.account,
                grant_id: finished.grant_id,
                unused_tokens: finished.unused_micro_tokens / MICROS_PER_TOKEN,
            }));
        }
        (!released.is_empty()).then_some(ReleasedGrants {
            incarnation,
            items: released,
        })
    }

    /// Returns where to request tokens of an account; `None` if this entry
    /// coordinates its group itself or no entry does.
    fn grant_source(&self, account: AccountId) -> Option<GrantSource> {
        let group = usize::from(account.group(self.parameters.groups));
        let own = self.origin.node;
        let coordinator = self.coordinators[group].filter(|coordinator| *coordinator != own)?;
        let zones_disabled = self.live_entries.len() <= self.parameters.max_entries_without_zones;
        let zone_coordinator = self.zone_coordinators[group].filter(|_| !zones_disabled);
        let grant_duration = self.parameters.grant_duration;
        let sub_grant_duration = self.parameters.sub_grant_duration;
        match zone_coordinator {
            // This entry is the zone coordinator: a grant counts as held only
            // while a sub-grant fits into it.
            Some(node) if node == own => Some(GrantSource {
                node: coordinator,
                lifetime: grant_duration,
                prefetch_window: grant_duration - sub_grant_duration,
            }),
            Some(node) if node != coordinator => Some(GrantSource {
                node,
                lifetime: sub_grant_duration,
                prefetch_window: sub_grant_duration * 2 / 3,
            }),
            _ => Some(GrantSource {
                node: coordinator,
                lifetime: grant_duration,
                prefetch_window: grant_duration * 2 / 3,
            }),
        }
    }
}

/// Returns the micro-tokens to grant out of a level, rounded down to whole
/// tokens; `None` if the level is below the requested minimum or the amount is
/// 0.
fn grant_amount(request: ReceivedGrantRequest, level: u64) -> Option<u64> {
    if level < request.min_micro_tokens {
        return None;
    }
    let extra = (level - request.min_micro_tokens) / EXTRA_TOKENS_DIVISOR;
    let micro_tokens = request.min_micro_tokens
        + extra.min(request.desired_micro_tokens - request.min_micro_tokens);
    let rounded_down = micro_tokens / MICROS_PER_TOKEN * MICROS_PER_TOKEN;
    (rounded_down > 0).then_some(rounded_down)
}

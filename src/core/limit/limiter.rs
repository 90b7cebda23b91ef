//! Limiter of one entry: admits requests, and handles lending and granting when
//! messages and ticks arrive. It does no I/O and reads no clock.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::AccountId;
use super::AccountTokens;
use super::AdmissionDecision;
use super::Allowance;
use super::Charge;
use super::LiveEntries;
use super::NodeId;
use super::Origin;
use super::ShareMessage;
use super::ShareParameters;
use super::Ticket;
use super::account_state::AccountState;
use super::account_state::WaitingRequest;
use super::charge::GrantDebit;
use super::loan_pool::LoanPool;
use super::owned_share::OwnedShare;
use super::pending_requests::PendingGrantRequest;
use super::pending_requests::PendingLoanRequest;
use super::token_bucket::MICROS_PER_TOKEN;
use crate::core::MonotonicTime;

/// Interval between offers of the same shares.
const OFFER_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which an entry that failed to answer is not chosen as coordinator.
const UNREACHABLE_DURATION: Duration = Duration::from_secs(15);

/// Shortest wait suggested with a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest wait suggested with a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// A message to send to another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Receiving entry.
    pub to: NodeId,
    /// Message to deliver.
    pub message: ShareMessage,
}

/// One entry's part in the rate limits of all accounts: it admits requests,
/// lends its share, coordinates groups and issues grants.
///
/// Each slot that an entry holds gives it an equal share of every account's
/// rate and burst. Slot holders lend their shares of a group of accounts to the
/// group's coordinator, which keeps them in a pool and issues grants of tokens
/// from it to the entries that request them.
#[derive(Debug)]
pub struct Limiter {
    pub(super) origin: Origin,
    pub(super) parameters: ShareParameters,
    pub(super) live_entries: LiveEntries,
    pub(super) zone: u16,
    /// Indexed by group; `None` without live entries.
    pub(super) coordinators: Vec<Option<NodeId>>,
    /// Indexed by group, within this entry's zone.
    pub(super) zone_coordinators: Vec<Option<NodeId>>,
    pub(super) leaving: bool,
    pub(super) allowances: BTreeMap<AccountId, Allowance>,
    /// Accounts of the current rules, indexed by group.
    pub(super) accounts_by_group: Vec<Vec<(AccountId, Allowance)>>,
    pub(super) owned: OwnedShare,
    /// Indexed by group; filled only for groups that this entry coordinates.
    pub(super) pools: Vec<LoanPool>,
    pub(super) accounts: BTreeMap<AccountId, AccountState>,
    /// Accounts that each tick processes.
    pub(super) active_accounts: BTreeSet<AccountId>,
    /// Accounts to include in the next grant requests.
    pub(super) accounts_needing_grants: BTreeSet<AccountId>,
    /// By request id.
    pub(super) pending_grant_requests: BTreeMap<u64, PendingGrantRequest>,
    /// By request id.
    pub(super) pending_loan_requests: BTreeMap<u64, PendingLoanRequest>,
    /// By lender.
    pub(super) last_loan_request_at: BTreeMap<NodeId, MonotonicTime>,
    /// Entries that failed to answer, with the end of their exclusion.
    unreachable: BTreeMap<NodeId, MonotonicTime>,
    pub(super) last_offer_at: Option<MonotonicTime>,
    /// Last id given to a request sent or a grant held.
    pub(super) last_id: u64,
    /// Last id given to a grant issued.
    pub(super) last_grant_id: u64,
    pub(super) outgoing: Vec<OutgoingMessage>,
    /// Decisions on requests that waited, until the caller takes them.
    decisions: Vec<(Ticket, AdmissionDecision)>,
}

impl Limiter {
    /// Creates the limiter of an entry without slots, rules or peers. `id_seed`
    /// is to be drawn at random, so that request ids differ from those of
    /// earlier incarnations.
    pub fn new(origin: Origin, zone: u16, parameters: ShareParameters, id_seed: u64) -> Self {
        let groups = usize::from(parameters.groups);
        let pools = (0..parameters.groups)
            .map(|group| LoanPool::new(group, parameters.slots, parameters.grant_duration))
            .collect();
        Self {
            origin,
            parameters,
            live_entries: LiveEntries::default(),
            zone,
            coordinators: vec![None; groups],
            zone_coordinators: vec![None; groups],
            leaving: false,
            allowances: BTreeMap::new(),
            accounts_by_group: vec![Vec::new(); groups],
            owned: OwnedShare::new(
                parameters.slots,
                parameters.groups,
                parameters.loan_duration,
            ),
            pools,
            accounts: BTreeMap::new(),
            active_accounts: BTreeSet::new(),
            accounts_needing_grants: BTreeSet::new(),
            pending_grant_requests: BTreeMap::new(),
            pending_loan_requests: BTreeMap::new(),
            last_loan_request_at: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            last_offer_at: None,
            last_id: id_seed,
            last_grant_id: 0,
            outgoing: Vec::new(),
            decisions: Vec::new(),
        }
    }

    /// Sets the availability zone of this entry, from the next choice of
    /// coordinators on.
    pub fn set_zone(&mut self, zone: u16) {
        self.zone = zone;
    }

    /// Excludes an entry from coordination for a while because a call to it
    /// failed. Grant requests pending there are given up and sent to the next
    /// coordinator, and local shares are offered again at the next tick.
    pub fn mark_unreachable(&mut self, node: NodeId, now: MonotonicTime) {
        self.unreachable.insert(node, now + UNREACHABLE_DURATION);
        self.pending_grant_requests
            .retain(|_, request| request.to != node);
        self.choose_coordinators();
        for (account, state) in &mut self.accounts {
            if state.needed_micro_tokens() > 0 {
                state.request_pending_until = None;
                self.accounts_needing_grants.insert(*account);
            }
        }
        self.last_offer_at = None;
        self.send_grant_requests(now);
    }

    /// Returns the entry that coordinates an account, in the view of this one.
    pub fn coordinator_of(&self, account: AccountId) -> Option<NodeId> {
        let group = account.group(self.parameters.groups);
        self.coordinators.get(usize::from(group)).copied().flatten()
    }

    /// Sets the live entries, this one included, and chooses the coordinators
    /// anew.
    pub fn set_live_entries(&mut self, live_entries: LiveEntries) {
        self.live_entries = live_entries;
        self.choose_coordinators();
    }

    /// Replaces the allowances by those of a new rules revision; accounts it
    /// lacks are dropped.
    pub fn set_allowances(
        &mut self,
        allowances: BTreeMap<AccountId, Allowance>,
        now: MonotonicTime,
    ) {
        self.owned
            .refill_all(&self.allowances, self.parameters.groups, now);
        self.accounts_by_group = vec![Vec::new(); usize::from(self.parameters.groups)];
        for (account, allowance) in &allowances {
            let group = account.group(self.parameters.groups);
            self.accounts_by_group[usize::from(group)].push((*account, *allowance));
            if let Some(state) = self.accounts.get_mut(account) {
                state.allowance = *allowance;
            }
        }
        self.accounts
            .retain(|account, _| allowances.contains_key(account));
        self.active_accounts
            .retain(|account| allowances.contains_key(account));
        self.owned
            .retain_accounts(|account| allowances.contains_key(&account));
        self.allowances = allowances;
        self.owned
            .refill_all(&self.allowances, self.parameters.groups, now);
    }

    /// Sets how many slots this entry holds, and until when. Adding a slot adds
    /// no tokens. While groups are lent, the number may only rise; see
    /// [`Self::start_leaving`].
    pub fn set_slots(&mut self, slots: u16, lease_expires_at: MonotonicTime, now: MonotonicTime) {
        self.owned
            .refill_all(&self.allowances, self.parameters.groups, now);
        self.owned.set_slots(slots, lease_expires_at, now);
        self.owned
            .refill_all(&self.allowances, self.parameters.groups, now);
    }

    /// Adds the tokens that an earlier holder of the slots left by
    /// [`Self::hand_over`].
    pub fn add_handed_over_tokens(&mut self, levels: &[AccountTokens], now: MonotonicTime) {
        self.owned.add_tokens(levels, now);
    }

    /// Stops lending and coordinating, before this entry shuts down.
    pub fn start_leaving(&mut self, now: MonotonicTime) {
        self.leaving = true;
        self.owned.stop_lending();
        self.tick(now);
    }

    /// Returns the tokens of the slots once all loans have been returned or
    /// have expired, and gives up the share; `None` until then, and before
    /// [`Self::start_leaving`].
    pub fn hand_over(&mut self, now: MonotonicTime) -> Option<Vec<AccountTokens>> {
        if !self.leaving || !self.owned.has_no_loans(now) {
            return None;
        }
        let accounts: Vec<(AccountId, Allowance)> = self.accounts_by_group.concat();
        let levels = self.owned.take_all(&accounts, now);
        self.owned.set_slots(0, now, now);
        Some(levels)
    }

    /// Decides whether a request may run. With `None` it waits, and
    /// [`Self::take_decisions`] will return its ticket. A request of an account
    /// that the rules lack gets [`AdmissionDecision::TooLarge`].
    pub fn admit(
        &mut self,
        ticket: Ticket,
        account: AccountId,
        tokens: u64,
        now: MonotonicTime,
    ) -> Option<AdmissionDecision> {
        let Some(allowance) = self.allowances.get(&account).copied() else {
            return Some(AdmissionDecision::TooLarge);
        };
        if tokens > allowance.burst {
            return Some(AdmissionDecision::TooLarge);
        }
        let (max_waiting, max_wait) = (
            self.parameters.max_waiting_requests,
            self.parameters.max_wait,
        );
        let state = self.account_state(account, allowance);
        if state.waiting.len() >= max_waiting {
            return Some(AdmissionDecision::Refused(estimate_retry_after(state)));
        }
        let micro_tokens = tokens.saturating_mul(MICROS_PER_TOKEN);
        let burst = allowance.burst.saturating_mul(MICROS_PER_TOKEN);
        let debt = state.debt.min(burst - micro_tokens);
        state.debt -= debt;
        state.demand.record_request(micro_tokens, now);
        state.waiting.push_back(WaitingRequest {
            ticket,
            tokens,
            micro_tokens: micro_tokens + debt,
            deadline: now + max_wait,
        });
        self.active_accounts.insert(account);
        let first_new = self.decisions.len();
        self.serve_account(account, now);
        self.send_grant_requests(now);
        let own_index = self.decisions[first_new..]
            .iter()
            .position(|(decided, _)| *decided == ticket);
        own_index.map(|index| self.decisions.remove(first_new + index).1)
    }

    /// Removes a waiting request and drops the debt that it was to pay; has no
    /// effect once the request is decided.
    pub fn cancel(&mut self, ticket: Ticket, account: AccountId) {
        if let Some(state) = self.accounts.get_mut(&account) {
            state.waiting.retain(|waiting| waiting.ticket != ticket);
        }
    }

    /// Corrects a charge to the tokens used. An excess becomes debt that the
    /// next requests pay. Unused tokens return to the last grant that paid, up
    /// to what it paid; any others are lost, and all of them if that grant has
    /// expired or was released, or if no grant paid.
    pub fn settle(&mut self, charge: Charge, used: u64, now: MonotonicTime) {
        let Some(state) = self.accounts.get_mut(&charge.account) else {
            return;
        };
        if used > charge.tokens {
            let extra = (used - charge.tokens).saturating_mul(MICROS_PER_TOKEN);
            state.debt = state.debt.saturating_add(extra);
            return;
        }
        let unused = (charge.tokens - used).saturating_mul(MICROS_PER_TOKEN);
        if let Some(debit) = charge.grant_debit {
            let micro_tokens = unused.min(debit.micro_tokens);
            state.held_grants.refund(
                GrantDebit {
                    micro_tokens,
                    ..debit
                },
                now,
            );
        }
        self.serve_account(charge.account, now);
    }

    /// Performs the work that is due by time: timeouts, offers, renewals,
    /// returns and prefetching of grants. Call it about every 50 ms.
    pub fn tick(&mut self, now: MonotonicTime) {
        self.end_exclusions(None, now);
        self.send_offers(now);
        self.renew_loans(now);
        self.return_loans(now);
        self.pending_grant_requests
            .retain(|_, request| request.expires_at > now);
        let active_accounts: Vec<AccountId> = self.active_accounts.iter().copied().collect();
        for account in active_accounts {
            self.refuse_expired(account, now);
            self.serve_account(account, now);
            self.mark_for_prefetch(account, now);
            let is_idle = self
                .accounts
                .get_mut(&account)
                .is_none_or(|state| state.is_idle(now));
            if is_idle {
                self.active_accounts.remove(&account);
            }
        }
        self.send_grant_requests(now);
    }

    /// Handles a message from another entry, which also shows that the entry is
    /// reachable.
    pub fn receive(&mut self, from: Origin, message: ShareMessage, now: MonotonicTime) {
        self.end_exclusions(Some(from.node), now);
        match message {
            ShareMessage::OfferLoans { groups } => self.handle_offer(from, &groups, now),
            ShareMessage::RequestLoans { request_id, groups } => {
                self.handle_loan_request(from, request_id, &groups, now)
            }
            ShareMessage::Lend {
                request_id,
                slots,
                loans,
                levels,
            } => self.accept_loans(from, request_id, slots, &loans, &levels, now),
            ShareMessage::ReturnLoan { loan, levels } => {
                self.owned
                    .accept_return(loan, from.incarnation, &levels, now);
            }
            ShareMessage::RequestGrants {
                request_id,
                items,
                lifetime_ms,
                released,
            } => {
                let lifetime = Duration::from_millis(lifetime_ms.into());
                self.take_back_grants(released, now);
                self.handle_grant_request(from, request_id, &items, lifetime, now);
            }
            ShareMessage::Grant { request_id, items } => {
                self.accept_grants(from, request_id, &items, now)
            }
        }
        self.send_grant_requests(now);
    }

    /// Returns the tokens of an account that this entry could spend now.
    pub fn available_tokens(&mut self, account: AccountId, now: MonotonicTime) -> u64 {
        let Some(allowance) = self.allowances.get(&account).copied() else {
            return 0;
        };
        let state = self.accounts.get(&account);
        let held = state.map_or(0, |state| state.held_grants.usable_for(Duration::ZERO, now));
        let local = self.owned.level(account, allowance, now);
        let group = account.group(self.parameters.groups);
        let pooled = if self.coordinates(group) {
            self.pools[usize::from(group)].level(account, allowance, now)
        } else {
            0
        };
        (held + local + pooled) / MICROS_PER_TOKEN
    }

    /// Removes and returns the messages to send.
    pub fn take_outgoing(&mut self) -> Vec<OutgoingMessage> {
        std::mem::take(&mut self.outgoing)
    }

    /// Removes and returns the decisions on requests that waited.
    pub fn take_decisions(&mut self) -> Vec<(Ticket, AdmissionDecision)> {
        std::mem::take(&mut self.decisions)
    }

    /// Admits waiting requests of an account, then answers received grant
    /// requests, while tokens last. Marks the account for a grant request if
    /// any of these requests remain.
    pub(super) fn serve_account(&mut self, account: AccountId, now: MonotonicTime) {
        while let Some(front) = self.first_waiting(account) {
            let Some(grant_debit) = self.try_take(account, front.micro_tokens, now) else {
                break;
            };
            let charge = Charge {
                account,
                tokens: front.tokens,
                grant_debit,
            };
            self.decisions
                .push((front.ticket, AdmissionDecision::Admitted(charge)));
            if let Some(state) = self.accounts.get_mut(&account) {
                state.waiting.pop_front();
            }
        }
        self.serve_grant_requests(account, now);
        let needs_tokens = self
            .accounts
            .get(&account)
            .is_some_and(|state| state.needed_micro_tokens() > 0);
        if needs_tokens {
            self.accounts_needing_grants.insert(account);
        }
    }

    /// Returns whether this entry coordinates a group; never while it is
    /// leaving.
    pub(super) fn coordinates(&self, group: u16) -> bool {
        let coordinator = self.coordinators.get(usize::from(group)).copied().flatten();
        !self.leaving && coordinator == Some(self.origin.node)
    }

    /// Chooses the coordinators of all groups among the live entries that are
    /// not marked unreachable.
    fn choose_coordinators(&mut self) {
        let live_entries = self.live_entries.without(&self.unreachable);
        let groups = 0..self.parameters.groups;
        self.coordinators = groups
            .clone()
            .map(|group| live_entries.coordinator(group))
            .collect();
        self.zone_coordinators = groups
            .map(|group| live_entries.zone_coordinator(group, self.zone))
            .collect();
    }

    /// Ends the exclusions whose time has passed, and that of `node`, which has
    /// just sent a message.
    fn end_exclusions(&mut self, node: Option<NodeId>, now: MonotonicTime) {
        let count_before = self.unreachable.len();
        self.unreachable
            .retain(|unreachable, until| *until > now && Some(*unreachable) != node);
        if self.unreachable.len() != count_before {
            self.choose_coordinators();
        }
    }

    /// Returns the accounts of a group with their allowances.
    pub(super) fn accounts_of_group(&self, group: u16) -> Vec<(AccountId, Allowance)> {
        self.accounts_by_group
            .get(usize::from(group))
            .cloned()
            .unwrap_or_default()
    }

    pub(super) fn account_state(
        &mut self,
        account: AccountId,
        allowance: Allowance,
    ) -> &mut AccountState {
        self.accounts
            .entry(account)
            .or_insert_with(|| AccountState::new(allowance))
    }

    /// Returns an id for a request or a held grant.
    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id = self.last_id.wrapping_add(1);
        self.last_id
    }

    pub(super) fn queue_message(&mut self, to: NodeId, message: ShareMessage) {
        self.outgoing.push(OutgoingMessage { to, message });
    }

    /// Returns whether the offer interval has passed.
    pub(super) fn is_offer_due(&self, now: MonotonicTime) -> bool {
        self.last_offer_at
            .is_none_or(|at| now.since(at) >= OFFER_INTERVAL)
    }

    fn first_waiting(&self, account: AccountId) -> Option<WaitingRequest> {
        self.accounts.get(&account)?.waiting.front().copied()
    }

    /// Takes micro-tokens from the first of these that has enough: held grants,
    /// the owned share, the pool that this entry coordinates. Returns `None` if
    /// all have too few, otherwise the debit if grants paid.
    fn try_take(
        &mut self,
        account: AccountId,
        micro_tokens: u64,
        now: MonotonicTime,
    ) -> Option<Option<GrantDebit>> {
        let state = self.accounts.get_mut(&account)?;
        let allowance = state.allowance;
        if let Some(grant_debit) = state.held_grants.try_take(micro_tokens, now) {
            return Some(grant_debit);
        }
        if self.owned.try_take(account, allowance, micro_tokens, now) {
            return Some(None);
        }
        let group = account.group(self.parameters.groups);
        if !self.coordinates(group) {
            return None;
        }
        let pool = &mut self.pools[usize::from(group)];
        pool.try_take(account, allowance, micro_tokens, now)
            .then_some(None)
    }

    /// Refuses the waiting requests whose deadline has passed and restores the
    /// debt they were to pay.
    fn refuse_expired(&mut self, account: AccountId, now: MonotonicTime) {
        let Some(state) = self.accounts.get_mut(&account) else {
            return;
        };
        while let Some(front) = state.waiting.front().copied() {
            if front.deadline > now {
                break;
            }
            let decision = AdmissionDecision::Refused(estimate_retry_after(state));
            state.debt += front.micro_tokens - front.tokens.saturating_mul(MICROS_PER_TOKEN);
            state.waiting.pop_front();
            self.decisions.push((front.ticket, decision));
        }
    }
}

/// Estimates when the account will have refilled by the micro-tokens needed
/// here.
fn estimate_retry_after(state: &AccountState) -> Duration {
    let rate = state.allowance.rate.max(1);
    let retry_after = Duration::from_micros(state.needed_micro_tokens() / rate);
    retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

#[cfg(test)]
mod tests {
    use super::super::LiveEntry;
    use super::super::ReleasedGrant;
    use super::super::ReleasedGrants;
    use super::super::message::GroupLoan;
    use super::*;
    use crate::core::ProcessIncarnation;

    const RATE: u64 = 100;
    const BURST: u64 = 1_000;

    fn at(seconds: u64) -> MonotonicTime {
        MonotonicTime::ZERO + Duration::from_secs(seconds)
    }

    fn make_origin(node: u64) -> Origin {
        Origin {
            node: NodeId(node),
            incarnation: ProcessIncarnation(node),
        }
    }

    fn make_live_entries(nodes: &[u64]) -> LiveEntries {
        let entries = nodes.iter().map(|node| LiveEntry {
            node: NodeId(*node),
            zone: 0,
        });
        LiveEntries::new(entries.collect())
    }

    /// Makes two limiters that hold one of two slots each, and an account that
    /// the first of them coordinates.
    fn make_coordinator_and_other() -> (Limiter, Limiter, AccountId) {
        let parameters = ShareParameters {
            slots: 2,
            groups: 1,
            ..ShareParameters::default()
        };
        let live_entries = make_live_entries(&[1, 2]);
        let first = live_entries
            .coordinator(0)
            .map_or(0, |coordinator| coordinator.0);
        let allowance = Allowance {
            rate: RATE,
            burst: BURST,
        };
        let make = |node: u64| {
            let mut limiter = Limiter::new(make_origin(node), 0, parameters, node << 32);
            limiter.set_allowances([(AccountId(0), allowance)].into(), at(0));
            limiter.set_live_entries(live_entries.clone());
            limiter.set_slots(1, at(3_600), at(0));
            limiter
        };
        (make(first), make(3 - first), AccountId(0))
    }

    /// Ticks both limiters and delivers their messages, four times.
    fn exchange_messages(first: &mut Limiter, second: &mut Limiter, now: MonotonicTime) {
        for _ in 0..4 {
            first.tick(now);
            second.tick(now);
            for outgoing in first.take_outgoing() {
                second.receive(first.origin, outgoing.message, now);
            }
            for outgoing in second.take_outgoing() {
                first.receive(second.origin, outgoing.message, now);
            }
        }
    }

    #[test]
    fn admit_full_burst_at_one_entry() {
        let (mut coordinator, mut other, account) = make_coordinator_and_other();
        (0..20).for_each(|second| exchange_messages(&mut coordinator, &mut other, at(second)));
        assert_eq!(other.admit(Ticket(1), account, BURST, at(20)), None);
        exchange_messages(&mut coordinator, &mut other, at(20));
        let decisions = other.take_decisions();
        assert!(matches!(
            decisions[..],
            [(Ticket(1), AdmissionDecision::Admitted(_))]
        ));
    }

    #[test]
    fn admit_without_peers_uses_own_share() {
        let (_, mut other, account) = make_coordinator_and_other();
        let half = BURST / 2;
        let decision = other.admit(Ticket(1), account, half, at(20));
        assert!(matches!(decision, Some(AdmissionDecision::Admitted(_))));
        assert_eq!(other.admit(Ticket(2), account, half, at(20)), None);
        other.tick(at(23));
        let decisions = other.take_decisions();
        assert!(matches!(
            decisions[..],
            [(Ticket(2), AdmissionDecision::Refused(_))]
        ));
    }

    #[test]
    fn admit_more_than_burst_is_too_large() {
        let (mut coordinator, _, account) = make_coordinator_and_other();
        let decision = coordinator.admit(Ticket(1), account, BURST + 1, at(1));
        assert_eq!(decision, Some(AdmissionDecision::TooLarge));
    }

    #[test]
    fn settle_more_than_charged_is_owed() {
        let (mut coordinator, _, account) = make_coordinator_and_other();
        let decision = coordinator.admit(Ticket(1), account, 100, at(8));
        let Some(AdmissionDecision::Admitted(charge)) = decision else {
            panic!("the request is not admitted at once");
        };
        coordinator.settle(charge, 250, at(8));
        coordinator.admit(Ticket(2), account, 50, at(8));
        assert_eq!(
            coordinator.available_tokens(account, at(8)),
            400 - 100 - 200
        );
    }

    #[test]
    fn receive_ignores_grants_released_to_earlier_run() {
        let (mut coordinator, mut other, account) = make_coordinator_and_other();
        exchange_messages(&mut coordinator, &mut other, at(0));
        other.admit(Ticket(1), account, 10, at(1));
        exchange_messages(&mut coordinator, &mut other, at(1));
        let before = coordinator.available_tokens(account, at(1));
        for incarnation in [77, coordinator.origin.incarnation.0] {
            let released = ReleasedGrants {
                incarnation: ProcessIncarnation(incarnation),
                items: vec![ReleasedGrant {
                    account,
                    grant_id: 1,
                    unused_tokens: 10,
                }],
            };
            let request = ShareMessage::RequestGrants {
                request_id: incarnation,
                items: Vec::new(),
                lifetime_ms: 1,
                released: Some(released),
            };
            coordinator.receive(other.origin, request, at(1));
            let gained = coordinator.available_tokens(account, at(1)) - before;
            assert_eq!(gained, if incarnation == 77 { 0 } else { 10 });
        }
    }

    #[test]
    fn receive_ignores_loan_after_return() {
        let (mut coordinator, mut other, account) = make_coordinator_and_other();
        exchange_messages(&mut coordinator, &mut other, at(0));
        coordinator.tick(at(2));
        let request_id = coordinator
            .pending_loan_requests
            .keys()
            .next_back()
            .copied();
        let late = ShareMessage::Lend {
            request_id: request_id.expect("the renewal request is pending"),
            slots: 1,
            loans: vec![GroupLoan {
                group: 0,
                loan_id: 1,
            }],
            levels: Vec::new(),
        };
        coordinator.set_live_entries(make_live_entries(&[other.origin.node.0]));
        coordinator.tick(at(2));
        coordinator.set_live_entries(make_live_entries(&[1, 2]));
        coordinator.receive(other.origin, late, at(2));
        let own_slot_for_three_seconds = RATE / 2 * 3;
        assert_eq!(
            coordinator.available_tokens(account, at(3)),
            own_slot_for_three_seconds
        );
    }
}

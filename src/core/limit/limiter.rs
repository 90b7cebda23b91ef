//! The part that one entry plays in the rates of all accounts.

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
use super::account_state::Waiting;
use super::bucket::MICRO;
use super::charge::GrantPart;
use super::home::Home;
use super::pending::PendingAsk;
use super::pending::PendingBorrow;
use super::pool::Pool;
use crate::core::MonotonicTime;

/// Time between two offers of the same parts.
const OFFER_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which an entry that does not answer is passed by.
const PASS_BY: Duration = Duration::from_secs(15);

const LEAST_RETRY: Duration = Duration::from_secs(1);
const MOST_RETRY: Duration = Duration::from_secs(60);

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Entry to send it to.
    pub to: NodeId,
    /// The message.
    pub message: ShareMessage,
}

/// The part that one entry plays in the rates of all accounts: it admits
/// requests, lends what its slots own, keeps groups and passes grants on.
#[derive(Debug)]
pub struct Limiter {
    pub(super) origin: Origin,
    pub(super) parameters: ShareParameters,
    pub(super) roster: LiveEntries,
    pub(super) zone: u16,
    pub(super) keepers: Vec<Option<NodeId>>,
    pub(super) zone_keepers: Vec<Option<NodeId>>,
    pub(super) leaving: bool,
    pub(super) allowances: BTreeMap<AccountId, Allowance>,
    pub(super) members: Vec<Vec<(AccountId, Allowance)>>,
    pub(super) home: Home,
    pub(super) pools: Vec<Pool>,
    pub(super) accounts: BTreeMap<AccountId, AccountState>,
    pub(super) active: BTreeSet<AccountId>,
    pub(super) to_ask: BTreeSet<AccountId>,
    pub(super) asks: BTreeMap<u64, PendingAsk>,
    pub(super) borrows: BTreeMap<u64, PendingBorrow>,
    pub(super) borrowed_at: BTreeMap<NodeId, MonotonicTime>,
    unreachable: BTreeMap<NodeId, MonotonicTime>,
    pub(super) offered_at: Option<MonotonicTime>,
    pub(super) next_number: u64,
    pub(super) next_grant: u64,
    pub(super) outgoing: Vec<OutgoingMessage>,
    verdicts: Vec<(Ticket, AdmissionDecision)>,
}

impl Limiter {
    /// Creates the limiter of an entry without slots, rules or peers.
    /// `first_number` is drawn at random, so that numbers of requests differ
    /// from those of earlier runs.
    pub fn new(origin: Origin, zone: u16, parameters: ShareParameters, first_number: u64) -> Self {
        let groups = usize::from(parameters.groups);
        let pools = (0..parameters.groups)
            .map(|group| Pool::new(group, parameters.slots, parameters.grant_duration))
            .collect();
        Self {
            origin,
            parameters,
            roster: LiveEntries::default(),
            zone,
            keepers: vec![None; groups],
            zone_keepers: vec![None; groups],
            leaving: false,
            allowances: BTreeMap::new(),
            members: vec![Vec::new(); groups],
            home: Home::new(
                parameters.slots,
                parameters.groups,
                parameters.loan_duration,
            ),
            pools,
            accounts: BTreeMap::new(),
            active: BTreeSet::new(),
            to_ask: BTreeSet::new(),
            asks: BTreeMap::new(),
            borrows: BTreeMap::new(),
            borrowed_at: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            offered_at: None,
            next_number: first_number,
            next_grant: 0,
            outgoing: Vec::new(),
            verdicts: Vec::new(),
        }
    }

    /// Takes over the availability zone of this entry.
    pub fn set_zone(&mut self, zone: u16) {
        self.zone = zone;
    }

    /// Passes an entry by for a while, because a call to it failed.
    pub fn mark_unreachable(&mut self, node: NodeId, now: MonotonicTime) {
        self.unreachable.insert(node, now + PASS_BY);
        self.asks.retain(|_, ask| ask.to != node);
        self.choose_keepers();
        for (account, state) in &mut self.accounts {
            if state.needed() > 0 {
                state.asking_until = None;
                self.to_ask.insert(*account);
            }
        }
        self.offered_at = None;
        self.send_asks(now);
    }

    /// Returns the entry that keeps an account, as far as this one knows.
    pub fn coordinator_of(&self, account: AccountId) -> Option<NodeId> {
        let group = account.group(self.parameters.groups);
        self.keepers.get(usize::from(group)).copied().flatten()
    }

    /// Takes over which entries live.
    pub fn set_live_entries(&mut self, roster: LiveEntries) {
        self.roster = roster;
        self.choose_keepers();
    }

    /// Takes over the allowances of a rules revision.
    pub fn set_allowances(
        &mut self,
        allowances: BTreeMap<AccountId, Allowance>,
        now: MonotonicTime,
    ) {
        self.home
            .fill_all(&self.allowances, self.parameters.groups, now);
        self.members = vec![Vec::new(); usize::from(self.parameters.groups)];
        for (account, allowance) in &allowances {
            let group = account.group(self.parameters.groups);
            self.members[usize::from(group)].push((*account, *allowance));
            if let Some(state) = self.accounts.get_mut(account) {
                state.allowance = *allowance;
            }
        }
        self.accounts
            .retain(|account, _| allowances.contains_key(account));
        self.active
            .retain(|account| allowances.contains_key(account));
        self.home
            .retain(|account| allowances.contains_key(&account));
        self.allowances = allowances;
        self.home
            .fill_all(&self.allowances, self.parameters.groups, now);
    }

    /// Takes over how many slots this entry holds, and until when. A slot
    /// brings no tokens along. While slots are lent their number may only
    /// rise; see [`Self::start_leaving`].
    pub fn set_slots(&mut self, slots: u16, lease_until: MonotonicTime, now: MonotonicTime) {
        self.home
            .fill_all(&self.allowances, self.parameters.groups, now);
        self.home.set_slots(slots, lease_until, now);
        self.home
            .fill_all(&self.allowances, self.parameters.groups, now);
    }

    /// Takes over what an earlier holder of the slots left in an orderly
    /// handover.
    pub fn add_handed_over_tokens(&mut self, levels: &[AccountTokens], now: MonotonicTime) {
        self.home.put_levels(levels, now);
    }

    /// Stops lending and keeping, before this entry ends.
    pub fn start_leaving(&mut self, now: MonotonicTime) {
        self.leaving = true;
        self.home.leave();
        self.tick(now);
    }

    /// Returns what the slots hold, once all loans have come home or ended;
    /// afterwards this entry has no share.
    pub fn hand_over(&mut self, now: MonotonicTime) -> Option<Vec<AccountTokens>> {
        if !self.leaving || !self.home.is_whole(now) {
            return None;
        }
        let members: Vec<(AccountId, Allowance)> = self.members.concat();
        let levels = self.home.drain(&members, now);
        self.home.set_slots(0, now, now);
        Some(levels)
    }

    /// Asks whether a request may run. Without a verdict it waits, and
    /// [`Self::take_decisions`] will name its ticket.
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
        let (queue, patience) = (
            self.parameters.max_waiting_requests,
            self.parameters.max_wait,
        );
        let state = self.state(account, allowance);
        if state.waiting.len() >= queue {
            return Some(AdmissionDecision::Refused(estimate_wait(state)));
        }
        let micros = tokens.saturating_mul(MICRO);
        let most = allowance.burst.saturating_mul(MICRO);
        let debt = state.debt.min(most - micros);
        state.debt -= debt;
        state.demand.count(micros, now);
        state.waiting.push_back(Waiting {
            ticket,
            tokens,
            micros: micros + debt,
            deadline: now + patience,
        });
        self.active.insert(account);
        let earlier = self.verdicts.len();
        self.serve(account, now);
        self.send_asks(now);
        let own = self.verdicts[earlier..]
            .iter()
            .position(|(served, _)| *served == ticket);
        own.map(|index| self.verdicts.remove(earlier + index).1)
    }

    /// Withdraws a request that waits.
    pub fn cancel(&mut self, ticket: Ticket, account: AccountId) {
        if let Some(state) = self.accounts.get_mut(&account) {
            state.waiting.retain(|waiting| waiting.ticket != ticket);
        }
    }

    /// Settles a charge to the tokens that were used. More than was charged
    /// is owed by the next request; less comes back while the grant lives
    /// that it was charged to, and is lost afterwards.
    pub fn settle(&mut self, charge: Charge, used: u64, now: MonotonicTime) {
        let Some(state) = self.accounts.get_mut(&charge.account) else {
            return;
        };
        if used > charge.tokens {
            let more = (used - charge.tokens).saturating_mul(MICRO);
            state.debt = state.debt.saturating_add(more);
            return;
        }
        let unused = (charge.tokens - used).saturating_mul(MICRO);
        if let Some(part) = charge.grant {
            let micros = unused.min(part.micros);
            state.purse.put_back(GrantPart { micros, ..part }, now);
        }
        self.serve(charge.account, now);
    }

    /// Does what time demands; to be called every 50 ms or so.
    pub fn tick(&mut self, now: MonotonicTime) {
        self.forgive(None, now);
        self.offer(now);
        self.renew_loans(now);
        self.give_back_pools(now);
        self.asks.retain(|_, ask| ask.until > now);
        let active: Vec<AccountId> = self.active.iter().copied().collect();
        for account in active {
            self.expire(account, now);
            self.serve(account, now);
            self.plan_ahead(account, now);
            let is_idle = self
                .accounts
                .get_mut(&account)
                .is_none_or(|state| state.is_idle(now));
            if is_idle {
                self.active.remove(&account);
            }
        }
        self.send_asks(now);
    }

    /// Handles a message of another entry.
    pub fn receive(&mut self, from: Origin, message: ShareMessage, now: MonotonicTime) {
        self.forgive(Some(from.node), now);
        match message {
            ShareMessage::OfferLoans { groups } => self.hear_offer(from, &groups, now),
            ShareMessage::RequestLoans { number, groups } => self.lend(from, number, &groups, now),
            ShareMessage::Lend {
                number,
                slots,
                loans,
                levels,
            } => self.accept_loans(from, number, slots, &loans, &levels, now),
            ShareMessage::ReturnLoan { loan, levels } => {
                self.home.take_back(loan, from.incarnation, &levels, now);
            }
            ShareMessage::RequestGrants {
                number,
                items,
                life_ms,
                closes,
            } => {
                let life = Duration::from_millis(life_ms.into());
                self.hear_closes(closes, now);
                self.hear_ask(from, number, &items, life, now);
            }
            ShareMessage::Grant { number, items } => self.accept_grants(from, number, &items, now),
        }
        self.send_asks(now);
    }

    /// Returns the tokens of an account that this entry could spend right now.
    pub fn available_tokens(&mut self, account: AccountId, now: MonotonicTime) -> u64 {
        let Some(allowance) = self.allowances.get(&account).copied() else {
            return 0;
        };
        let state = self.accounts.get(&account);
        let held = state.map_or(0, |state| state.purse.usable(Duration::ZERO, now));
        let home = self.home.level(account, allowance, now);
        let group = account.group(self.parameters.groups);
        let kept = if self.keeps(group) {
            self.pools[usize::from(group)].level(account, allowance, now)
        } else {
            0
        };
        (held + home + kept) / MICRO
    }

    /// Takes the messages to send.
    pub fn take_outgoing(&mut self) -> Vec<OutgoingMessage> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the verdicts on requests that waited.
    pub fn take_decisions(&mut self) -> Vec<(Ticket, AdmissionDecision)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Lets requests of an account run, and grants what others asked for, as
    /// far as tokens go.
    pub(super) fn serve(&mut self, account: AccountId, now: MonotonicTime) {
        while let Some(front) = self.first_waiting(account) {
            let Some(grant) = self.take(account, front.micros, now) else {
                break;
            };
            let charge = Charge {
                account,
                tokens: front.tokens,
                grant,
            };
            self.verdicts
                .push((front.ticket, AdmissionDecision::Admitted(charge)));
            if let Some(state) = self.accounts.get_mut(&account) {
                state.waiting.pop_front();
            }
        }
        self.serve_asks(account, now);
        let needs = self
            .accounts
            .get(&account)
            .is_some_and(|state| state.needed() > 0);
        if needs {
            self.to_ask.insert(account);
        }
    }

    /// Tells whether this entry keeps a group.
    pub(super) fn keeps(&self, group: u16) -> bool {
        let keeper = self.keepers.get(usize::from(group)).copied().flatten();
        !self.leaving && keeper == Some(self.origin.node)
    }

    /// Chooses the keepers of all groups among the entries that live and
    /// answer.
    fn choose_keepers(&mut self) {
        let roster = self.roster.without(&self.unreachable);
        let groups = 0..self.parameters.groups;
        self.keepers = groups.clone().map(|group| roster.keeper(group)).collect();
        self.zone_keepers = groups
            .map(|group| roster.zone_keeper(group, self.zone))
            .collect();
    }

    /// Trusts an entry again that answers, or has been passed by long enough.
    fn forgive(&mut self, node: Option<NodeId>, now: MonotonicTime) {
        let count = self.unreachable.len();
        self.unreachable
            .retain(|passed, until| *until > now && Some(*passed) != node);
        if self.unreachable.len() != count {
            self.choose_keepers();
        }
    }

    /// Returns the accounts of a group.
    pub(super) fn members_of(&self, group: u16) -> Vec<(AccountId, Allowance)> {
        self.members
            .get(usize::from(group))
            .cloned()
            .unwrap_or_default()
    }

    pub(super) fn state(&mut self, account: AccountId, allowance: Allowance) -> &mut AccountState {
        self.accounts
            .entry(account)
            .or_insert_with(|| AccountState::new(allowance))
    }

    pub(super) fn draw_number(&mut self) -> u64 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    pub(super) fn send(&mut self, to: NodeId, message: ShareMessage) {
        self.outgoing.push(OutgoingMessage { to, message });
    }

    /// Tells whether parts at home should be offered now.
    pub(super) fn is_offer_due(&self, now: MonotonicTime) -> bool {
        self.offered_at
            .is_none_or(|at| now.since(at) >= OFFER_INTERVAL)
    }

    fn first_waiting(&self, account: AccountId) -> Option<Waiting> {
        self.accounts.get(&account)?.waiting.front().copied()
    }

    /// Takes tokens that are spent at once: from grants, from home, or from
    /// the pool that this entry keeps.
    fn take(
        &mut self,
        account: AccountId,
        micros: u64,
        now: MonotonicTime,
    ) -> Option<Option<GrantPart>> {
        let state = self.accounts.get_mut(&account)?;
        let allowance = state.allowance;
        if let Some(grant) = state.purse.take(micros, now) {
            return Some(grant);
        }
        if self.home.take(account, allowance, micros, now) {
            return Some(None);
        }
        let group = account.group(self.parameters.groups);
        if !self.keeps(group) {
            return None;
        }
        let pool = &mut self.pools[usize::from(group)];
        pool.take(account, allowance, micros, now).then_some(None)
    }

    /// Refuses requests that have waited too long.
    fn expire(&mut self, account: AccountId, now: MonotonicTime) {
        let Some(state) = self.accounts.get_mut(&account) else {
            return;
        };
        while let Some(front) = state.waiting.front().copied() {
            if front.deadline > now {
                break;
            }
            let verdict = AdmissionDecision::Refused(estimate_wait(state));
            state.debt += front.micros - front.tokens.saturating_mul(MICRO);
            state.waiting.pop_front();
            self.verdicts.push((front.ticket, verdict));
        }
    }
}

/// Estimates when the account may have tokens for one more request.
fn estimate_wait(state: &AccountState) -> Duration {
    let rate = state.allowance.rate.max(1);
    let wait = Duration::from_micros(state.needed() / rate);
    wait.clamp(LEAST_RETRY, MOST_RETRY)
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

    fn make_roster(nodes: &[u64]) -> LiveEntries {
        let peers = nodes.iter().map(|node| LiveEntry {
            node: NodeId(*node),
            zone: 0,
        });
        LiveEntries::new(peers.collect())
    }

    /// Makes two limiters that share two slots, one each, and an account that
    /// the first of them keeps.
    fn make_pair() -> (Limiter, Limiter, AccountId) {
        let parameters = ShareParameters {
            slots: 2,
            groups: 1,
            ..ShareParameters::default()
        };
        let roster = make_roster(&[1, 2]);
        let first = roster.keeper(0).map_or(0, |keeper| keeper.0);
        let allowance = Allowance {
            rate: RATE,
            burst: BURST,
        };
        let make = |node: u64| {
            let mut limiter = Limiter::new(make_origin(node), 0, parameters, node << 32);
            limiter.set_allowances([(AccountId(0), allowance)].into(), at(0));
            limiter.set_live_entries(roster.clone());
            limiter.set_slots(1, at(3_600), at(0));
            limiter
        };
        (make(first), make(3 - first), AccountId(0))
    }

    fn exchange(first: &mut Limiter, second: &mut Limiter, now: MonotonicTime) {
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
    fn admit_all_at_one_entry() {
        let (mut keeper, mut other, account) = make_pair();
        (0..20).for_each(|second| exchange(&mut keeper, &mut other, at(second)));
        assert_eq!(other.admit(Ticket(1), account, BURST, at(20)), None);
        exchange(&mut keeper, &mut other, at(20));
        let verdicts = other.take_decisions();
        assert!(matches!(
            verdicts[..],
            [(Ticket(1), AdmissionDecision::Admitted(_))]
        ));
    }

    #[test]
    fn admit_without_peers_lives_on_own_share() {
        let (_, mut other, account) = make_pair();
        let half = BURST / 2;
        let verdict = other.admit(Ticket(1), account, half, at(20));
        assert!(matches!(verdict, Some(AdmissionDecision::Admitted(_))));
        assert_eq!(other.admit(Ticket(2), account, half, at(20)), None);
        other.tick(at(23));
        let verdicts = other.take_decisions();
        assert!(matches!(
            verdicts[..],
            [(Ticket(2), AdmissionDecision::Refused(_))]
        ));
    }

    #[test]
    fn admit_more_than_burst() {
        let (mut keeper, _, account) = make_pair();
        let verdict = keeper.admit(Ticket(1), account, BURST + 1, at(1));
        assert_eq!(verdict, Some(AdmissionDecision::TooLarge));
    }

    #[test]
    fn settle_more_than_charged_is_owed() {
        let (mut keeper, _, account) = make_pair();
        let verdict = keeper.admit(Ticket(1), account, 100, at(8));
        let Some(AdmissionDecision::Admitted(charge)) = verdict else {
            panic!("admitted at once");
        };
        keeper.settle(charge, 250, at(8));
        keeper.admit(Ticket(2), account, 50, at(8));
        assert_eq!(keeper.available_tokens(account, at(8)), 400 - 100 - 200);
    }

    #[test]
    fn receive_closes_of_earlier_run() {
        let (mut keeper, mut other, account) = make_pair();
        exchange(&mut keeper, &mut other, at(0));
        other.admit(Ticket(1), account, 10, at(1));
        exchange(&mut keeper, &mut other, at(1));
        let before = keeper.available_tokens(account, at(1));
        for run in [77, keeper.origin.incarnation.0] {
            let closes = ReleasedGrants {
                incarnation: ProcessIncarnation(run),
                items: vec![ReleasedGrant {
                    account,
                    grant: 1,
                    unused: 10,
                }],
            };
            let ask = ShareMessage::RequestGrants {
                number: run,
                items: Vec::new(),
                life_ms: 1,
                closes: Some(closes),
            };
            keeper.receive(other.origin, ask, at(1));
            let gained = keeper.available_tokens(account, at(1)) - before;
            assert_eq!(gained, if run == 77 { 0 } else { 10 });
        }
    }

    #[test]
    fn receive_loan_after_giving_back() {
        let (mut keeper, mut other, account) = make_pair();
        exchange(&mut keeper, &mut other, at(0));
        keeper.tick(at(2));
        let number = keeper.borrows.keys().next_back().copied();
        let late = ShareMessage::Lend {
            number: number.expect("a renewal is under way"),
            slots: 1,
            loans: vec![GroupLoan { group: 0, loan: 1 }],
            levels: Vec::new(),
        };
        keeper.set_live_entries(make_roster(&[other.origin.node.0]));
        keeper.tick(at(2));
        keeper.set_live_entries(make_roster(&[1, 2]));
        keeper.receive(other.origin, late, at(2));
        let own_slot_for_three_seconds = RATE / 2 * 3;
        assert_eq!(
            keeper.available_tokens(account, at(3)),
            own_slot_for_three_seconds
        );
    }
}

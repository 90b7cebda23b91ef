//! Loans of shares: offers, requests, renewals and returns between slot holders
//! and the coordinators of groups.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::AccountId;
use super::AccountTokens;
use super::Limiter;
use super::NodeId;
use super::Origin;
use super::ShareMessage;
use super::message::GroupLoan;
use super::pending_requests::PendingLoanRequest;
use crate::core::MonotonicTime;

impl Limiter {
    /// Offers the shares that can be lent to the coordinators of their groups,
    /// at most once per offer interval. Groups that this entry coordinates are
    /// borrowed immediately from its own share.
    pub(super) fn send_offers(&mut self, now: MonotonicTime) {
        if !self.is_offer_due(now) {
            return;
        }
        self.last_offer_at = Some(now);
        let mut offers: BTreeMap<NodeId, Vec<u16>> = BTreeMap::new();
        for group in 0..self.parameters.groups {
            let coordinator = self.coordinators[usize::from(group)];
            if let Some(coordinator) = coordinator.filter(|_| self.owned.can_lend(group, now)) {
                offers.entry(coordinator).or_default().push(group);
            }
        }
        for (coordinator, groups) in offers {
            if coordinator == self.origin.node {
                self.handle_offer(self.origin, &groups, now);
            } else {
                self.queue_message(coordinator, ShareMessage::OfferLoans { groups });
            }
        }
    }

    /// Requests loans of the offered groups that this entry coordinates.
    pub(super) fn handle_offer(&mut self, from: Origin, groups: &[u16], now: MonotonicTime) {
        let coordinated = groups.iter().copied();
        let coordinated: BTreeSet<u16> = coordinated
            .filter(|group| self.coordinates(*group))
            .collect();
        self.request_loans(from.node, coordinated, now);
    }

    /// Requests renewal of the loans in the pools that this entry coordinates,
    /// when due.
    pub(super) fn renew_loans(&mut self, now: MonotonicTime) {
        let mut lenders: BTreeMap<NodeId, BTreeSet<u16>> = BTreeMap::new();
        for group in 0..self.parameters.groups {
            if !self.coordinates(group) || self.pools[usize::from(group)].is_empty(now) {
                continue;
            }
            for lender in self.pools[usize::from(group)].lenders() {
                lenders.entry(lender).or_default().insert(group);
            }
        }
        for (lender, groups) in lenders {
            let last_request = self.last_loan_request_at.get(&lender);
            let is_due = last_request
                .is_none_or(|at| now.since(*at) >= self.parameters.loan_renewal_interval);
            if is_due {
                self.request_loans(lender, groups, now);
            }
        }
    }

    /// Returns the loans of groups that this entry no longer coordinates, once
    /// no grant out of them is outstanding.
    pub(super) fn return_loans(&mut self, now: MonotonicTime) {
        for group in 0..self.parameters.groups {
            let index = usize::from(group);
            if self.coordinates(group) || self.pools[index].is_empty(now) {
                continue;
            }
            let accounts = self.accounts_of_group(group);
            let Some(returns) = self.pools[index].return_loans(&accounts, now) else {
                continue;
            };
            self.drop_pending_loans(group);
            for (lender, loan, levels) in returns {
                if lender == self.origin.node {
                    self.owned
                        .accept_return(loan, self.origin.incarnation, &levels, now);
                } else {
                    self.queue_message(lender, ShareMessage::ReturnLoan { loan, levels });
                }
            }
        }
    }

    /// Lends the requested groups that can be lent, and renews the loans that
    /// the same incarnation already holds.
    pub(super) fn handle_loan_request(
        &mut self,
        to: Origin,
        request_id: u64,
        groups: &[u16],
        now: MonotonicTime,
    ) {
        let mut loans = Vec::new();
        let mut levels = Vec::new();
        for group in groups {
            let accounts = self.accounts_of_group(*group);
            if let Some((loan, tokens)) =
                self.owned
                    .lend_or_renew(*group, to.incarnation, &accounts, now)
            {
                loans.push(loan);
                levels.extend(tokens);
            }
        }
        if loans.is_empty() {
            return;
        }
        let slots = self.owned.active_slots(now);
        if to == self.origin {
            self.accept_loans(to, request_id, slots, &loans, &levels, now);
            return;
        }
        let message = ShareMessage::Lend {
            request_id,
            slots,
            loans,
            levels,
        };
        self.queue_message(to.node, message);
    }

    /// Adds loans that this entry requested to its pools; ignores unrequested
    /// and late ones.
    pub(super) fn accept_loans(
        &mut self,
        from: Origin,
        request_id: u64,
        slots: u16,
        loans: &[GroupLoan],
        levels: &[AccountTokens],
        now: MonotonicTime,
    ) {
        let Some(pending) = self.pending_loan_requests.get_mut(&request_id) else {
            return;
        };
        if pending.to != from.node || pending.expires_at <= now {
            return;
        }
        let expires_at = pending.expires_at;
        let accepted: Vec<GroupLoan> = loans
            .iter()
            .copied()
            .filter(|loan| pending.groups.remove(&loan.group))
            .collect();
        let mut new_groups = BTreeSet::new();
        for loan in &accepted {
            let accounts = self.accounts_of_group(loan.group);
            let pool = &mut self.pools[usize::from(loan.group)];
            if pool.add_loan(from.node, slots, *loan, expires_at, &accounts, now) {
                new_groups.insert(loan.group);
            }
        }
        // Tokens that arrive after their loan was renewed are dropped: the pool
        // has been refilling for that share since the renewal.
        for level in levels {
            if new_groups.contains(&level.account.group(self.parameters.groups)) {
                self.add_to_pool(level, now);
            }
        }
        let groups: BTreeSet<u16> = accepted.iter().map(|loan| loan.group).collect();
        self.serve_accounts_of_groups(&groups, now);
    }

    /// Requests loans from one entry, which may be this one, and records the
    /// request as pending.
    fn request_loans(&mut self, from: NodeId, groups: BTreeSet<u16>, now: MonotonicTime) {
        if groups.is_empty() {
            return;
        }
        self.pending_loan_requests
            .retain(|_, pending| pending.expires_at > now);
        self.last_loan_request_at.insert(from, now);
        let request_id = self.next_id();
        let group_list: Vec<u16> = groups.iter().copied().collect();
        let pending = PendingLoanRequest {
            to: from,
            groups,
            expires_at: now + self.parameters.loan_duration,
        };
        self.pending_loan_requests.insert(request_id, pending);
        if from == self.origin.node {
            self.handle_loan_request(self.origin, request_id, &group_list, now);
            return;
        }
        let message = ShareMessage::RequestLoans {
            request_id,
            groups: group_list,
        };
        self.queue_message(from, message);
    }

    /// Ignores loans of a group that arrive from now on; they would let this
    /// entry use a share that it has returned.
    fn drop_pending_loans(&mut self, group: u16) {
        for pending in self.pending_loan_requests.values_mut() {
            pending.groups.remove(&group);
        }
    }

    /// Adds tokens transferred with a loan, if the rules still name the
    /// account.
    fn add_to_pool(&mut self, level: &AccountTokens, now: MonotonicTime) {
        if let Some(allowance) = self.allowances.get(&level.account).copied() {
            let group = level.account.group(self.parameters.groups);
            let pool = &mut self.pools[usize::from(group)];
            pool.add_tokens(level.account, allowance, level.tokens, now);
        }
    }

    /// Serves the active accounts of groups whose pools may have gained tokens.
    fn serve_accounts_of_groups(&mut self, groups: &BTreeSet<u16>, now: MonotonicTime) {
        let accounts: Vec<AccountId> = self
            .active_accounts
            .iter()
            .copied()
            .filter(|account| groups.contains(&account.group(self.parameters.groups)))
            .collect();
        for account in accounts {
            self.serve_account(account, now);
        }
    }
}

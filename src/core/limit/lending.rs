//! Loans between slots and the keepers of groups.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::AccountId;
use super::AccountTokens;
use super::Limiter;
use super::NodeId;
use super::Origin;
use super::ShareMessage;
use super::message::GroupLoan;
use super::pending::PendingBorrow;
use crate::core::MonotonicTime;

impl Limiter {
    /// Tells keepers which groups are at home here, and borrows from itself
    /// what it keeps.
    pub(super) fn offer(&mut self, now: MonotonicTime) {
        if !self.is_offer_due(now) {
            return;
        }
        self.offered_at = Some(now);
        let mut offers: BTreeMap<NodeId, Vec<u16>> = BTreeMap::new();
        for group in 0..self.parameters.groups {
            let keeper = self.keepers[usize::from(group)];
            if let Some(keeper) = keeper.filter(|_| self.home.may_lend(group, now)) {
                offers.entry(keeper).or_default().push(group);
            }
        }
        for (keeper, groups) in offers {
            if keeper == self.origin.node {
                self.hear_offer(self.origin, &groups, now);
            } else {
                self.send(keeper, ShareMessage::OfferLoans { groups });
            }
        }
    }

    /// Borrows what is offered, if this entry keeps it.
    pub(super) fn hear_offer(&mut self, from: Origin, groups: &[u16], now: MonotonicTime) {
        let kept = groups.iter().copied();
        let kept: BTreeSet<u16> = kept.filter(|group| self.keeps(*group)).collect();
        self.borrow(from.node, kept, now);
    }

    /// Prolongs the loans of groups that this entry keeps.
    pub(super) fn renew_loans(&mut self, now: MonotonicTime) {
        let mut lenders: BTreeMap<NodeId, BTreeSet<u16>> = BTreeMap::new();
        for group in 0..self.parameters.groups {
            if !self.keeps(group) || self.pools[usize::from(group)].is_empty(now) {
                continue;
            }
            for lender in self.pools[usize::from(group)].lenders() {
                lenders.entry(lender).or_default().insert(group);
            }
        }
        for (lender, groups) in lenders {
            let last = self.borrowed_at.get(&lender);
            let is_due =
                last.is_none_or(|at| now.since(*at) >= self.parameters.loan_renewal_interval);
            if is_due {
                self.borrow(lender, groups, now);
            }
        }
    }

    /// Gives back the loans of groups that this entry no longer keeps.
    pub(super) fn give_back_pools(&mut self, now: MonotonicTime) {
        for group in 0..self.parameters.groups {
            let index = usize::from(group);
            if self.keeps(group) || self.pools[index].is_empty(now) {
                continue;
            }
            let members = self.members_of(group);
            let Some(returns) = self.pools[index].give_back(&members, now) else {
                continue;
            };
            self.forget_borrows(group);
            for (lender, loan, levels) in returns {
                if lender == self.origin.node {
                    self.home
                        .take_back(loan, self.origin.incarnation, &levels, now);
                } else {
                    self.send(lender, ShareMessage::ReturnLoan { loan, levels });
                }
            }
        }
    }

    /// Lends groups to a keeper, as far as they are at home or already lent to
    /// it.
    pub(super) fn lend(&mut self, to: Origin, number: u64, groups: &[u16], now: MonotonicTime) {
        let mut loans = Vec::new();
        let mut levels = Vec::new();
        for group in groups {
            let members = self.members_of(*group);
            if let Some((loan, tokens)) = self.home.lend(*group, to.incarnation, &members, now) {
                loans.push(loan);
                levels.extend(tokens);
            }
        }
        if loans.is_empty() {
            return;
        }
        let slots = self.home.slots(now);
        if to == self.origin {
            self.accept_loans(to, number, slots, &loans, &levels, now);
            return;
        }
        let lend = ShareMessage::Lend {
            number,
            slots,
            loans,
            levels,
        };
        self.send(to.node, lend);
    }

    /// Takes loans that this entry asked for; others are ignored.
    pub(super) fn accept_loans(
        &mut self,
        from: Origin,
        number: u64,
        slots: u16,
        loans: &[GroupLoan],
        levels: &[AccountTokens],
        now: MonotonicTime,
    ) {
        let Some(pending) = self.borrows.get_mut(&number) else {
            return;
        };
        if pending.to != from.node || pending.until <= now {
            return;
        }
        let until = pending.until;
        let accepted: Vec<GroupLoan> = loans
            .iter()
            .copied()
            .filter(|loan| pending.groups.remove(&loan.group))
            .collect();
        let mut begun = BTreeSet::new();
        for loan in &accepted {
            let members = self.members_of(loan.group);
            let pool = &mut self.pools[usize::from(loan.group)];
            if pool.add_loan(from.node, slots, *loan, until, &members, now) {
                begun.insert(loan.group);
            }
        }
        // Tokens that come after their loan has been prolonged are lost: the
        // pool has filled in their place.
        for level in levels {
            if begun.contains(&level.account.group(self.parameters.groups)) {
                self.put_in_pool(level, now);
            }
        }
        let groups: BTreeSet<u16> = accepted.iter().map(|loan| loan.group).collect();
        self.serve_groups(&groups, now);
    }

    fn borrow(&mut self, from: NodeId, groups: BTreeSet<u16>, now: MonotonicTime) {
        if groups.is_empty() {
            return;
        }
        self.borrows.retain(|_, pending| pending.until > now);
        self.borrowed_at.insert(from, now);
        let number = self.draw_number();
        let list: Vec<u16> = groups.iter().copied().collect();
        let pending = PendingBorrow {
            to: from,
            groups,
            until: now + self.parameters.loan_duration,
        };
        self.borrows.insert(number, pending);
        if from == self.origin.node {
            self.lend(self.origin, number, &list, now);
            return;
        }
        let borrow = ShareMessage::RequestLoans {
            number,
            groups: list,
        };
        self.send(from, borrow);
    }

    /// Makes sure that no loan of a group comes in late.
    fn forget_borrows(&mut self, group: u16) {
        for pending in self.borrows.values_mut() {
            pending.groups.remove(&group);
        }
    }

    fn put_in_pool(&mut self, level: &AccountTokens, now: MonotonicTime) {
        if let Some(allowance) = self.allowances.get(&level.account).copied() {
            let group = level.account.group(self.parameters.groups);
            let pool = &mut self.pools[usize::from(group)];
            pool.put(level.account, allowance, level.tokens, now);
        }
    }

    fn serve_groups(&mut self, groups: &BTreeSet<u16>, now: MonotonicTime) {
        let members: Vec<AccountId> = self
            .active
            .iter()
            .copied()
            .filter(|account| groups.contains(&account.group(self.parameters.groups)))
            .collect();
        for account in members {
            self.serve(account, now);
        }
    }
}

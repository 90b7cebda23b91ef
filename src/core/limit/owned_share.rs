//! This entry's share, through its slots, of every account's allowance, and the
//! loans given out of it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::AccountId;
use super::AccountTokens;
use super::Allowance;
use super::allowance::ShareFraction;
use super::message::GroupLoan;
use super::share_parameters::with_clock_margin;
use super::token_bucket::MICROS_PER_TOKEN;
use super::token_bucket::TokenBucket;
use crate::core::MonotonicTime;
use crate::core::ProcessIncarnation;

/// This entry's share, through its slots, of every account's allowance. Each
/// group of accounts is either local, so that this entry may spend its tokens,
/// or lent.
#[derive(Debug)]
pub(super) struct OwnedShare {
    fraction: ShareFraction,
    /// Expiry of the lease on the slots by this entry's clock.
    lease_expires_at: MonotonicTime,
    lending_stopped: bool,
    loan_duration: Duration,
    /// Indexed by group.
    group_states: Vec<GroupState>,
    last_loan_id: u64,
    /// Created when an account is first used; meaningful only while its group
    /// is local.
    buckets: BTreeMap<AccountId, TokenBucket>,
}

/// Who may spend the tokens of a group.
#[derive(Debug, Clone, Copy)]
enum GroupState {
    /// This entry.
    Local,
    /// The coordinator that borrowed them, until the loan expires by this
    /// entry's clock.
    Lent {
        borrower: ProcessIncarnation,
        loan_id: u64,
        expires_at: MonotonicTime,
    },
}

impl OwnedShare {
    /// Creates the share of an entry without slots.
    pub(super) fn new(total_slots: u16, group_count: u16, loan_duration: Duration) -> Self {
        Self {
            fraction: ShareFraction {
                slots: 0,
                total_slots,
            },
            lease_expires_at: MonotonicTime::ZERO,
            lending_stopped: false,
            loan_duration,
            group_states: vec![GroupState::Local; usize::from(group_count)],
            last_loan_id: 0,
            buckets: BTreeMap::new(),
        }
    }

    /// Returns the number of slots, or 0 once the lease has expired.
    pub(super) fn active_slots(&self, now: MonotonicTime) -> u16 {
        match now < self.lease_expires_at {
            true => self.fraction.slots,
            false => 0,
        }
    }

    /// Sets the number of slots and the expiry of their lease. An entry that
    /// had none starts with empty buckets, because an earlier holder may have
    /// spent the tokens.
    pub(super) fn set_slots(
        &mut self,
        slots: u16,
        lease_expires_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        if self.active_slots(now) == 0 {
            let buckets = self.buckets.values_mut();
            buckets.for_each(|bucket| bucket.reset(now));
        }
        self.fraction.slots = slots;
        self.lease_expires_at = lease_expires_at;
    }

    /// Drops the buckets of accounts that the rules no longer name.
    pub(super) fn retain_accounts(&mut self, is_known: impl Fn(AccountId) -> bool) {
        self.buckets.retain(|account, _| is_known(*account));
    }

    /// Refills all local buckets up to `now`; called before and after a change
    /// of slots or rules.
    pub(super) fn refill_all(
        &mut self,
        allowances: &BTreeMap<AccountId, Allowance>,
        group_count: u16,
        now: MonotonicTime,
    ) {
        for (account, allowance) in allowances {
            if self.is_local(account.group(group_count), now) {
                self.refill(*account, *allowance, now);
            }
        }
    }

    /// Refuses all further loans and renewals.
    pub(super) fn stop_lending(&mut self) {
        self.lending_stopped = true;
    }

    /// Returns whether every group is local, after ending expired loans.
    pub(super) fn has_no_loans(&mut self, now: MonotonicTime) -> bool {
        (0..self.group_states.len()).all(|group| {
            let group = u16::try_from(group).unwrap_or(0);
            self.is_local(group, now)
        })
    }

    /// Returns whether a group is local, after ending an expired loan, and a
    /// new loan of it would expire within the lease.
    pub(super) fn can_lend(&mut self, group: u16, now: MonotonicTime) -> bool {
        let loan_end = now + with_clock_margin(self.loan_duration);
        let fits_in_lease = self.fraction.slots > 0 && loan_end < self.lease_expires_at;
        fits_in_lease && !self.lending_stopped && self.is_local(group, now)
    }

    /// Lends a group to an incarnation of its coordinator, or renews the loan
    /// that it holds. A new loan comes with the tokens in the buckets, a
    /// renewal with none. Returns `None` if neither is possible.
    pub(super) fn lend_or_renew(
        &mut self,
        group: u16,
        borrower: ProcessIncarnation,
        accounts: &[(AccountId, Allowance)],
        now: MonotonicTime,
    ) -> Option<(GroupLoan, Vec<AccountTokens>)> {
        let expires_at = now + with_clock_margin(self.loan_duration);
        if self.can_lend(group, now) {
            let account_tokens = self.take_all(accounts, now);
            self.last_loan_id += 1;
            let loan_id = self.last_loan_id;
            self.group_states[usize::from(group)] = GroupState::Lent {
                borrower,
                loan_id,
                expires_at,
            };
            return Some((GroupLoan { group, loan_id }, account_tokens));
        }
        let can_renew = !self.lending_stopped && expires_at < self.lease_expires_at;
        match self.group_states.get_mut(usize::from(group))? {
            GroupState::Lent {
                borrower: holder,
                loan_id,
                expires_at: loan_expires_at,
            } if *holder == borrower && can_renew => {
                *loan_expires_at = expires_at;
                let loan_id = *loan_id;
                Some((GroupLoan { group, loan_id }, Vec::new()))
            }
            _ => None,
        }
    }

    /// Makes a returned group local again with the returned tokens; ignores any
    /// loan but the current one.
    pub(super) fn accept_return(
        &mut self,
        loan: GroupLoan,
        borrower: ProcessIncarnation,
        account_tokens: &[AccountTokens],
        now: MonotonicTime,
    ) {
        if self.is_local(loan.group, now) {
            return;
        }
        let Some(group_state) = self.group_states.get_mut(usize::from(loan.group)) else {
            return;
        };
        let is_current_loan = matches!(
            *group_state,
            GroupState::Lent { borrower: holder, loan_id, .. }
                if holder == borrower && loan_id == loan.loan_id
        );
        if !is_current_loan {
            return;
        }
        *group_state = GroupState::Local;
        let group_count = u16::try_from(self.group_states.len()).unwrap_or(1);
        self.reset_group(loan.group, group_count, now);
        for item in account_tokens {
            if item.account.group(group_count) == loan.group {
                let bucket = self.bucket(item.account, now);
                bucket.add(item.tokens.saturating_mul(MICROS_PER_TOKEN));
            }
        }
    }

    /// Takes micro-tokens of a local account; returns whether they sufficed.
    pub(super) fn try_take(
        &mut self,
        account: AccountId,
        allowance: Allowance,
        micro_tokens: u64,
        now: MonotonicTime,
    ) -> bool {
        self.level(account, allowance, now) >= micro_tokens
            && self.bucket(account, now).try_take(micro_tokens)
    }

    /// Returns the micro-tokens of an account; 0 if its group is lent or the
    /// lease has expired.
    pub(super) fn level(
        &mut self,
        account: AccountId,
        allowance: Allowance,
        now: MonotonicTime,
    ) -> u64 {
        let group_count = u16::try_from(self.group_states.len()).unwrap_or(1);
        if self.active_slots(now) == 0 || !self.is_local(account.group(group_count), now) {
            return 0;
        }
        self.refill(account, allowance, now);
        self.bucket(account, now).level()
    }

    /// Adds tokens left by an earlier slot holder; the next refill caps each
    /// bucket at its share of the burst.
    pub(super) fn add_tokens(&mut self, account_tokens: &[AccountTokens], now: MonotonicTime) {
        for item in account_tokens {
            let micro_tokens = item.tokens.saturating_mul(MICROS_PER_TOKEN);
            self.bucket(item.account, now).add(micro_tokens);
        }
    }

    /// Empties the buckets of the accounts and returns their tokens, rounded
    /// down.
    pub(super) fn take_all(
        &mut self,
        accounts: &[(AccountId, Allowance)],
        now: MonotonicTime,
    ) -> Vec<AccountTokens> {
        let mut account_tokens = Vec::new();
        for (account, allowance) in accounts {
            self.refill(*account, *allowance, now);
            let tokens = self.bucket(*account, now).take_all() / MICROS_PER_TOKEN;
            if tokens > 0 {
                account_tokens.push(AccountTokens {
                    account: *account,
                    tokens,
                });
            }
        }
        account_tokens
    }

    fn refill(&mut self, account: AccountId, allowance: Allowance, now: MonotonicTime) {
        let fraction = ShareFraction {
            slots: self.active_slots(now),
            ..self.fraction
        };
        self.bucket(account, now)
            .refill(allowance, fraction, 0, now);
    }

    fn bucket(&mut self, account: AccountId, now: MonotonicTime) -> &mut TokenBucket {
        self.buckets
            .entry(account)
            .or_insert_with(|| TokenBucket::new(now))
    }

    /// Returns whether a group is local; makes it local if its loan has
    /// expired.
    fn is_local(&mut self, group: u16, now: MonotonicTime) -> bool {
        match self.group_states.get(usize::from(group)) {
            Some(GroupState::Local) => true,
            Some(GroupState::Lent { expires_at, .. }) if *expires_at <= now => {
                let expires_at = *expires_at;
                let group_count = u16::try_from(self.group_states.len()).unwrap_or(1);
                self.group_states[usize::from(group)] = GroupState::Local;
                self.reset_group(group, group_count, expires_at);
                true
            }
            _ => false,
        }
    }

    /// Empties the buckets of a group and lets them refill from `since` on.
    fn reset_group(&mut self, group: u16, group_count: u16, since: MonotonicTime) {
        self.buckets
            .iter_mut()
            .filter(|(account, _)| account.group(group_count) == group)
            .for_each(|(_, bucket)| bucket.reset(since));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ACCOUNT: AccountId = AccountId(0);
    const ALLOWANCE: Allowance = Allowance {
        rate: 100,
        burst: 1_000,
    };
    const LOAN_DURATION: Duration = Duration::from_secs(4);
    const BORROWER: ProcessIncarnation = ProcessIncarnation(9);

    fn at(seconds: u64) -> MonotonicTime {
        MonotonicTime::ZERO + Duration::from_secs(seconds)
    }

    /// Holds the only slot under a lease from 0 s to 100 s.
    fn make_owned_share() -> OwnedShare {
        let mut owned = OwnedShare::new(1, 1, LOAN_DURATION);
        owned.set_slots(1, at(100), at(0));
        owned.refill(ACCOUNT, ALLOWANCE, at(0));
        owned
    }

    fn lend(owned: &mut OwnedShare, seconds: u64) -> Option<(GroupLoan, Vec<AccountTokens>)> {
        owned.lend_or_renew(0, BORROWER, &[(ACCOUNT, ALLOWANCE)], at(seconds))
    }

    #[test]
    fn level_after_lease_expiry_is_zero() {
        let mut owned = make_owned_share();
        assert_eq!(
            owned.level(ACCOUNT, ALLOWANCE, at(99)),
            1_000 * MICROS_PER_TOKEN
        );
        assert_eq!(owned.level(ACCOUNT, ALLOWANCE, at(100)), 0);
    }

    #[test]
    fn set_slots_after_lease_expiry_starts_empty() {
        let mut owned = make_owned_share();
        owned.refill(ACCOUNT, ALLOWANCE, at(99));
        owned.set_slots(1, at(300), at(101));
        assert_eq!(owned.level(ACCOUNT, ALLOWANCE, at(101)), 0);
        assert_eq!(
            owned.level(ACCOUNT, ALLOWANCE, at(103)),
            200 * MICROS_PER_TOKEN
        );
    }

    #[test]
    fn lend_only_within_lease() {
        let mut owned = make_owned_share();
        assert!(lend(&mut owned, 94).is_some());
        assert!(lend(&mut owned, 96).is_none(), "renewed beyond the lease");
        let mut owned = make_owned_share();
        assert!(lend(&mut owned, 96).is_none(), "lent beyond the lease");
    }

    #[test]
    fn lend_transfers_tokens_once() {
        let mut owned = make_owned_share();
        let (loan, account_tokens) = lend(&mut owned, 2).expect("the loan fits in the lease");
        assert_eq!(account_tokens[0].tokens, 200);
        assert_eq!(lend(&mut owned, 4), Some((loan, Vec::new())));
        assert_eq!(owned.level(ACCOUNT, ALLOWANCE, at(5)), 0);
    }

    #[test]
    fn level_after_loan_expiry_starts_empty() {
        let mut owned = make_owned_share();
        lend(&mut owned, 50).expect("the loan fits in the lease");
        assert!(owned.level(ACCOUNT, ALLOWANCE, at(55)) < 100 * MICROS_PER_TOKEN);
    }

    #[test]
    fn accept_return_of_earlier_loan_is_ignored() {
        let mut owned = make_owned_share();
        let (first, account_tokens) = lend(&mut owned, 10).expect("the loan fits in the lease");
        owned.accept_return(first, BORROWER, &account_tokens, at(11));
        lend(&mut owned, 12).expect("the loan fits in the lease");
        owned.accept_return(first, BORROWER, &account_tokens, at(13));
        assert_eq!(owned.level(ACCOUNT, ALLOWANCE, at(13)), 0);
    }
}

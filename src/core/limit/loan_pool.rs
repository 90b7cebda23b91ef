//! Pool of borrowed shares from which the coordinator of a group issues grants.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::AccountId;
use super::AccountTokens;
use super::Allowance;
use super::NodeId;
use super::allowance::ShareFraction;
use super::message::GroupLoan;
use super::share_parameters::with_clock_margin;
use super::token_bucket::MICROS_PER_TOKEN;
use super::token_bucket::TokenBucket;
use crate::core::MonotonicTime;

/// Shares of one group that slot holders lent to its coordinator, and the
/// grants issued from them.
#[derive(Debug)]
pub(super) struct LoanPool {
    group: u16,
    total_slots: u16,
    max_grant_duration: Duration,
    /// At most one loan per lender.
    loans: Vec<Loan>,
    accounts: BTreeMap<AccountId, PooledAccount>,
}

/// Share lent by one slot holder.
#[derive(Debug)]
struct Loan {
    lender: NodeId,
    loan_id: u64,
    slots: u16,
    expires_at: MonotonicTime,
}

/// Bucket of one account and the unexpired grants issued from it.
#[derive(Debug)]
struct PooledAccount {
    bucket: TokenBucket,
    /// In order of issue. An expired grant is removed only once those before it
    /// have expired.
    grants: VecDeque<IssuedGrant>,
    /// Micro-tokens in `grants`; they count against the burst.
    outstanding_micro_tokens: u64,
}

#[derive(Debug)]
struct IssuedGrant {
    grant_id: u64,
    micro_tokens: u64,
    expires_at: MonotonicTime,
}

impl LoanPool {
    /// Creates an empty pool that issues no grant longer than
    /// `max_grant_duration`.
    pub(super) fn new(group: u16, total_slots: u16, max_grant_duration: Duration) -> Self {
        Self {
            group,
            total_slots,
            max_grant_duration,
            loans: Vec::new(),
            accounts: BTreeMap::new(),
        }
    }

    /// Drops expired loans and returns whether none is left.
    pub(super) fn is_empty(&mut self, now: MonotonicTime) -> bool {
        self.loans.retain(|loan| loan.expires_at > now);
        self.loans.is_empty()
    }

    /// Returns the lender of each loan.
    pub(super) fn lenders(&self) -> impl Iterator<Item = NodeId> {
        self.loans.iter().map(|loan| loan.lender)
    }

    /// Adds or renews a loan, after refilling the accounts at the previous size
    /// of the pool. Returns whether it is new. A loan replaces an earlier one
    /// of the same lender.
    pub(super) fn add_loan(
        &mut self,
        lender: NodeId,
        slots: u16,
        group_loan: GroupLoan,
        expires_at: MonotonicTime,
        accounts: &[(AccountId, Allowance)],
        now: MonotonicTime,
    ) -> bool {
        for (account, allowance) in accounts {
            self.refill(*account, *allowance, now);
        }
        self.loans.retain(|loan| {
            let is_superseded = loan.lender == lender && loan.loan_id != group_loan.loan_id;
            loan.expires_at > now && !is_superseded
        });
        let existing = self.loans.iter_mut().find(|loan| loan.lender == lender);
        if let Some(loan) = existing {
            loan.slots = slots;
            loan.expires_at = loan.expires_at.max(expires_at);
            return false;
        }
        self.loans.push(Loan {
            lender,
            loan_id: group_loan.loan_id,
            slots,
            expires_at,
        });
        true
    }

    /// Adds tokens transferred with a loan, up to the pool's share of the
    /// burst.
    pub(super) fn add_tokens(
        &mut self,
        account: AccountId,
        allowance: Allowance,
        tokens: u64,
        now: MonotonicTime,
    ) {
        let micro_tokens = tokens.saturating_mul(MICROS_PER_TOKEN);
        self.account(account, now).bucket.add(micro_tokens);
        self.refill(account, allowance, now);
    }

    /// Refills an account and returns its micro-tokens.
    pub(super) fn level(
        &mut self,
        account: AccountId,
        allowance: Allowance,
        now: MonotonicTime,
    ) -> u64 {
        self.refill(account, allowance, now);
        self.account(account, now).bucket.level()
    }

    /// Takes micro-tokens from the account's bucket; returns whether they
    /// sufficed.
    pub(super) fn try_take(
        &mut self,
        account: AccountId,
        allowance: Allowance,
        micro_tokens: u64,
        now: MonotonicTime,
    ) -> bool {
        self.refill(account, allowance, now);
        self.account(account, now).bucket.try_take(micro_tokens)
    }

    /// Issues a grant; returns `false` if it would exceed the level or the
    /// longest duration.
    pub(super) fn issue_grant(
        &mut self,
        account: AccountId,
        allowance: Allowance,
        new_grant: NewGrant,
        now: MonotonicTime,
    ) -> bool {
        if new_grant.lifetime > self.max_grant_duration
            || !self.try_take(account, allowance, new_grant.micro_tokens, now)
        {
            return false;
        }
        let pooled = self.account(account, now);
        pooled.outstanding_micro_tokens += new_grant.micro_tokens;
        pooled.grants.push_back(IssuedGrant {
            grant_id: new_grant.id,
            micro_tokens: new_grant.micro_tokens,
            expires_at: now + with_clock_margin(new_grant.lifetime),
        });
        true
    }

    /// Takes back the unused micro-tokens of a grant. Ignores grants that are
    /// unknown or already removed after their expiry.
    pub(super) fn release_grant(
        &mut self,
        account: AccountId,
        allowance: Allowance,
        grant_id: u64,
        unused_micro_tokens: u64,
        now: MonotonicTime,
    ) {
        self.refill(account, allowance, now);
        let pooled = self.account(account, now);
        let found = pooled
            .grants
            .iter()
            .position(|issued| issued.grant_id == grant_id);
        let Some(issued) = found.and_then(|index| pooled.grants.remove(index)) else {
            return;
        };
        pooled.outstanding_micro_tokens -= issued.micro_tokens;
        pooled
            .bucket
            .add(unused_micro_tokens.min(issued.micro_tokens));
    }

    /// Empties the pool and gives its unexpired loans back with their tokens;
    /// `None` while a grant is outstanding.
    pub(super) fn return_loans(
        &mut self,
        accounts: &[(AccountId, Allowance)],
        now: MonotonicTime,
    ) -> Option<Vec<(NodeId, GroupLoan, Vec<AccountTokens>)>> {
        for (account, allowance) in accounts {
            self.refill(*account, *allowance, now);
        }
        if self
            .accounts
            .values()
            .any(|pooled| pooled.outstanding_micro_tokens > 0)
        {
            return None;
        }
        let loans = std::mem::take(&mut self.loans);
        // Expired loans count as well: their part of the tokens is dropped, as
        // their lenders start again with empty buckets.
        let lent_slots: u64 = loans.iter().map(|loan| u64::from(loan.slots)).sum();
        let given_back = loans
            .iter()
            .filter(|loan| loan.expires_at > now)
            .map(|loan| {
                let group_loan = GroupLoan {
                    group: self.group,
                    loan_id: loan.loan_id,
                };
                (
                    loan.lender,
                    group_loan,
                    self.split_tokens(loan.slots, lent_slots),
                )
            })
            .collect();
        self.accounts.clear();
        Some(given_back)
    }

    /// Returns the part of all levels that goes back with `slots` of the
    /// `lent_slots`, in whole tokens.
    fn split_tokens(&self, slots: u16, lent_slots: u64) -> Vec<AccountTokens> {
        let split = |level: u64| level / MICROS_PER_TOKEN * u64::from(slots) / lent_slots.max(1);
        self.accounts
            .iter()
            .map(|(account, pooled)| AccountTokens {
                account: *account,
                tokens: split(pooled.bucket.level()),
            })
            .filter(|item| item.tokens > 0)
            .collect()
    }

    /// Counts the slots whose loans outlast any grant issued now.
    fn usable_slots(&self, now: MonotonicTime) -> u16 {
        let last_grant_end = now + with_clock_margin(self.max_grant_duration);
        self.loans
            .iter()
            .filter(|loan| loan.expires_at > last_grant_end)
            .map(|loan| loan.slots)
            .sum()
    }

    /// Drops the grants that have expired and refills an account by the usable
    /// slots.
    fn refill(&mut self, account: AccountId, allowance: Allowance, now: MonotonicTime) {
        let fraction = ShareFraction {
            slots: self.usable_slots(now),
            total_slots: self.total_slots,
        };
        let pooled = self.account(account, now);
        while pooled
            .grants
            .front()
            .is_some_and(|front| front.expires_at <= now)
        {
            let expired = pooled
                .grants
                .pop_front()
                .map_or(0, |expired| expired.micro_tokens);
            pooled.outstanding_micro_tokens -= expired;
        }
        let outstanding_micro_tokens = pooled.outstanding_micro_tokens;
        pooled
            .bucket
            .refill(allowance, fraction, outstanding_micro_tokens, now);
    }

    fn account(&mut self, account: AccountId, now: MonotonicTime) -> &mut PooledAccount {
        self.accounts
            .entry(account)
            .or_insert_with(|| PooledAccount {
                bucket: TokenBucket::new(now),
                grants: VecDeque::new(),
                outstanding_micro_tokens: 0,
            })
    }
}

/// A grant or sub-grant to issue.
#[derive(Debug, Clone, Copy)]
pub(super) struct NewGrant {
    /// Id at the issuer.
    pub id: u64,
    /// Size in micro-tokens; a sub-grant may be smaller.
    pub micro_tokens: u64,
    /// Time for which the receiver may use it. The issuer counts it as
    /// outstanding for longer, by
    /// [`with_clock_margin`](super::share_parameters::with_clock_margin).
    pub lifetime: Duration,
}

#[cfg(test)]
mod tests {
    use super::*;

    const ACCOUNT: AccountId = AccountId(0);
    const ALLOWANCE: Allowance = Allowance {
        rate: 100,
        burst: 1_000,
    };
    const GRANT_DURATION: Duration = Duration::from_secs(2);
    const LOAN: GroupLoan = GroupLoan {
        group: 0,
        loan_id: 1,
    };

    fn at(millis: u64) -> MonotonicTime {
        MonotonicTime::ZERO + Duration::from_millis(millis)
    }

    /// Has borrowed the only slot from 0 s to 10 s.
    fn make_pool() -> LoanPool {
        let accounts = [(ACCOUNT, ALLOWANCE)];
        let mut pool = LoanPool::new(0, 1, GRANT_DURATION);
        pool.refill(ACCOUNT, ALLOWANCE, at(0));
        pool.add_loan(NodeId(1), 1, LOAN, at(10_000), &accounts, at(0));
        pool
    }

    fn issue(pool: &mut LoanPool, id: u64, tokens: u64, millis: u64) -> bool {
        let new_grant = NewGrant {
            id,
            micro_tokens: tokens * MICROS_PER_TOKEN,
            lifetime: GRANT_DURATION,
        };
        pool.issue_grant(ACCOUNT, ALLOWANCE, new_grant, at(millis))
    }

    #[test]
    fn issue_grant_expires_before_loan() {
        let mut pool = make_pool();
        assert!(issue(&mut pool, 1, 1, 7_900));
        assert!(!issue(&mut pool, 2, 1, 8_000));
    }

    #[test]
    fn issue_grant_counts_against_burst() {
        let accounts = [(ACCOUNT, ALLOWANCE)];
        let mut pool = make_pool();
        pool.add_loan(NodeId(1), 1, LOAN, at(60_000), &accounts, at(0));
        pool.add_tokens(ACCOUNT, ALLOWANCE, 1_000, at(0));
        assert!(issue(&mut pool, 1, 600, 0));
        assert_eq!(
            pool.level(ACCOUNT, ALLOWANCE, at(2_000)),
            400 * MICROS_PER_TOKEN
        );
        assert_eq!(
            pool.level(ACCOUNT, ALLOWANCE, at(4_050)),
            600 * MICROS_PER_TOKEN + 5 * MICROS_PER_TOKEN
        );
    }

    #[test]
    fn release_grant_twice_counts_once() {
        let mut pool = make_pool();
        assert!(issue(&mut pool, 1, 100, 1_000));
        pool.release_grant(ACCOUNT, ALLOWANCE, 1, 100 * MICROS_PER_TOKEN, at(1_000));
        pool.release_grant(ACCOUNT, ALLOWANCE, 1, 100 * MICROS_PER_TOKEN, at(1_000));
        assert_eq!(
            pool.level(ACCOUNT, ALLOWANCE, at(1_000)),
            100 * MICROS_PER_TOKEN
        );
    }

    #[test]
    fn return_loans_waits_for_grants() {
        let mut pool = make_pool();
        assert!(issue(&mut pool, 1, 100, 2_000));
        let accounts = [(ACCOUNT, ALLOWANCE)];
        assert!(pool.return_loans(&accounts, at(3_000)).is_none());
        let returns = pool
            .return_loans(&accounts, at(4_100))
            .expect("the only grant has expired");
        assert_eq!(returns[0].1, LOAN);
        assert_eq!(pool.level(ACCOUNT, ALLOWANCE, at(5_000)), 0);
    }
}

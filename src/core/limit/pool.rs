//! What the keeper of one group has to give.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::AccountId;
use super::AccountTokens;
use super::Allowance;
use super::NodeId;
use super::allowance::Portion;
use super::bucket::Bucket;
use super::bucket::MICRO;
use super::message::GroupLoan;
use super::share_parameters::hold;
use crate::core::MonotonicTime;

/// What the keeper of one group has to give: the parts that slots lent it.
#[derive(Debug)]
pub(super) struct Pool {
    group: u16,
    slots_in_all: u16,
    longest_grant: Duration,
    loans: Vec<Loan>,
    drawers: BTreeMap<AccountId, Drawer>,
}

#[derive(Debug)]
struct Loan {
    lender: NodeId,
    loan: u64,
    slots: u16,
    until: MonotonicTime,
}

/// Bucket of one account and the grants that came out of it.
#[derive(Debug)]
struct Drawer {
    bucket: Bucket,
    grants: VecDeque<Issued>,
    outside: u64,
}

#[derive(Debug)]
struct Issued {
    grant: u64,
    micros: u64,
    until: MonotonicTime,
}

impl Pool {
    /// Creates an empty pool. No grant out of it lives longer than
    /// `longest_grant`.
    pub(super) fn new(group: u16, slots_in_all: u16, longest_grant: Duration) -> Self {
        Self {
            group,
            slots_in_all,
            longest_grant,
            loans: Vec::new(),
            drawers: BTreeMap::new(),
        }
    }

    /// Tells whether nothing is lent to the pool.
    pub(super) fn is_empty(&mut self, now: MonotonicTime) -> bool {
        self.loans.retain(|loan| loan.until > now);
        self.loans.is_empty()
    }

    /// Returns the lenders.
    pub(super) fn lenders(&self) -> impl Iterator<Item = NodeId> {
        self.loans.iter().map(|loan| loan.lender)
    }

    /// Adds or prolongs a loan; tells whether it is new here.
    pub(super) fn add_loan(
        &mut self,
        lender: NodeId,
        slots: u16,
        item: GroupLoan,
        until: MonotonicTime,
        accounts: &[(AccountId, Allowance)],
        now: MonotonicTime,
    ) -> bool {
        for (account, allowance) in accounts {
            self.fill(*account, *allowance, now);
        }
        self.loans.retain(|loan| {
            let is_older = loan.lender == lender && loan.loan != item.loan;
            loan.until > now && !is_older
        });
        let known = self.loans.iter_mut().find(|loan| loan.lender == lender);
        if let Some(loan) = known {
            loan.slots = slots;
            loan.until = loan.until.max(until);
            return false;
        }
        self.loans.push(Loan {
            lender,
            loan: item.loan,
            slots,
            until,
        });
        true
    }

    /// Adds tokens that came with a loan.
    pub(super) fn put(
        &mut self,
        account: AccountId,
        allowance: Allowance,
        tokens: u64,
        now: MonotonicTime,
    ) {
        let micros = tokens.saturating_mul(MICRO);
        self.drawer(account, now).bucket.put(micros);
        self.fill(account, allowance, now);
    }

    /// Returns the level of an account, in millionths of a token.
    pub(super) fn level(
        &mut self,
        account: AccountId,
        allowance: Allowance,
        now: MonotonicTime,
    ) -> u64 {
        self.fill(account, allowance, now);
        self.drawer(account, now).bucket.level()
    }

    /// Takes tokens that are spent at once.
    pub(super) fn take(
        &mut self,
        account: AccountId,
        allowance: Allowance,
        micros: u64,
        now: MonotonicTime,
    ) -> bool {
        self.fill(account, allowance, now);
        self.drawer(account, now).bucket.take(micros)
    }

    /// Issues a grant of at most the level, and no longer than the longest.
    pub(super) fn issue(
        &mut self,
        account: AccountId,
        allowance: Allowance,
        issue: Issue,
        now: MonotonicTime,
    ) -> bool {
        if issue.life > self.longest_grant || !self.take(account, allowance, issue.micros, now) {
            return false;
        }
        let drawer = self.drawer(account, now);
        drawer.outside += issue.micros;
        drawer.grants.push_back(Issued {
            grant: issue.grant,
            micros: issue.micros,
            until: now + hold(issue.life),
        });
        true
    }

    /// Takes back what is left of a grant; an unknown or ended one is left
    /// alone.
    pub(super) fn close(
        &mut self,
        account: AccountId,
        allowance: Allowance,
        grant: u64,
        unused: u64,
        now: MonotonicTime,
    ) {
        self.fill(account, allowance, now);
        let drawer = self.drawer(account, now);
        let found = drawer
            .grants
            .iter()
            .position(|issued| issued.grant == grant);
        let Some(issued) = found.and_then(|index| drawer.grants.remove(index)) else {
            return;
        };
        drawer.outside -= issued.micros;
        drawer.bucket.put(unused.min(issued.micros));
    }

    /// Gives all loans back if no grant is out; the pool is empty afterwards.
    pub(super) fn give_back(
        &mut self,
        accounts: &[(AccountId, Allowance)],
        now: MonotonicTime,
    ) -> Option<Vec<(NodeId, GroupLoan, Vec<AccountTokens>)>> {
        for (account, allowance) in accounts {
            self.fill(*account, *allowance, now);
        }
        if self.drawers.values().any(|drawer| drawer.outside > 0) {
            return None;
        }
        let loans = std::mem::take(&mut self.loans);
        let slots: u64 = loans.iter().map(|loan| u64::from(loan.slots)).sum();
        let returns = loans
            .iter()
            .filter(|loan| loan.until > now)
            .map(|loan| {
                let item = GroupLoan {
                    group: self.group,
                    loan: loan.loan,
                };
                (loan.lender, item, self.part_levels(loan.slots, slots))
            })
            .collect();
        self.drawers.clear();
        Some(returns)
    }

    fn part_levels(&self, slots: u16, of: u64) -> Vec<AccountTokens> {
        let part = |level: u64| level / MICRO * u64::from(slots) / of.max(1);
        self.drawers
            .iter()
            .map(|(account, drawer)| AccountTokens {
                account: *account,
                tokens: part(drawer.bucket.level()),
            })
            .filter(|item| item.tokens > 0)
            .collect()
    }

    /// Counts the slots whose loans outlast any grant issued now.
    fn open_slots(&self, now: MonotonicTime) -> u16 {
        let last_use = now + hold(self.longest_grant);
        self.loans
            .iter()
            .filter(|loan| loan.until > last_use)
            .map(|loan| loan.slots)
            .sum()
    }

    fn fill(&mut self, account: AccountId, allowance: Allowance, now: MonotonicTime) {
        let portion = Portion {
            slots: self.open_slots(now),
            of: self.slots_in_all,
        };
        let drawer = self.drawer(account, now);
        while drawer
            .grants
            .front()
            .is_some_and(|front| front.until <= now)
        {
            let ended = drawer.grants.pop_front().map_or(0, |ended| ended.micros);
            drawer.outside -= ended;
        }
        let outside = drawer.outside;
        drawer.bucket.fill(allowance, portion, outside, now);
    }

    fn drawer(&mut self, account: AccountId, now: MonotonicTime) -> &mut Drawer {
        self.drawers.entry(account).or_insert_with(|| Drawer {
            bucket: Bucket::new(now),
            grants: VecDeque::new(),
            outside: 0,
        })
    }
}

/// A grant to issue.
#[derive(Debug, Clone, Copy)]
pub(super) struct Issue {
    /// Number of the grant.
    pub grant: u64,
    /// Millionths of a token.
    pub micros: u64,
    /// Time for which its receiver may use it.
    pub life: Duration,
}

#[cfg(test)]
mod tests {
    use super::*;

    const ACCOUNT: AccountId = AccountId(0);
    const ALLOWANCE: Allowance = Allowance {
        rate: 100,
        burst: 1_000,
    };
    const GRANT: Duration = Duration::from_secs(2);
    const ITEM: GroupLoan = GroupLoan { group: 0, loan: 1 };

    fn at(millis: u64) -> MonotonicTime {
        MonotonicTime::ZERO + Duration::from_millis(millis)
    }

    /// Has borrowed the only slot from 0 s to 10 s.
    fn make_pool() -> Pool {
        let members = [(ACCOUNT, ALLOWANCE)];
        let mut pool = Pool::new(0, 1, GRANT);
        pool.fill(ACCOUNT, ALLOWANCE, at(0));
        pool.add_loan(NodeId(1), 1, ITEM, at(10_000), &members, at(0));
        pool
    }

    fn issue(pool: &mut Pool, grant: u64, tokens: u64, millis: u64) -> bool {
        let issue = Issue {
            grant,
            micros: tokens * MICRO,
            life: GRANT,
        };
        pool.issue(ACCOUNT, ALLOWANCE, issue, at(millis))
    }

    #[test]
    fn issue_ends_before_loan() {
        let mut pool = make_pool();
        assert!(issue(&mut pool, 1, 1, 7_900));
        assert!(!issue(&mut pool, 2, 1, 8_000));
    }

    #[test]
    fn issue_counts_against_burst() {
        let members = [(ACCOUNT, ALLOWANCE)];
        let mut pool = make_pool();
        pool.add_loan(NodeId(1), 1, ITEM, at(60_000), &members, at(0));
        pool.put(ACCOUNT, ALLOWANCE, 1_000, at(0));
        assert!(issue(&mut pool, 1, 600, 0));
        assert_eq!(pool.level(ACCOUNT, ALLOWANCE, at(2_000)), 400 * MICRO);
        assert_eq!(
            pool.level(ACCOUNT, ALLOWANCE, at(4_050)),
            600 * MICRO + 5 * MICRO
        );
    }

    #[test]
    fn close_twice_counts_once() {
        let mut pool = make_pool();
        assert!(issue(&mut pool, 1, 100, 1_000));
        pool.close(ACCOUNT, ALLOWANCE, 1, 100 * MICRO, at(1_000));
        pool.close(ACCOUNT, ALLOWANCE, 1, 100 * MICRO, at(1_000));
        assert_eq!(pool.level(ACCOUNT, ALLOWANCE, at(1_000)), 100 * MICRO);
    }

    #[test]
    fn give_back_waits_for_grants() {
        let mut pool = make_pool();
        assert!(issue(&mut pool, 1, 100, 2_000));
        let members = [(ACCOUNT, ALLOWANCE)];
        assert!(pool.give_back(&members, at(3_000)).is_none());
        let returns = pool.give_back(&members, at(4_100)).expect("grants ended");
        assert_eq!(returns[0].1, ITEM);
        assert_eq!(pool.level(ACCOUNT, ALLOWANCE, at(5_000)), 0);
    }
}

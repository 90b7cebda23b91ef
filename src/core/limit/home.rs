//! The parts of all accounts that this entry's slots own.

use std::collections::BTreeMap;
use std::time::Duration;

use super::AccountId;
use super::AccountTokens;
use super::Allowance;
use super::allowance::Portion;
use super::bucket::Bucket;
use super::bucket::MICRO;
use super::message::GroupLoan;
use super::share_parameters::hold;
use crate::core::MonotonicTime;
use crate::core::ProcessIncarnation;

/// The parts of all accounts that this entry's slots own. A group of accounts
/// is either at home, where this entry may spend it, or lent.
#[derive(Debug)]
pub(super) struct Home {
    portion: Portion,
    lease_until: MonotonicTime,
    leaving: bool,
    loan_life: Duration,
    tenures: Vec<Tenure>,
    next_loan: u64,
    buckets: BTreeMap<AccountId, Bucket>,
}

#[derive(Debug, Clone, Copy)]
enum Tenure {
    Home,
    Lent {
        to: ProcessIncarnation,
        loan: u64,
        until: MonotonicTime,
    },
}

impl Home {
    /// Creates the home of an entry without slots.
    pub(super) fn new(slots_in_all: u16, groups: u16, loan_life: Duration) -> Self {
        Self {
            portion: Portion {
                slots: 0,
                of: slots_in_all,
            },
            lease_until: MonotonicTime::ZERO,
            leaving: false,
            loan_life,
            tenures: vec![Tenure::Home; usize::from(groups)],
            next_loan: 0,
            buckets: BTreeMap::new(),
        }
    }

    /// Returns the slots whose lease runs.
    pub(super) fn slots(&self, now: MonotonicTime) -> u16 {
        match now < self.lease_until {
            true => self.portion.slots,
            false => 0,
        }
    }

    /// Takes over slots until their lease ends. A slot brings no tokens along,
    /// since an earlier holder may have spent them.
    pub(super) fn set_slots(&mut self, slots: u16, lease_until: MonotonicTime, now: MonotonicTime) {
        if self.slots(now) == 0 {
            let buckets = self.buckets.values_mut();
            buckets.for_each(|bucket| bucket.restart(now));
        }
        self.portion.slots = slots;
        self.lease_until = lease_until;
    }

    /// Drops buckets of accounts that no rule names any more.
    pub(super) fn retain(&mut self, is_known: impl Fn(AccountId) -> bool) {
        self.buckets.retain(|account, _| is_known(*account));
    }

    /// Brings all buckets up to `now`, before the portion changes.
    pub(super) fn fill_all(
        &mut self,
        allowances: &BTreeMap<AccountId, Allowance>,
        groups: u16,
        now: MonotonicTime,
    ) {
        for (account, allowance) in allowances {
            if self.is_home(account.group(groups), now) {
                self.fill(*account, *allowance, now);
            }
        }
    }

    /// Stops lending for good.
    pub(super) fn leave(&mut self) {
        self.leaving = true;
    }

    /// Tells whether no part is lent.
    pub(super) fn is_whole(&mut self, now: MonotonicTime) -> bool {
        (0..self.tenures.len()).all(|group| {
            let group = u16::try_from(group).unwrap_or(0);
            self.is_home(group, now)
        })
    }

    /// Tells whether a group is at home and its slots may be lent.
    pub(super) fn may_lend(&mut self, group: u16, now: MonotonicTime) -> bool {
        let lent_until = now + hold(self.loan_life);
        let lasts = self.portion.slots > 0 && lent_until < self.lease_until;
        lasts && !self.leaving && self.is_home(group, now)
    }

    /// Lends a group to a run of its keeper, or prolongs its loan. Tokens come along when the loan
    /// begins.
    pub(super) fn lend(
        &mut self,
        group: u16,
        to: ProcessIncarnation,
        accounts: &[(AccountId, Allowance)],
        now: MonotonicTime,
    ) -> Option<(GroupLoan, Vec<AccountTokens>)> {
        let until = now + hold(self.loan_life);
        if self.may_lend(group, now) {
            let levels = self.drain(accounts, now);
            self.next_loan += 1;
            let loan = self.next_loan;
            self.tenures[usize::from(group)] = Tenure::Lent { to, loan, until };
            return Some((GroupLoan { group, loan }, levels));
        }
        let may_prolong = !self.leaving && until < self.lease_until;
        match self.tenures.get_mut(usize::from(group))? {
            Tenure::Lent {
                to: holder,
                loan,
                until: end,
            } if *holder == to && may_prolong => {
                *end = until;
                let loan = *loan;
                Some((GroupLoan { group, loan }, Vec::new()))
            }
            _ => None,
        }
    }

    /// Takes a loan back before its end; a loan that has ended is left alone.
    pub(super) fn take_back(
        &mut self,
        item: GroupLoan,
        from: ProcessIncarnation,
        levels: &[AccountTokens],
        now: MonotonicTime,
    ) {
        if self.is_home(item.group, now) {
            return;
        }
        let Some(tenure) = self.tenures.get_mut(usize::from(item.group)) else {
            return;
        };
        let is_its_loan = matches!(
            *tenure,
            Tenure::Lent { to, loan, .. } if to == from && loan == item.loan
        );
        if !is_its_loan {
            return;
        }
        *tenure = Tenure::Home;
        let groups = u16::try_from(self.tenures.len()).unwrap_or(1);
        self.restart(item.group, groups, now);
        for level in levels {
            if level.account.group(groups) == item.group {
                let bucket = self.bucket(level.account, now);
                bucket.put(level.tokens.saturating_mul(MICRO));
            }
        }
    }

    /// Takes tokens of an account that is at home.
    pub(super) fn take(
        &mut self,
        account: AccountId,
        allowance: Allowance,
        micros: u64,
        now: MonotonicTime,
    ) -> bool {
        self.level(account, allowance, now) >= micros && self.bucket(account, now).take(micros)
    }

    /// Returns the level of an account, in millionths of a token; zero if it
    /// is not at home.
    pub(super) fn level(
        &mut self,
        account: AccountId,
        allowance: Allowance,
        now: MonotonicTime,
    ) -> u64 {
        let groups = u16::try_from(self.tenures.len()).unwrap_or(1);
        if self.slots(now) == 0 || !self.is_home(account.group(groups), now) {
            return 0;
        }
        self.fill(account, allowance, now);
        self.bucket(account, now).level()
    }

    /// Puts the tokens of an earlier holder into buckets, within their bounds.
    pub(super) fn put_levels(&mut self, levels: &[AccountTokens], now: MonotonicTime) {
        for level in levels {
            let micros = level.tokens.saturating_mul(MICRO);
            self.bucket(level.account, now).put(micros);
        }
    }

    /// Empties the buckets of accounts at home and returns what was in them.
    pub(super) fn drain(
        &mut self,
        accounts: &[(AccountId, Allowance)],
        now: MonotonicTime,
    ) -> Vec<AccountTokens> {
        let mut levels = Vec::new();
        for (account, allowance) in accounts {
            self.fill(*account, *allowance, now);
            let tokens = self.bucket(*account, now).drain() / MICRO;
            if tokens > 0 {
                levels.push(AccountTokens {
                    account: *account,
                    tokens,
                });
            }
        }
        levels
    }

    fn fill(&mut self, account: AccountId, allowance: Allowance, now: MonotonicTime) {
        let portion = Portion {
            slots: self.slots(now),
            ..self.portion
        };
        self.bucket(account, now).fill(allowance, portion, 0, now);
    }

    fn bucket(&mut self, account: AccountId, now: MonotonicTime) -> &mut Bucket {
        self.buckets
            .entry(account)
            .or_insert_with(|| Bucket::new(now))
    }

    /// Tells whether a group is at home, bringing it home if its loan ended.
    fn is_home(&mut self, group: u16, now: MonotonicTime) -> bool {
        match self.tenures.get(usize::from(group)) {
            Some(Tenure::Home) => true,
            Some(Tenure::Lent { until, .. }) if *until <= now => {
                let until = *until;
                let groups = u16::try_from(self.tenures.len()).unwrap_or(1);
                self.tenures[usize::from(group)] = Tenure::Home;
                self.restart(group, groups, until);
                true
            }
            _ => false,
        }
    }

    fn restart(&mut self, group: u16, groups: u16, since: MonotonicTime) {
        self.buckets
            .iter_mut()
            .filter(|(account, _)| account.group(groups) == group)
            .for_each(|(_, bucket)| bucket.restart(since));
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
    const LOAN: Duration = Duration::from_secs(4);
    const KEEPER: ProcessIncarnation = ProcessIncarnation(9);

    fn at(seconds: u64) -> MonotonicTime {
        MonotonicTime::ZERO + Duration::from_secs(seconds)
    }

    /// Holds the only slot from 0 s to 100 s.
    fn make_home() -> Home {
        let mut home = Home::new(1, 1, LOAN);
        home.set_slots(1, at(100), at(0));
        home.fill(ACCOUNT, ALLOWANCE, at(0));
        home
    }

    fn lend(home: &mut Home, seconds: u64) -> Option<(GroupLoan, Vec<AccountTokens>)> {
        home.lend(0, KEEPER, &[(ACCOUNT, ALLOWANCE)], at(seconds))
    }

    #[test]
    fn level_after_lease_is_zero() {
        let mut home = make_home();
        assert_eq!(home.level(ACCOUNT, ALLOWANCE, at(99)), 1_000 * MICRO);
        assert_eq!(home.level(ACCOUNT, ALLOWANCE, at(100)), 0);
    }

    #[test]
    fn set_slots_after_lease_starts_empty() {
        let mut home = make_home();
        home.fill(ACCOUNT, ALLOWANCE, at(99));
        home.set_slots(1, at(300), at(101));
        assert_eq!(home.level(ACCOUNT, ALLOWANCE, at(101)), 0);
        assert_eq!(home.level(ACCOUNT, ALLOWANCE, at(103)), 200 * MICRO);
    }

    #[test]
    fn lend_ends_within_lease() {
        let mut home = make_home();
        assert!(lend(&mut home, 94).is_some());
        assert!(lend(&mut home, 96).is_none(), "prolonged beyond the lease");
        let mut home = make_home();
        assert!(lend(&mut home, 96).is_none(), "lent beyond the lease");
    }

    #[test]
    fn lend_takes_level_along_once() {
        let mut home = make_home();
        let (loan, levels) = lend(&mut home, 2).expect("a loan");
        assert_eq!(levels[0].tokens, 200);
        assert_eq!(lend(&mut home, 4), Some((loan, Vec::new())));
        assert_eq!(home.level(ACCOUNT, ALLOWANCE, at(5)), 0);
    }

    #[test]
    fn level_after_loan_starts_empty() {
        let mut home = make_home();
        lend(&mut home, 50).expect("a loan");
        assert!(home.level(ACCOUNT, ALLOWANCE, at(55)) < 100 * MICRO);
    }

    #[test]
    fn take_back_of_earlier_loan_is_ignored() {
        let mut home = make_home();
        let (first, levels) = lend(&mut home, 10).expect("a loan");
        home.take_back(first, KEEPER, &levels, at(11));
        lend(&mut home, 12).expect("a loan");
        home.take_back(first, KEEPER, &levels, at(13));
        assert_eq!(home.level(ACCOUNT, ALLOWANCE, at(13)), 0);
    }
}

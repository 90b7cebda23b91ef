//! Rates of client accounts across all entries, by exchange of what each
//! entry has admitted.

use std::collections::HashMap;
use std::mem::take;
use std::time::Duration;

use super::AccountRule;
use super::PeerUsage;
use super::UsageCursor;
use super::UsageQuery;
use super::token_bucket::TokenBucket;
use crate::core::AccountName;
use crate::core::MonotonicTime;

/// Silence after which a peer is assumed to use its even share of every rate:
/// six of the exchanges that peers make ten times a second.
const PEER_SILENCE: Duration = Duration::from_millis(600);

/// Silence after which a peer is taken as gone. Longer than the partitions
/// that the limits must bear, since both sides of one go on admitting.
const PEER_FORGOTTEN: Duration = Duration::from_secs(15);

/// Part of a burst that a process starts with: an earlier run of it may have
/// used the burst a moment ago.
const FIRST_LEVEL: f64 = 0.4;

/// Time after the start in which levels are guesses, unless a peer that has
/// run for longer tells its own.
const GUESS_TIME: Duration = Duration::from_secs(3);

/// Part of the allowed overage that the enforced rate uses; the rest covers
/// what entries admit before they hear of each other.
const USED_OVERAGE: f64 = 0.3;

/// Rates of client accounts across all entries. Every entry keeps each
/// account's whole bucket, takes its own admissions from it at once, and
/// takes those of its peers when it hears of them. A silent peer is charged
/// with an even share of the rate, so that entries which cannot hear each
/// other admit no more than the rate together.
#[derive(Debug)]
pub struct FleetQuota {
    overage: f64,
    slack: f64,
    accounts: HashMap<AccountName, AccountQuota>,
    /// Tokens admitted for accounts that have no rate any more: counts go on
    /// from there if they get one again.
    retired: HashMap<AccountName, u64>,
    /// Number of the last change of what this entry has admitted.
    number: u64,
    peers: HashMap<String, Peer>,
    charged_at: MonotonicTime,
    /// Until when the levels are guesses that a peer's replace.
    guesses_until: Option<MonotonicTime>,
}

#[derive(Debug)]
struct AccountQuota {
    bucket: TokenBucket,
    rate: f64,
    admitted: u64,
    /// Number of its last change.
    changed_at: u64,
}

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    /// Number of its last change that is known; none before the first news
    /// that were complete.
    number: Option<u64>,
    heard_at: MonotonicTime,
    is_gone: bool,
    admitted: HashMap<AccountName, u64>,
    assumed: HashMap<AccountName, f64>,
}

impl FleetQuota {
    /// Creates limits without accounts. `overage` is the part above a rate,
    /// and `slack` the tokens above a burst, that the operator tolerates.
    pub fn new(overage: f64, slack: f64) -> Self {
        Self {
            overage,
            slack,
            accounts: HashMap::new(),
            retired: HashMap::new(),
            number: 0,
            peers: HashMap::new(),
            charged_at: MonotonicTime::ZERO,
            guesses_until: None,
        }
    }

    /// Takes over the accounts of a configuration.
    pub fn set_accounts(&mut self, rules: &[AccountRule], now: MonotonicTime) {
        self.guesses_until.get_or_insert(now + GUESS_TIME);
        let limited: HashMap<&AccountName, &AccountRule> = rules
            .iter()
            .filter(|rule| rule.rate.is_some())
            .map(|rule| (&rule.name, rule))
            .collect();
        let retired = self
            .accounts
            .extract_if(|name, _| !limited.contains_key(name));
        self.retired
            .extend(retired.map(|(name, account)| (name, account.admitted)));
        for (name, rule) in limited {
            let rate = rule.rate.unwrap_or(0) as f64 * (1.0 + self.overage * USED_OVERAGE);
            let burst =
                rule.burst as f64 * (1.0 + self.overage * USED_OVERAGE) + self.slack * USED_OVERAGE;
            match self.accounts.get_mut(name) {
                Some(account) => {
                    account.rate = rate;
                    account.bucket.set_terms(rate, burst, now);
                }
                None => {
                    let account = AccountQuota {
                        bucket: TokenBucket::new(rate, burst, burst * FIRST_LEVEL, now),
                        rate,
                        admitted: self.retired.remove(name).unwrap_or(0),
                        changed_at: self.number,
                    };
                    self.accounts.insert(name.clone(), account);
                }
            }
        }
    }

    /// Admits a call, or returns when the account has tokens for it again.
    ///
    /// # Errors
    ///
    /// The account is beyond its rate.
    pub fn admit(
        &mut self,
        account: &AccountName,
        tokens: u64,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        self.charge_silent_peers(now);
        let Some(account) = self.accounts.get_mut(account) else {
            return Ok(());
        };
        let wait = account.bucket.time_until(tokens as f64, now);
        if !wait.is_zero() {
            return Err(wait);
        }
        account.bucket.take(tokens as f64, now);
        account.admitted += tokens;
        self.number += 1;
        account.changed_at = self.number;
        Ok(())
    }

    /// Describes what decides about an account, for logs: its level and rate,
    /// the entries known, those silent or gone, and whether the level is a
    /// guess.
    pub fn describe_account(&mut self, account: &AccountName, now: MonotonicTime) -> String {
        let is_guess = self.is_guessing(now);
        let entries = self.count_entries();
        let is_silent = |peer: &&Peer| now.since(peer.heard_at) >= PEER_SILENCE;
        let silent = self.peers.values().filter(is_silent).count();
        let gone = self.peers.values().filter(|peer| peer.is_gone).count();
        let (level, rate) = self
            .accounts
            .get_mut(account)
            .map_or((0.0, 0.0), |account| {
                (account.bucket.level(now), account.rate)
            });
        format!(
            "level={level:.0} rate={rate:.0} entries={entries} silent={silent} gone={gone} guess={is_guess}"
        )
    }

    /// Gives back what was admitted for a call that did not run.
    pub fn refund(&mut self, account: &AccountName, tokens: u64, now: MonotonicTime) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.bucket.take(-(tokens as f64), now);
            account.admitted = account.admitted.saturating_sub(tokens);
            self.number += 1;
            account.changed_at = self.number;
        }
    }

    /// Returns what to ask a peer for.
    pub fn build_query(&self, peer: &str, now: MonotonicTime) -> UsageQuery {
        let known = self.peers.get(peer).and_then(|peer| {
            Some(UsageCursor {
                incarnation: peer.incarnation,
                sequence: peer.number?,
            })
        });
        UsageQuery {
            known,
            wants_levels: self.is_guessing(now),
        }
    }

    /// Returns what this entry has admitted since a peer heard of it, and what
    /// it believes is left where the peer asks for that.
    pub fn build_usage(
        &mut self,
        name: &str,
        incarnation: u64,
        query: UsageQuery,
        now: MonotonicTime,
    ) -> PeerUsage {
        self.charge_silent_peers(now);
        let known = query.known.filter(|known| known.incarnation == incarnation);
        let base = known.map_or(0, |known| known.sequence);
        let changed = self
            .accounts
            .iter()
            .filter(|(_, account)| base == 0 || account.changed_at > base);
        let admitted = changed.map(|(n, a)| (n.clone(), a.admitted)).collect();
        let levels = if !query.wants_levels || self.is_guessing(now) {
            Vec::new()
        } else {
            let accounts = self.accounts.iter_mut();
            accounts
                .map(|(name, account)| (name.clone(), account.bucket.level(now) as i64))
                .collect()
        };
        PeerUsage {
            name: name.into(),
            incarnation,
            sequence: self.number,
            base,
            admitted,
            levels,
        }
    }

    fn is_guessing(&self, now: MonotonicTime) -> bool {
        self.guesses_until.is_none_or(|until| now < until)
    }

    /// Takes over a peer's levels in place of guesses.
    fn adopt_levels(&mut self, usage: &PeerUsage, now: MonotonicTime) {
        if usage.levels.is_empty() || self.accounts.is_empty() || !self.is_guessing(now) {
            return;
        }
        self.guesses_until = Some(now);
        for (name, level) in &usage.levels {
            if let Some(account) = self.accounts.get_mut(name) {
                let own = account.admitted as f64;
                let change = *level as f64 - own - account.bucket.level(now);
                account.bucket.take(-change, now);
            }
        }
    }

    /// Takes note of what a peer has admitted.
    pub fn observe_peer_usage(&mut self, usage: &PeerUsage, now: MonotonicTime) {
        self.charge_silent_peers(now);
        self.adopt_levels(usage, now);
        let peer = self
            .peers
            .entry(usage.name.clone())
            .or_insert_with(|| Peer {
                incarnation: usage.incarnation,
                number: None,
                heard_at: now,
                is_gone: false,
                admitted: HashMap::new(),
                assumed: HashMap::new(),
            });
        if peer.incarnation != usage.incarnation {
            peer.incarnation = usage.incarnation;
            peer.admitted.clear();
            peer.number = Some(0);
        }
        peer.heard_at = now;
        peer.is_gone = false;
        let is_complete = usage.base == 0 || peer.number.is_some_and(|held| held >= usage.base);
        let is_overtaken = peer.number.is_some_and(|held| held > usage.sequence);
        if !is_complete || is_overtaken {
            return;
        }
        // What it admitted before the first contact is not known by time.
        let is_first = peer.number.is_none();
        peer.number = Some(usage.sequence);
        let mut corrections = take(&mut peer.assumed);
        corrections
            .values_mut()
            .for_each(|assumed| *assumed *= -1.0);
        for (name, admitted) in &usage.admitted {
            // Noted for accounts without a rate as well: a process hears its
            // peers before it has a configuration.
            let before = peer.admitted.insert(name.clone(), *admitted);
            let before = before.unwrap_or(if is_first { *admitted } else { 0 });
            *corrections.entry(name.clone()).or_default() += *admitted as f64 - before as f64;
        }
        for (name, tokens) in corrections {
            if let Some(account) = self.accounts.get_mut(&name) {
                account.bucket.take(tokens, now);
            }
        }
    }

    /// Takes note that a peer's process has ended: its host refuses
    /// connections, so it admits nothing.
    pub fn mark_peer_stopped(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_gone = true;
        }
    }

    /// Entries known, this one included.
    pub fn count_entries(&self) -> usize {
        self.peers.len() + 1
    }

    fn charge_silent_peers(&mut self, now: MonotonicTime) {
        let entries = self.count_entries() as f64;
        self.peers
            .retain(|_, peer| now.since(peer.heard_at) < PEER_FORGOTTEN);
        for peer in self.peers.values_mut() {
            let silent_from = peer.heard_at + PEER_SILENCE;
            let from = silent_from.max(self.charged_at);
            let span = now.since(from).as_secs_f64();
            if span <= 0.0 || peer.is_gone {
                continue;
            }
            for (name, account) in &mut self.accounts {
                let share = account.rate / entries * span;
                account.bucket.take(share, now);
                *peer.assumed.entry(name.clone()).or_default() += share;
            }
        }
        self.charged_at = now;
    }
}

//! Enforces the rate limits of client accounts across all entries, which
//! exchange what each of them has admitted.

use std::collections::HashMap;
use std::mem::take;
use std::time::Duration;

use super::PeerUsage;
use super::RelayedOutcome;
use super::UsageCursor;
use super::UsageQuery;
use super::token_bucket::TokenBucket;
use crate::core::AccountName;
use crate::core::MonotonicTime;
use crate::core::fleet::AccountRule;

/// Time without a message from a peer after which it is assumed to use its even
/// share of every rate: eight exchange intervals of a small fleet.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);

/// Minimum time between two charges for silent peers, which cost time for each
/// of them and each account.
const SILENT_CHARGE_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a message after which a peer is forgotten. It is longer than
/// the partitions that the limits must withstand, since entries on both sides
/// keep admitting calls.
const PEER_EXPIRY: Duration = Duration::from_secs(15);

/// Share of the burst available at the start of a process: an earlier run may
/// have just used the burst.
const INITIAL_LEVEL_SHARE: f64 = 0.4;

/// Time after the first configuration of accounts during which bucket levels
/// are estimates, unless a peer that has run for longer supplies its own.
const ESTIMATE_TIME: Duration = Duration::from_secs(3);

/// Share of the tolerated overage by which the enforced limit is raised. The
/// rest covers calls that entries admit before they hear of each other, which
/// takes longer in a large fleet.
const ENFORCED_OVERAGE_SHARE: f64 = 0.3;
const LARGE_FLEET_OVERAGE_SHARE: f64 = 0.1;

/// Number of entries up to which [`ENFORCED_OVERAGE_SHARE`] applies.
const MAX_SMALL_FLEET: usize = 32;

/// Rate limits of client accounts across all entries. Each entry keeps the full
/// bucket of each account, charges its own admissions immediately and those of
/// its peers when it learns of them. For each silent peer, an account is charged
/// an even share of its rate, so that partitioned entries together do not
/// exceed the rate.
#[derive(Debug)]
pub struct FleetQuota {
    overage: f64,
    slack: f64,
    accounts: HashMap<AccountName, AccountQuota>,
    /// Tokens admitted for accounts that no longer have a rate. Counting
    /// continues from there if they get a rate again.
    removed_accounts: HashMap<AccountName, u64>,
    /// Number of the last change of this entry's admissions.
    sequence: u64,
    peers: HashMap<String, Peer>,
    /// Time up to which accounts have been charged for silent peers.
    charged_at: MonotonicTime,
    /// End of the period in which levels are estimates that a peer's levels
    /// replace.
    estimates_until: Option<MonotonicTime>,
    is_large_fleet: bool,
}

#[derive(Debug)]
struct AccountQuota {
    bucket: TokenBucket,
    /// Configured rate and burst.
    rule: (f64, f64),
    /// Enforced rate.
    rate: f64,
    admitted: u64,
    /// Number of the last change of this account.
    last_change: u64,
}

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    /// Number of the peer's last known change; `None` before its first complete
    /// state.
    sequence: Option<u64>,
    last_heard_at: MonotonicTime,
    is_stopped: bool,
    /// When its host was last found to refuse connections, less at most
    /// [`SILENT_CHARGE_INTERVAL`].
    stopped_at: MonotonicTime,
    admitted: HashMap<AccountName, PeerAdmissions>,
    assumed_usage: HashMap<AccountName, f64>,
}

/// What a peer has admitted for one account.
#[derive(Debug, Clone, Copy)]
struct PeerAdmissions {
    tokens: u64,
    /// Number of the peer's change up to which the account has not changed since.
    last_change: u64,
}

impl FleetQuota {
    /// Creates a quota without accounts. `overage` is the tolerated excess as a
    /// fraction of a rate, and `slack` the tolerated excess over a burst in
    /// tokens.
    pub fn new(overage: f64, slack: f64) -> Self {
        Self {
            overage,
            slack,
            accounts: HashMap::new(),
            removed_accounts: HashMap::new(),
            sequence: 0,
            peers: HashMap::new(),
            charged_at: MonotonicTime::ZERO,
            estimates_until: None,
            is_large_fleet: false,
        }
    }

    /// Replaces the configured accounts. Accounts that stay keep their bucket
    /// levels.
    pub fn set_accounts(&mut self, rules: &[AccountRule], now: MonotonicTime) {
        self.estimates_until.get_or_insert(now + ESTIMATE_TIME);
        let limited_rules: HashMap<&AccountName, &AccountRule> = rules
            .iter()
            .filter(|rule| rule.rate.is_some())
            .map(|rule| (&rule.name, rule))
            .collect();
        let removed_accounts = self
            .accounts
            .extract_if(|name, _| !limited_rules.contains_key(name));
        self.removed_accounts
            .extend(removed_accounts.map(|(name, account)| (name, account.admitted)));
        for (name, rule) in limited_rules {
            let rule = (rule.rate.unwrap_or(0) as f64, rule.burst as f64);
            let (rate, burst) = self.enforced_limits(rule);
            match self.accounts.get_mut(name) {
                Some(account) => {
                    account.rule = rule;
                    account.rate = rate;
                    account.bucket.set_limits(rate, burst, now);
                }
                None => {
                    let account = AccountQuota {
                        bucket: TokenBucket::new(rate, burst, burst * INITIAL_LEVEL_SHARE, now),
                        rule,
                        rate,
                        admitted: self.removed_accounts.remove(name).unwrap_or(0),
                        last_change: self.sequence,
                    };
                    self.accounts.insert(name.clone(), account);
                }
            }
        }
    }

    /// Returns the rate and burst that are enforced for a configured rate and
    /// burst.
    fn enforced_limits(&self, (rate, burst): (f64, f64)) -> (f64, f64) {
        let share = if self.is_large_fleet {
            LARGE_FLEET_OVERAGE_SHARE
        } else {
            ENFORCED_OVERAGE_SHARE
        };
        let factor = 1.0 + self.overage * share;
        (rate * factor, burst * factor + self.slack * share)
    }

    /// Adjusts the enforced limits after the fleet has become large or small.
    fn update_fleet_size(&mut self, now: MonotonicTime) {
        let is_large = self.count_entries() > MAX_SMALL_FLEET;
        if is_large == self.is_large_fleet {
            return;
        }
        self.is_large_fleet = is_large;
        // All entries of a large fleet that has just started admit calls before
        // they find each other, so the initial level is used up.
        let used_share = if is_large && self.has_estimated_levels(now) {
            INITIAL_LEVEL_SHARE
        } else {
            0.0
        };
        let mut accounts = take(&mut self.accounts);
        for account in accounts.values_mut() {
            let (rate, burst) = self.enforced_limits(account.rule);
            account.rate = rate;
            account.bucket.take(burst * used_share, now);
            account.bucket.set_limits(rate, burst, now);
        }
        self.accounts = accounts;
    }

    /// Charges a call to its account. Accounts without a rate are always
    /// admitted.
    ///
    /// # Errors
    ///
    /// The account is over its rate; holds the time until it has enough tokens.
    pub fn admit(
        &mut self,
        account: &AccountName,
        tokens: u64,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        self.charge_for_silent_peers(now);
        let Some(account) = self.accounts.get_mut(account) else {
            return Ok(());
        };
        let wait = account.bucket.time_until_available(tokens as f64, now);
        if !wait.is_zero() {
            return Err(wait);
        }
        account.bucket.take(tokens as f64, now);
        account.admitted += tokens;
        self.sequence += 1;
        account.last_change = self.sequence;
        Ok(())
    }

    /// Formats the state that decides about an account, for logs: its level and
    /// rate, the number of entries, how many of them are silent or stopped, and
    /// whether the level is an estimate.
    pub fn describe_account(&mut self, account: &AccountName, now: MonotonicTime) -> String {
        let is_estimated = self.has_estimated_levels(now);
        let entries = self.count_entries();
        let is_silent = |peer: &&Peer| now.since(peer.last_heard_at) >= PEER_TIMEOUT;
        let silent = self.peers.values().filter(is_silent).count();
        let stopped = self.peers.values().filter(|peer| peer.is_stopped).count();
        let (level, rate) = self
            .accounts
            .get_mut(account)
            .map_or((0.0, 0.0), |account| {
                (account.bucket.level(now), account.rate)
            });
        format!(
            "level={level:.0} rate={rate:.0} entries={entries} silent={silent} gone={stopped} guess={is_estimated}"
        )
    }

    /// Refunds the tokens of a call that did not run.
    pub fn refund(&mut self, account: &AccountName, tokens: u64, now: MonotonicTime) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.bucket.take(-(tokens as f64), now);
            account.admitted = account.admitted.saturating_sub(tokens);
            self.sequence += 1;
            account.last_change = self.sequence;
        }
    }

    /// Returns the query to send to a peer: what is known of its admissions and
    /// whether its levels are wanted.
    pub fn build_query(&self, peer: &str, now: MonotonicTime) -> UsageQuery {
        let known = self.peers.get(peer).and_then(|peer| {
            Some(UsageCursor {
                incarnation: peer.incarnation,
                sequence: peer.sequence?,
            })
        });
        UsageQuery {
            known,
            wants_levels: self.has_estimated_levels(now),
        }
    }

    /// Returns the total admissions of this entry for each account that has
    /// changed since the state known to the peer that sent the query, and the
    /// bucket levels if requested and not estimates themselves.
    pub fn build_usage(
        &mut self,
        name: &str,
        incarnation: u64,
        query: UsageQuery,
        now: MonotonicTime,
    ) -> PeerUsage {
        self.charge_for_silent_peers(now);
        let known = query.known.filter(|known| known.incarnation == incarnation);
        let base = known.map_or(0, |known| known.sequence);
        let changed = self
            .accounts
            .iter()
            .filter(|(_, account)| base == 0 || account.last_change > base);
        let admitted = changed.map(|(n, a)| (n.clone(), a.admitted)).collect();
        let levels = if !query.wants_levels || self.has_estimated_levels(now) {
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
            sequence: self.sequence,
            base,
            admitted,
            levels,
        }
    }

    fn has_estimated_levels(&self, now: MonotonicTime) -> bool {
        self.estimates_until.is_none_or(|until| now < until)
    }

    /// Replaces estimated levels by those of a peer, less what this entry has
    /// admitted itself.
    fn adopt_levels(&mut self, usage: &PeerUsage, now: MonotonicTime) {
        if usage.levels.is_empty() || self.accounts.is_empty() || !self.has_estimated_levels(now) {
            return;
        }
        self.estimates_until = Some(now);
        for (name, level) in &usage.levels {
            if let Some(account) = self.accounts.get_mut(name) {
                let own = account.admitted as f64;
                let change = *level as f64 - own - account.bucket.level(now);
                account.bucket.take(-change, now);
            }
        }
    }

    /// Charges what a peer has admitted since its last known change, less what
    /// was assumed for it while it was silent. Ignores the admissions in
    /// reordered messages and in those whose base is unknown; such messages
    /// still show that the peer runs, and their levels may be adopted.
    pub fn observe_peer_usage(&mut self, usage: &PeerUsage, now: MonotonicTime) {
        self.charge_for_silent_peers(now);
        self.adopt_levels(usage, now);
        // Both entries have just started, perhaps after all were killed: what the
        // peer admitted is recent. An older peer sends its levels.
        let started_together = self.has_estimated_levels(now) && usage.levels.is_empty();
        let peer = self
            .peers
            .entry(usage.name.clone())
            .or_insert_with(|| Peer {
                incarnation: usage.incarnation,
                sequence: None,
                last_heard_at: now,
                is_stopped: false,
                stopped_at: MonotonicTime::ZERO,
                admitted: HashMap::new(),
                assumed_usage: HashMap::new(),
            });
        if peer.incarnation != usage.incarnation {
            peer.incarnation = usage.incarnation;
            peer.admitted.clear();
            peer.sequence = Some(0);
        }
        peer.last_heard_at = now;
        peer.is_stopped = false;
        let is_complete = usage.base == 0 || peer.sequence.is_some_and(|known| known >= usage.base);
        let is_reordered = peer.sequence.is_some_and(|known| known > usage.sequence);
        if !is_complete || is_reordered {
            return;
        }
        // Otherwise it is not known when the peer admitted what precedes the first
        // contact.
        let is_first = peer.sequence.is_none() && !started_together;
        self.charge_for_peer(usage, is_first, now);
    }

    /// Like [`Self::observe_peer_usage`], for what a relay passed on of a peer that it
    /// heard `age` ago. The run must have been heard directly before. Silence is judged by
    /// the age, as if the peer itself had been heard then.
    pub fn observe_relayed_usage(
        &mut self,
        usage: &PeerUsage,
        age: Duration,
        now: MonotonicTime,
    ) -> RelayedOutcome {
        self.charge_for_silent_peers(now);
        let heard_at = now.saturating_sub(age);
        let known_peer = self.peers.get_mut(&usage.name);
        let Some(peer) = known_peer.filter(|peer| peer.incarnation == usage.incarnation) else {
            return RelayedOutcome::UnknownRun;
        };
        let Some(known) = peer.sequence else {
            return RelayedOutcome::UnknownRun;
        };
        if age >= PEER_TIMEOUT {
            return RelayedOutcome::TooOld;
        }
        if heard_at > peer.stopped_at {
            peer.is_stopped = false;
        }
        peer.last_heard_at = peer.last_heard_at.max(heard_at);
        if known < usage.base {
            return RelayedOutcome::UnknownBase;
        }
        if known <= usage.sequence {
            self.charge_for_peer(usage, false, now);
        }
        RelayedOutcome::Applied
    }

    /// Returns what a peer has admitted since the state in `known`, to be passed on to
    /// another entry, and the time since the peer was heard. `None` for a peer that is
    /// silent, has stopped or has not sent all its admissions.
    pub fn build_relayed_usage(
        &self,
        peer: &str,
        known: Option<UsageCursor>,
        now: MonotonicTime,
    ) -> Option<(PeerUsage, Duration)> {
        let state = self.peers.get(peer)?;
        let age = now.since(state.last_heard_at);
        let sequence = state.sequence?;
        if age >= PEER_TIMEOUT || state.is_stopped {
            return None;
        }
        let known = known
            .filter(|known| known.incarnation == state.incarnation && known.sequence <= sequence);
        let base = known.map_or(0, |known| known.sequence);
        let changed = state
            .admitted
            .iter()
            .filter(|(_, admitted)| base == 0 || admitted.last_change > base);
        let usage = PeerUsage {
            name: peer.into(),
            incarnation: state.incarnation,
            sequence,
            base,
            admitted: changed.map(|(n, a)| (n.clone(), a.tokens)).collect(),
            levels: Vec::new(),
        };
        Some((usage, age))
    }

    /// Charges what a peer has admitted since its last known change. `is_first` tells
    /// that it is not known when it admitted what it names.
    fn charge_for_peer(&mut self, usage: &PeerUsage, is_first: bool, now: MonotonicTime) {
        let Some(peer) = self.peers.get_mut(&usage.name) else {
            return;
        };
        peer.sequence = Some(usage.sequence);
        let mut corrections = take(&mut peer.assumed_usage);
        corrections
            .values_mut()
            .for_each(|assumed_usage| *assumed_usage *= -1.0);
        for (name, admitted) in &usage.admitted {
            // Recorded for accounts without a rate as well, because a process
            // hears from its peers before it has a configuration.
            // An account that is listed may have changed and changed back by a refund.
            let admissions = PeerAdmissions {
                tokens: *admitted,
                last_change: usage.sequence,
            };
            let before = peer.admitted.insert(name.clone(), admissions);
            let before = before.map(|before| before.tokens);
            let before = before.unwrap_or(if is_first { *admitted } else { 0 });
            *corrections.entry(name.clone()).or_default() += *admitted as f64 - before as f64;
        }
        for (name, tokens) in corrections {
            if let Some(account) = self.accounts.get_mut(&name) {
                account.bucket.take(tokens, now);
            }
        }
    }

    /// Marks a peer whose host refuses connections: its process has ended, so
    /// it admits nothing and accounts are not charged for it while it is
    /// silent.
    pub fn mark_peer_stopped(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_stopped = true;
            peer.stopped_at = self.charged_at;
        }
    }

    /// Returns the number of known entries, including this one.
    pub fn count_entries(&self) -> usize {
        self.peers.len() + 1
    }

    /// Charges each account an even share of its rate for each silent peer, up
    /// to now, and forgets peers that have been silent for [`PEER_EXPIRY`].
    fn charge_for_silent_peers(&mut self, now: MonotonicTime) {
        if now.since(self.charged_at) < SILENT_CHARGE_INTERVAL {
            return;
        }
        let entries = self.count_entries() as f64;
        self.peers
            .retain(|_, peer| now.since(peer.last_heard_at) < PEER_EXPIRY);
        for peer in self.peers.values_mut() {
            let silent_from = peer.last_heard_at + PEER_TIMEOUT;
            let from = silent_from.max(self.charged_at);
            let charged_s = now.since(from).as_secs_f64();
            if charged_s <= 0.0 || peer.is_stopped {
                continue;
            }
            for (name, account) in &mut self.accounts {
                let share = account.rate / entries * charged_s;
                account.bucket.take(share, now);
                *peer.assumed_usage.entry(name.clone()).or_default() += share;
            }
        }
        self.charged_at = now;
        self.update_fleet_size(now);
    }
}

//! Keeps the limits that servers name, all entries together.
//!
//! Each entry keeps a share of each limit, without asking anybody: all entries compute
//! the same shares from the list of entries and the calls that each of them gets. Of a
//! limit smaller than the number of entries, only as many entries have a share as the
//! limit has whole calls a second, chosen by a hash that prefers entries with more
//! calls.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::LimitNotice;
use super::LimitUpdate;
use super::server_limit::ServerLimit;
use crate::core::MonotonicTime;
use crate::core::fleet::RunKey;
use crate::core::fleet::decaying_sum::DecayingSum;

/// Time constant of the average of this entry's calls: several times the mean gap between
/// calls of a lightly used entry, and short against the time for which servers name limits.
const RATE_TIME: Duration = Duration::from_secs(3);

/// Time for which the share of an entry stays reserved that is not heard, and whose
/// host does not refuse connections: it may be cut off and go on sending.
const RESERVED_TIME: Duration = Duration::from_secs(600);

/// Time after the start of a process in which it has no share. It does not know all
/// entries yet, and an earlier run of it may have just used the share.
const START_TIME: Duration = Duration::from_secs(3);

/// Minimum time between two changes of the shares because of calls that entries get.
const RESHARE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without an observation after which a limit is dropped.
const LIMIT_EXPIRY: Duration = Duration::from_secs(600);

/// Time after which a run that named a limit and names none any more is forgotten:
/// longer than an earlier notice takes to arrive from any entry.
const LIFTED_EXPIRY: Duration = Duration::from_secs(30);

/// Largest number of calls for each one that may be sent that [`ServerLimits::excess`]
/// states.
const MAX_EXCESS: f64 = 20.0;

/// Largest limit, in thousandths of a call a second, that is told to others.
const MAX_MILLICALLS: f64 = 4e9;

/// Limits that runs of servers have named, and this entry's share of each.
#[derive(Debug)]
pub struct ServerLimits {
    own_hash: u64,
    started_at: MonotonicTime,
    own_rate: DecayingSum,
    entries: HashMap<u64, OtherEntry>,
    limits: HashMap<RunKey, ServerLimit>,
    /// Weight of this entry at the last change of the shares.
    own_weight: f64,
    total_weight: f64,
    /// Number of the last change of the shares.
    generation: u64,
    is_reshare_due: bool,
    reshared_at: MonotonicTime,
}

/// What is known of another entry.
#[derive(Debug)]
struct OtherEntry {
    weight: f64,
    heard_at: MonotonicTime,
}

impl ServerLimits {
    /// Creates the limits of the entry `name`, which has just started.
    pub fn new(name: &str, now: MonotonicTime) -> Self {
        Self {
            own_hash: xxh3_64(name.as_bytes()),
            started_at: now,
            own_rate: DecayingSum::new(RATE_TIME),
            entries: HashMap::new(),
            limits: HashMap::new(),
            own_weight: 1.0,
            total_weight: 1.0,
            generation: 1,
            is_reshare_due: false,
            reshared_at: now,
        }
    }

    /// Counts a call that this entry got.
    pub fn record_call(&mut self, now: MonotonicTime) {
        self.own_rate.add(1.0, now);
    }

    /// Records that another entry was heard, and how many calls it gets if it says so.
    pub fn record_entry(&mut self, name: &str, calls_per_s: Option<u32>, now: MonotonicTime) {
        let weight = calls_per_s.map(|calls| quantize_weight(f64::from(calls)));
        let key = xxh3_64(name.as_bytes());
        match self.entries.get_mut(&key) {
            Some(entry) => {
                entry.heard_at = now;
                if let Some(weight) = weight.filter(|weight| *weight != entry.weight) {
                    entry.weight = weight;
                    self.is_reshare_due = true;
                }
            }
            None => {
                let weight = weight.unwrap_or(1.0);
                let entry = OtherEntry {
                    weight,
                    heard_at: now,
                };
                self.entries.insert(key, entry);
                self.reshare(now);
            }
        }
    }

    /// Records that the host of an entry refuses connections: it sends nothing any
    /// more, so its shares go to the others.
    pub fn record_stopped_entry(&mut self, name: &str, now: MonotonicTime) {
        if self.entries.remove(&xxh3_64(name.as_bytes())).is_some() {
            self.reshare(now);
        }
    }

    /// Records what a run says in an answer to a call sent at `sent_at`: its limit in
    /// calls a second, or none. An answer without a limit ends one only if its call was
    /// sent after that was named. Returns whether the limit changed.
    pub fn record_answer(
        &mut self,
        run: RunKey,
        calls_per_s: Option<f64>,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        match (self.limits.get_mut(&run), calls_per_s) {
            (None, None) => false,
            (Some(limit), None) if limit.observed_at >= sent_at => false,
            (Some(limit), _) => limit.update(calls_per_s, now, now),
            (None, Some(_)) => {
                self.limits
                    .insert(run, ServerLimit::new(calls_per_s, now, now));
                true
            }
        }
    }

    /// Applies what another entry tells. Of two observations, the later one counts.
    /// Returns the runs whose limits changed.
    pub fn apply_notices(&mut self, notices: &[LimitNotice], now: MonotonicTime) -> Vec<RunKey> {
        let mut changed = Vec::new();
        for notice in notices {
            let age = Duration::from_millis(u64::from(notice.age_ms));
            let observed_at = now.saturating_sub(age);
            let calls_per_s = notice.millicalls_per_s.map(|m| f64::from(m) / 1_000.0);
            let is_changed = match self.limits.get_mut(&notice.run) {
                Some(limit) if limit.observed_at >= observed_at => false,
                Some(limit) => limit.update(calls_per_s, observed_at, now),
                None if calls_per_s.is_none() => false,
                None => {
                    let limit = ServerLimit::new(calls_per_s, observed_at, now);
                    self.limits.insert(notice.run, limit);
                    true
                }
            };
            if is_changed {
                changed.push(notice.run);
            }
        }
        changed
    }

    /// Returns what to tell another entry: limits that changed within `period`, or all
    /// of them with `is_full`. `None` while no server names a limit.
    pub fn build_update(
        &self,
        period: Duration,
        is_full: bool,
        now: MonotonicTime,
    ) -> Option<LimitUpdate> {
        if self.limits.is_empty() {
            return None;
        }
        let told = |limit: &ServerLimit| is_full || now.since(limit.changed_at) < period;
        let limits = self.limits.iter().filter(|(_, limit)| told(limit));
        let notices = limits.map(|(run, limit)| LimitNotice {
            run: *run,
            millicalls_per_s: limit
                .calls_per_s
                .map(|calls| (calls * 1_000.0).min(MAX_MILLICALLS) as u32),
            age_ms: u32::try_from(now.since(limit.observed_at).as_millis()).unwrap_or(u32::MAX),
        });
        Some(LimitUpdate {
            notices: notices.collect(),
            calls_per_s: self.own_rate.rate(now).round() as u32,
        })
    }

    /// Returns the limit of a run, if it names one.
    pub fn calls_per_s(&self, run: RunKey) -> Option<f64> {
        self.limits.get(&run)?.calls_per_s
    }

    /// Returns the number of runs that name a limit.
    pub fn count(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|limit| limit.calls_per_s.is_some()).count()
    }

    /// Returns the time until this entry may send a call to a run; zero if it may now,
    /// and the mean time between two calls of all entries if it has no share.
    pub fn time_until_call(&self, run: RunKey, now: MonotonicTime) -> Duration {
        let limit = self.limits.get(&run);
        let Some((limit, calls_per_s)) = limit.and_then(|l| Some((l, l.calls_per_s?))) else {
            return Duration::ZERO;
        };
        limit
            .time_until_call(now)
            .unwrap_or(Duration::from_secs_f64(1.0 / calls_per_s))
    }

    /// Returns how many calls this entry gets for each one that it may send to servers
    /// with limits, at most 20. Callers that return spread over so many times the wait
    /// find about one call each.
    pub fn excess(&self, now: MonotonicTime) -> f64 {
        let limits = self.limits.values();
        let limited = limits.filter(|limit| limit.calls_per_s.is_some());
        let share: f64 = limited.map(|limit| limit.share).sum();
        let calls_per_s = self.own_rate.rate(now);
        if calls_per_s < share * MAX_EXCESS {
            calls_per_s / share
        } else {
            MAX_EXCESS
        }
    }

    /// Returns whether this entry may send a call to a run.
    pub fn allows_call(&self, run: RunKey, now: MonotonicTime) -> bool {
        self.limits
            .get(&run)
            .is_none_or(|limit| limit.calls_per_s.is_none() || limit.allows_call(now))
    }

    /// Counts a call that is sent to a run.
    pub fn take_call(&mut self, run: RunKey, now: MonotonicTime) {
        if let Some(limit) = self.limits.get_mut(&run)
            && limit.calls_per_s.is_some()
        {
            limit.take_call(now);
        }
    }

    /// Updates the shares and drops what is no longer needed; to be called at regular
    /// intervals and after limits have changed.
    pub fn refresh(&mut self, now: MonotonicTime) {
        self.limits.retain(|_, limit| match limit.calls_per_s {
            Some(_) => now.since(limit.observed_at) < LIMIT_EXPIRY,
            None => now.since(limit.changed_at) < LIFTED_EXPIRY,
        });
        let count = self.entries.len();
        self.entries
            .retain(|_, entry| now.since(entry.heard_at) < RESERVED_TIME);
        let is_own_weight_new = quantize_weight(self.own_rate.rate(now)) != self.own_weight;
        let is_due = self.is_reshare_due || is_own_weight_new;
        if count != self.entries.len()
            || (is_due && now.since(self.reshared_at) >= RESHARE_INTERVAL)
        {
            self.reshare(now);
        }
        if now.since(self.started_at) < START_TIME {
            return;
        }
        let mut limits = std::mem::take(&mut self.limits);
        for (run, limit) in &mut limits {
            if let Some(calls_per_s) = limit.calls_per_s
                && limit.generation != self.generation
            {
                let share = self.compute_share(*run, calls_per_s);
                limit.set_share(share, self.generation, now);
            }
        }
        self.limits = limits;
    }

    /// Makes all shares be computed again.
    fn reshare(&mut self, now: MonotonicTime) {
        self.own_weight = quantize_weight(self.own_rate.rate(now));
        let others: f64 = self.entries.values().map(|entry| entry.weight).sum();
        self.total_weight = self.own_weight + others;
        self.generation += 1;
        self.is_reshare_due = false;
        self.reshared_at = now;
    }

    /// Returns this entry's part of a limit, in calls a second.
    fn compute_share(&self, run: RunKey, calls_per_s: f64) -> f64 {
        let holders = calls_per_s.max(1.0) as usize;
        if self.entries.len() < holders {
            return calls_per_s * self.own_weight / self.total_weight;
        }
        let own_score = score(self.own_hash, run, self.own_weight);
        let entries = self.entries.iter();
        let ahead = entries
            .filter(|(hash, entry)| score(**hash, run, entry.weight) > own_score)
            .take(holders)
            .count();
        if ahead < holders {
            calls_per_s / holders as f64
        } else {
            0.0
        }
    }
}

/// Returns the weight of an entry that gets a number of calls in a second: a power of
/// two, so that shares stay while the calls change little.
fn quantize_weight(calls_per_s: f64) -> f64 {
    (calls_per_s.max(0.0) + 1.0).log2().round().exp2()
}

/// Returns the score of an entry for a run, by weighted rendezvous hashing.
fn score(entry_hash: u64, run: RunKey, weight: f64) -> f64 {
    // Splits the bits of the hash evenly over the numbers between 0 and 1.
    let mixed = (entry_hash ^ run.0).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    let uniform = ((mixed >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / uniform.ln()
}

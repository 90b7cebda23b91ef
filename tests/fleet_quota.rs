//! Rate limits across entries that learn of each other's admissions late or not
//! at all.

use std::time::Duration;

use rstest::rstest;
use teaseldrum::core::AccountName;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::fleet::AccountRule;
use teaseldrum::core::fleet::FleetQuota;
use teaseldrum::core::fleet::PeerUsage;
use teaseldrum::core::fleet::UsageQuery;

const RATE: u64 = 100_000;
const BURST: u64 = 100_000;
const WINDOW_S: u64 = 8;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 140_000.0;
const CALL_TOKENS: u64 = 12_000;

fn account(rate: u64, burst: u64) -> AccountRule {
    AccountRule {
        name: AccountName::from("guild"),
        keys: Vec::new(),
        priority: None,
        rate: Some(rate),
        burst,
        counts_tokens: true,
        tokens_per_plain_call: 200,
        is_isolated: false,
    }
}

/// Entries that exchange usage at an interval unless partitioned, with an account
/// that sends calls to each of them at a fixed rate.
struct Fleet {
    entries: Vec<FleetQuota>,
    incarnations: Vec<u64>,
    /// Time in milliseconds and tokens of each admitted call.
    admitted: Vec<(u64, u64)>,
    refused: u64,
    now_ms: u64,
    rate: u64,
    exchange_ms: u64,
}

impl Fleet {
    fn new(entries: usize) -> Self {
        Self::with_rate(entries, RATE, 150)
    }

    /// Creates entries with an account of the given rate and burst that exchange
    /// usage every `exchange_ms`.
    fn with_rate(entries: usize, rate: u64, exchange_ms: u64) -> Self {
        let mut fleet = Self {
            rate,
            exchange_ms,
            entries: Vec::new(),
            incarnations: Vec::new(),
            admitted: Vec::new(),
            refused: 0,
            now_ms: 0,
        };
        for entry in 0..entries {
            fleet.entries.push(fleet.start_entry());
            fleet.incarnations.push(entry as u64);
        }
        fleet
    }

    fn start_entry(&self) -> FleetQuota {
        let mut quota = FleetQuota::new(OVERAGE, SLACK);
        quota.set_accounts(&[account(self.rate, self.rate)], self.now());
        quota
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::from_micros(self.now_ms * 1_000)
    }

    /// Runs for `ms`; `is_connected(from, to)` tells whether entry `to` receives
    /// the messages of entry `from`.
    fn run(&mut self, ms: u64, calls_per_s: u64, is_connected: impl Fn(usize, usize) -> bool) {
        let name = AccountName::from("guild");
        for step in 0..ms {
            self.now_ms += 1;
            let now = self.now();
            if step % self.exchange_ms == 0 {
                self.exchange(&is_connected);
            }
            for entry in 0..self.entries.len() {
                let is_due = (self.now_ms + entry as u64 * 7).is_multiple_of(1_000 / calls_per_s);
                if !is_due {
                    continue;
                }
                match self.entries[entry].admit(&name, CALL_TOKENS, now) {
                    Ok(()) => self.admitted.push((self.now_ms, CALL_TOKENS)),
                    Err(_) => self.refused += 1,
                }
            }
        }
    }

    fn exchange(&mut self, is_connected: impl Fn(usize, usize) -> bool) {
        let now = self.now();
        let mut usages = Vec::new();
        for from in 0..self.entries.len() {
            for to in 0..self.entries.len() {
                if from != to && is_connected(from, to) {
                    usages.push((to, self.build_usage_for(from, to)));
                }
            }
        }
        for (to, usage) in usages {
            self.entries[to].observe_peer_usage(&usage, now);
        }
    }

    /// Returns the usage that one entry sends in answer to another's query.
    fn build_usage_for(&mut self, from: usize, to: usize) -> PeerUsage {
        let (name, now) = (format!("e{from}"), self.now());
        let query = self.entries[to].build_query(&name, now);
        self.entries[from].build_usage(&name, self.incarnations[from], query, now)
    }

    fn max_tokens_in_window(&self) -> u64 {
        let window_ms = WINDOW_S * 1_000;
        let sum = |start: u64| {
            let inside = self
                .admitted
                .iter()
                .filter(|(at, _)| (start..start + window_ms).contains(at));
            inside.map(|(_, tokens)| tokens).sum()
        };
        self.admitted
            .iter()
            .map(|(at, _)| sum(*at))
            .max()
            .unwrap_or(0)
    }
}

fn allowed_tokens(rate: u64, burst: u64) -> u64 {
    let nominal = (rate * WINDOW_S + burst) as f64;
    (nominal * (1.0 + OVERAGE) + SLACK) as u64
}

#[rstest]
#[case::all_connected(5, |_, _| true)]
#[case::one_isolated(5, |from, to| from != 0 && to != 0)]
#[case::split_in_half(6, |from: usize, to: usize| (from < 3) == (to < 3))]
#[case::none_connected(5, |_, _| false)]
#[case::one_way(5, |from, _| from != 0)]
fn admit_partition_stays_within_allowed_rate(
    #[case] entries: usize,
    #[case] is_connected: fn(usize, usize) -> bool,
) {
    let mut fleet = Fleet::new(entries);
    fleet.run(3_000, 20, |_, _| true);
    fleet.run(12_000, 20, is_connected);
    fleet.run(5_000, 20, |_, _| true);
    let max_tokens = fleet.max_tokens_in_window();
    assert!(
        max_tokens <= allowed_tokens(RATE, BURST),
        "{max_tokens} tokens in a window"
    );
}

#[test]
fn admit_within_rate_is_not_refused_during_partition() {
    let mut fleet = Fleet::new(5);
    fleet.run(3_000, 1, |_, _| true);
    let before = fleet.refused;
    // 5 entries at 1 call of 12,000 tokens a second: 60% of the rate.
    fleet.run(10_000, 1, |from, to| from != 0 && to != 0);
    assert_eq!(fleet.refused, before);
}

#[test]
fn admit_after_restart_of_all_entries_stays_within_allowed_rate() {
    let mut fleet = Fleet::new(5);
    fleet.run(6_000, 20, |_, _| true);
    for entry in 0..5 {
        fleet.entries[entry] = fleet.start_entry();
        fleet.incarnations[entry] += 100;
    }
    fleet.run(8_000, 20, |_, _| true);
    let max_tokens = fleet.max_tokens_in_window();
    assert!(
        max_tokens <= allowed_tokens(RATE, BURST),
        "{max_tokens} tokens in a window"
    );
}

/// Guards against an account above its rate after all entries have been killed several
/// times in a row (QUOTA): each process starts with a part of the burst.
#[rstest]
#[case::not_at_all(0, 1_200)]
#[case::twice(2, 1_200)]
#[case::four_times(4, 1_200)]
#[case::seven_times(7, 1_200)]
#[case::three_times_slowly(3, 2_500)]
fn admit_after_restarts_in_series_stays_within_allowed_rate(
    #[case] restarts: u64,
    #[case] interval_ms: u64,
) {
    const DOWN_MS: u64 = 500;
    let mut fleet = Fleet::new(5);
    fleet.run(20_000, 1, |_, _| true);
    fleet.run(600, 20, |_, _| true);
    for _ in 0..restarts {
        for entry in 0..5 {
            fleet.entries[entry] = fleet.start_entry();
            fleet.incarnations[entry] += 100;
        }
        fleet.now_ms += DOWN_MS;
        fleet.run(interval_ms - DOWN_MS, 20, |_, _| true);
    }
    fleet.run(3_000, 20, |_, _| true);
    let max_tokens = fleet.max_tokens_in_window();
    assert!(
        max_tokens <= allowed_tokens(RATE, BURST),
        "{max_tokens} tokens in a window"
    );
}

/// A hot account sends nearly three times its rate to a large fleet, all of whose
/// entries are killed, are back after half a second and hear of each other only
/// after their first calls (`trouble-3` of the large deployment). What peers admitted before their first
/// contact counts, since all have started together.
#[rstest]
#[case::early(2_000)]
#[case::middle(4_500)]
#[case::late(6_000)]
fn admit_after_restart_of_large_fleet_stays_within_allowed_rate(#[case] hot_ms: u64) {
    const LARGE_RATE: u64 = 800_000;
    let mut fleet = Fleet::with_rate(103, LARGE_RATE, 510);
    fleet.run(4_000, 1, |_, _| true);
    fleet.run(hot_ms, 2, |_, _| true);
    for entry in 0..103 {
        fleet.entries[entry] = fleet.start_entry();
        fleet.incarnations[entry] += 1_000;
    }
    fleet.now_ms += 500;
    // They have not found each other yet.
    fleet.run(900, 2, |_, _| false);
    fleet.run(8_000, 2, |_, _| true);
    let max_tokens = fleet.max_tokens_in_window();
    assert!(
        max_tokens <= allowed_tokens(LARGE_RATE, LARGE_RATE),
        "{max_tokens} tokens in a window"
    );
}

#[test]
fn set_accounts_lower_rate_applies_within_window() {
    let mut fleet = Fleet::new(5);
    fleet.run(6_000, 20, |_, _| true);
    let now = fleet.now();
    for quota in &mut fleet.entries {
        quota.set_accounts(&[account(RATE / 20, BURST / 20)], now);
    }
    fleet.admitted.clear();
    fleet.run(20_000, 20, |_, _| true);
    let max_tokens = fleet.max_tokens_in_window();
    assert!(
        max_tokens <= allowed_tokens(RATE / 20, BURST / 20),
        "{max_tokens} tokens in a window"
    );
}

#[test]
fn admit_returned_wait_is_sufficient() {
    let mut quota = FleetQuota::new(0.0, 0.0);
    let start = MonotonicTime::from_micros(1);
    quota.set_accounts(&[account(1_000, 1_000)], start);
    let name = AccountName::from("guild");
    let wait = quota
        .admit(&name, 1_000, start)
        .expect_err("initial level should be below 1,000 tokens");
    let later = start + wait + Duration::from_millis(1);
    assert!(quota.admit(&name, 1_000, later).is_ok());
}

#[test]
fn observe_peer_usage_restarted_entry_adopts_full_level() {
    let mut fleet = Fleet::new(2);
    // 24% of the rate in all, so that the bucket is full at both entries.
    fleet.run(5_000, 1, |_, _| true);
    fleet.entries[1] = fleet.start_entry();
    fleet.incarnations[1] += 100;
    let name = AccountName::from("guild");
    let now = fleet.now();
    let call_tokens = 90_000;
    assert!(fleet.entries[1].admit(&name, call_tokens, now).is_err());
    fleet.exchange(|_, _| true);
    assert!(fleet.entries[1].admit(&name, call_tokens, now).is_ok());
}

#[test]
fn observe_peer_usage_restarted_entry_adopts_exhausted_level() {
    let mut fleet = Fleet::new(2);
    fleet.run(6_000, 20, |_, _| true);
    fleet.entries[1] = fleet.start_entry();
    fleet.incarnations[1] += 100;
    fleet.exchange(|_, _| true);
    let name = AccountName::from("guild");
    let now = fleet.now();
    assert!(fleet.entries[1].admit(&name, 30_000, now).is_err());
}

/// A restarted entry often hears from its peers before it has a configuration.
/// It must not charge what they admitted before its start, or it refuses calls
/// within the rate, as was found with seed inc-f697 of the Guild.
#[test]
fn observe_peer_usage_before_configuration_charges_no_past_usage() {
    let mut fleet = Fleet::new(2);
    fleet.run(20_000, 2, |_, _| true);
    fleet.entries[1] = FleetQuota::new(OVERAGE, SLACK);
    fleet.incarnations[1] += 100;
    fleet.exchange(|_, _| true);
    let now = fleet.now();
    fleet.entries[1].set_accounts(&[account(RATE, BURST)], now);
    fleet.exchange(|_, _| true);
    let name = AccountName::from("guild");
    assert!(fleet.entries[1].admit(&name, CALL_TOKENS, now).is_ok());
}

#[test]
fn mark_peer_stopped_is_not_charged() {
    let mut fleet = Fleet::new(5);
    fleet.run(5_000, 1, |_, _| true);
    let before = fleet.refused;
    let now = fleet.now();
    for stopped in 1..5 {
        fleet.entries[0].mark_peer_stopped(&format!("e{stopped}"));
    }
    let name = AccountName::from("guild");
    // 80% of the rate at the only running entry.
    let later = (1..60).map(|step| now + Duration::from_millis(step * 150));
    for time in later {
        fleet.refused += u64::from(fleet.entries[0].admit(&name, CALL_TOKENS, time).is_err());
    }
    assert_eq!(fleet.refused, before);
}

impl Fleet {
    /// Returns the bucket level at an entry, in tokens.
    fn level(&mut self, entry: usize) -> i64 {
        let query = UsageQuery {
            known: None,
            wants_levels: true,
        };
        let now = self.now();
        let usage = self.entries[entry].build_usage("x", 0, query, now);
        usage.levels[0].1
    }

    fn admit(&mut self, entry: usize, tokens: u64) {
        let now = self.now();
        self.entries[entry]
            .admit(&AccountName::from("guild"), tokens, now)
            .expect("bucket should hold enough tokens");
    }
}

/// Returns two entries whose levels are full and no longer estimates.
fn fleet_with_full_buckets() -> Fleet {
    let mut fleet = Fleet::new(2);
    fleet.run(6_000, 1, |_, _| true);
    fleet.now_ms += 4_000;
    fleet.exchange(|_, _| true);
    fleet
}

#[test]
fn build_usage_returns_only_changes() {
    let mut fleet = fleet_with_full_buckets();
    assert!(fleet.build_usage_for(0, 1).admitted.is_empty());
    fleet.admit(0, 1_000);
    assert_eq!(fleet.build_usage_for(0, 1).admitted.len(), 1);
    assert!(fleet.build_usage_for(0, 1).levels.is_empty());
}

#[test]
fn observe_peer_usage_lost_message_is_recovered_by_next() {
    let mut fleet = fleet_with_full_buckets();
    fleet.admit(0, 10_000);
    let _lost = fleet.build_usage_for(0, 1);
    fleet.admit(0, 20_000);
    fleet.exchange(|_, _| true);
    assert_eq!(fleet.level(0), fleet.level(1));
}

#[test]
fn observe_peer_usage_reordered_message_is_ignored() {
    let mut fleet = fleet_with_full_buckets();
    fleet.admit(0, 10_000);
    let older = fleet.build_usage_for(0, 1);
    fleet.admit(0, 20_000);
    let newer = fleet.build_usage_for(0, 1);
    let now = fleet.now();
    fleet.entries[1].observe_peer_usage(&newer, now);
    fleet.entries[1].observe_peer_usage(&older, now);
    assert_eq!(fleet.level(0), fleet.level(1));
    fleet.exchange(|_, _| true);
    assert_eq!(fleet.level(0), fleet.level(1));
}

/// Changes that build on an unknown state must not count as all that the peer
/// has admitted; the entry waits for the complete state.
#[test]
fn observe_peer_usage_unknown_base_requests_complete_state() {
    let mut fleet = fleet_with_full_buckets();
    fleet.admit(0, 10_000);
    let changes = fleet.build_usage_for(0, 1);
    assert!(changes.base > 0);
    fleet.entries[1] = fleet.start_entry();
    fleet.incarnations[1] += 100;
    let now = fleet.now();
    fleet.entries[1].observe_peer_usage(&changes, now);
    assert_eq!(fleet.entries[1].build_query("e0", now).known, None);
    let complete = fleet.build_usage_for(0, 1);
    assert_eq!((complete.base, complete.admitted.len()), (0, 1));
}

#[test]
fn set_accounts_rate_removed_and_restored_keeps_count() {
    let mut fleet = fleet_with_full_buckets();
    fleet.admit(0, 60_000);
    fleet.exchange(|_, _| true);
    let (now, before) = (fleet.now(), fleet.level(1));
    fleet.entries[0].set_accounts(&[], now);
    fleet.entries[0].set_accounts(&[account(RATE, BURST)], now);
    fleet.admit(0, 1_000);
    fleet.exchange(|_, _| true);
    assert_eq!(fleet.level(1), before - 1_000);
}

/// When a partition outlasts the peers' expiry, tokens admitted long before its
/// end must not be charged at its end.
#[test]
fn admit_within_rate_is_not_refused_after_long_partition() {
    let mut fleet = Fleet::new(5);
    fleet.run(3_000, 1, |_, _| true);
    let before = fleet.refused;
    fleet.run(20_000, 1, |from, to| from != 0 && to != 0);
    fleet.run(5_000, 1, |_, _| true);
    assert_eq!(fleet.refused, before);
}

//! Fleet-wide limit on retries.

use std::time::Duration;

use rstest::rstest;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::fleet::FleetRetryBudget;

const RATIO: f64 = 0.2;
const EXTRA: f64 = 56.0;
const WINDOW_MS: u64 = 10_000;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

/// Entries retry every request as often as they may, with a pause in the
/// traffic.
#[rstest]
#[case::even(5, [10, 10, 10, 10, 10])]
#[case::uneven(5, [1, 3, 50, 100, 7])]
#[case::few(5, [400, 400, 400, 400, 400])]
fn take_retry_stays_within_bound(#[case] entries: usize, #[case] interval_ms: [u64; 5]) {
    let mut budgets: Vec<FleetRetryBudget> = (0..entries)
        .map(|_| FleetRetryBudget::new(RATIO, EXTRA, 10.0))
        .collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for ms in 0..60_000 {
        for (entry, budget) in budgets.iter_mut().enumerate() {
            budget.set_entry_count(entries);
            let is_paused = (20_000..33_000).contains(&ms);
            if ms % interval_ms[entry] != 0 || is_paused {
                continue;
            }
            budget.record_request("s", at(ms));
            requests.push(ms);
            while budget.take_retry("s", at(ms)) {
                retries.push(ms);
            }
        }
    }
    let count = |times: &[u64], from: u64| {
        let inside = times
            .iter()
            .filter(|ms| (from..from + WINDOW_MS).contains(*ms));
        inside.count() as f64
    };
    for from in (0..50_000).step_by(100) {
        let bound = RATIO * count(&requests, from) + EXTRA;
        let sent = count(&retries, from);
        assert!(
            sent <= bound,
            "{sent} retries in the window from {from} ms, limit {bound}"
        );
    }
}

#[test]
fn take_retry_burst_can_use_whole_window() {
    let mut budget = FleetRetryBudget::new(RATIO, EXTRA, 10.0);
    for ms in 0..9_000 {
        if ms % 30 == 0 {
            budget.record_request("s", at(ms));
        }
    }
    let burst = (0..200)
        .take_while(|_| budget.take_retry("s", at(9_000)))
        .count();
    assert!(burst >= 50, "{burst} retries at once");
}

/// Guards against retries that are not necessary and leave none to calls that failed.
#[test]
fn has_spare_leaves_half_of_budget() {
    let mut budget = FleetRetryBudget::new(RATIO, EXTRA, 10.0);
    for _ in 0..100 {
        budget.record_request("s", at(0));
    }
    let mut hedges = 0;
    while budget.has_spare("s", at(0)) && budget.take_retry("s", at(0)) {
        hedges += 1;
    }
    let mut retries = 0;
    while budget.take_retry("s", at(0)) {
        retries += 1;
    }
    assert!(hedges > 0 && retries >= hedges, "{hedges} and {retries}");
}

//! Fleet-wide limit on retries.

use std::ops::Range;
use std::time::Duration;

use rstest::rstest;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::fleet::FleetRetryBudget;

const RATIO: f64 = 0.2;
const EXTRA: f64 = 56.0;
const WINDOW_MS: u64 = 10_000;

/// Records that an entry has heard the others.
fn record_entries(budget: &mut FleetRetryBudget, entries: Range<u64>, now: MonotonicTime) {
    for other in entries.skip(1) {
        budget.record_entry(&format!("entry-{other}"), now);
    }
}

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
            record_entries(budget, 0..entries as u64, at(ms));
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
    for from in (0..50_000).step_by(100) {
        let bound = RATIO * count_in_window(&requests, from) + EXTRA;
        let sent = count_in_window(&retries, from);
        assert!(
            sent <= bound,
            "{sent} retries in the window from {from} ms, limit {bound}"
        );
    }
}

fn count_in_window(times: &[u64], from: u64) -> f64 {
    let from_index = times.partition_point(|ms| *ms < from);
    let to_index = times.partition_point(|ms| *ms < from + WINDOW_MS);
    (to_index - from_index) as f64
}

/// Process of an entry. Its clock starts with it.
struct Process {
    budget: FleetRetryBudget,
    started_ms: u64,
    ready_ms: u64,
}

impl Process {
    fn start() -> Self {
        Self {
            budget: FleetRetryBudget::new(RATIO, EXTRA, 10.0),
            started_ms: 0,
            ready_ms: 0,
        }
    }

    fn restart(started_ms: u64) -> Self {
        Self {
            budget: FleetRetryBudget::after_restart(RATIO, EXTRA, 10.0).awaiting_others(),
            started_ms,
            ready_ms: started_ms + 50,
        }
    }

    fn now(&self, ms: u64) -> MonotonicTime {
        at(ms - self.started_ms)
    }
}

/// Guards against entries that use their whole share of the limit again after each restart
/// (BUDGET): what their earlier processes used still counts for all entries together.
///
/// All calls fail from `fail_from_ms`, so that entries have saved up as much as they can.
#[rstest]
#[case::all_twice(21, 9, 9_000, &[9_500, 13_500], 1)]
#[case::all_in_series(21, 95, 9_000, &[9_500, 10_700, 11_900, 13_100, 14_300, 15_500], 1)]
#[case::all_quickly(5, 3, 20_000, &[20_100, 20_400, 20_700, 21_000, 21_300, 21_600], 1)]
#[case::one_after_another(8, 4, 20_000, &[20_500, 21_500, 22_500, 23_500, 24_500], 8)]
#[case::few_requests(5, 900, 30_000, &[30_500, 36_000, 42_000], 1)]
#[case::each_window(5, 10, 15_000, &[15_500, 25_600, 35_700, 45_800], 1)]
fn take_retry_after_restarts_stays_within_bound(
    #[case] entries: u64,
    #[case] interval_ms: u64,
    #[case] fail_from_ms: u64,
    #[case] restarts_ms: &[u64],
    #[case] groups: u64,
) {
    let mut processes: Vec<Process> = (0..entries).map(|_| Process::start()).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for ms in 0..60_000 {
        for (entry, process) in (0..).zip(&mut processes) {
            // Each group of entries restarts a little after the one before.
            let offset_ms = 100 * (entry % groups);
            if restarts_ms.iter().any(|restart| restart + offset_ms == ms) {
                *process = Process::restart(ms);
            }
            if (ms + entry) % interval_ms != 0 || ms < process.ready_ms {
                continue;
            }
            let now = process.now(ms);
            if ms >= process.ready_ms + 100 {
                record_entries(&mut process.budget, 0..entries, now);
            }
            process.budget.record_request("s", now);
            requests.push(ms);
            while ms >= fail_from_ms && process.budget.take_retry("s", now) {
                retries.push(ms);
            }
        }
    }
    check_all_windows(&requests, &retries);
}

/// Guards against entries that take over the shares of others that they no longer hear,
/// or have not heard yet, while these go on (BUDGET): without a limit to the time of a
/// partition, and also when entries restart behind it.
#[rstest]
#[case::halves(20, 10, None)]
#[case::each_alone(21, 1, None)]
#[case::each_alone_restarted(21, 1, Some(45_000))]
fn take_retry_parted_stays_within_bound(
    #[case] entries: u64,
    #[case] part_size: u64,
    #[case] restart_ms: Option<u64>,
) {
    const PARTED_FROM_MS: u64 = 5_000;
    const FAIL_FROM_MS: u64 = 60_000;
    let mut processes: Vec<Process> = (0..entries).map(|_| Process::start()).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for ms in 0..80_000 {
        for (entry, process) in (0..).zip(&mut processes) {
            if restart_ms == Some(ms) {
                *process = Process::restart(ms);
            }
            if (ms + entry) % 1_000 != 0 || ms < process.ready_ms {
                continue;
            }
            let now = process.now(ms);
            let heard = if ms < PARTED_FROM_MS {
                entries
            } else {
                part_size
            };
            record_entries(&mut process.budget, 0..heard, now);
            process.budget.record_request("s", now);
            requests.push(ms);
            while ms >= FAIL_FROM_MS && process.budget.take_retry("s", now) {
                retries.push(ms);
            }
        }
    }
    check_all_windows(&requests, &retries);
}

/// Checks the operator's limit in all windows. Requests are those of the window itself, of
/// the one before it or of the one half a window before it, whichever has most.
fn check_all_windows(requests: &[u64], retries: &[u64]) {
    assert!(!retries.is_empty(), "no retry was allowed");
    let last_ms = requests.last().copied().unwrap_or(0);
    for from in (0..last_ms).step_by(100) {
        let windows = [0, WINDOW_MS / 2, WINDOW_MS].map(|back| u64::saturating_sub(from, back));
        let counts = windows.map(|from| count_in_window(requests, from));
        let bound = RATIO * counts.into_iter().fold(0.0, f64::max) + EXTRA;
        let sent = count_in_window(retries, from);
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

//! Responses of both builds, by route and second.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::BuildCounters;
use super::RouteReport;
use super::build_comparison::BuildComparison;
use super::build_comparison::DeviationLimit;
use crate::core::MonotonicTime;

/// Length of a slice of time.
const SLICE: Duration = Duration::from_secs(1);

/// Slices that are kept.
const MAX_SLICES: usize = 60;

/// Slices that count as recent.
const RECENT_SLICES: usize = 3;

/// Times of the old build in a slice below which its median over all slices is used.
const MIN_MEDIAN_TIMES: u64 = 12;

/// Multiple of the old build's median time from which a response is slow.
const SLOW_FACTOR: f64 = 3.0;

/// Time below which no response is slow, in milliseconds: differences below it come
/// from the network and the scheduler.
const MIN_SLOW_MS: f64 = 20.0;

/// Where strata lack responses of the old build: excess over the old build's share of
/// bad responses, as a factor and a share, below which the new build is not bad.
const STAND_IN_FACTOR: f64 = 1.5;
const STAND_IN_SHARE: f64 = 0.03;

/// Names of the periods that are compared: before all calls went to the new build, the
/// last seconds of that, after it, and all together.
const PERIODS: [&str; 4] = ["before-whole", "recent", "whole", "all"];

/// Responses of the old build on a route, and slices, from which the last ones before
/// all calls went to the new build stand in for those that lack.
const STAND_IN_RESPONSES: u64 = 40;
const STAND_IN_SLICES: usize = 10;

/// Counters of both builds and requests, of one route.
type RouteCounters = RouteReport;

/// Counters of all entries, in slices of a second.
#[derive(Debug, Clone, Default)]
pub struct EvidenceWindow {
    slices: VecDeque<BTreeMap<String, RouteCounters>>,
    total: BTreeMap<String, RouteCounters>,
    total_at_slice: BTreeMap<String, RouteCounters>,
    slice_started_at: MonotonicTime,
    /// Requests a second in the last whole slices, without the first slice: it holds
    /// what entries counted for an earlier leader.
    rates: VecDeque<f64>,
    /// Slices since all calls go to the new build; `None` before.
    whole_slices: Option<usize>,
}

impl EvidenceWindow {
    /// Replaces the sums over all entries. They only rise, except for requests that a
    /// late report corrects.
    pub fn update(&mut self, total: BTreeMap<String, RouteCounters>, now: MonotonicTime) {
        if self.slices.is_empty() {
            self.open_slice(now);
        }
        self.total = total;
        if let Some(slice) = self.slices.back_mut() {
            *slice = subtract(&self.total, &self.total_at_slice);
        }
        let length = now.since(self.slice_started_at);
        if length >= SLICE {
            self.record_rate(length);
            self.open_slice(now);
        }
    }

    /// Records that all calls go to the new build from now on.
    pub fn start_whole(&mut self, now: MonotonicTime) {
        self.open_slice(now);
        self.whole_slices = Some(1);
    }

    fn record_rate(&mut self, length: Duration) {
        let slice = self.slices.back().into_iter().flat_map(BTreeMap::values);
        let requests: u64 = slice.map(|counters| counters.requests).sum();
        if self.slices.len() > 1 {
            self.rates.push_back(requests as f64 / length.as_secs_f64());
        }
        if self.rates.len() > RECENT_SLICES {
            self.rates.pop_front();
        }
    }

    fn open_slice(&mut self, now: MonotonicTime) {
        self.slices.push_back(BTreeMap::new());
        if self.slices.len() > MAX_SLICES {
            self.slices.pop_front();
        }
        if let Some(count) = &mut self.whole_slices {
            *count = (*count + 1).min(self.slices.len());
        }
        self.total_at_slice = self.total.clone();
        self.slice_started_at = now;
    }

    /// Returns the sums of each route.
    pub fn routes(&self) -> impl Iterator<Item = &RouteCounters> {
        self.total.values()
    }

    /// Returns the requests of a route in the recent slices.
    pub fn recent_requests(&self, route: &str) -> u64 {
        let slices = self.slices.iter().rev().take(RECENT_SLICES);
        slices
            .filter_map(|slice| slice.get(route))
            .map(|counters| counters.requests)
            .sum()
    }

    /// Returns the highest number of requests a second in the last whole slices.
    pub fn peak_rate(&self) -> f64 {
        self.rates.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the responses of the new build since all calls go to it.
    pub fn whole_responses(&self) -> u64 {
        let count = self.whole_slices.unwrap_or(0);
        let slices = self.slices.iter().rev().take(count);
        let routes = slices.flat_map(BTreeMap::values);
        routes.map(|counters| counters.new.responses()).sum()
    }

    /// Returns a description of what is bad at the new build, if it is bad.
    pub fn find_fault(&self) -> Option<String> {
        self.find(DeviationLimit::BAD_ROUTE, DeviationLimit::BAD_SERVICE)
    }

    /// Returns whether the new build may be bad.
    pub fn is_suspect(&self) -> bool {
        self.find(
            DeviationLimit::SUSPECT_ROUTE,
            DeviationLimit::SUSPECT_SERVICE,
        )
        .is_some()
    }

    /// Returns whether there is a weak sign that the new build is bad.
    pub fn is_doubtful(&self) -> bool {
        self.find(
            DeviationLimit::DOUBTFUL_ROUTE,
            DeviationLimit::DOUBTFUL_SERVICE,
        )
        .is_some()
    }

    fn find(&self, of_route: DeviationLimit, of_service: DeviationLimit) -> Option<String> {
        let kinds: [(&str, BadCount<'_>); 2] = [
            ("failed", &|stratum, _| {
                let count = |c: &BuildCounters| (c.failed, c.ended);
                (count(&stratum.new), count(&stratum.old))
            }),
            ("slow", &|stratum, limit_ms| {
                let count = |c: &BuildCounters| (c.times.count_from(limit_ms), c.times.count());
                (count(&stratum.new), count(&stratum.old))
            }),
        ];
        for (kind, count) in kinds {
            let mut service = [BuildComparison::default(); 4];
            for route in self.total.keys() {
                let since_order = self.compare(route, self.slices.len(), count);
                let whole = self.compare_whole(route, count);
                let mut both = since_order;
                both.add(&whole);
                let recent = self.compare(route, RECENT_SLICES, count);
                let of_periods = [since_order, recent, whole, both];
                for (comparison, period) in of_periods.iter().zip(PERIODS) {
                    if comparison.exceeds(of_route) {
                        return Some(describe(kind, route, period, comparison));
                    }
                }
                for (sum, comparison) in service.iter_mut().zip(&of_periods) {
                    sum.add(comparison);
                }
            }
            for (comparison, period) in service.iter().zip(PERIODS) {
                if comparison.exceeds(of_service) {
                    return Some(describe(kind, "all", period, comparison));
                }
            }
        }
        None
    }

    /// Compares the builds on a route in the last `count` slices before all calls went
    /// to the new build.
    fn compare(&self, route: &str, count: usize, bad: BadCount<'_>) -> BuildComparison {
        let median = self.old_median_ms(route);
        let mut comparison = BuildComparison::default();
        let skipped = self.whole_slices.unwrap_or(0);
        for slice in self.slices.iter().rev().skip(skipped).take(count) {
            let Some(stratum) = slice.get(route) else {
                continue;
            };
            let median = if stratum.old.times.count() >= MIN_MEDIAN_TIMES {
                stratum.old.times.median_ms()
            } else {
                median
            };
            let (new, old) = bad(stratum, slow_limit_ms(median));
            comparison.add_stratum(new, old);
        }
        comparison
    }

    /// Compares the new build's responses since all calls go to it with the old build's
    /// shortly before.
    fn compare_whole(&self, route: &str, bad: BadCount<'_>) -> BuildComparison {
        let mut comparison = BuildComparison::default();
        let Some(count) = self.whole_slices else {
            return comparison;
        };
        let mut stratum = RouteCounters::default();
        for (position, slice) in self.slices.iter().rev().enumerate() {
            let Some(counters) = slice.get(route) else {
                continue;
            };
            if position < count {
                stratum.new.add(&counters.new);
            }
            let is_recent = position < count + RECENT_SLICES;
            let is_near = position < count + STAND_IN_SLICES;
            if is_recent || (is_near && stratum.old.ended < STAND_IN_RESPONSES) {
                stratum.old.add(&counters.old);
            }
        }
        let (new, old) = bad(&stratum, slow_limit_ms(self.old_median_ms(route)));
        let share = |(bad, total): (u64, u64)| bad as f64 / (total as f64).max(1.0);
        if share(new) > share(old) * STAND_IN_FACTOR + STAND_IN_SHARE {
            comparison.add_stratum(new, old);
        }
        comparison
    }

    fn old_median_ms(&self, route: &str) -> Option<f64> {
        self.total.get(route)?.old.times.median_ms()
    }
}

/// Returns bad responses and responses of the new and the old build; the limit is the
/// time from which a response is slow, in milliseconds.
type BadCount<'a> = &'a dyn Fn(&RouteCounters, f64) -> ((u64, u64), (u64, u64));

fn slow_limit_ms(median_ms: Option<f64>) -> f64 {
    median_ms.map_or(f64::MAX, |median| (median * SLOW_FACTOR).max(MIN_SLOW_MS))
}

fn describe(kind: &str, route: &str, period: &str, comparison: &BuildComparison) -> String {
    let (observed, expected) = comparison.counts();
    format!("{kind} route={route} period={period} count={observed} expected={expected:.2}")
}

fn subtract(
    total: &BTreeMap<String, RouteCounters>,
    earlier: &BTreeMap<String, RouteCounters>,
) -> BTreeMap<String, RouteCounters> {
    let none = RouteCounters::default();
    total
        .iter()
        .map(|(route, counters)| {
            let before = earlier.get(route).unwrap_or(&none);
            let counters = RouteCounters {
                route: route.clone(),
                requests: counters.requests.saturating_sub(before.requests),
                old: counters.old.since(&before.old),
                new: counters.new.since(&before.new),
            };
            (route.clone(), counters)
        })
        .collect()
}

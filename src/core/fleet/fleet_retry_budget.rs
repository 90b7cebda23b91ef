//! Limits retries across the fleet without communication: each entry enforces
//! its own share of the limit.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::RetryUsage;
use crate::core::MonotonicTime;

/// Share of the operator's limit that a process enforces after its first window.
const ENFORCED_SHARE: f64 = 0.7;

/// Like [`ENFORCED_SHARE`], in the first window of a process. What earlier processes of the
/// entry used in that time is not known, and is at most the other share. What is left of
/// the limit covers requests that arrive at one entry and are counted at another.
const START_SHARE: f64 = 0.25;

/// Minimum number of entries assumed, since a process that has just started
/// does not know all its peers.
const MIN_ENTRIES: usize = 4;

/// Time for which an entry that is not heard keeps its share: it may be cut off and go on
/// sending, and if it has ended, its last retries count for a window.
const RESERVED_TIME: Duration = Duration::from_secs(600);

/// Share of the enforced limit up to which calls that have not failed may use it, so that
/// failed ones find some left.
const SPARE_SHARE: f64 = 0.5;

/// Steps per window. A count may cover one step more than the window, which
/// makes the limit stricter for retries.
const WINDOW_STEPS: u32 = 20;

/// Minimum time between two reports of one service's rejected retries.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Limits the retries of each service per window to a ratio of its requests
/// plus a fixed extra, which is split evenly over the entries. As each entry
/// keeps its share, the fleet keeps the limit, however often entries restart and
/// whether or not they hear each other.
#[derive(Debug)]
pub struct FleetRetryBudget {
    ratio: f64,
    extra: f64,
    step_time: Duration,
    /// When the retries of an earlier process have left the window.
    full_from: MonotonicTime,
    /// Hashes of the names of the other entries, and when each was last heard.
    others: HashMap<u64, MonotonicTime>,
    /// Whether there are other entries none of which has been heard.
    awaits_others: bool,
    services: HashMap<String, Window>,
}

/// Requests and retries of one service, counted by time step.
#[derive(Debug, Default)]
struct Window {
    steps: VecDeque<Step>,
    /// When rejected retries were last reported.
    reported_at: Option<MonotonicTime>,
}

#[derive(Debug)]
struct Step {
    started_at: MonotonicTime,
    requests: u32,
    retries: u32,
}

impl FleetRetryBudget {
    /// Creates the budget of one entry from the operator's limit: a ratio of
    /// retries to requests and extra retries per window of `window_s` seconds.
    /// No earlier process of the entry has sent retries in the last window.
    pub fn new(ratio: f64, extra: f64, window_s: f64) -> Self {
        Self {
            ratio,
            extra,
            step_time: Duration::from_secs_f64(window_s) / WINDOW_STEPS,
            full_from: MonotonicTime::ZERO,
            others: HashMap::new(),
            awaits_others: false,
            services: HashMap::new(),
        }
    }

    /// Creates the budget of a process that starts at [`MonotonicTime::ZERO`], when an
    /// earlier one of the entry may have used the whole limit: little is allowed in the
    /// first window, and nothing that was not earned since the start.
    pub fn after_restart(ratio: f64, extra: f64, window_s: f64) -> Self {
        Self {
            full_from: MonotonicTime::ZERO + Duration::from_secs_f64(window_s),
            ..Self::new(ratio, extra, window_s)
        }
    }

    /// Allows none of the extra retries until another entry is heard, since it is not
    /// known how many share them.
    #[must_use]
    pub fn awaiting_others(self) -> Self {
        Self {
            awaits_others: true,
            ..self
        }
    }

    /// Records that another entry was heard, or heard of.
    pub fn record_entry(&mut self, name: &str, now: MonotonicTime) {
        self.awaits_others = false;
        self.others.insert(xxh3_64(name.as_bytes()), now);
    }

    /// Counts a request to a service.
    pub fn record_request(&mut self, service: &str, now: MonotonicTime) {
        self.current_step(service, now).requests += 1;
    }

    /// Returns whether the budget has a retry left.
    pub fn has_left(&mut self, service: &str, now: MonotonicTime) -> bool {
        let usage = self.usage(service, now);
        f64::from(usage.retries) + 1.0 <= usage.max_retries
    }

    /// Consumes one retry and returns true, or returns false if the budget is
    /// used up.
    pub fn take_retry(&mut self, service: &str, now: MonotonicTime) -> bool {
        if !self.has_left(service, now) {
            return false;
        }
        self.current_step(service, now).retries += 1;
        true
    }

    /// Returns what a rejected retry was judged by, at most once a second for each
    /// service.
    pub fn report_rejection(&mut self, service: &str, now: MonotonicTime) -> Option<RetryUsage> {
        let usage = self.usage(service, now);
        let window = self.services.get_mut(service)?;
        let is_due = |at: MonotonicTime| now.since(at) >= REPORT_INTERVAL;
        if !window.reported_at.is_none_or(is_due) {
            return None;
        }
        window.reported_at = Some(now);
        Some(usage)
    }

    /// Returns whether the budget has enough left for a retry that is not necessary, such
    /// as that of a call whose response is only late.
    pub fn has_spare(&mut self, service: &str, now: MonotonicTime) -> bool {
        let usage = self.usage(service, now);
        f64::from(usage.retries) + 1.0 <= usage.max_retries * SPARE_SHARE
    }

    /// Returns the requests and retries in the window and the limit that follows.
    fn usage(&mut self, service: &str, now: MonotonicTime) -> RetryUsage {
        let step_time = self.step_time;
        self.current_step(service, now);
        let window = self.services.get(service);
        let (mut requests, mut retries) = (0, 0);
        for step in window.into_iter().flat_map(|window| &window.steps) {
            // The oldest step is partly outside the window: its retries count,
            // its requests do not.
            let is_in_window = now.since(step.started_at) <= step_time * WINDOW_STEPS;
            requests += if is_in_window { step.requests } else { 0 };
            retries += step.retries;
        }
        self.others
            .retain(|_, heard_at| now.since(*heard_at) < RESERVED_TIME);
        RetryUsage {
            requests,
            retries,
            max_retries: self.max_retries(requests, now),
            entry_count: self.others.len() + 1,
        }
    }

    /// Returns the maximum number of retries in a window with so many requests.
    fn max_retries(&self, requests: u32, now: MonotonicTime) -> f64 {
        let entry_count = (self.others.len() + 1).max(MIN_ENTRIES);
        let extra_share = if self.awaits_others {
            0.0
        } else {
            self.extra / entry_count as f64
        };
        let by_requests = self.ratio * f64::from(requests);
        if now >= self.full_from {
            return (by_requests + extra_share) * ENFORCED_SHARE;
        }
        let age = now.since(MonotonicTime::ZERO);
        let first_window = self.full_from.since(MonotonicTime::ZERO);
        let earned_share = age.as_secs_f64() / first_window.as_secs_f64();
        (by_requests + extra_share * earned_share) * START_SHARE
    }

    /// Returns the current step and removes those that have left the window.
    fn current_step(&mut self, service: &str, now: MonotonicTime) -> &mut Step {
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), Window::default());
        }
        let step_time = self.step_time;
        let window = self
            .services
            .get_mut(service)
            .unwrap_or_else(|| unreachable!("the window was inserted above"));
        let is_over = |step: &Step, span| now.since(step.started_at) >= span;
        while window
            .steps
            .front()
            .is_some_and(|oldest| is_over(oldest, step_time * (WINDOW_STEPS + 1)))
        {
            window.steps.pop_front();
        }
        if window
            .steps
            .back()
            .is_none_or(|last| is_over(last, step_time))
        {
            window.steps.push_back(Step {
                started_at: now,
                requests: 0,
                retries: 0,
            });
        }
        window
            .steps
            .back_mut()
            .unwrap_or_else(|| unreachable!("a step was pushed above"))
    }
}

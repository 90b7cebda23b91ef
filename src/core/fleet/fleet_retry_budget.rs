//! A fleet-wide bound on repeated sends, kept without talking.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::core::MonotonicTime;

/// Part of the operator's bound that is used; the rest covers requests that
/// arrive at one entry and are counted at another.
const USED_SHARE: f64 = 0.8;

/// Entries that are assumed while fewer are known: a process that has just
/// started knows no peer.
const LEAST_ENTRIES: usize = 4;

/// Steps into which a window is split; a count may cover one step more than
/// the window, which makes the bound stricter for repeats.
const STEPS: u32 = 20;

/// A bound on repeated sends to each service: in each window at most a ratio
/// of the requests in it, and a fixed extra, split evenly over the entries.
/// Each entry keeps its own part, so all together keep the whole.
#[derive(Debug)]
pub struct FleetRetryBudget {
    ratio: f64,
    extra: f64,
    step: Duration,
    entries: usize,
    services: HashMap<String, Window>,
}

/// Requests and repeats of one service, by step of time.
#[derive(Debug, Default)]
struct Window {
    steps: VecDeque<Step>,
}

#[derive(Debug)]
struct Step {
    begun: MonotonicTime,
    requests: u32,
    repeats: u32,
}

impl FleetRetryBudget {
    /// Creates the allowance of one entry from the operator's ratio of repeats
    /// to requests and the extra repeats in each window of `window_s` seconds.
    pub fn new(ratio: f64, extra: f64, window_s: f64) -> Self {
        Self {
            ratio,
            extra,
            step: Duration::from_secs_f64(window_s) / STEPS,
            entries: LEAST_ENTRIES,
            services: HashMap::new(),
        }
    }

    /// Takes over how many entries share the extra.
    pub fn set_entry_count(&mut self, entries: usize) {
        self.entries = entries.max(LEAST_ENTRIES);
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, service: &str, now: MonotonicTime) {
        self.current(service, now).requests += 1;
    }

    /// Takes one repeat out; false if there is none.
    pub fn take_retry(&mut self, service: &str, now: MonotonicTime) -> bool {
        let step = self.step;
        self.current(service, now);
        let window = self.services.get(service);
        let (mut requests, mut repeats) = (0, 0);
        for counted in window.into_iter().flat_map(|window| &window.steps) {
            // The oldest step is partly out of the window: its repeats count,
            // its requests do not.
            let is_whole = now.since(counted.begun) <= step * STEPS;
            requests += if is_whole { counted.requests } else { 0 };
            repeats += counted.repeats;
        }
        let own_extra = self.extra / self.entries as f64;
        let bound = (self.ratio * f64::from(requests) + own_extra) * USED_SHARE;
        if f64::from(repeats + 1) > bound {
            return false;
        }
        self.current(service, now).repeats += 1;
        true
    }

    /// Returns the step of this moment and drops those out of the window.
    fn current(&mut self, service: &str, now: MonotonicTime) -> &mut Step {
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), Window::default());
        }
        let step = self.step;
        let window = self
            .services
            .get_mut(service)
            .unwrap_or_else(|| unreachable!("inserted above"));
        let is_over = |counted: &Step, span| now.since(counted.begun) >= span;
        while window
            .steps
            .front()
            .is_some_and(|oldest| is_over(oldest, step * (STEPS + 1)))
        {
            window.steps.pop_front();
        }
        if window.steps.back().is_none_or(|last| is_over(last, step)) {
            window.steps.push_back(Step {
                begun: now,
                requests: 0,
                repeats: 0,
            });
        }
        window
            .steps
            .back_mut()
            .unwrap_or_else(|| unreachable!("pushed above"))
    }
}

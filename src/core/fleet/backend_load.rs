//! How busy a backend server is, from reports and own calls.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::PrefillQueue;
use crate::core::MonotonicTime;

/// Age at which a report says nothing any more of others' calls.
const REPORT_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Load that a server reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Calls being worked on.
    pub running: u32,
    /// Calls that wait for a slot.
    pub waiting: u32,
}

/// How busy a backend server is: what it reported, corrected by what this
/// process has sent and seen end since.
#[derive(Debug, Default)]
pub(super) struct BackendLoad {
    own_calls: u32,
    own_prefill: Duration,
    other_calls: u32,
    other_waiting: u32,
    reported_at: Option<MonotonicTime>,
    other_prefill: PrefillQueue,
}

impl BackendLoad {
    /// Takes note of a call sent, whose prompt takes so long to read.
    pub fn begin_call(&mut self, prefill_time: Duration) {
        self.own_calls += 1;
        self.own_prefill += prefill_time;
    }

    /// Takes note that the prompt of a call has been read.
    pub fn end_prefill(&mut self, prefill_time: Duration) {
        self.own_prefill = self.own_prefill.saturating_sub(prefill_time);
    }

    /// Takes note that a call has ended.
    pub fn end_call(&mut self) {
        self.own_calls = self.own_calls.saturating_sub(1);
    }

    /// Takes note of a report.
    pub fn observe_report(&mut self, load: ReportedLoad, now: MonotonicTime) {
        self.other_calls = (load.running + load.waiting).saturating_sub(self.own_calls);
        self.other_waiting = load.waiting.min(self.other_calls);
        self.reported_at = Some(now);
    }

    /// Takes note of the time that the prompts of all entries' calls still
    /// take to read.
    pub fn observe_prefill(&mut self, remaining: Duration, now: MonotonicTime) {
        let other_prefill = remaining.saturating_sub(self.own_prefill);
        self.other_prefill.set_remaining(other_prefill, now);
    }

    /// Estimates the calls at the server, running and waiting.
    pub fn estimate_calls(&self, now: MonotonicTime) -> f64 {
        f64::from(self.own_calls) + f64::from(self.other_calls) * self.report_weight(now)
    }

    /// Estimates the milliseconds that the server needs to read the prompts
    /// that it has; `mean_ms` is for one of which nothing is known.
    pub fn estimate_prefill_ms(&self, mean_ms: f64, now: MonotonicTime) -> f64 {
        let waiting = f64::from(self.other_waiting) * mean_ms * self.report_weight(now);
        let announced = self.other_prefill.remaining(now).as_secs_f64() * 1_000.0;
        self.own_prefill.as_secs_f64() * 1_000.0 + waiting.max(announced)
    }

    /// Age of the last report.
    pub fn report_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.reported_at.map(|at| now.since(at))
    }

    fn report_weight(&self, now: MonotonicTime) -> f64 {
        self.report_age(now).map_or(0.0, |age| {
            1.0 - (age.as_secs_f64() / REPORT_MAX_AGE.as_secs_f64()).min(1.0)
        })
    }
}

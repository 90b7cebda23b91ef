//! How busy a backend server is, from reports and own calls.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::PrefillQueue;
use crate::core::MonotonicTime;

/// Age at which a report says nothing any more of others' calls.
const REPORT_MEMORY: Duration = Duration::from_millis(1_500);

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
    own: u32,
    own_reading: Duration,
    others: u32,
    others_waiting: u32,
    reported_at: Option<MonotonicTime>,
    others_reading: PrefillQueue,
}

impl BackendLoad {
    /// Takes note of a call sent, whose prompt takes so long to read.
    pub fn begin(&mut self, reading: Duration) {
        self.own += 1;
        self.own_reading += reading;
    }

    /// Takes note that the prompt of a call has been read.
    pub fn end_prefill(&mut self, reading: Duration) {
        self.own_reading = self.own_reading.saturating_sub(reading);
    }

    /// Takes note that a call has ended.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes note of a report.
    pub fn observe(&mut self, figures: ReportedLoad, now: MonotonicTime) {
        self.others = (figures.running + figures.waiting).saturating_sub(self.own);
        self.others_waiting = figures.waiting.min(self.others);
        self.reported_at = Some(now);
    }

    /// Takes note of the time that the prompts of all entries' calls still
    /// take to read.
    pub fn observe_reading(&mut self, left: Duration, now: MonotonicTime) {
        let others = left.saturating_sub(self.own_reading);
        self.others_reading.set_remaining(others, now);
    }

    /// Estimates the calls at the server, running and waiting.
    pub fn calls(&self, now: MonotonicTime) -> f64 {
        f64::from(self.own) + f64::from(self.others) * self.trust(now)
    }

    /// Estimates the milliseconds that the server needs to read the prompts
    /// that it has; `mean_ms` is for one of which nothing is known.
    pub fn prefill_ms(&self, mean_ms: f64, now: MonotonicTime) -> f64 {
        let waiting = f64::from(self.others_waiting) * mean_ms * self.trust(now);
        let announced = self.others_reading.remaining(now).as_secs_f64() * 1_000.0;
        self.own_reading.as_secs_f64() * 1_000.0 + waiting.max(announced)
    }

    /// Age of the last report.
    pub fn report_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.reported_at.map(|at| now.since(at))
    }

    fn trust(&self, now: MonotonicTime) -> f64 {
        self.report_age(now).map_or(0.0, |age| {
            1.0 - (age.as_secs_f64() / REPORT_MEMORY.as_secs_f64()).min(1.0)
        })
    }
}

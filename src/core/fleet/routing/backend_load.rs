//! Estimates a backend server's load from its reports and from the calls that
//! this process has sent to it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::PrefillQueue;
use crate::core::MonotonicTime;

/// Age at which a load report no longer counts for the calls of other entries;
/// its weight falls linearly until then.
const REPORT_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Age up to which calls of other entries count in full at servers whose speed is
/// learned. A server that reports nothing has not run its queue empty.
const FULL_WEIGHT_AGE: Duration = Duration::from_millis(1_500);

/// Load that a backend server reports about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Calls in progress.
    pub running: u32,
    /// Calls queued for a slot.
    pub waiting: u32,
    /// Multiple of the normal time that work takes at the moment, in percent; `None` if
    /// the server does not state it. Left out then, so that an earlier release can read
    /// the message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slowness: Option<u16>,
}

/// Load of a backend server: its last report, corrected by the calls that this
/// process has started and ended since.
#[derive(Debug, Default)]
pub(super) struct BackendLoad {
    own_calls: u32,
    own_prefill: Duration,
    /// Prefill times of the own calls that have not begun, and when each was predicted to.
    own_unstarted: Vec<(Duration, MonotonicTime)>,
    started_at: MonotonicTime,
    other_calls: u32,
    other_waiting: u32,
    reported_at: Option<MonotonicTime>,
    other_prefill: PrefillQueue,
}

impl BackendLoad {
    /// Counts a call sent to the server; `prefill_time` is the predicted time
    /// to prefill its prompt, and `due_at` when its response was predicted to begin.
    pub fn begin_call(&mut self, prefill_time: Duration, due_at: MonotonicTime) {
        self.own_calls += 1;
        self.own_prefill += prefill_time;
        self.own_unstarted.push((prefill_time, due_at));
    }

    /// Removes a call's `prefill_time`, after its first token or when it will
    /// not be prefilled.
    pub fn end_prefill(&mut self, prefill_time: Duration) {
        self.own_prefill = self.own_prefill.saturating_sub(prefill_time);
        let mut unstarted = self.own_unstarted.iter();
        if let Some(index) = unstarted.position(|(time, _)| *time == prefill_time) {
            self.own_unstarted.remove(index);
        }
    }

    /// Records that an own call has begun.
    pub fn record_start(&mut self, now: MonotonicTime) {
        self.started_at = now;
    }

    /// Returns for how long the server has begun no own call although one was due.
    pub fn overdue(&self, now: MonotonicTime) -> Duration {
        let due = self.own_unstarted.iter().map(|(_, due_at)| *due_at).min();
        due.map_or(Duration::ZERO, |due_at| {
            now.since(due_at.max(self.started_at))
        })
    }

    /// Returns the number of calls that this process has at the server.
    pub fn own_calls(&self) -> u32 {
        self.own_calls
    }

    /// Removes a call that has ended.
    pub fn end_call(&mut self) {
        self.own_calls = self.own_calls.saturating_sub(1);
    }

    /// Replaces the estimate of other entries' calls by a report, from which
    /// the calls of this process are subtracted.
    pub fn observe_report(&mut self, load: ReportedLoad, now: MonotonicTime) {
        self.other_calls = (load.running + load.waiting).saturating_sub(self.own_calls);
        self.other_waiting = load.waiting.min(self.other_calls);
        self.reported_at = Some(now);
    }

    /// Sets the remaining prefill time of all announced calls, those of this
    /// process included.
    pub fn observe_prefill(&mut self, remaining: Duration, now: MonotonicTime) {
        let other_prefill = remaining.saturating_sub(self.own_prefill);
        self.other_prefill.set_remaining(other_prefill, now);
    }

    /// Estimates the running and queued calls at the server.
    pub fn estimate_calls(&self, now: MonotonicTime) -> f64 {
        f64::from(self.own_calls) + f64::from(self.other_calls) * self.report_weight(now)
    }

    /// Estimates the time, in milliseconds, that the server needs to prefill
    /// the prompts it has. A queued call of unknown prompt counts as `mean_ms`.
    pub fn estimate_prefill_ms(&self, mean_ms: f64, now: MonotonicTime) -> f64 {
        let waiting = f64::from(self.other_waiting) * mean_ms * self.report_weight(now);
        let announced = self.other_prefill.remaining(now).as_secs_f64() * 1_000.0;
        self.own_prefill.as_secs_f64() * 1_000.0 + waiting.max(announced)
    }

    /// Estimates the calls like [`Self::estimate_calls`], with those of other entries in
    /// full.
    pub fn estimate_calls_in_full(&self, now: MonotonicTime) -> f64 {
        f64::from(self.own_calls) + f64::from(self.other_calls) * self.full_weight(now)
    }

    /// Estimates the prefill time like [`Self::estimate_prefill_ms`], with waiting calls
    /// of other entries in full, and adds the time by which the server is late.
    pub fn estimate_prefill_ms_in_full(&self, mean_ms: f64, now: MonotonicTime) -> f64 {
        let waiting = f64::from(self.other_waiting) * mean_ms * self.full_weight(now);
        let announced = self.other_prefill.remaining(now).as_secs_f64() * 1_000.0;
        let overdue = self.overdue(now).as_secs_f64() * 1_000.0;
        self.own_prefill.as_secs_f64() * 1_000.0 + waiting.max(announced) + overdue
    }

    /// Returns the standard deviation of [`Self::estimate_calls_in_full`]: other entries
    /// have started and ended calls since the report, each of which takes `hold`.
    pub fn deviation(&self, hold: Duration, now: MonotonicTime) -> f64 {
        let age = self.report_age(now).unwrap_or(Duration::MAX);
        let replaced = (age.as_secs_f64() / hold.as_secs_f64().max(1e-3)).min(1.0);
        (f64::from(self.other_calls) * replaced).sqrt()
    }

    fn full_weight(&self, now: MonotonicTime) -> f64 {
        self.report_age(now).map_or(0.0, |age| {
            let excess = age.saturating_sub(FULL_WEIGHT_AGE).as_secs_f64();
            1.0 - (excess / REPORT_MAX_AGE.as_secs_f64()).min(1.0)
        })
    }

    /// Returns the age of the last report, if there was one.
    pub fn report_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.reported_at.map(|at| now.since(at))
    }

    fn report_weight(&self, now: MonotonicTime) -> f64 {
        self.report_age(now).map_or(0.0, |age| {
            1.0 - (age.as_secs_f64() / REPORT_MAX_AGE.as_secs_f64()).min(1.0)
        })
    }
}

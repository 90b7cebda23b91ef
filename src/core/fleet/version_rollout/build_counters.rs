//! Responses of a build on one route.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::LatencyHistogram;

/// Responses of a build on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildCounters {
    /// Calls that have ended, well or not.
    pub ended: u64,
    /// Calls among them that failed.
    pub failed: u64,
    /// Times to the response, or to the first event of a stream.
    pub times: LatencyHistogram,
}

impl BuildCounters {
    /// Counts a call that has ended.
    pub fn record_end(&mut self, is_failure: bool) {
        self.ended += 1;
        self.failed += u64::from(is_failure);
    }

    /// Counts the time to a response or the first event of a stream.
    pub fn record_time(&mut self, elapsed: Duration) {
        self.times.record(elapsed);
    }

    /// Adds the counters of another entry.
    pub fn add(&mut self, other: &Self) {
        self.ended += other.ended;
        self.failed += other.failed;
        self.times.add(&other.times);
    }

    /// Returns what was counted after `earlier`. Counters that have fallen, since an
    /// entry is no longer known, count as unchanged.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            times: self.times.since(&earlier.times),
        }
    }

    /// Returns the responses that show whether the build works: ended calls, and streams
    /// that have begun.
    pub fn responses(&self) -> u64 {
        self.ended.max(self.times.count())
    }
}

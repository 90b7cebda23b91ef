//! Measures how many calls an entry gets.

use std::time::Duration;

use crate::core::MonotonicTime;

/// Time constant of the average: several times the mean gap between calls of a lightly
/// used entry, and short against the time for which servers name limits.
const AVERAGING_TIME: Duration = Duration::from_secs(3);

/// Moving average of calls in a second.
#[derive(Debug, Default)]
pub(super) struct CallRate {
    per_s: f64,
    updated_at: MonotonicTime,
}

impl CallRate {
    /// Counts a call.
    pub fn record(&mut self, now: MonotonicTime) {
        self.per_s = self.at(now) + 1.0 / AVERAGING_TIME.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the calls in a second.
    pub fn at(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.per_s * (-elapsed / AVERAGING_TIME.as_secs_f64()).exp()
    }
}

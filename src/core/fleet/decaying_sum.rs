//! Sum whose terms lose weight with time.

use std::time::Duration;

use crate::core::MonotonicTime;

/// Sum whose terms lose weight exponentially with time.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayingSum {
    time_constant: Duration,
    sum: f64,
    updated_at: MonotonicTime,
}

impl DecayingSum {
    /// Creates an empty sum whose terms lose weight by a factor of e in
    /// `time_constant`.
    pub fn new(time_constant: Duration) -> Self {
        Self {
            time_constant,
            sum: 0.0,
            updated_at: MonotonicTime::ZERO,
        }
    }

    /// Adds a term.
    pub fn add(&mut self, term: f64, now: MonotonicTime) {
        self.sum = self.at(now) + term;
        self.updated_at = now;
    }

    /// Returns the sum.
    pub fn at(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.sum * (-elapsed / self.time_constant.as_secs_f64()).exp()
    }

    /// Returns the terms a second, once terms have been added for some time constants.
    pub fn rate(&self, now: MonotonicTime) -> f64 {
        self.at(now) / self.time_constant.as_secs_f64()
    }
}

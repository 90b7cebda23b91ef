//! How many tokens an account has been using here.

use crate::core::MonotonicTime;

/// Seconds over which demand is averaged.
const WINDOW_SECONDS: f64 = 2.0;

/// How many tokens an account has been using here, as an average that decays
/// exponentially.
#[derive(Debug, Default)]
pub(super) struct Demand {
    requests: f64,
    tokens: f64,
    at: MonotonicTime,
}

impl Demand {
    /// Counts one request.
    pub(super) fn count(&mut self, micros: u64, now: MonotonicTime) {
        self.decay(now);
        self.requests += 1.0;
        self.tokens += micros as f64;
    }

    /// Returns how many requests come within a span of seconds.
    pub(super) fn requests_in(&mut self, seconds: f64, now: MonotonicTime) -> f64 {
        self.decay(now);
        self.requests / WINDOW_SECONDS * seconds
    }

    /// Returns the millionths of a token that requests use within a span of
    /// seconds.
    pub(super) fn micros_in(&mut self, seconds: f64, now: MonotonicTime) -> u64 {
        self.decay(now);
        (self.tokens / WINDOW_SECONDS * seconds) as u64
    }

    /// Tells whether next to nothing has been used.
    pub(super) fn is_idle(&mut self, now: MonotonicTime) -> bool {
        self.decay(now);
        self.requests < 0.01
    }

    fn decay(&mut self, now: MonotonicTime) {
        let seconds = now.since(self.at).as_secs_f64();
        let factor = (-seconds / WINDOW_SECONDS).exp();
        self.requests *= factor;
        self.tokens *= factor;
        self.at = self.at.max(now);
    }
}

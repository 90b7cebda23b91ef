//! How many tokens an account has been using here.

use crate::core::MonotonicTime;

/// Seconds over which demand is averaged.
const DECAY_SECONDS: f64 = 2.0;

/// How many tokens an account has been using here, as an average that decays
/// exponentially.
#[derive(Debug, Default)]
pub(super) struct Demand {
    requests: f64,
    micro_tokens: f64,
    updated_at: MonotonicTime,
}

impl Demand {
    /// Counts one request.
    pub(super) fn record_request(&mut self, micro_tokens: u64, now: MonotonicTime) {
        self.decay(now);
        self.requests += 1.0;
        self.micro_tokens += micro_tokens as f64;
    }

    /// Returns how many requests come within a span of seconds.
    pub(super) fn expected_requests(&mut self, seconds: f64, now: MonotonicTime) -> f64 {
        self.decay(now);
        self.requests / DECAY_SECONDS * seconds
    }

    /// Returns the millionths of a token that requests use within a span of
    /// seconds.
    pub(super) fn expected_micro_tokens(&mut self, seconds: f64, now: MonotonicTime) -> u64 {
        self.decay(now);
        (self.micro_tokens / DECAY_SECONDS * seconds) as u64
    }

    /// Tells whether next to nothing has been used.
    pub(super) fn is_idle(&mut self, now: MonotonicTime) -> bool {
        self.decay(now);
        self.requests < 0.01
    }

    fn decay(&mut self, now: MonotonicTime) {
        let seconds = now.since(self.updated_at).as_secs_f64();
        let factor = (-seconds / DECAY_SECONDS).exp();
        self.requests *= factor;
        self.micro_tokens *= factor;
        self.updated_at = self.updated_at.max(now);
    }
}

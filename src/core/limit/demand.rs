//! Recent token use of an account, from which tokens to prefetch are estimated.

use crate::core::MonotonicTime;

/// Time constant of the exponential decay, in seconds.
const DECAY_SECONDS: f64 = 2.0;

/// Exponentially decaying counts of an account's requests and micro-tokens.
#[derive(Debug, Default)]
pub(super) struct Demand {
    requests: f64,
    micro_tokens: f64,
    updated_at: MonotonicTime,
}

impl Demand {
    /// Counts one request and its micro-tokens.
    pub(super) fn record_request(&mut self, micro_tokens: u64, now: MonotonicTime) {
        self.decay(now);
        self.requests += 1.0;
        self.micro_tokens += micro_tokens as f64;
    }

    /// Estimates the requests of the next `seconds`.
    pub(super) fn expected_requests(&mut self, seconds: f64, now: MonotonicTime) -> f64 {
        self.decay(now);
        self.requests / DECAY_SECONDS * seconds
    }

    /// Estimates the micro-tokens that requests of the next `seconds` use.
    pub(super) fn expected_micro_tokens(&mut self, seconds: f64, now: MonotonicTime) -> u64 {
        self.decay(now);
        (self.micro_tokens / DECAY_SECONDS * seconds) as u64
    }

    /// Returns whether the decayed count is below 0.01 requests.
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

//! Token bucket whose level may become negative.

use std::time::Duration;

use crate::core::MonotonicTime;

/// Token bucket whose level may become negative, because peers use the same
/// tokens and report it later.
#[derive(Debug, Clone)]
pub(in crate::core::fleet) struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    refilled_at: MonotonicTime,
}

impl TokenBucket {
    /// Creates a bucket filled to `level`, at most `burst`.
    pub fn new(rate: f64, burst: f64, level: f64, now: MonotonicTime) -> Self {
        Self {
            rate,
            burst,
            level: level.min(burst),
            refilled_at: now,
        }
    }

    /// Changes the rate, in tokens per second, and the burst; the level is
    /// capped at the new burst.
    pub fn set_limits(&mut self, rate: f64, burst: f64, now: MonotonicTime) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes tokens regardless of the level; a negative number returns them.
    pub fn take(&mut self, tokens: f64, now: MonotonicTime) {
        self.refill(now);
        self.level -= tokens;
    }

    /// Returns the current level.
    pub fn level(&self, now: MonotonicTime) -> f64 {
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        (self.level + self.rate * elapsed_s).min(self.burst)
    }

    /// Returns the time until `tokens`, or at most a full burst, are available;
    /// capped at 60 s.
    pub fn time_until_available(&self, tokens: f64, now: MonotonicTime) -> Duration {
        let missing = (tokens.min(self.burst) - self.level(now)).max(0.0);
        if self.rate <= 0.0 {
            return Duration::from_secs(60);
        }
        Duration::from_secs_f64((missing / self.rate).min(60.0))
    }

    fn refill(&mut self, now: MonotonicTime) {
        self.level = self.level(now);
        self.refilled_at = now;
    }
}

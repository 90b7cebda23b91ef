//! A token bucket whose level may go below zero.

use std::time::Duration;

use crate::core::MonotonicTime;

/// A token bucket whose level may go below zero, since others take from it
/// as well and tell of it later.
#[derive(Debug, Clone)]
pub(super) struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    refilled_at: MonotonicTime,
}

impl TokenBucket {
    /// Creates a bucket at `level`.
    pub fn new(rate: f64, burst: f64, level: f64, now: MonotonicTime) -> Self {
        Self {
            rate,
            burst,
            level: level.min(burst),
            refilled_at: now,
        }
    }

    /// Takes over a new rate and burst; a level above the burst is cut.
    pub fn set_limits(&mut self, rate: f64, burst: f64, now: MonotonicTime) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes tokens, whatever the level.
    pub fn take(&mut self, tokens: f64, now: MonotonicTime) {
        self.refill(now);
        self.level -= tokens;
    }

    /// Returns the level.
    pub fn level(&mut self, now: MonotonicTime) -> f64 {
        self.refill(now);
        self.level
    }

    /// Returns the time until `tokens` can be taken.
    pub fn time_until_available(&mut self, tokens: f64, now: MonotonicTime) -> Duration {
        self.refill(now);
        let missing = (tokens.min(self.burst) - self.level).max(0.0);
        if self.rate <= 0.0 {
            return Duration::from_secs(60);
        }
        Duration::from_secs_f64((missing / self.rate).min(60.0))
    }

    fn refill(&mut self, now: MonotonicTime) {
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + self.rate * elapsed_s).min(self.burst);
        self.refilled_at = now;
    }
}

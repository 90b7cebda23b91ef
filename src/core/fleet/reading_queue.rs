//! Prompt tokens that an engine still has to read.

use super::call_costs::PREFILL_TOKENS_PER_MS;
use crate::core::MonotonicTime;

/// Prompt tokens that an engine still has to read, from the calls that entries
/// announced: an engine's own report tells only how many calls wait, and one
/// long prompt holds up as much as ten usual ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadingQueue {
    tokens: f64,
    at: MonotonicTime,
}

impl ReadingQueue {
    /// Takes note of a call with so many tokens to read.
    pub fn add(&mut self, tokens: u32, now: MonotonicTime) {
        self.tokens = f64::from(self.left(now)) + f64::from(tokens);
        self.at = now;
    }

    /// Takes note that so many tokens are left.
    pub fn set(&mut self, tokens: u32, now: MonotonicTime) {
        self.tokens = f64::from(tokens);
        self.at = now;
    }

    /// Estimates the tokens left, as the engine reads them one after another.
    pub fn left(&self, now: MonotonicTime) -> u32 {
        let read = now.since(self.at).as_secs_f64() * 1_000.0 * PREFILL_TOKENS_PER_MS;
        (self.tokens - read).max(0.0) as u32
    }
}

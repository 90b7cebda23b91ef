//! A token bucket over a part of an allowance.

use super::allowance::Allowance;
use super::allowance::ShareFraction;
use crate::core::MonotonicTime;

/// Millionths of a token in a token.
pub(super) const MICROS_PER_TOKEN: u64 = 1_000_000;

/// A token bucket over a part of an allowance. Levels are in millionths of a
/// token.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenBucket {
    level: u64,
    refilled_at: MonotonicTime,
}

impl TokenBucket {
    /// Creates an empty bucket that fills from `now` on.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            level: 0,
            refilled_at: now,
        }
    }

    /// Adds the gain since the last call. Level and `outside`, tokens that
    /// are out in grants, stay within the burst of the part.
    pub(super) fn refill(
        &mut self,
        allowance: Allowance,
        fraction: ShareFraction,
        outstanding: u64,
        now: MonotonicTime,
    ) {
        let elapsed = now.since(self.refilled_at).as_micros();
        let elapsed_micros = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let gain = allowance.refill_share(fraction, elapsed_micros);
        let max_level = allowance.burst_share(fraction).saturating_sub(outstanding);
        self.level = self.level.saturating_add(gain).min(max_level);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns the level.
    pub(super) fn level(&self) -> u64 {
        self.level
    }

    /// Takes tokens if the level allows it.
    pub(super) fn try_take(&mut self, micro_tokens: u64) -> bool {
        let is_enough = self.level >= micro_tokens;
        if is_enough {
            self.level -= micro_tokens;
        }
        is_enough
    }

    /// Adds tokens that came from elsewhere; the next fill bounds the level.
    pub(super) fn add(&mut self, micro_tokens: u64) {
        self.level = self.level.saturating_add(micro_tokens);
    }

    /// Takes all tokens.
    pub(super) fn take_all(&mut self) -> u64 {
        std::mem::take(&mut self.level)
    }

    /// Empties the bucket and lets it fill from `since` on.
    pub(super) fn reset(&mut self, since: MonotonicTime) {
        *self = Self::new(since);
    }
}

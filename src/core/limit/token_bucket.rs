//! Token bucket over a fraction of an account's allowance.

use super::allowance::Allowance;
use super::allowance::ShareFraction;
use crate::core::MonotonicTime;

/// Micro-tokens per token.
pub(super) const MICROS_PER_TOKEN: u64 = 1_000_000;

/// Token bucket over a fraction of an allowance. Levels are in micro-tokens.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenBucket {
    level: u64,
    refilled_at: MonotonicTime,
}

impl TokenBucket {
    /// Creates an empty bucket that refills from `now` on.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            level: 0,
            refilled_at: now,
        }
    }

    /// Adds the gain since the last refill. The level plus `outstanding`, the
    /// micro-tokens in unexpired grants, is capped at the fraction's part of
    /// the burst.
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

    /// Returns the level without refilling.
    pub(super) fn level(&self) -> u64 {
        self.level
    }

    /// Takes micro-tokens if the level suffices; returns whether it did.
    pub(super) fn try_take(&mut self, micro_tokens: u64) -> bool {
        let is_enough = self.level >= micro_tokens;
        if is_enough {
            self.level -= micro_tokens;
        }
        is_enough
    }

    /// Adds micro-tokens from another holder; the next refill caps the level.
    pub(super) fn add(&mut self, micro_tokens: u64) {
        self.level = self.level.saturating_add(micro_tokens);
    }

    /// Empties the bucket and returns its level.
    pub(super) fn take_all(&mut self) -> u64 {
        std::mem::take(&mut self.level)
    }

    /// Empties the bucket and lets it refill from `since` on.
    pub(super) fn reset(&mut self, since: MonotonicTime) {
        *self = Self::new(since);
    }
}

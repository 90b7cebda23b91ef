//! A token bucket over a part of an allowance.

use super::allowance::Allowance;
use super::allowance::Portion;
use crate::core::MonotonicTime;

/// Millionths of a token in a token.
pub(super) const MICRO: u64 = 1_000_000;

/// A token bucket over a part of an allowance. Levels are in millionths of a
/// token.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    level: u64,
    filled_at: MonotonicTime,
}

impl Bucket {
    /// Creates an empty bucket that fills from `now` on.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            level: 0,
            filled_at: now,
        }
    }

    /// Adds the gain since the last call. Level and `outside`, tokens that
    /// are out in grants, stay within the burst of the part.
    pub(super) fn fill(
        &mut self,
        allowance: Allowance,
        portion: Portion,
        outside: u64,
        now: MonotonicTime,
    ) {
        let micros = now.since(self.filled_at).as_micros();
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        let gain = allowance.gain_of(portion, micros);
        let room = allowance.burst_of(portion).saturating_sub(outside);
        self.level = self.level.saturating_add(gain).min(room);
        self.filled_at = self.filled_at.max(now);
    }

    /// Returns the level.
    pub(super) fn level(&self) -> u64 {
        self.level
    }

    /// Takes tokens if the level allows it.
    pub(super) fn take(&mut self, micros: u64) -> bool {
        let enough = self.level >= micros;
        if enough {
            self.level -= micros;
        }
        enough
    }

    /// Adds tokens that came from elsewhere; the next fill bounds the level.
    pub(super) fn put(&mut self, micros: u64) {
        self.level = self.level.saturating_add(micros);
    }

    /// Takes all tokens.
    pub(super) fn drain(&mut self) -> u64 {
        std::mem::take(&mut self.level)
    }

    /// Empties the bucket and lets it fill from `since` on.
    pub(super) fn restart(&mut self, since: MonotonicTime) {
        *self = Self::new(since);
    }
}

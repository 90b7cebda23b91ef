//! Estimates how long an engine still needs to prefill the prompts announced to
//! it.

use std::time::Duration;

use crate::core::MonotonicTime;

/// Upper limit of the estimate, because calls that the engine rejects were
/// announced as well.
const MAX_REMAINING: Duration = Duration::from_secs(3);

/// Remaining prefill time of an engine, from the calls that entries have
/// announced. The engine itself reports only how many calls wait, but one long
/// prompt can take as long as ten ordinary ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefillQueue {
    ends_at: MonotonicTime,
}

impl PrefillQueue {
    /// Adds a call whose prompt takes `prefill_time`.
    pub fn add(&mut self, prefill_time: Duration, now: MonotonicTime) {
        self.ends_at = (self.ends_at.max(now) + prefill_time).min(now + MAX_REMAINING);
    }

    /// Replaces the remaining time by one that an agent has reported.
    pub fn set_remaining(&mut self, remaining: Duration, now: MonotonicTime) {
        self.ends_at = now + remaining;
    }

    /// Returns the remaining time; zero when all prompts are prefilled.
    pub fn remaining(&self, now: MonotonicTime) -> Duration {
        self.ends_at.since(now)
    }
}

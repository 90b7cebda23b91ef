//! Time that an engine still needs to read prompts.

use std::time::Duration;

use crate::core::MonotonicTime;

/// Most time that is believed: calls that the engine turns away were announced
/// as well.
const MOST_LEFT: Duration = Duration::from_secs(3);

/// Time that an engine still needs to read prompts, from the calls that
/// entries announced: an engine's own report tells only how many calls wait,
/// and one long prompt holds up as much as ten usual ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefillQueue {
    ends_at: MonotonicTime,
}

impl PrefillQueue {
    /// Takes note of a call whose prompt takes so long to read.
    pub fn add(&mut self, reading: Duration, now: MonotonicTime) {
        self.ends_at = (self.ends_at.max(now) + reading).min(now + MOST_LEFT);
    }

    /// Takes note that so much time is left.
    pub fn set_remaining(&mut self, left: Duration, now: MonotonicTime) {
        self.ends_at = now + left;
    }

    /// Returns the time left.
    pub fn remaining(&self, now: MonotonicTime) -> Duration {
        self.ends_at.since(now)
    }
}

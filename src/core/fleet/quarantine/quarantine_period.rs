//! One quarantine of a suspect.

use std::time::Duration;

use crate::core::MonotonicTime;

/// Length of the first quarantine of a suspect; it doubles with each further one.
const FIRST_LENGTH: Duration = Duration::from_secs(600);

/// Longest quarantine. A suspect that comes back after it is quarantined again after
/// one crash.
const LONGEST: Duration = Duration::from_secs(4 * 3_600);

/// Time after the end of a quarantine for which it is remembered.
const MEMORY: Duration = Duration::from_secs(24 * 3_600);

/// Quarantine of a suspect: its start, and its number among those of the suspect.
#[derive(Debug, Clone, Copy)]
pub(super) struct QuarantinePeriod {
    pub since: MonotonicTime,
    pub occurrences: u32,
}

impl QuarantinePeriod {
    fn length(self) -> Duration {
        let doublings = self.occurrences.saturating_sub(1).min(16);
        (FIRST_LENGTH * (1 << doublings)).min(LONGEST)
    }

    /// Returns the time until its end; `None` after it.
    pub fn time_left(self, now: MonotonicTime) -> Option<Duration> {
        let left = self.length().saturating_sub(now.since(self.since));
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether it ended so long ago that it is forgotten.
    pub fn is_forgotten(self, now: MonotonicTime) -> bool {
        now.since(self.since) >= self.length() + MEMORY
    }
}

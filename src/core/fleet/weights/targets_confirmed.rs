//! When the known target versions were last known to be the newest.

use std::time::Duration;

use crate::core::MonotonicTime;
use crate::core::StallDetector;

/// Time without any sign that this process runs from which it has stood still, and time
/// after that in which the news that came meanwhile is read.
const MIN_STALL: Duration = Duration::from_millis(250);
const STALL_GRACE: Duration = Duration::from_millis(250);

/// Last time at which the target versions that an entry knows were the newest.
///
/// A newer version that the entry learns of, by whatever way, was named after this time.
/// The time at which it is learned says nothing: an entry that has just started, or was
/// cut off, learns late.
#[derive(Debug)]
pub struct TargetsConfirmed {
    /// `None` before the operator's records have been read once.
    at: Option<MonotonicTime>,
    /// Whether changes of the records may have been missed.
    is_lost: bool,
    stalls: StallDetector,
}

impl TargetsConfirmed {
    /// Returns the time; `None` before the operator's records have been read.
    pub fn at(&self) -> Option<MonotonicTime> {
        self.at
    }

    /// Records that this process runs; to be called every 100 ms or more often, and before
    /// news is applied.
    pub fn record_run(&mut self, now: MonotonicTime) {
        self.stalls.record_run(now);
    }

    /// Returns whether news that is read now may have come while this process stood still,
    /// so that it says nothing of the present.
    pub fn is_reading_backlog(&self, now: MonotonicTime) -> bool {
        self.stalls.is_catching_up(now)
    }

    /// Records that all changes of the records in the store were applied as they came.
    pub fn record_read(&mut self, now: MonotonicTime) {
        self.record_full_read(now, now);
    }

    /// Records that all records in the store, as they were at `asked_at` or later, were
    /// applied. The response may have taken or waited long.
    pub fn record_full_read(&mut self, asked_at: MonotonicTime, now: MonotonicTime) {
        if self.at.is_none() || !self.is_reading_backlog(now) {
            self.at = Some(self.at.map_or(asked_at, |before| before.max(asked_at)));
        }
        self.is_lost = false;
    }

    /// Records that changes may have been missed. The store confirms nothing until the
    /// records are read again.
    pub fn record_lost(&mut self) {
        self.is_lost = true;
    }

    /// Records that the store has answered a ping sent at `sent_at`, so that a pending
    /// watch has delivered all changes before. The answer may have waited since.
    pub fn record_ping(&mut self, sent_at: MonotonicTime) {
        if !self.is_lost {
            self.confirm(sent_at);
        }
    }

    /// Records that a peer which has read the records knows no newer version. The first
    /// peer that an entry hears may itself be behind, so this has no effect before the
    /// entry has read the records.
    pub fn record_peer(&mut self, now: MonotonicTime) {
        if !self.is_reading_backlog(now) {
            self.confirm(now);
        }
    }

    fn confirm(&mut self, at: MonotonicTime) {
        self.at = self.at.map(|before| before.max(at));
    }
}

impl Default for TargetsConfirmed {
    fn default() -> Self {
        Self {
            at: None,
            is_lost: false,
            stalls: StallDetector::new(MIN_STALL, STALL_GRACE),
        }
    }
}

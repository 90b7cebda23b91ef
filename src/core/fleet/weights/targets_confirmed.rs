//! When the known target versions were last known to be the newest.

use crate::core::MonotonicTime;

/// Last time at which the target versions that an entry knows were the newest.
///
/// A newer version that the entry learns of, by whatever way, was named after this time.
/// The time at which it is learned says nothing: an entry that has just started, or was
/// cut off, learns late.
#[derive(Debug, Default)]
pub struct TargetsConfirmed {
    /// `None` before the operator's records have been read once.
    at: Option<MonotonicTime>,
    /// Whether changes of the records may have been missed.
    is_lost: bool,
}

impl TargetsConfirmed {
    /// Returns the time; `None` before the operator's records have been read.
    pub fn at(&self) -> Option<MonotonicTime> {
        self.at
    }

    /// Records that all records in the store were read and applied.
    pub fn record_read(&mut self, now: MonotonicTime) {
        self.at = Some(now);
        self.is_lost = false;
    }

    /// Records that changes may have been missed. The store confirms nothing until the
    /// records are read again.
    pub fn record_lost(&mut self) {
        self.is_lost = true;
    }

    /// Records that the store answers, so that a pending watch has delivered all changes.
    pub fn record_ping(&mut self, now: MonotonicTime) {
        if !self.is_lost {
            self.confirm(now);
        }
    }

    /// Records that a peer which has read the records knows no newer version. The first
    /// peer that an entry hears may itself be behind, so this has no effect before the
    /// entry has read the records.
    pub fn record_peer(&mut self, now: MonotonicTime) {
        self.confirm(now);
    }

    fn confirm(&mut self, now: MonotonicTime) {
        self.at = self.at.map(|_| now);
    }
}

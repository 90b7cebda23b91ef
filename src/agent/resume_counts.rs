//! Counts how often each running stream was resumed, so that a stream that was
//! resumed after a connection loss is not cancelled.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::core::RequestId;

/// Number of times that entries resumed each running attempt, by request and
/// attempt number.
#[derive(Debug, Default)]
pub struct ResumeCounts {
    counts: Mutex<HashMap<(RequestId, u32), u32>>,
}

impl ResumeCounts {
    /// Counts one more resumption of an attempt.
    pub fn increment(&self, attempt: (RequestId, u32)) {
        *self.lock_counts().entry(attempt).or_default() += 1;
    }

    /// Returns the number of resumptions of an attempt, 0 if it is unknown.
    pub fn get(&self, attempt: (RequestId, u32)) -> u32 {
        self.lock_counts().get(&attempt).copied().unwrap_or(0)
    }

    /// Removes the count of an attempt that has ended.
    pub fn remove(&self, attempt: (RequestId, u32)) {
        self.lock_counts().remove(&attempt);
    }

    fn lock_counts(&self) -> MutexGuard<'_, HashMap<(RequestId, u32), u32>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

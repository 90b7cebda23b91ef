//! How often entries resumed streams that still run.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::core::RequestId;

/// How often entries resumed streams that still run.
#[derive(Debug, Default)]
pub struct ResumeCounts {
    counts: Mutex<HashMap<(RequestId, u32), u32>>,
}

impl ResumeCounts {
    /// Takes note of a resumption of an attempt.
    pub fn increment(&self, attempt: (RequestId, u32)) {
        *self.lock_counts().entry(attempt).or_default() += 1;
    }

    /// Returns the resumptions of an attempt.
    pub fn get(&self, attempt: (RequestId, u32)) -> u32 {
        self.lock_counts().get(&attempt).copied().unwrap_or(0)
    }

    /// Forgets an attempt that has ended.
    pub fn remove(&self, attempt: (RequestId, u32)) {
        self.lock_counts().remove(&attempt);
    }

    fn lock_counts(&self) -> MutexGuard<'_, HashMap<(RequestId, u32), u32>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

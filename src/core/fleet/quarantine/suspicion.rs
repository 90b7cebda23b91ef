//! Crashes under one call.

use crate::core::MonotonicTime;

/// Crashes under a call that had got no event, since it was last answered to the end.
#[derive(Debug)]
pub(super) struct Suspicion {
    /// Number of crashed runs.
    pub runs: usize,
    /// Number of different moments at which they crashed.
    pub moments: usize,
    /// When the first one crashed.
    pub first_at: MonotonicTime,
    /// When the last one crashed.
    pub last_at: MonotonicTime,
    /// Whether all of them were evaluated.
    pub is_evaluated: bool,
}

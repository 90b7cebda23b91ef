//! Whether the caller of a connection is still there.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Tells whether the caller of a connection has left. Clones share it.
#[derive(Debug, Clone, Default)]
pub(super) struct CallerPresence {
    has_left: Arc<AtomicBool>,
}

impl CallerPresence {
    /// Records that the caller has closed its side of the connection.
    pub fn record_end(&self) {
        self.has_left.store(true, Ordering::Release);
    }

    /// Returns whether the caller has closed its side of the connection.
    pub fn has_left(&self) -> bool {
        self.has_left.load(Ordering::Acquire)
    }
}

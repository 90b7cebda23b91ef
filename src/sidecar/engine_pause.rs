//! Pauses that an engine asks for in its answers to this process.

use std::time::Duration;

/// Keeps the time for which an engine wants no requests from this process.
pub trait EnginePause: Send + Sync {
    /// Returns whether the engine wants no requests now.
    fn is_paused(&self) -> bool;

    /// Records that the engine wants no requests for a time.
    fn record(&self, pause: Duration);
}

//! Pause of the engine beside a sidecar.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use super::engine_pause::EnginePause;
use crate::clock::Clock;
use crate::core::MonotonicTime;
use crate::core::fleet::MAX_PAUSE;

/// Pause of the engine beside a sidecar, which alone sends requests to it in this
/// process.
#[derive(Debug)]
pub struct LocalPause {
    clock: Clock,
    until: Mutex<MonotonicTime>,
}

impl LocalPause {
    /// Creates the state of an engine that has asked for no pause.
    pub fn new() -> Self {
        Self {
            clock: Clock::start(),
            until: Mutex::new(MonotonicTime::ZERO),
        }
    }
}

impl Default for LocalPause {
    fn default() -> Self {
        Self::new()
    }
}

impl EnginePause for LocalPause {
    fn is_paused(&self) -> bool {
        let until = self.until.lock().unwrap_or_else(PoisonError::into_inner);
        self.clock.now() < *until
    }

    fn record(&self, pause: Duration) {
        let mut until = self.until.lock().unwrap_or_else(PoisonError::into_inner);
        *until = (*until).max(self.clock.now() + pause.min(MAX_PAUSE));
    }
}

//! Clock of this process.

use std::time::Instant;

use crate::core::MonotonicTime;

/// Clock of this process; its origin is the time of its creation.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the time.
    pub fn now(self) -> MonotonicTime {
        let micros = self.0.elapsed().as_micros();
        MonotonicTime::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

//! Clock of this process.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

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

/// Reads the host's time of day, in milliseconds since the epoch: for logs
/// alone, since it may jump.
pub fn read_wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before the epoch is as wrong as one at it.
    since_epoch.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(0))
}

//! Monotonic time for decisions, and the wall clock for logs.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::core::MonotonicTime;

/// Monotonic clock whose origin is the call of [`Clock::start`]. Its times are
/// not comparable between clocks.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at time zero.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the time since the start, in whole microseconds.
    pub fn now(self) -> MonotonicTime {
        let micros = self.0.elapsed().as_micros();
        MonotonicTime::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Returns the wall clock of the host in milliseconds since the Unix epoch.
/// It may jump, so it serves only logs and the clock offsets reported there.
pub fn read_wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    // A wall clock before the epoch is wrong in any case; report it as zero.
    since_epoch.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(0))
}

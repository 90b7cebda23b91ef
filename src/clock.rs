//! Monotonic time for decisions, and the wall clock for logs.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::time::sleep;

use crate::core::MonotonicTime;

/// Longest sleep between two looks at the clock.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Monotonic clock whose origin is the call of [`Clock::start`]. Its times are
/// not comparable between clocks. It counts time for which the host was suspended:
/// leases and callers' deadlines run on meanwhile.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Duration,
}

impl Clock {
    /// Starts a clock at time zero.
    pub fn start() -> Self {
        Self {
            started_at: read_boot_time(),
        }
    }

    /// Returns the time since the start, in whole microseconds.
    pub fn now(self) -> MonotonicTime {
        let elapsed = read_boot_time().saturating_sub(self.started_at);
        MonotonicTime::from_micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }

    /// Waits until `at`. Timers do not count time for which the host was suspended.
    pub async fn sleep_until(self, at: MonotonicTime) {
        loop {
            let left = at.since(self.now());
            if left.is_zero() {
                return;
            }
            sleep(left.min(MAX_SLEEP)).await;
        }
    }
}

/// Returns the time since the boot of the host, suspensions included.
fn read_boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // Neither field is negative since the boot.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or(0))
}

/// Returns the wall clock of the host in milliseconds since the Unix epoch.
/// It may jump, so it serves only logs and the clock offsets reported there.
pub fn read_wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    // A wall clock before the epoch is wrong in any case; report it as zero.
    since_epoch.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(0))
}

//! Monotonic clock shared by all threads of this process, for latencies between
//! a stand-in and a bench.

use std::sync::LazyLock;
use std::time::Instant;

static ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the microseconds since the first call in this process.
pub fn now_micros() -> u64 {
    u64::try_from(ORIGIN.elapsed().as_micros()).unwrap_or(u64::MAX)
}

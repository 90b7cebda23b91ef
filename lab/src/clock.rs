//! A clock that all threads of this process share.

use std::sync::LazyLock;
use std::time::Instant;

static ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns microseconds since an origin that this process chose.
pub fn now_micros() -> u64 {
    u64::try_from(ORIGIN.elapsed().as_micros()).unwrap_or(u64::MAX)
}

//! Course of a gateway's drain, from the stop signal to the cut of what still runs.

use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::time::Instant;

/// Course of a gateway's drain.
#[derive(Debug, Default)]
pub struct Drain {
    began_at: OnceLock<Instant>,
    is_over: AtomicBool,
}

impl Drain {
    /// Begins the drain; later calls change nothing.
    pub fn begin(&self) {
        self.began_at.get_or_init(Instant::now);
    }

    /// Returns whether the gateway is about to stop.
    pub fn has_begun(&self) -> bool {
        self.began_at.get().is_some()
    }

    /// Ends the drain: what still runs is cut.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Release);
    }

    /// Returns whether what still runs is being cut.
    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Acquire)
    }

    /// Returns the milliseconds from the begin of the drain to `at`, negative before it;
    /// 0 without a drain.
    pub fn offset_ms(&self, at: Instant) -> i64 {
        let Some(&began_at) = self.began_at.get() else {
            return 0;
        };
        let after = at.saturating_duration_since(began_at).as_millis() as i64;
        let before = began_at.saturating_duration_since(at).as_millis() as i64;
        after - before
    }
}

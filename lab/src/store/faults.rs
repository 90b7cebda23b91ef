//! Faults that a test can inject into a store.

use std::time::Duration;

/// Faults of a store, which a test can change while the store runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Every call gets status 503 and every watch ends.
    pub is_unavailable: bool,
    /// Calls get no response and take no effect, and watches send nothing.
    pub hangs: bool,
    /// Delay before each call takes effect.
    pub delay: Duration,
    /// Number of next writes that take effect but get no response, because the
    /// connection closes.
    pub drop_responses: u32,
}

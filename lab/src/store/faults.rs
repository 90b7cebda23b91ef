//! Faults of a store.

use std::time::Duration;

/// Faults of a store that a test switches while it runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Every call is answered with 503 and every watch is cut.
    pub is_unavailable: bool,
    /// No call is answered or takes effect, and watches go silent.
    pub hangs: bool,
    /// Time that each call takes.
    pub delay: Duration,
    /// Number of coming writes whose answer is lost after they took effect:
    /// the connection breaks.
    pub drop_responses: u32,
}

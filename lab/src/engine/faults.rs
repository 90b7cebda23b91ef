//! Faults that a test can inject into a model engine.

use std::time::Duration;

/// Faults of a model engine, which a test can change while the engine runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Delay of the response head of each generation.
    pub response_delay: Duration,
    /// Number of events after which each stream breaks its connection. If set,
    /// responses without streaming break as well.
    pub break_after_events: Option<u64>,
    /// Streams end without the `[DONE]` marker.
    pub omits_end_marker: bool,
    /// Responses carry the request id `of-another` in place of their own.
    pub wrong_request_id: bool,
    /// Resumed streams continue with the completion id of another generation.
    pub resumes_other_generation: bool,
    /// Additional delay before an order takes effect.
    pub order_delay: Duration,
}

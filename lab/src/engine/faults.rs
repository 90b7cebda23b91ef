//! Faults of a model engine.

use std::time::Duration;

/// Faults of a model engine that a test switches while it runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Time by which the head of each answer is late.
    pub response_delay: Duration,
    /// The connection breaks after so many events of a stream.
    pub break_after_events: Option<u64>,
    /// Streams end without their end marker.
    pub omits_end_marker: bool,
    /// Answers name another request than their own.
    pub wrong_request_id: bool,
    /// Streams go on with the events of another generation when resumed.
    pub resumes_other_generation: bool,
    /// Orders take effect so much later than usual.
    pub order_delay: Duration,
}

//! Faults of a model engine.

use std::time::Duration;

/// Faults of a model engine that a test switches while it runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Time by which the head of each answer is late.
    pub late: Duration,
    /// The connection breaks after so many events of a stream.
    pub breaks_after: Option<u64>,
    /// Streams end without their end marker.
    pub omits_end: bool,
    /// Answers name another request than their own.
    pub crosses: bool,
    /// Streams go on with the events of another generation when resumed.
    pub splices: bool,
    /// Orders take effect so much later than usual.
    pub late_orders: Duration,
}

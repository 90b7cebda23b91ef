//! One event of one process.

use serde::Deserialize;
use serde::Serialize;

use super::EventKind;
use crate::core::RequestId;

/// One event of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Hybrid logical clock stamp: nanoseconds since the epoch, with a counter
    /// in the lowest bits. An effect has a higher stamp than its cause.
    pub stamp: u64,
    /// Name of the process.
    pub process: String,
    /// Request that the event belongs to, if any.
    pub request: Option<RequestId>,
    /// What happened.
    pub kind: EventKind,
}

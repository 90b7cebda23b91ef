//! One event of a streamed answer.

use bytes::Bytes;

/// One event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Number of the event within its answer, from 0, without gaps.
    pub number: u64,
    /// Data of the event, as the engine sent it.
    pub data: Bytes,
}

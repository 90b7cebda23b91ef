//! Event of a streamed response, numbered so that a stream can be resumed.

use bytes::Bytes;

/// One event of a streamed response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Number of the event in its response, from 0, without gaps.
    pub number: u64,
    /// Data of the event, unchanged from the engine.
    pub data: Bytes,
}

//! Messages that an agent sends to an entry while an attempt runs.

use bytes::Bytes;

use super::ResponseHead;
use super::StreamEvent;
use crate::core::AttemptRefusal;
use crate::core::Outcome;
use crate::core::ResponseReport;

/// Message from an agent to an entry about one attempt of a request.
///
/// `frame_serde` encodes it as a sequence that begins with the number of its
/// kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// The agent accepted the attempt and calls the backend server next.
    Accepted(ResponseReport),
    /// The agent refused the attempt; it certainly did not run.
    Refused(AttemptRefusal, ResponseReport),
    /// The connection is alive, but there is nothing to send yet.
    Heartbeat,
    /// Head of the backend server's response.
    Head(ResponseHead),
    /// One event of a streamed response.
    Event(StreamEvent),
    /// Chunk of the body of a response that is not an event stream.
    Body(Bytes),
    /// The response is complete; this is the last frame.
    End(ResponseReport),
    /// The call of the backend server failed: whether the request ran, and the
    /// reason of the failure. This is the last frame.
    Failed(Outcome, String),
}

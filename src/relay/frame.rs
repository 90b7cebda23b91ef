//! One message from an agent to an entry about a running request.

use bytes::Bytes;

use super::ResponseHead;
use super::StreamEvent;
use crate::core::AttemptRefusal;
use crate::core::Outcome;
use crate::core::ResponseReport;

/// One message from an agent to an entry about a running request.
///
/// Encoded as a sequence that begins with the number of its kind; see
/// `frame_serde`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// The gate let the attempt through; the backend server is called next.
    Accepted(ResponseReport),
    /// The gate refused the attempt; it did not run.
    Refused(AttemptRefusal, ResponseReport),
    /// Nothing to tell, but the connection lives.
    Heartbeat,
    /// Head of the backend server's answer.
    Head(ResponseHead),
    /// One event of a streamed answer.
    Event(StreamEvent),
    /// Part of an answer that is no event stream.
    Body(Bytes),
    /// The answer is complete.
    End(ResponseReport),
    /// The backend server failed; no further frame comes.
    Failed(Outcome, String),
}

//! One message from an agent to an entry about a running request.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::core::Outcome;
use crate::core::Refusal;
use crate::core::Report;

/// One message from an agent to an entry about a running request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The gate let the attempt through; the backend server is called next.
    Accepted(Report),
    /// The gate refused the attempt; it did not run.
    Refused(Refusal, Report),
    /// Nothing to tell, but the connection lives.
    Heartbeat,
    /// Head of the backend server's answer.
    Head(AnswerHead),
    /// One event of a streamed answer.
    Event(StreamEvent),
    /// Part of an answer that is no event stream.
    Body(Bytes),
    /// The answer is complete.
    End(Report),
    /// The backend server failed; no further frame comes.
    Failed(Outcome, String),
}

/// Head of a backend server's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body, if the server named one.
    pub content_type: Option<String>,
    /// The body comes as [`Frame::Event`]s.
    pub streamed: bool,
}

/// One event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamEvent {
    /// Number of the event within its answer, from 0, without gaps.
    pub number: u64,
    /// Data of the event, as the engine sent it.
    pub data: Bytes,
}

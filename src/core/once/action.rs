//! What is to be done for a request that may run at most once.

use std::time::Duration;

use super::OnceError;
use super::OnceRecord;
use super::StoredResponse;
use super::WriteCondition;

/// What is to be done next for a request that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceAction {
    /// Write the record if it is as expected.
    Write(WriteCondition, OnceRecord),
    /// Read the record.
    Read,
    /// Wait, then report [`super::OnceEvent::Waited`].
    Wait(Duration),
    /// Send the attempt with this number, to the planned agent only.
    Send(u32),
    /// Choose where the next attempt is to run.
    Plan,
    /// Give the caller the answer of an earlier request.
    Respond(StoredResponse),
    /// Refuse the request, then report [`super::OnceEvent::Replied`].
    Refuse(OnceError),
    /// Nothing more; the caller has its answer.
    Stop,
}

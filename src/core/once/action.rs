//! Next step for a request that may run at most once.

use std::time::Duration;

use super::OnceError;
use super::OnceRecord;
use super::StoredResponse;
use super::WriteCondition;

/// Next step for a request that may run at most once. The caller carries it
/// out and reports the resulting [`super::OnceEvent`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceAction {
    /// Write the record if the stored one meets the condition.
    Write(WriteCondition, OnceRecord),
    /// Read the record.
    Read,
    /// Wait, then report [`super::OnceEvent::Waited`].
    Wait(Duration),
    /// Send the attempt with this number, only to the agent it was planned for.
    Send(u32),
    /// Choose a backend server for the next attempt.
    Plan,
    /// Give the caller the stored response of an earlier request, then report
    /// [`super::OnceEvent::Replied`].
    Respond(StoredResponse),
    /// Refuse the request, then report [`super::OnceEvent::Replied`].
    Refuse(OnceError),
    /// Nothing is left to do; the caller has its response.
    Stop,
}

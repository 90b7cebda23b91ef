//! How busy a backend server is.

use serde::Deserialize;
use serde::Serialize;

/// How busy a backend server is, as its agent last knew.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that the server is running.
    pub running: u32,
    /// Requests that wait in the agent or the server.
    pub queued: u32,
    /// Prompt tokens not yet computed of running and waiting requests.
    pub queued_prompt_tokens: u64,
}

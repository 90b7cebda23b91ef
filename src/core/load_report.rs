//! Load of a backend server, as its agent reports it.

use serde::Deserialize;
use serde::Serialize;

/// Load of a backend server, as its agent last knew it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that the server runs.
    pub running: u32,
    /// Requests that wait in the agent or in the server.
    pub queued: u32,
    /// Prompt tokens of running and waiting requests that the server has yet to
    /// compute.
    pub queued_prompt_tokens: u64,
}

//! Reasons for which an agent refuses an attempt.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Reason for which an agent refuses an attempt. It does so before a byte of
/// the attempt reaches the backend server, so the attempt certainly did not
/// run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptRefusal {
    /// The attempt was planned for another incarnation of the agent.
    AgentRestarted,
    /// The attempt was planned for another incarnation of the engine.
    EngineRestarted,
    /// The attempt was planned for another version of the weights.
    WeightsChanged,
    /// The key that came with the request has been withdrawn.
    KeyWithdrawn,
    /// The backend server is draining and takes no new requests.
    Leaving,
    /// The deadline would pass before the request could run.
    DeadlinePassed,
    /// The queue of waiting requests is full.
    QueueFull,
    /// The backend server cannot be reached.
    ServerUnreachable,
}

impl AttemptRefusal {
    /// Returns the code of the refusal, which callers and tools may rely on.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::AgentRestarted => "agent-restarted",
            Self::EngineRestarted => "engine-restarted",
            Self::WeightsChanged => "weights-changed",
            Self::KeyWithdrawn => "key-withdrawn",
            Self::Leaving => "leaving",
            Self::DeadlinePassed => "deadline-passed",
            Self::QueueFull => "queue-full",
            Self::ServerUnreachable => "server-unreachable",
        }
    }

    /// Returns whether a new attempt, planned on newer state, may succeed.
    pub fn is_retryable(self) -> bool {
        !matches!(self, Self::KeyWithdrawn | Self::DeadlinePassed)
    }
}

impl fmt::Display for AttemptRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

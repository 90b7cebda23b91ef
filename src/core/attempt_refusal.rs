//! Reasons for which an agent refuses an attempt before it runs.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Reason for which an agent refuses an attempt before a byte of it reaches
/// the backend server, so that "not run" is true.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptRefusal {
    /// The attempt was planned for another run of the agent.
    AgentRestarted,
    /// The attempt was planned for another run of the engine.
    EngineRestarted,
    /// The attempt was planned for other weights.
    WeightsChanged,
    /// The key that came with the request has been withdrawn.
    KeyWithdrawn,
    /// The backend server takes no new work.
    Leaving,
    /// The deadline would pass before the request could run.
    DeadlinePassed,
    /// Too many requests wait already.
    QueueFull,
    /// The backend server cannot be reached.
    ServerUnreachable,
}

impl AttemptRefusal {
    /// Returns the stable code of the refusal.
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

    /// Tells whether another attempt, planned anew, may succeed.
    pub fn is_retryable(self) -> bool {
        !matches!(self, Self::KeyWithdrawn | Self::DeadlinePassed)
    }
}

impl fmt::Display for AttemptRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

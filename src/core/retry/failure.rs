//! Failure of an attempt before its response began.

use crate::core::AttemptRefusal;

/// Failure of an attempt before its response began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The agent refused the attempt, which did not run.
    Refused(AttemptRefusal),
    /// No byte of the attempt was sent, so it did not run.
    Unsent,
    /// The attempt may have run.
    Unknown,
}

impl AttemptFailure {
    /// Returns whether the attempt certainly did not run.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::Unknown)
    }

    /// Returns whether the attempt was refused because its plan was stale: the
    /// agent, the engine or its weights were no longer those that the entry
    /// assumed. The refusal has corrected this, so that the same server may be
    /// tried again.
    pub fn is_stale_plan(self) -> bool {
        matches!(
            self,
            Self::Refused(
                AttemptRefusal::AgentRestarted
                    | AttemptRefusal::EngineRestarted
                    | AttemptRefusal::WeightsChanged
            )
        )
    }
}

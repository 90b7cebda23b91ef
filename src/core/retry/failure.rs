//! How an attempt failed before its answer began.

use crate::core::AttemptRefusal;

/// How an attempt failed before its answer began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The agent refused it; it did not run.
    Refused(AttemptRefusal),
    /// No byte of it left; it did not run.
    Unsent,
    /// It may have run.
    Unknown,
}

impl AttemptFailure {
    /// Tells whether the attempt certainly did not run.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::Unknown)
    }

    /// Tells whether the attempt was planned on state that the refusal has
    /// corrected, so that the same server may be asked again.
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

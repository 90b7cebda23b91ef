//! Phases of a rollout.

use serde::Deserialize;
use serde::Serialize;

/// Phase of a rollout, ordered by the share of calls that the new build gets.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum RolloutPhase {
    /// A small share of the calls goes to the new build.
    #[default]
    Canary,
    /// A larger share goes there.
    FirstStep,
    /// A still larger share goes there.
    SecondStep,
    /// All new calls go to the new build while the old servers run empty.
    Whole,
    /// Nothing more is sent to the old servers, streams included; their end is
    /// being confirmed. Not stored: a new leader begins again at [`Self::Whole`].
    Closing,
    /// The old servers may be stopped.
    Completed,
    /// The new build gets nothing any more.
    RolledBack,
}

impl RolloutPhase {
    /// Returns whether the rollout has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Returns whether all new calls go to the new build while the rollout runs.
    pub fn is_whole(self) -> bool {
        matches!(self, Self::Whole | Self::Closing)
    }

    /// Returns the phase as it is kept in the store.
    pub fn stored(self) -> Self {
        if self == Self::Closing {
            Self::Whole
        } else {
            self
        }
    }
}

//! Decides when engines are ordered to change their weights.

mod target_history;
mod target_version;
mod targets_confirmed;
mod weights_change;
mod weights_hold;
mod weights_holds;

pub(super) use target_history::TargetHistory;
pub(super) use target_history::VersionStatus;
pub use target_version::TargetVersion;
pub use targets_confirmed::TargetsConfirmed;
pub use weights_change::DEFAULT_VERSION_TIME;
pub use weights_change::EngineStatus;
pub(super) use weights_change::FIRST_BATCH_DELAY;
pub use weights_change::OrderOutcome;
pub use weights_change::RunningCalls;
pub use weights_change::WeightsChange;
pub use weights_change::WeightsChangeStep;
pub use weights_hold::WeightsHold;
use weights_holds::WeightsHolds;
